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

// Limits of the calls that are under way at an entry.
const (
	// maxCallBytes bounds the bodies of all calls together, in bytes.
	maxCallBytes = 64 << 20
	// maxCalls is the largest number of calls.
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
	// Replayed says that the answer is that of an earlier run.
	Replayed bool
}

// Call calls a plain service. A call of a route that is not idempotent runs at
// most once for each key.
func (e *Entry) Call(ctx context.Context, call Call) (CallAnswer, error) {
	answer, err := e.call(ctx, call)
	if err != nil {
		e.refusals.Note(call.Organisation, err, time.Now())
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
		return none, notRun(e.cfg.Settings.Name, errors.New("entry is not ready"))
	}
	admission, err := e.admit(call.Organisation, 0)
	if err != nil {
		return none, err
	}
	if !e.beginCall(call) {
		admission.Cancel()
		return none, notRun(e.cfg.Settings.Name, errors.New("too many calls are under way"))
	}
	end := func() {
		e.endCall(call)
		admission.Release(0)
	}
	deadline := time.Now().Add(timeout(call.Timeout, spec))
	if !route.Idempotent {
		return e.callOnce(ctx, call, route, deadline, end)
	}
	defer end()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return e.callIdempotent(ctx, call, route)
}

// beginCall counts a call and reports whether there is room for it.
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

// notRun returns the refusal of a call that nothing was sent of.
func notRun(object string, err error) error {
	return savorypin.Errorf(savorypin.KindNotRun, object, "%w", err).WithRetryAfter(time.Second)
}

// pass hands a call to the agent beside an endpoint.
func (e *Entry) pass(
	ctx context.Context,
	candidate savorypinroute.Candidate,
	call Call,
	route savorypin.RouteSpec,
	ticket *savorypinclaim.Ticket,
) (savorypinmember.PlainAnswer, error) {
	deadline, _ := ctx.Deadline()
	message := savorypinmember.PlainCall{
		Body:        call.Body,
		ContentType: call.ContentType,
		Deadline:    deadline,
		Endpoint:    candidate.Endpoint().Name,
		Path:        route.Path,
		Ticket:      ticket,
	}
	if ticket != nil {
		message.Key = call.Key
	}
	candidate.Begin()
	if _, err := e.daemon.Transport().Get(ctx, candidate.Member().Address); err != nil {
		candidate.Done(err)
		return savorypinmember.PlainAnswer{}, notRun(candidate.Member().Name, err)
	}
	answer, err := savorypinmember.Call[savorypinmember.PlainCall, savorypinmember.PlainAnswer](
		ctx, e.daemon.Transport(), candidate.Member().Address, savorypinmember.FrameCall, message)
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
