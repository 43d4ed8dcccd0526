package savorypinplacement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinplatform"
)

// ErrNoSlot means that as many loads as the weight store bears are under way.
var ErrNoSlot = errors.New("weight store has no free slot")

// slotsKey names the object that holds the slots of the weight store.
var slotsKey = savorypin.Key{Kind: savorypin.KindLease, Name: "weight-store"}

// Holder is one load that is under way.
type Holder struct {
	// Endpoint is the endpoint that loads.
	Endpoint string `json:"endpoint"`
	// Until is when the slot is free again if nobody gives it back.
	Until time.Time `json:"until"`
}

// SlotsSpec is the record of the slots on the platform.
type SlotsSpec struct {
	Holders []Holder `json:"holders"`
}

// SlotsConfig configures Slots.
type SlotsConfig struct {
	// Create, Get and Update access the platform.
	Create func(context.Context, savorypin.Object) (savorypin.Object, error)
	Get    func(context.Context, savorypin.Key) (savorypin.Object, error)
	Update func(context.Context, savorypin.Object) (savorypin.Object, error)
	// Limit is the number of loads at one time over all services.
	Limit int
	// Now is the clock. Clocks of hosts may differ; a slot then frees early or
	// late, which costs the weight store's rate and no correctness.
	Now func() time.Time
	// Timeout is how long a load may take.
	Timeout time.Duration
}

// Slots bounds the loads that are under way over all controllers.
type Slots struct {
	cfg SlotsConfig
}

// NewSlots returns the slots of the weight store.
func NewSlots(cfg SlotsConfig) *Slots {
	return &Slots{cfg: cfg}
}

// Acquire takes a slot for an endpoint. It returns ErrNoSlot if none is free.
func (s *Slots) Acquire(ctx context.Context, endpoint string) error {
	return s.change(ctx, func(holders []Holder) ([]Holder, error) {
		holders = remove(holders, endpoint)
		if len(holders) >= s.cfg.Limit {
			return nil, ErrNoSlot
		}
		return append(holders, Holder{Endpoint: endpoint, Until: s.cfg.Now().Add(s.cfg.Timeout)}), nil
	})
}

// Release gives the slot of an endpoint back.
func (s *Slots) Release(ctx context.Context, endpoint string) error {
	return s.change(ctx, func(holders []Holder) ([]Holder, error) {
		return remove(holders, endpoint), nil
	})
}

// change replaces the holders that have time left by what edit makes of them.
func (s *Slots) change(ctx context.Context, edit func([]Holder) ([]Holder, error)) error {
	o, err := s.cfg.Get(ctx, slotsKey)
	write := s.cfg.Update
	if errors.Is(err, savorypinplatform.ErrNotFound) {
		o = savorypin.Object{Key: slotsKey, Spec: json.RawMessage(`{}`)}
		write = s.cfg.Create
	} else if err != nil {
		return fmt.Errorf("read %s: %w", slotsKey, err)
	}
	spec, err := savorypin.DecodeStrict[SlotsSpec](o.Spec)
	if err != nil {
		return fmt.Errorf("decode %s: %w", slotsKey, err)
	}
	live := slices.DeleteFunc(spec.Holders, func(h Holder) bool { return !s.cfg.Now().Before(h.Until) })
	spec.Holders, err = edit(live)
	if err != nil {
		return err
	}
	if o.Spec, err = json.Marshal(spec); err != nil {
		return fmt.Errorf("encode %s: %w", slotsKey, err)
	}
	o.Order = uuid.NewString()
	if _, err := write(ctx, o); err != nil {
		// If only the answer was lost, the slot frees after its timeout.
		return fmt.Errorf("write %s: %w", slotsKey, err)
	}
	return nil
}

func remove(holders []Holder, endpoint string) []Holder {
	return slices.DeleteFunc(holders, func(h Holder) bool { return h.Endpoint == endpoint })
}
