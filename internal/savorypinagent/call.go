package savorypinagent

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
	"savorypin/internal/savorypinendpoint"
	"savorypin/internal/savorypinmember"
)

// Retention and limits of the call log of an agent.
const (
	// callGrace is how much longer than its caller the agent waits for the answer of a
	// call that must not be repeated.
	callGrace = 30 * time.Second
	// callRetention is how long the outcome of an attempt is kept.
	callRetention = 10 * time.Minute
	// maxCallAnswerBytes bounds the answers that are kept, in bytes.
	maxCallAnswerBytes = 32 << 20
	// maxCallRecords is the maximum number of attempts that are kept.
	maxCallRecords = 16384
)

// newAttemptLog returns the log of the attempts at calls for one incarnation of a
// daemon.
func newAttemptLog(incarnation int64) *savorypinclaim.AttemptLog {
	return savorypinclaim.NewAttemptLog(savorypinclaim.AttemptLogConfig{
		Incarnation: incarnation,
		MaxBytes:    maxCallAnswerBytes,
		MaxRecords:  maxCallRecords,
		Now:         time.Now,
		Retention:   callRetention,
	})
}

// registerCalls registers the handlers, state section and metrics of calls.
func (a *Agent) registerCalls() {
	a.daemon.Handle(savorypinmember.FrameBar, savorypinmember.HandleCall(a.handleBar))
	a.daemon.Handle(savorypinmember.FrameCall, savorypinmember.HandleCall(a.handleCall))
	a.daemon.RegisterState("attempts", func() any { return a.callAttempts.State() })
	gauge := func(name string, value func(savorypinclaim.AttemptLogState) int) {
		read := func() int64 { return int64(value(a.callAttempts.State())) }
		_ = a.daemon.Metrics().Register(name, metrics.NewFunctionalGauge(read))
	}
	gauge("attempts.bytes", func(s savorypinclaim.AttemptLogState) int { return s.Bytes })
	gauge("attempts.records", func(s savorypinclaim.AttemptLogState) int { return s.Records })
	gauge("attempts.running", func(s savorypinclaim.AttemptLogState) int { return s.Running })
}

func (a *Agent) handleCall(
	ctx context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.PlainCall,
) (savorypinmember.PlainAnswer, error) {
	var none savorypinmember.PlainAnswer
	e, ok := a.endpoints[req.Endpoint]
	if !ok || e.plain == nil {
		return none, savorypin.Errorf(savorypin.KindNotRun, req.Endpoint, "no such plain service beside this agent")
	}
	a.calls.Add(1)
	defer a.calls.Add(-1)
	if a.daemon.Draining() {
		return none, savorypin.Errorf(savorypin.KindNotRun, a.daemon.Settings().Name, "agent is stopping")
	}
	if req.Claimed != nil {
		return a.callOnce(ctx, e, req)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	answer, sent, err := e.plain.Do(ctx, plainCall(req))
	if err != nil {
		return none, plainError(req.Endpoint, sent, err)
	}
	return savorypinmember.PlainAnswer{Body: answer.Body, ContentType: answer.ContentType, Status: answer.Status}, nil
}

// callOnce sends an attempt to the endpoint unless the attempt log refuses it. Once
// sent, it runs to its end even if the entry no longer waits.
func (a *Agent) callOnce(
	ctx context.Context,
	e *endpoint,
	req savorypinmember.PlainCall,
) (savorypinmember.PlainAnswer, error) {
	var none savorypinmember.PlainAnswer
	if !time.Now().Before(req.Deadline) {
		return none, savorypin.Errorf(savorypin.KindNotRun, req.Endpoint, "call is past its deadline")
	}
	if err := a.callAttempts.Admit(*req.Claimed); err != nil {
		a.countCall("refused")
		return refusalAnswer(req.Endpoint, err)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline.Add(callGrace))
	defer cancel()
	answer, sent, err := e.plain.Do(ctx, plainCall(req))
	switch {
	case err != nil && sent:
		a.callAttempts.End(req.Claimed.Attempt.ID, savorypinclaim.OutcomeUnknown, nil)
	case err != nil:
		a.callAttempts.End(req.Claimed.Attempt.ID, savorypinclaim.OutcomeNotRun, nil)
	default:
		a.callAttempts.End(req.Claimed.Attempt.ID, savorypinclaim.OutcomeDone, &savorypinclaim.Answer{
			Body:        answer.Body,
			ContentType: answer.ContentType,
			Status:      answer.Status,
		})
	}
	if err != nil {
		a.countCall("failed")
		return none, plainError(req.Endpoint, sent, err)
	}
	a.countCall("done")
	return savorypinmember.PlainAnswer{Body: answer.Body, ContentType: answer.ContentType, Status: answer.Status}, nil
}

// refusalAnswer converts the reason why an attempt was not sent to an answer or error.
// An attempt that was received before may have run.
func refusalAnswer(endpoint string, err error) (savorypinmember.PlainAnswer, error) {
	switch {
	case errors.Is(err, savorypinclaim.ErrAlreadyForwarded):
		return savorypinmember.PlainAnswer{}, savorypin.Errorf(savorypin.KindUnknown, endpoint, "%w", err)
	case errors.Is(err, savorypinclaim.ErrBarred):
		return savorypinmember.PlainAnswer{Refused: savorypinmember.RefusalBarred}, nil
	default:
		return savorypinmember.PlainAnswer{Refused: savorypinmember.RefusalOther}, nil
	}
}

func (a *Agent) handleBar(
	ctx context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.BarAttempt,
) (savorypinmember.BarAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait)
	defer cancel()
	outcome, answer := a.callAttempts.Bar(ctx, req.Claimed)
	a.countCall("bar." + string(outcome))
	return savorypinmember.BarAnswer{Answer: answer, Outcome: outcome}, nil
}

func (a *Agent) countCall(name string) {
	metrics.GetOrRegisterCounter("attempts."+name, a.daemon.Metrics()).Inc(1)
}

func plainCall(req savorypinmember.PlainCall) savorypinendpoint.Call {
	return savorypinendpoint.Call{
		Body:        req.Body,
		ContentType: req.ContentType,
		Key:         req.Key,
		Path:        req.Path,
	}
}

// plainError converts an error of a plain service to a savorypin.Error; sent reports
// whether the service may have received the call.
func plainError(endpoint string, sent bool, err error) error {
	if sent {
		return savorypin.Errorf(savorypin.KindUnknown, endpoint, "%w", err)
	}
	return savorypin.Errorf(savorypin.KindNotRun, endpoint, "%w", err)
}
