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

// Limits on concurrent calls at an entry.
const (
	// maxCallBytes bounds the request bodies of all running calls together, in bytes.
	maxCallBytes = 64 << 20
	// maxCalls is the maximum number of running calls.
	maxCalls = 8192
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
	// Replayed reports whether the answer is the stored answer of an earlier run.
	Replayed bool
}

// Call calls a plain service. A call of a route that is not idempotent runs at
// most once for each key.
func (e *Entry) Call(ctx context.Context, call Call) (CallAnswer, error) {
	answer, err := e.call(ctx, call)
	if err != nil {
		e.refusals.Record(call.Organisation, err, time.Now())
	}
	return answer, err
}

func (e *Entry) call(ctx context.Context, call Call) (CallAnswer, error) {
	var none CallAnswer
	spec, ok := e.daemon.Config().Service(call.Service)
	if !ok || spec.Type != savorypin.ServicePlain {
		return none, savorypin.Errorf(savorypin.KindNotFound, call.Service, "no such plain service")
	}
	route, ok := e.daemon.Config().Route(call.Service, call.Route)
	if !ok {
		return none, savorypin.Errorf(savorypin.KindNotFound, call.Service+"/"+call.Route, "no such route")
	}
	if !route.Idempotent && call.Key == "" {
		return none, savorypin.Errorf(savorypin.KindInvalid, call.Service+"/"+call.Route,
			"route is not idempotent and needs an Idempotency-Key")
	}
	if !e.daemon.Ready() {
		return none, notRunError(e.cfg.Settings.Name, errors.New("entry is not ready"))
	}
	admission, err := e.admit(call.Organisation, 0)
	if err != nil {
		return none, err
	}
	if !e.beginCall(call) {
		admission.Cancel()
		return none, notRunError(e.cfg.Settings.Name, errors.New("too many calls are under way"))
	}
	release := func() {
		e.endCall(call)
		admission.Release(0)
	}
	deadline := time.Now().Add(requestTimeout(call.Timeout, spec))
	if !route.Idempotent {
		return e.callOnce(ctx, call, route, deadline, release)
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return e.callIdempotent(ctx, call, route)
}

// beginCall reserves capacity for a call. It reports false if the limit on calls or on
// their bytes is reached.
func (e *Entry) beginCall(call Call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls >= maxCalls || e.callBytes+len(call.Body) > maxCallBytes {
		e.countCall("full")
		return false
	}
	e.calls++
	e.callBytes += len(call.Body)
	return true
}

func (e *Entry) endCall(call Call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls--
	e.callBytes -= len(call.Body)
}

// notRunError returns the error for a call of which nothing was sent to an endpoint.
func notRunError(object string, err error) error {
	return savorypin.Errorf(savorypin.KindNotRun, object, "%w", err).WithRetryAfter(time.Second)
}

// sendCall sends a call to the agent of an endpoint. The claimed attempt is nil if the
// call may be repeated.
func (e *Entry) sendCall(
	ctx context.Context,
	candidate savorypinroute.Candidate,
	call Call,
	route savorypin.RouteSpec,
	claimed *savorypinclaim.ClaimedAttempt,
) (savorypinmember.PlainAnswer, error) {
	deadline, _ := ctx.Deadline()
	message := savorypinmember.PlainCall{
		Body:        call.Body,
		ContentType: call.ContentType,
		Deadline:    deadline,
		Endpoint:    candidate.Endpoint().Name,
		Path:        route.Path,
		Claimed:     claimed,
	}
	if claimed != nil {
		message.Key = call.Key
	}
	candidate.Begin()
	if _, err := e.daemon.Transport().Get(ctx, candidate.Member().Address); err != nil {
		candidate.Done(err)
		return savorypinmember.PlainAnswer{}, notRunError(candidate.Member().Name, err)
	}
	answer, err := savorypinmember.Call[savorypinmember.PlainCall, savorypinmember.PlainAnswer](
		ctx, e.daemon.Transport(), candidate.Member().Address, savorypinmember.FrameCall, message)
	candidate.Done(endpointFault(answer, err))
	if err == nil {
		return answer, nil
	}
	var agentErr *savorypin.Error
	if errors.As(err, &agentErr) {
		return answer, agentErr
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
