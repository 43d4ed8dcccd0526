package savorypinentry

import (
	"context"
	"errors"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinmembership"
	"savorypin/internal/savorypinroute"
)

// Timeouts of calls that run at most once.
const (
	// barWait is how long an agent waits for a running attempt to end before it
	// answers a request to bar it.
	barWait = 2 * time.Second
	// outcomeWait is how long a repeated call waits for the outcome of the first
	// before it asks the agent.
	outcomeWait = 500 * time.Millisecond
	// outcomeTimeout bounds a query for the outcome of a key.
	outcomeTimeout = 5 * time.Second
)

// callOnce runs a call at most once for its key. Once the key is claimed, the call
// continues even if its caller disconnects, so that its outcome becomes known.
func (e *Entry) callOnce(
	ctx context.Context,
	call Call,
	route savorypin.RouteSpec,
	deadline time.Time,
	release func(),
) (CallAnswer, error) {
	results := make(chan savorypinclaim.Result, 1)
	go func() {
		defer release()
		// After a panic, it is unknown whether the call ran.
		result := savorypinclaim.Result{Outcome: savorypinclaim.OutcomeUnknown}
		err := e.recoverPanic("call", func() error {
			result = e.runOnce(call, route, deadline)
			return nil
		})
		if err != nil {
			result.Err = err
		}
		results <- result
	}()
	select {
	case result := <-results:
		return toCallAnswer(call.Key, result)
	case <-ctx.Done():
		return CallAnswer{}, savorypin.Errorf(savorypin.KindUnknown, call.Key, "%w", ctx.Err())
	}
}

// runOnce runs a call at most once for its key, until the deadline.
func (e *Entry) runOnce(call Call, route savorypin.RouteSpec, deadline time.Time) savorypinclaim.Result {
	ctx, cancel := context.WithDeadline(e.runCtx, deadline)
	defer cancel()
	o := &onceCall{call: call, ctx: ctx, entry: e, route: route}
	result := e.runner.Run(ctx, o.request())
	if result.Outcome == savorypinclaim.OutcomeNotRun && o.placementErr != nil {
		result.Err = o.placementErr
	}
	if result.Mismatch {
		e.countCall("once.mismatch")
	} else {
		e.countCall("once." + string(result.Outcome))
	}
	return result
}

// onceCall is a call that runs at most once for its key.
type onceCall struct {
	call      Call
	candidate savorypinroute.Candidate
	ctx       context.Context //nolint:containedctx // Ends at the deadline of the call.
	entry     *Entry
	// placementErr is why no endpoint could be chosen; nil if one was.
	placementErr error
	route        savorypin.RouteSpec
}

// request returns the call in the form that the claim runner takes.
func (o *onceCall) request() savorypinclaim.Request {
	return savorypinclaim.Request{
		Key:  savorypinclaim.NewKeyID(o.call.Service, o.call.Key),
		Pick: o.pick,
		Send: o.send,
		Sum:  savorypinclaim.RequestSum(o.call.Route, o.call.ContentType, o.call.Body),
	}
}

func (o *onceCall) pick(avoid map[string]bool) (savorypinclaim.Attempt, bool) {
	purpose := savorypin.PurposeFirst
	if len(avoid) > 0 {
		purpose = savorypin.PurposeRetry
	}
	wait := o.entry.callWait(o.ctx, o.call.Organisation)
	candidate, err := o.entry.place(o.entry.callRouteRequest(o.call.Service, purpose, avoid), wait)
	if err != nil {
		o.placementErr = err
		return savorypinclaim.Attempt{}, false
	}
	o.candidate = candidate
	m := candidate.Member()
	return savorypinclaim.NewAttempt(m.Name, m.Incarnation, candidate.Endpoint().Name), true
}

// send sends an attempt. It returns ErrNotSent or ErrSuperseded if the attempt did not
// run; after any other error, it may have run.
func (o *onceCall) send(ctx context.Context, claimed savorypinclaim.ClaimedAttempt) (*savorypinclaim.Answer, error) {
	started := time.Now()
	answer, err := o.entry.sendCall(ctx, o.candidate, o.call, o.route, &claimed)
	o.entry.observeCall(o.candidate, o.call, savorypin.PurposeFirst, started, err)
	switch {
	case savorypin.KindOf(err) == savorypin.KindNotRun && err != nil:
		return nil, errors.Join(savorypinclaim.ErrNotSent, err)
	case err != nil:
		return nil, err
	case answer.Refused == savorypinmember.RefusalBarred:
		return nil, savorypinclaim.ErrSuperseded
	case answer.Refused != "":
		return nil, savorypinclaim.ErrNotSent
	default:
		return &savorypinclaim.Answer{Body: answer.Body, ContentType: answer.ContentType, Status: answer.Status}, nil
	}
}

