package savorypinentry

import (
	"context"
	"errors"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinroute"
)

// Call is a call of a plain service.
type Call struct {
	Body        []byte
	ContentType string
	Key         string
	// Organisation is the organisation of the caller.
	Organisation string
	Route        string
	Service      string
	// Timeout is how long the caller waits; zero if the caller states none.
	Timeout time.Duration
}

// CallAnswer is the answer of a call.
type CallAnswer struct {
	Answer savorypinmember.PlainAnswer
	// Replayed says that the answer is that of an earlier run.
	Replayed bool
}

// Call calls a plain service. A call of a route that is not idempotent runs at
// most once for each key.
func (e *Entry) Call(ctx context.Context, call Call) (CallAnswer, error) {
	var none CallAnswer
	spec, ok := e.daemon.Config().Service(call.Service)
	if !ok || spec.Type != savorypin.ServicePlain {
		return none, savorypin.Errorf(savorypin.KindNotFound, call.Service, "no such plain service")
	}
	route, ok := e.daemon.Config().Route(call.Service, call.Route)
	if !ok {
		return none, savorypin.Errorf(savorypin.KindNotFound, call.Service+"/"+call.Route, "no such route")
	}
	if !e.daemon.Ready() {
		return none, savorypin.Errorf(savorypin.KindNotRun, e.cfg.Settings.Name, "entry is not ready").WithRetryAfter(time.Second)
	}
	admission, err := e.admit(call.Organisation, 0)
	if err != nil {
		return none, err
	}
	defer admission.Release(0)
	ctx, cancel := context.WithTimeout(ctx, timeout(call.Timeout, spec))
	defer cancel()
	e.countCall(1)
	defer e.countCall(-1)
	if route.Idempotent {
		return e.callIdempotent(ctx, call, route)
	}
	if call.Key == "" {
		return none, savorypin.Errorf(savorypin.KindInvalid, call.Service+"/"+call.Route,
			"route is not idempotent and needs an Idempotency-Key")
	}
	return e.callOnce(ctx, call, route)
}

func (e *Entry) countCall(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls += n
}

// callIdempotent tries one endpoint after the other.
func (e *Entry) callIdempotent(ctx context.Context, call Call, route savorypin.RouteSpec) (CallAnswer, error) {
	need := e.callNeed(call.Service, savorypin.PurposeFirst, map[string]bool{})
	var last error
	for ctx.Err() == nil {
		candidate, err := e.place(need, e.callWait(ctx, call.Organisation))
		if err != nil {
			return CallAnswer{}, errors.Join(last, err)
		}
		started := time.Now()
		answer, err := e.pass(ctx, candidate, call, route, "")
		e.observeCall(candidate, call, need.Purpose, started, err)
		if err == nil {
			return CallAnswer{Answer: answer}, nil
		}
		last = err
		need.Avoid[candidate.Endpoint().Name] = true
		need.Purpose = savorypin.PurposeRetry
	}
	if last == nil {
		return CallAnswer{}, savorypin.Errorf(savorypin.KindNotRun, call.Service, "no endpoint is live").WithRetryAfter(time.Second)
	}
	return CallAnswer{}, last
}

// callOnce claims the key before it passes the call on.
func (e *Entry) callOnce(ctx context.Context, call Call, route savorypin.RouteSpec) (CallAnswer, error) {
	candidate, err := e.place(e.callNeed(call.Service, savorypin.PurposeFirst, nil), e.callWait(ctx, call.Organisation))
	if err != nil {
		return CallAnswer{}, err
	}
	claim := savorypinclaim.Claim{
		Endpoint: candidate.Endpoint().Name,
		Key:      call.Key,
		Member:   candidate.Member().Name,
		Service:  call.Service,
	}
	version, err := e.book.Claim(ctx, claim)
	switch {
	case errors.Is(err, savorypinclaim.ErrTaken):
		return e.replay(ctx, call.Service, call.Key)
	case err != nil:
		return CallAnswer{}, savorypin.Errorf(savorypin.KindNotRun, call.Key, "%w", err).WithRetryAfter(time.Second)
	}
	started := time.Now()
	answer, err := e.pass(ctx, candidate, call, route, call.Key)
	e.observeCall(candidate, call, savorypin.PurposeFirst, started, err)
	if savorypin.KindOf(err) == savorypin.KindNotRun {
		e.release(ctx, claim, version)
		return CallAnswer{}, err
	}
	if err != nil {
		return CallAnswer{}, err
	}
	e.settle(ctx, claim, version, answer)
	return CallAnswer{Answer: answer}, nil
}

