// Package savorypinlease elects the holder of a control task, such as the controller of a
// service, by conditional writes of one object on the platform for each lease.
//
// The holder renews the object. Another daemon takes the lease over once it has seen the object
// unchanged for the duration of the lease, by its own clock. Each takeover increments the
// fencing number. Clocks of different daemons are never compared: the holder counts the duration
// from before it sent the write that renewed the lease, so that the lease expires for the holder
// before another daemon may take it over.
package savorypinlease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinplatform"
)

// ErrNotHeld means that this daemon does not hold the lease.
var ErrNotHeld = errors.New("lease is not held")

// Spec is the stored record of a lease on the platform.
type Spec struct {
	// DurationMS is how long the lease lasts after a renewal, in milliseconds.
	DurationMS int64 `json:"durationMs"`
	// Fence is the fencing number; it increases with each change of the holder.
	Fence int64 `json:"fence"`
	// Holder is the member that holds the lease; empty if the lease was released.
	Holder string `json:"holder"`
	// Incarnation is the incarnation of the holder.
	Incarnation int64 `json:"incarnation"`
}

// Config configures a Lease.
type Config struct {
	// Create, Get and Update access the object of the lease on the platform.
	Create func(context.Context, savorypin.Object) (savorypin.Object, error)
	Get    func(context.Context, savorypin.Key) (savorypin.Object, error)
	Update func(context.Context, savorypin.Object) (savorypin.Object, error)
	// Duration is how long the lease lasts after a renewal.
	Duration time.Duration
	// Holder is the member that tries to acquire the lease.
	Holder string
	// Incarnation is the incarnation of the member.
	Incarnation int64
	// Name is the name of the lease.
	Name string
	// Now is the clock; it must be monotonic.
	Now func() time.Time
}

// Lease is one daemon's view of a lease. It is safe for concurrent use.
type Lease struct {
	cfg Config

	mu sync.Mutex
	// fence is the fencing number with which this daemon last acquired the lease; 0 if it never
	// did or has released it.
	fence int64
	// observedVersion is the version of another holder's record, first seen at observedAt.
	observedVersion int64
	observedAt      time.Time
	// expiresAt is when the lease expires for this daemon.
	expiresAt time.Time
	// version is the version of the record that this daemon last wrote when it acquired or
	// renewed the lease.
	version int64
}

// New returns a lease that is not held.
func New(cfg Config) *Lease {
	return &Lease{cfg: cfg}
}

// Held returns the fencing number and true if this daemon holds the lease at this moment. Call it
// again before each operation that only the holder may perform.
func (l *Lease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == 0 || !l.cfg.Now().Before(l.expiresAt) {
		return 0, false
	}
	return l.fence, true
}

// TryAcquireOrRenew reads the lease. It creates the lease if it does not exist, renews it if this
// daemon holds it, and takes it over if it was released or has expired. Call it about three times
// per duration. It returns an error if the record can't be read, decoded or written.
func (l *Lease) TryAcquireOrRenew(ctx context.Context) error {
	started := l.cfg.Now()
	key := savorypin.Key{Kind: savorypin.KindLease, Name: l.cfg.Name}
	record, err := l.cfg.Get(ctx, key)
	if errors.Is(err, savorypinplatform.ErrNotFound) {
		return l.write(ctx, started, savorypin.Object{Key: key}, 1, l.cfg.Create)
	}
	if err != nil {
		return fmt.Errorf("read lease %s: %w", l.cfg.Name, err)
	}
	spec, err := savorypin.DecodeStrict[Spec](record.Spec)
	if err != nil {
		return fmt.Errorf("decode lease %s: %w", l.cfg.Name, err)
	}
	switch {
	case l.heldBySelf(spec):
		return l.write(ctx, started, record, spec.Fence, l.cfg.Update)
	case spec.Holder == "" || l.expired(record.Version, spec):
		return l.write(ctx, started, record, spec.Fence+1, l.cfg.Update)
	default:
		return nil
	}
}

// Release releases the lease, so that another daemon may take it over at once. It does nothing if
// the lease was not acquired. It returns an error if the record can't be written; the lease is
// not held any more in this case either.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	fence, version := l.fence, l.version
	l.fence = 0
	l.mu.Unlock()
	if fence == 0 {
		return nil
	}
	o, err := l.encodeRecord(savorypin.Object{
		Key:     savorypin.Key{Kind: savorypin.KindLease, Name: l.cfg.Name},
		Version: version,
	}, Spec{DurationMS: l.cfg.Duration.Milliseconds(), Fence: fence})
	if err != nil {
		return err
	}
	if _, err := l.cfg.Update(ctx, o); err != nil {
		return fmt.Errorf("release lease %s: %w", l.cfg.Name, err)
	}
	return nil
}

// heldBySelf reports whether the holder in the record is this incarnation of this daemon.
func (l *Lease) heldBySelf(spec Spec) bool {
	return spec.Holder == l.cfg.Holder && spec.Incarnation == l.cfg.Incarnation
}

// expired reports whether the record has not changed for the duration of the lease, counted from
// when this daemon first saw this version.
func (l *Lease) expired(version int64, spec Spec) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observedVersion != version {
		l.observedVersion = version
		l.observedAt = l.cfg.Now()
		return false
	}
	return l.cfg.Now().Sub(l.observedAt) > time.Duration(spec.DurationMS)*time.Millisecond
}

// write writes the record with this daemon as the holder. The lease lasts for its duration from
// started, which is before the record was read.
func (l *Lease) write(
	ctx context.Context,
	started time.Time,
	o savorypin.Object,
	fence int64,
	write func(context.Context, savorypin.Object) (savorypin.Object, error),
) error {
	o, err := l.encodeRecord(o, Spec{
		DurationMS:  l.cfg.Duration.Milliseconds(),
		Fence:       fence,
		Holder:      l.cfg.Holder,
		Incarnation: l.cfg.Incarnation,
	})
	if err != nil {
		return err
	}
	written, err := write(ctx, o)
	if err != nil {
		// If the write succeeded and only the response was lost, the next call finds
		// the record of this daemon and renews it.
		return fmt.Errorf("write lease %s: %w", l.cfg.Name, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = fence
	l.expiresAt = started.Add(l.cfg.Duration)
	l.version = written.Version
	return nil
}

func (l *Lease) encodeRecord(o savorypin.Object, spec Spec) (savorypin.Object, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return o, fmt.Errorf("encode lease %s: %w", l.cfg.Name, err)
	}
	o.By = l.cfg.Holder
	o.Order = uuid.NewString()
	o.Spec = data
	return o, nil
}
