package savorypinentry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinretry"
	"savorypin/internal/savorypinroute"
)

// Retry and hedging policy of idempotent calls.
const (
	hedgeQuantile     = 0.95
	initialHedgeDelay = 500 * time.Millisecond
	maxHedgeDelay     = 5 * time.Second
	minHedgeDelay     = 10 * time.Millisecond
	maxCallAttempts   = 3
	initialRetryDelay = 25 * time.Millisecond
)

// errEndpointStatus means that an endpoint answered with a server error status.
var errEndpointStatus = errors.New("endpoint failed")

// hedgeDelays estimates, for each route, the delay after which a call is hedged.
type hedgeDelays struct {
	mu     sync.Mutex
	delays map[routeKey]*savorypinretry.Quantile
}

type routeKey struct {
	route   string
	service string
}

func newHedgeDelays() *hedgeDelays {
	return &hedgeDelays{delays: map[routeKey]*savorypinretry.Quantile{}}
}

// retryConfig returns the retry and hedging policy of a call's route. Only configured
// routes get here, so the map stays small.
func (h *hedgeDelays) retryConfig(call Call) savorypinretry.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := routeKey{route: call.Route, service: call.Service}
	delay, ok := h.delays[key]
	if !ok {
		delay = savorypinretry.NewQuantile(savorypinretry.QuantileConfig{
			Fraction: hedgeQuantile,
			Initial:  initialHedgeDelay,
			Max:      maxHedgeDelay,
			Min:      minHedgeDelay,
		})
		h.delays[key] = delay
	}
	return savorypinretry.Config{
		Backoff:  func(tries int) time.Duration { return initialRetryDelay << (tries - 1) },
		Delay:    delay,
		MaxTries: maxCallAttempts,
		Now:      time.Now,
		Wait:     time.After,
	}
}

// purposeByReason maps the reason for an attempt to the purpose that routing and
// metrics use.
var purposeByReason = map[savorypinretry.Reason]savorypin.Purpose{
	savorypinretry.ReasonFirst: savorypin.PurposeFirst,
	savorypinretry.ReasonHedge: savorypin.PurposeHedge,
	savorypinretry.ReasonRetry: savorypin.PurposeRetry,
}

// callIdempotent sends a call to an endpoint, and retries and hedges it on others
// within the retry budget of the entry, until one answers.
func (e *Entry) callIdempotent(ctx context.Context, call Call, route savorypin.RouteSpec) (CallAnswer, error) {
	avoid := map[string]bool{}
	var placementErr error
	attempt := func(ctx context.Context, reason savorypinretry.Reason) (func() (savorypinmember.PlainAnswer, error), bool) {
		candidate, err := e.placeAttempt(ctx, call, reason, avoid)
		if err != nil {
			placementErr = err
			return nil, false
		}
		avoid[candidate.Endpoint().Name] = true
		e.countCall("idempotent." + string(reason))
		return func() (savorypinmember.PlainAnswer, error) {
			return e.sendIdempotent(ctx, candidate, call, route, purposeByReason[reason])
		}, true
	}
	answer, err := savorypinretry.Do(ctx, e.hedgeDelays.retryConfig(call), attempt)
	switch {
	case err == nil, errors.Is(err, errEndpointStatus):
		return CallAnswer{Answer: answer}, nil
	case errors.Is(err, savorypinretry.ErrNoEndpoint):
		return CallAnswer{}, placementErr
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return CallAnswer{}, savorypin.Errorf(savorypin.KindUnknown, call.Service, "%w", err)
	default:
		return CallAnswer{}, err
	}
}

// placeAttempt chooses an endpoint that has not been tried yet. If none can take the
// call, a retry may use one that has been tried; a hedge may not.
func (e *Entry) placeAttempt(
	ctx context.Context,
	call Call,
	reason savorypinretry.Reason,
	avoid map[string]bool,
) (savorypinroute.Candidate, error) {
	wait := e.callWait(ctx, call.Organisation)
	candidate, err := e.place(e.callRouteRequest(call.Service, purposeByReason[reason], avoid), wait)
	if err != nil && reason == savorypinretry.ReasonRetry && !errors.Is(err, errRetryBudget) {
		return e.place(e.callRouteRequest(call.Service, purposeByReason[reason], nil), wait)
	}
	return candidate, err
}

func (e *Entry) sendIdempotent(
	ctx context.Context,
	candidate savorypinroute.Candidate,
	call Call,
	route savorypin.RouteSpec,
	purpose savorypin.Purpose,
) (savorypinmember.PlainAnswer, error) {
	started := time.Now()
	answer, err := e.sendCall(ctx, candidate, call, route, nil)
	if err == nil && answer.Status >= http.StatusInternalServerError {
		err = fmt.Errorf("%s: %w: status %d", candidate.Endpoint().Name, errEndpointStatus, answer.Status)
	}
	if ctx.Err() == nil {
		e.observeCall(candidate, call, purpose, started, err)
	}
	return answer, err
}
