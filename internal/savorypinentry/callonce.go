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

// Times of calls that run at most once.
const (
	// barWait is how long an agent may wait for the end of an attempt.
	barWait = 2 * time.Second
	// claimPatience is how long a repeat waits for an outcome before it asks
	// the agent.
	claimPatience = 500 * time.Millisecond
	// outcomeTimeout bounds a question for an outcome.
	outcomeTimeout = 5 * time.Second
)

// callOnce runs a call at most once for its key. Once the key is claimed, the
// call goes on when its caller has gone, so that the outcome becomes known.
func (e *Entry) callOnce(
	ctx context.Context,
	call Call,
	route savorypin.RouteSpec,
	deadline time.Time,
	end func(),
) (CallAnswer, error) {
	results := make(chan savorypinclaim.Result, 1)
	go func() {
		defer end()
		// Nothing is known of a call that ended by a panic.
		result := savorypinclaim.Result{Outcome: savorypinclaim.OutcomeUnknown}
		err := e.contain("call", func() error {
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
		return callAnswer(call.Key, result)
	case <-ctx.Done():
		return CallAnswer{}, savorypin.Errorf(savorypin.KindUnknown, call.Key, "%w", ctx.Err())
	}
}

// runOnce runs a call at most once for its key, until the deadline.
func (e *Entry) runOnce(call Call, route savorypin.RouteSpec, deadline time.Time) savorypinclaim.Result {
	ctx, cancel := context.WithDeadline(e.life, deadline)
	defer cancel()
	o := &onceCall{call: call, ctx: ctx, entry: e, route: route}
	result := e.runner.Run(ctx, o.request())
	if result.Outcome == savorypinclaim.OutcomeNotRun && o.refused != nil {
		result.Err = o.refused
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
	ctx       context.Context //nolint:containedctx // It is the life of the call.
	entry     *Entry
	// refused is why no endpoint could be chosen.
	refused error
	route   savorypin.RouteSpec
}

// request returns what the runner needs of the call.
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
	candidate, err := o.entry.place(o.entry.callNeed(o.call.Service, purpose, avoid), wait)
	if err != nil {
		o.refused = err
		return savorypinclaim.Attempt{}, false
	}
	o.candidate = candidate
	m := candidate.Member()
	return savorypinclaim.NewAttempt(m.Name, m.Incarnation, candidate.Endpoint().Name), true
}

// send sends an attempt. An error that leaves open whether it ran is neither
// ErrNotSent nor ErrSuperseded.
func (o *onceCall) send(ctx context.Context, t savorypinclaim.Ticket) (*savorypinclaim.Answer, error) {
	started := time.Now()
	answer, err := o.entry.pass(ctx, o.candidate, o.call, o.route, &t)
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

// callAnswer tells the caller a result.
func callAnswer(key string, r savorypinclaim.Result) (CallAnswer, error) {
	var none CallAnswer
	switch {
	case r.Mismatch:
		return none, savorypin.Errorf(savorypin.KindInvalid, key, "%w", r.Err)
	case r.Outcome == savorypinclaim.OutcomeDone && r.Answer == nil,
		r.Outcome == savorypinclaim.OutcomeDone && r.Answer.Lost:
		return none, savorypin.Errorf(savorypin.KindIncomplete, key, "key has run; its answer was too large to keep")
	case r.Outcome == savorypinclaim.OutcomeDone:
		return CallAnswer{Answer: plainAnswer(*r.Answer), Replayed: r.Replayed}, nil
	case r.Outcome == savorypinclaim.OutcomeNotRun && savorypin.KindOf(r.Err) == savorypin.KindNotRun:
		return none, r.Err
	case r.Outcome == savorypinclaim.OutcomeNotRun:
		return none, notRun(key, r.Err)
	case r.Outcome == savorypinclaim.OutcomeClosed:
		return none, savorypin.Errorf(savorypin.KindNotRun, key, "%w", r.Err)
	default:
		return none, savorypin.Errorf(savorypin.KindUnknown, key, "%w", r.Err).WithRetryAfter(time.Second)
	}
}

func plainAnswer(a savorypinclaim.Answer) savorypinmember.PlainAnswer {
	return savorypinmember.PlainAnswer{Body: a.Body, ContentType: a.ContentType, Status: a.Status}
}

// Outcome is what is known of a key.
type Outcome struct {
	// Answer is the answer of the endpoint, if the key has run.
	Answer *savorypinmember.PlainAnswer
	// NotRun says that the key has not run and will not run.
	NotRun bool
}

// Outcome tells what is known of a key. A key that has not run is closed: no
// request that is still on its way can run it.
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
		answer := plainAnswer(*r.Answer)
		return Outcome{Answer: &answer}, nil
	case savorypinclaim.OutcomeClosed:
		return Outcome{NotRun: true}, nil
	default:
		return Outcome{}, nil
	}
}

// bar asks the agent of an attempt to bar it.
func (e *Entry) bar(ctx context.Context, t savorypinclaim.Ticket) (savorypinclaim.Outcome, *savorypinclaim.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, barWait+time.Second)
	defer cancel()
	m, ok := e.daemon.Members().Get(t.Attempt.Member)
	if !ok {
		return "", nil, savorypin.Errorf(savorypin.KindUnreachable, t.Attempt.Member, "member is not known")
	}
	barred, err := savorypinmember.Call[savorypinmember.Bar, savorypinmember.Barred](
		ctx, e.daemon.Transport(), m.State().Address, savorypinmember.FrameBar,
		savorypinmember.Bar{Ticket: t, Wait: barWait})
	if err != nil {
		return "", nil, savorypin.Errorf(savorypin.KindUnreachable, t.Attempt.Member, "%w", err)
	}
	return barred.Outcome, barred.Answer, nil
}

// gone reports whether the agent of an attempt will surely not tell its
// outcome in time.
func (e *Entry) gone(a savorypinclaim.Attempt) bool {
	m, ok := e.daemon.Members().Get(a.Member)
	return !ok || m.Health() == savorypinmembership.HealthDead || m.State().Incarnation != a.Incarnation
}
