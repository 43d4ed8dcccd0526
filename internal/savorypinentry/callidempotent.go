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

// Policy of retries and hedges of idempotent calls.
const (
	hedgeFraction = 0.95
	hedgeInitial  = 500 * time.Millisecond
	hedgeMax      = 5 * time.Second
	hedgeMin      = 10 * time.Millisecond
	maxCallTries  = 3
	retryBackoff  = 25 * time.Millisecond
)

// errEndpointStatus means that an endpoint answered that it failed.
var errEndpointStatus = errors.New("endpoint failed")

// retryPolicies holds what is known of the routes that are called.
type retryPolicies struct {
	mu     sync.Mutex
	delays map[routeKey]*savorypinretry.Quantile
}

type routeKey struct {
	route   string
	service string
}

func newRetryPolicies() *retryPolicies {
	return &retryPolicies{delays: map[routeKey]*savorypinretry.Quantile{}}
}

// hedger returns the policy of a route. Routes are those of the configuration,
// so that there are not many.
func (p *retryPolicies) hedger(call Call) savorypinretry.HedgerConfig {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := routeKey{route: call.Route, service: call.Service}
	delay, ok := p.delays[key]
	if !ok {
		delay = savorypinretry.NewQuantile(savorypinretry.QuantileConfig{
			Fraction: hedgeFraction,
			Initial:  hedgeInitial,
			Max:      hedgeMax,
			Min:      hedgeMin,
		})
		p.delays[key] = delay
	}
	return savorypinretry.HedgerConfig{
		Backoff:  func(retry int) time.Duration { return retryBackoff << (retry - 1) },
		Delay:    delay,
		MaxTries: maxCallTries,
		Now:      time.Now,
		Wait:     time.After,
	}
}

// purposes maps the reasons of tries to the purposes of work.
var purposes = map[savorypinretry.Reason]savorypin.Purpose{
	savorypinretry.ReasonFirst: savorypin.PurposeFirst,
	savorypinretry.ReasonHedge: savorypin.PurposeHedge,
	savorypinretry.ReasonRetry: savorypin.PurposeRetry,
}

// callIdempotent tries endpoints until one answers, within the entry's
// budget of retries.
func (e *Entry) callIdempotent(ctx context.Context, call Call, route savorypin.RouteSpec) (CallAnswer, error) {
	avoid := map[string]bool{}
	var refused error
	attempt := func(ctx context.Context, reason savorypinretry.Reason) (func() (savorypinmember.PlainAnswer, error), bool) {
		candidate, err := e.placeAgain(ctx, call, reason, avoid)
		if err != nil {
			refused = err
			return nil, false
		}
		avoid[candidate.Endpoint().Name] = true
		e.countCall("idempotent." + string(reason))
		return func() (savorypinmember.PlainAnswer, error) {
			return e.tryIdempotent(ctx, candidate, call, route, purposes[reason])
		}, true
	}
	answer, err := savorypinretry.Do(ctx, e.retries.hedger(call), attempt)
	switch {
	case err == nil, errors.Is(err, errEndpointStatus):
		return CallAnswer{Answer: answer}, nil
	case errors.Is(err, savorypinretry.ErrNoEndpoint):
		return CallAnswer{}, refused
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return CallAnswer{}, savorypin.Errorf(savorypin.KindUnknown, call.Service, "%w", err)
	default:
		return CallAnswer{}, err
	}
}

// placeAgain returns an endpoint that was not tried yet. If all were tried, a
// retry may go to one of them again; a hedge may not.
func (e *Entry) placeAgain(
	ctx context.Context,
	call Call,
	reason savorypinretry.Reason,
	avoid map[string]bool,
) (savorypinroute.Candidate, error) {
	wait := e.callWait(ctx, call.Organisation)
	candidate, err := e.place(e.callNeed(call.Service, purposes[reason], avoid), wait)
	if err != nil && reason == savorypinretry.ReasonRetry && !errors.Is(err, errRetryBudget) {
		return e.place(e.callNeed(call.Service, purposes[reason], nil), wait)
	}
	return candidate, err
}

func (e *Entry) tryIdempotent(
	ctx context.Context,
	candidate savorypinroute.Candidate,
	call Call,
	route savorypin.RouteSpec,
	purpose savorypin.Purpose,
) (savorypinmember.PlainAnswer, error) {
	started := time.Now()
	answer, err := e.pass(ctx, candidate, call, route, nil)
	if err == nil && answer.Status >= http.StatusInternalServerError {
		err = fmt.Errorf("%s: %w: status %d", candidate.Endpoint().Name, errEndpointStatus, answer.Status)
	}
	if ctx.Err() == nil {
		e.observeCall(candidate, call, purpose, started, err)
	}
	return answer, err
}
