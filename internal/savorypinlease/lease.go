// Package savorypinlease decides who holds a duty of control, by conditional
// writes of one object of the platform for each duty.
//
// The holder renews the object; whoever else wants the duty takes it over once
// the object has not changed for its duration, by its own clock. Each take-over
// has a larger fencing number. Clocks are only compared with themselves: a
// holder counts its time from before it sent the write that renewed the lease,
// so that its time is up before anyone else may take over.
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

// ErrNotHeld means that the duty is not held.
var ErrNotHeld = errors.New("lease is not held")

// Spec is the record of a lease on the platform.
type Spec struct {
	// DurationMS is how long the lease lasts after a renewal, in milliseconds.
	DurationMS int64 `json:"durationMs"`
	// Fence is the fencing number; it grows with each change of the holder.
	Fence int64 `json:"fence"`
	// Holder is the member that holds the lease; empty if it was given up.
	Holder string `json:"holder"`
	// Incarnation is the incarnation of the holder.
	Incarnation int64 `json:"incarnation"`
}

// Config configures a Lease.
type Config struct {
	// Create, Get and Update access the platform.
	Create func(context.Context, savorypin.Object) (savorypin.Object, error)
	Get    func(context.Context, savorypin.Key) (savorypin.Object, error)
	Update func(context.Context, savorypin.Object) (savorypin.Object, error)
	// Duration is how long the lease lasts after a renewal.
	Duration time.Duration
	// Holder is the member that wants the lease.
	Holder string
	// Incarnation is the incarnation of the member.
	Incarnation int64
	// Name is the name of the duty.
	Name string
	// Now is the clock; it must be monotonic.
	Now func() time.Time
}

// Lease is one daemon's view of a duty. It is safe for concurrent use.
type Lease struct {
	cfg Config

	mu      sync.Mutex
	fence   int64
	seen    int64
	seenAt  time.Time
	until   time.Time
	version int64
}

// New returns a lease that is not held.
func New(cfg Config) *Lease {
	return &Lease{cfg: cfg}
}

// Held returns the fencing number if the duty is held at this moment. It must
// be asked anew before each thing that only the holder may do.
func (l *Lease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == 0 || !l.cfg.Now().Before(l.until) {
		return 0, false
	}
	return l.fence, true
}

// Step renews the lease, takes it over if it is free, or looks at it. It is to
// be called about three times in each duration.
func (l *Lease) Step(ctx context.Context) error {
	started := l.cfg.Now()
	key := savorypin.Key{Kind: savorypin.KindLease, Name: l.cfg.Name}
	held, err := l.cfg.Get(ctx, key)
	if errors.Is(err, savorypinplatform.ErrNotFound) {
		return l.write(ctx, started, savorypin.Object{Key: key}, 1, l.cfg.Create)
	}
	if err != nil {
		return fmt.Errorf("look at lease %s: %w", l.cfg.Name, err)
	}
	spec, err := savorypin.DecodeStrict[Spec](held.Spec)
	if err != nil {
		return fmt.Errorf("decode lease %s: %w", l.cfg.Name, err)
	}
	switch {
	case l.mine(spec):
		return l.write(ctx, started, held, spec.Fence, l.cfg.Update)
	case spec.Holder == "" || l.lapsed(held.Version, spec):
		return l.write(ctx, started, held, spec.Fence+1, l.cfg.Update)
	default:
		return nil
	}
}

// GiveUp ends the lease, so that another daemon may take it over at once.
func (l *Lease) GiveUp(ctx context.Context) error {
	l.mu.Lock()
	fence, version := l.fence, l.version
	l.fence = 0
	l.mu.Unlock()
	if fence == 0 {
		return nil
	}
	o, err := l.object(savorypin.Object{
		Key:     savorypin.Key{Kind: savorypin.KindLease, Name: l.cfg.Name},
		Version: version,
	}, Spec{DurationMS: l.cfg.Duration.Milliseconds(), Fence: fence})
	if err != nil {
		return err
	}
	if _, err := l.cfg.Update(ctx, o); err != nil {
		return fmt.Errorf("give up lease %s: %w", l.cfg.Name, err)
	}
	return nil
}

// mine reports whether the record names this incarnation of this daemon.
func (l *Lease) mine(spec Spec) bool {
	return spec.Holder == l.cfg.Holder && spec.Incarnation == l.cfg.Incarnation
}

// lapsed reports whether the record has not changed for its duration, counted
// from when this daemon first saw it.
func (l *Lease) lapsed(version int64, spec Spec) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen != version {
		l.seen = version
		l.seenAt = l.cfg.Now()
		return false
	}
	return l.cfg.Now().Sub(l.seenAt) > time.Duration(spec.DurationMS)*time.Millisecond
}

func (l *Lease) write(
	ctx context.Context,
	started time.Time,
	o savorypin.Object,
	fence int64,
	write func(context.Context, savorypin.Object) (savorypin.Object, error),
) error {
	o, err := l.object(o, Spec{
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
		// If only the answer was lost, the next step finds the own record.
		return fmt.Errorf("write lease %s: %w", l.cfg.Name, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = fence
	l.until = started.Add(l.cfg.Duration)
	l.version = written.Version
	return nil
}

func (l *Lease) object(o savorypin.Object, spec Spec) (savorypin.Object, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return o, fmt.Errorf("encode lease %s: %w", l.cfg.Name, err)
	}
	o.By = l.cfg.Holder
	o.Order = uuid.NewString()
	o.Spec = data
	return o, nil
}
