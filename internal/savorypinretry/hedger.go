// Package savorypinretry decides when an idempotent call is tried again or
// hedged. Whether a try may be made at all, its attempt says; that is where a
// budget bounds the extra load.
package savorypinretry

import (
	"context"
	"errors"
	"time"
)

// ErrNoEndpoint means that there was no endpoint to make a try on.
var ErrNoEndpoint = errors.New("no endpoint is live")

// HedgerConfig configures a Hedger.
type HedgerConfig struct {
	// Backoff returns how long to wait before the given retry, from 1.
	Backoff func(retry int) time.Duration
	// Delay estimates after how long a call is slow.
	Delay *Quantile
	// MaxTries is the largest number of tries of one call.
	MaxTries int
	// Now is the clock.
	Now func() time.Time
	// Wait returns a channel that receives after a duration.
	Wait func(time.Duration) <-chan time.Time
}

// Reason says why a try is made.
type Reason string

// The reasons of tries.
const (
	// ReasonFirst is the first try.
	ReasonFirst Reason = "first"
	// ReasonHedge is a try beside one that is slow.
	ReasonHedge Reason = "hedge"
	// ReasonRetry is a try after one that failed.
	ReasonRetry Reason = "retry"
)

// Attempt makes one try. It reports false if there is no other endpoint to
// make it on, or if it may not be made now.
type Attempt[T any] func(ctx context.Context, reason Reason) (run func() (T, error), ok bool)

// result is how a try ended.
type result[T any] struct {
	err   error
	value T
}

// hedged is one call that is being tried.
type hedged[T any] struct {
	attempt Attempt[T]
	cfg     HedgerConfig
	ctx     context.Context //nolint:containedctx // It is the life of the call.
	open    int
	results chan result[T]
	tries   int
}

// Do makes tries until one succeeds, none is left or allowed, or ctx ends, and
// returns the first success or the last failure. The other tries are
// cancelled. It returns ErrNoEndpoint if no try could be made.
func Do[T any](ctx context.Context, cfg HedgerConfig, attempt Attempt[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedged[T]{attempt: attempt, cfg: cfg, ctx: ctx, results: make(chan result[T], cfg.MaxTries)}
	var last result[T]
	if !h.start(ReasonFirst) {
		return last.value, ErrNoEndpoint
	}
	slow := cfg.Wait(cfg.Delay.Estimate())
	for {
		select {
		case last = <-h.results:
			h.open--
			if last.err == nil {
				return last.value, nil
			}
			if h.open == 0 && !h.retry() {
				return last.value, last.err
			}
		case <-slow:
			slow = nil
			cfg.Delay.Observe(cfg.Delay.Estimate() + 1)
			h.start(ReasonHedge)
		case <-ctx.Done():
			return last.value, ctx.Err()
		}
	}
}

// retry makes another try after the backoff. It reports false if there is
// none.
func (h *hedged[T]) retry() bool {
	select {
	case <-h.cfg.Wait(h.cfg.Backoff(h.tries)):
	case <-h.ctx.Done():
		return false
	}
	return h.start(ReasonRetry)
}

// start makes a try if there is one left and it is allowed.
func (h *hedged[T]) start(reason Reason) bool {
	if h.tries >= h.cfg.MaxTries {
		return false
	}
	run, ok := h.attempt(h.ctx, reason)
	if !ok {
		return false
	}
	h.open++
	h.tries++
	started := h.cfg.Now()
	go func() {
		value, err := run()
		if err == nil {
			h.cfg.Delay.Observe(h.cfg.Now().Sub(started))
		}
		h.results <- result[T]{err: err, value: value}
	}()
	return true
}