// pass hands a call to the agent beside an endpoint.
func (e *Entry) pass(
	ctx context.Context,
	candidate savorypinroute.Candidate,
	call Call,
	route savorypin.RouteSpec,
	key string,
) (savorypinmember.PlainAnswer, error) {
	deadline, _ := ctx.Deadline()
	candidate.Begin()
	answer, err := savorypinmember.Call[savorypinmember.PlainCall, savorypinmember.PlainAnswer](
		ctx, e.daemon.Transport(), candidate.Member().Address, savorypinmember.FrameCall,
		savorypinmember.PlainCall{
			Body:        call.Body,
			ContentType: call.ContentType,
			Deadline:    deadline,
			Endpoint:    candidate.Endpoint().Name,
			Key:         key,
			Path:        route.Path,
		})
	candidate.Done(endpointFault(answer, err))
	if err == nil {
		return answer, nil
	}
	var e2 *savorypin.Error
	if errors.As(err, &e2) {
		return answer, e2
	}
	return answer, savorypin.Errorf(savorypin.KindUnknown, candidate.Endpoint().Name, "%w", err)
}

func (e *Entry) observeCall(
	candidate savorypinroute.Candidate,
	call Call,
	purpose savorypin.Purpose,
	started time.Time,
	err error,
) {
	o := observationOf(candidate, purpose, err)
	o.FirstToken = time.Since(started)
	o.Organisation = call.Organisation
	o.Route = call.Route
	o.Service = call.Service
	e.observe(o)
}

// settle writes the outcome of a claim. If that fails, the agent still knows
// the answer, and a repeated key asks it.
func (e *Entry) settle(ctx context.Context, claim savorypinclaim.Claim, version int64, answer savorypinmember.PlainAnswer) {
	claim.Answer = answer.Body
	claim.ContentType = answer.ContentType
	claim.Outcome = savorypinclaim.OutcomeDone
	claim.Status = answer.Status
	if err := e.book.Settle(ctx, claim, version); err != nil {
		e.daemon.Logger().Warn("Outcome not written", "service", claim.Service, "err", err)
	}
}

func (e *Entry) release(ctx context.Context, claim savorypinclaim.Claim, version int64) {
	if err := e.book.Release(ctx, claim, version); err != nil {
		e.daemon.Logger().Warn("Claim not released", "service", claim.Service, "err", err)
	}
}

// replay returns the answer of an earlier run of a key.
func (e *Entry) replay(ctx context.Context, service, key string) (CallAnswer, error) {
	outcome, err := e.Outcome(ctx, service, key)
	if err != nil {
		return CallAnswer{}, err
	}
	switch {
	case outcome.Answer != nil:
		return CallAnswer{Answer: *outcome.Answer, Replayed: true}, nil
	case outcome.NotRun:
		return CallAnswer{}, savorypin.Errorf(savorypin.KindNotRun, key, "key has not run").WithRetryAfter(time.Second)
	default:
		return CallAnswer{}, savorypin.Errorf(savorypin.KindUnknown, key, "outcome of the key is not known")
	}
}

// Outcome is what is known of a key.
type Outcome struct {
	// Answer is the answer of the endpoint, if the key has run.
	Answer *savorypinmember.PlainAnswer
	// NotRun says that the key has not run and will not run.
	NotRun bool
}

// Outcome tells what is known of a key.
func (e *Entry) Outcome(ctx context.Context, service, key string) (Outcome, error) {
	claim, version, ok, err := e.book.Read(ctx, service, key)
	if err != nil {
		return Outcome{}, savorypin.Errorf(savorypin.KindUnknown, key, "%w", err)
	}
	if !ok {
		return Outcome{NotRun: true}, nil
	}
	if claim.Outcome == savorypinclaim.OutcomeDone {
		return Outcome{Answer: &savorypinmember.PlainAnswer{
			Body:        claim.Answer,
			ContentType: claim.ContentType,
			Status:      claim.Status,
		}}, nil
	}
	m, ok := e.daemon.Members().Get(claim.Member)
	if !ok {
		return Outcome{}, nil
	}
	barred, err := savorypinmember.Call[savorypinmember.Bar, savorypinmember.Barred](
		ctx, e.daemon.Transport(), m.State().Address, savorypinmember.FrameBar,
		savorypinmember.Bar{Endpoint: claim.Endpoint, Key: key})
	switch {
	case err != nil:
		return Outcome{}, nil //nolint:nilerr // An agent that does not answer leaves the outcome unknown.
	case barred.Answer != nil:
		e.settle(ctx, claim, version, *barred.Answer)
		return Outcome{Answer: barred.Answer}, nil
	case barred.Passed:
		return Outcome{}, nil
	default:
		e.release(ctx, claim, version)
		return Outcome{NotRun: true}, nil
	}
}