// toCallAnswer converts a result of the claim runner to the answer or error for the
// caller.
func toCallAnswer(key string, r savorypinclaim.Result) (CallAnswer, error) {
	var none CallAnswer
	switch {
	case r.Mismatch:
		return none, savorypin.Errorf(savorypin.KindInvalid, key, "%w", r.Err)
	case r.Outcome == savorypinclaim.OutcomeDone && r.Answer == nil,
		r.Outcome == savorypinclaim.OutcomeDone && r.Answer.Lost:
		return none, savorypin.Errorf(savorypin.KindIncomplete, key, "key has run; its answer was too large to keep")
	case r.Outcome == savorypinclaim.OutcomeDone:
		return CallAnswer{Answer: toPlainAnswer(*r.Answer), Replayed: r.Replayed}, nil
	case r.Outcome == savorypinclaim.OutcomeNotRun && savorypin.KindOf(r.Err) == savorypin.KindNotRun:
		return none, r.Err
	case r.Outcome == savorypinclaim.OutcomeNotRun:
		return none, notRunError(key, r.Err)
	case r.Outcome == savorypinclaim.OutcomeClosed:
		return none, savorypin.Errorf(savorypin.KindNotRun, key, "%w", r.Err)
	default:
		return none, savorypin.Errorf(savorypin.KindUnknown, key, "%w", r.Err).WithRetryAfter(time.Second)
	}
}

func toPlainAnswer(a savorypinclaim.Answer) savorypinmember.PlainAnswer {
	return savorypinmember.PlainAnswer{Body: a.Body, ContentType: a.ContentType, Status: a.Status}
}

// Outcome is what is known of a key.
type Outcome struct {
	// Answer is the answer of the endpoint, if the key has run.
	Answer *savorypinmember.PlainAnswer
	// NotRun reports that the key has not run and never will.
	NotRun bool
}

// Outcome returns what is known of a key. A key that has not run is closed, so that a
// request still in transit can't run it.
func (e *Entry) Outcome(ctx context.Context, service, key string) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	r := e.runner.Close(ctx, savorypinclaim.NewKeyID(service, key))
	e.countCall("outcome." + string(r.Outcome))
	switch r.Outcome {
	case savorypinclaim.OutcomeDone:
		if r.Answer == nil {
			return Outcome{Answer: &savorypinmember.PlainAnswer{}}, nil
		}
		answer := toPlainAnswer(*r.Answer)
		return Outcome{Answer: &answer}, nil
	case savorypinclaim.OutcomeClosed:
		return Outcome{NotRun: true}, nil
	default:
		return Outcome{}, nil
	}
}

// bar asks the agent of an attempt never to begin it, and returns its outcome. A running
// attempt is given barWait to end.
func (e *Entry) bar(ctx context.Context, claimed savorypinclaim.ClaimedAttempt) (savorypinclaim.Outcome, *savorypinclaim.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, barWait+time.Second)
	defer cancel()
	m, ok := e.daemon.Members().Get(claimed.Attempt.Member)
	if !ok {
		return "", nil, savorypin.Errorf(savorypin.KindUnreachable, claimed.Attempt.Member, "member is not known")
	}
	barred, err := savorypinmember.Call[savorypinmember.BarAttempt, savorypinmember.BarAnswer](
		ctx, e.daemon.Transport(), m.State().Address, savorypinmember.FrameBar,
		savorypinmember.BarAttempt{Claimed: claimed, Wait: barWait})
	if err != nil {
		return "", nil, savorypin.Errorf(savorypin.KindUnreachable, claimed.Attempt.Member, "%w", err)
	}
	return barred.Outcome, barred.Answer, nil
}

// agentLost reports whether the agent of an attempt is unknown, dead or restarted, so
// that it can't report the outcome in time.
func (e *Entry) agentLost(a savorypinclaim.Attempt) bool {
	m, ok := e.daemon.Members().Get(a.Member)
	return !ok || m.Health() == savorypinmembership.HealthDead || m.State().Incarnation != a.Incarnation
}
