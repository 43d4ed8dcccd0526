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

// Limits of what an agent remembers of calls.
const (
	// callGrace is how much longer than its caller the agent waits for the
	// answer of a call that must not be repeated.
	callGrace = 30 * time.Second
	// callRetainFor is how long an agent remembers an attempt.
	callRetainFor = 10 * time.Minute
	// maxCallBytes bounds the answers that are remembered, in bytes.
	maxCallBytes = 32 << 20
	// maxCallRecords is the largest number of attempts that are remembered.
	maxCallRecords = 16384
)

// newAttemptLog returns the log of a daemon with an incarnation.
func newAttemptLog(incarnation int64) *savorypinclaim.AttemptLog {
	return savorypinclaim.NewAttemptLog(savorypinclaim.AttemptLogConfig{
		Incarnation: incarnation,
		MaxBytes:    maxCallBytes,
		MaxRecords:  maxCallRecords,
		Now:         time.Now,
		Retention:   callRetainFor,
	})
}

// handleCalls registers what serves calls.
func (a *Agent) handleCalls() {
	a.daemon.Handle(savorypinmember.FrameBar, savorypinmember.HandleCall(a.handleBar))
	a.daemon.Handle(savorypinmember.FrameCall, savorypinmember.HandleCall(a.handleCall))
	a.daemon.RegisterState("attempts", func() any { return a.attempts.State() })
	gauge := func(name string, value func(savorypinclaim.AttemptLogState) int) {
		read := func() int64 { return int64(value(a.attempts.State())) }
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
	if req.Ticket != nil {
		return a.callOnce(ctx, e, req)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	answer, sent, err := e.plain.Do(ctx, plainCall(req))
	if err != nil {
		return none, translatePlain(req.Endpoint, sent, err)
	}
	return savorypinmember.PlainAnswer{Body: answer.Body, ContentType: answer.ContentType, Status: answer.Status}, nil
}

// callOnce passes an attempt on unless it was barred. Once it is passed on, it
// runs to its end, whether or not the entry still waits.
func (a *Agent) callOnce(
	ctx context.Context,
	e *endpoint,
	req savorypinmember.PlainCall,
) (savorypinmember.PlainAnswer, error) {
	var none savorypinmember.PlainAnswer
	if !time.Now().Before(req.Deadline) {
		return none, savorypin.Errorf(savorypin.KindNotRun, req.Endpoint, "call is past its deadline")
	}
	if err := a.attempts.Admit(*req.Ticket); err != nil {
		a.countCall("refused")
		return refuse(req.Endpoint, err)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline.Add(callGrace))
	defer cancel()
	answer, sent, err := e.plain.Do(ctx, plainCall(req))
	switch {
	case err != nil && sent:
		a.attempts.End(req.Ticket.Attempt.ID, savorypinclaim.OutcomeUnknown, nil)
	case err != nil:
		a.attempts.End(req.Ticket.Attempt.ID, savorypinclaim.OutcomeNotRun, nil)
	default:
		a.attempts.End(req.Ticket.Attempt.ID, savorypinclaim.OutcomeDone, &savorypinclaim.Answer{
			Body:        answer.Body,
			ContentType: answer.ContentType,
			Status:      answer.Status,
		})
	}
	if err != nil {
		a.countCall("failed")
		return none, translatePlain(req.Endpoint, sent, err)
	}
	a.countCall("done")
	return savorypinmember.PlainAnswer{Body: answer.Body, ContentType: answer.ContentType, Status: answer.Status}, nil
}

// refuse tells why an attempt was not passed on. An attempt that was seen
// before may have run.
func refuse(endpoint string, err error) (savorypinmember.PlainAnswer, error) {
	switch {
	case errors.Is(err, savorypinclaim.ErrSeen):
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
	req savorypinmember.Bar,
) (savorypinmember.Barred, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait)
	defer cancel()
	outcome, answer := a.attempts.Bar(ctx, req.Ticket)
	a.countCall("bar." + string(outcome))
	return savorypinmember.Barred{Answer: answer, Outcome: outcome}, nil
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

// translatePlain turns an error of a plain service into one of the core.
func translatePlain(endpoint string, sent bool, err error) error {
	if sent {
		return savorypin.Errorf(savorypin.KindUnknown, endpoint, "%w", err)
	}
	return savorypin.Errorf(savorypin.KindNotRun, endpoint, "%w", err)
}
