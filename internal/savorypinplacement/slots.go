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

// ErrNoSlot means that the maximum number of loads from the weight store is under way.
var ErrNoSlot = errors.New("weight store has no free slot")

// slotsKey is the key of the object that holds the slots of the weight store.
var slotsKey = savorypin.Key{Kind: savorypin.KindLease, Name: "weight-store"}

// Holder is an endpoint that holds a slot for a load under way.
type Holder struct {
	// Endpoint is the name of the endpoint.
	Endpoint string `json:"endpoint"`
	// Until is when the slot expires unless it is released before.
	Until time.Time `json:"until"`
}

// SlotsSpec is the spec of the platform's object that holds the slots.
type SlotsSpec struct {
	Holders []Holder `json:"holders"`
}

// LoadSlotsConfig configures LoadSlots.
type LoadSlotsConfig struct {
	// Create, Get and Update access the platform.
	Create func(context.Context, savorypin.Object) (savorypin.Object, error)
	Get    func(context.Context, savorypin.Key) (savorypin.Object, error)
	Update func(context.Context, savorypin.Object) (savorypin.Object, error)
	// Limit is the maximum number of concurrent loads over all services.
	Limit int
	// Now is the clock. The clocks of hosts may differ; a slot then expires early or
	// late, which affects the load rate on the weight store but not correctness.
	Now func() time.Time
	// Timeout is the time after which a slot that was not released expires.
	Timeout time.Duration
}

// LoadSlots limits the concurrent loads from the weight store over all controllers.
type LoadSlots struct {
	cfg LoadSlotsConfig
}

// NewLoadSlots returns the slots of the weight store.
func NewLoadSlots(cfg LoadSlotsConfig) *LoadSlots {
	return &LoadSlots{cfg: cfg}
}

// Acquire acquires a slot for an endpoint, or renews the one that it holds. It returns
// ErrNoSlot if none is free, and other errors if the platform's object can't be read or
// written.
func (s *LoadSlots) Acquire(ctx context.Context, endpoint string) error {
	return s.updateHolders(ctx, func(holders []Holder) ([]Holder, error) {
		holders = withoutEndpoint(holders, endpoint)
		if len(holders) >= s.cfg.Limit {
			return nil, ErrNoSlot
		}
		return append(holders, Holder{Endpoint: endpoint, Until: s.cfg.Now().Add(s.cfg.Timeout)}), nil
	})
}

// Release releases the slot of an endpoint. It fails if the platform's object can't be
// read or written; the slot then expires.
func (s *LoadSlots) Release(ctx context.Context, endpoint string) error {
	return s.updateHolders(ctx, func(holders []Holder) ([]Holder, error) {
		return withoutEndpoint(holders, endpoint), nil
	})
}

// updateHolders drops the expired holders, applies edit to the others and writes the
// result.
func (s *LoadSlots) updateHolders(ctx context.Context, edit func([]Holder) ([]Holder, error)) error {
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
	active := slices.DeleteFunc(spec.Holders, func(h Holder) bool { return !s.cfg.Now().Before(h.Until) })
	spec.Holders, err = edit(active)
	if err != nil {
		return err
	}
	if o.Spec, err = json.Marshal(spec); err != nil {
		return fmt.Errorf("encode %s: %w", slotsKey, err)
	}
	o.Order = uuid.NewString()
	if _, err := write(ctx, o); err != nil {
		// If only the answer was lost, the slot expires after its timeout.
		return fmt.Errorf("write %s: %w", slotsKey, err)
	}
	return nil
}

func withoutEndpoint(holders []Holder, endpoint string) []Holder {
	return slices.DeleteFunc(holders, func(h Holder) bool { return h.Endpoint == endpoint })
}
