// Package savorypinretry retries and hedges idempotent calls. The caller's Attempt
// decides whether a further try may be made, and so can limit the extra load by a
// budget.
package savorypinretry

import (
	"context"
	"errors"
	"time"
)

// ErrNoEndpoint is returned if no first try could be made.
var ErrNoEndpoint = errors.New("no endpoint is live")

// Config configures the retries and hedges of Do.
type Config struct {
	// Backoff returns the delay before a retry, given the number of tries made so far,
	// including hedges.
	Backoff func(tries int) time.Duration
	// Delay estimates the duration after which a call counts as slow and is hedged.
	Delay *Quantile
	// MaxTries is the maximum number of tries per call, including the first.
	MaxTries int
	// Now returns the current time.
	Now func() time.Time
	// Wait returns a channel that receives after a duration, like time.After.
	Wait func(time.Duration) <-chan time.Time
}

// Reason is the reason for a try.
type Reason string

// The reasons of tries.
const (
	// ReasonFirst is the first try.
	ReasonFirst Reason = "first"
	// ReasonHedge is a try in parallel to one that is slow.
	ReasonHedge Reason = "hedge"
	// ReasonRetry is a try after one that failed.
	ReasonRetry Reason = "retry"
)

// Attempt prepares one try and returns the function that runs it. It returns false if
// there is no other endpoint to try, or if no try is allowed now.
type Attempt[T any] func(ctx context.Context, reason Reason) (run func() (T, error), ok bool)

// tryResult is the result of a try.
type tryResult[T any] struct {
	err   error
	value T
}

// hedgedCall is the state of one call with its tries.
type hedgedCall[T any] struct {
	attempt  Attempt[T]
	cfg      Config
	ctx      context.Context //nolint:containedctx // The struct lives as long as the call, and ctx bounds its tries.
	inFlight int
	results  chan tryResult[T]
	tries    int
}

// Do makes tries until one succeeds, no further one is possible, or ctx ends. It
// returns the value of the first success or the error of the last failure, and cancels
// the remaining tries. It returns the error of ctx if ctx ends while a try is in flight,
// and ErrNoEndpoint if no try could be made.
func Do[T any](ctx context.Context, cfg Config, attempt Attempt[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedgedCall[T]{attempt: attempt, cfg: cfg, ctx: ctx, results: make(chan tryResult[T], cfg.MaxTries)}
	var last tryResult[T]
	if !h.startTry(ReasonFirst) {
		return last.value, ErrNoEndpoint
	}
	hedgeTimer := cfg.Wait(cfg.Delay.Estimate())
	for {
		select {
		case last = <-h.results:
			h.inFlight--
			if last.err == nil {
				return last.value, nil
			}
			if h.inFlight == 0 && !h.retry() {
				return last.value, last.err
			}
		case <-hedgeTimer:
			hedgeTimer = nil
			// The try is slower than the estimate. This is observed now, because the try is
			// cancelled if the hedge succeeds first, and its duration then never observed.
			cfg.Delay.Observe(cfg.Delay.Estimate() + 1)
			h.startTry(ReasonHedge)
		case <-ctx.Done():
			return last.value, ctx.Err()
		}
	}
}

// retry starts another try after the backoff. It reports whether the try was started.
func (h *hedgedCall[T]) retry() bool {
	select {
	case <-h.cfg.Wait(h.cfg.Backoff(h.tries)):
	case <-h.ctx.Done():
		return false
	}
	return h.startTry(ReasonRetry)
}

// startTry starts a try, unless MaxTries is reached or attempt refuses it. It reports
// whether the try was started.
func (h *hedgedCall[T]) startTry(reason Reason) bool {
	if h.tries >= h.cfg.MaxTries {
		return false
	}
	run, ok := h.attempt(h.ctx, reason)
	if !ok {
		return false
	}
	h.inFlight++
	h.tries++
	started := h.cfg.Now()
	go func() {
		value, err := run()
		if err == nil {
			h.cfg.Delay.Observe(h.cfg.Now().Sub(started))
		}
		h.results <- tryResult[T]{err: err, value: value}
	}()
	return true
}
