package savorypinclaim

import (
	"context"
	"errors"
	"time"
)

// Errors of sending an attempt.
var (
	// ErrNotSent means that the attempt has provably not reached the endpoint.
	ErrNotSent = errors.New("attempt did not reach the endpoint")
	// ErrSuperseded means that the agent has barred the attempt for a repeat of
	// the key.
	ErrSuperseded = errors.New("attempt was superseded")
)

// maxTries is the largest number of attempts that a request makes at
// endpoints that it does not reach.
const maxTries = 3

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Await waits until the attempt no longer holds the key as claimed, or for
	// its context.
	Await func(ctx context.Context, key KeyID, attempt string) (Verdict, error)
	// Bar bars an attempt and returns its outcome. It returns an error if the
	// agent does not answer.
	Bar func(context.Context, Ticket) (Outcome, *Answer, error)
	// Claim decides a claim.
	Claim func(context.Context, Claim) (Verdict, error)
	// Gone reports whether the agent of an attempt will surely not tell its
	// outcome.
	Gone func(Attempt) bool
	// Patience is how long a repeat waits for an outcome before it asks the
	// agent.
	Patience time.Duration
	// Settle takes note of an outcome.
	Settle func(Settlement)
}

// Request is a call that must run at most once.
type Request struct {
	// Key is the key.
	Key KeyID
	// Pick returns an attempt on an endpoint that is not to be avoided. It
	// reports false if there is none.
	Pick func(avoid map[string]bool) (Attempt, bool)
	// Send sends an attempt. An error that is not ErrNotSent or ErrSuperseded
	// leaves open whether it ran.
	Send func(context.Context, Ticket) (*Answer, error)
	// Sum is the checksum of the request.
	Sum uint64
}

// Result is what a caller is told.
type Result struct {
	// Answer is the answer of the endpoint if the outcome is done.
	Answer *Answer
	// Err is the cause of any other outcome.
	Err error
	// Mismatch says that the key belongs to another request.
	Mismatch bool
	// Outcome is done, not run, closed or unknown.
	Outcome Outcome
	// Replayed says that the answer is that of an earlier run.
	Replayed bool
}

// Runner runs requests at most once for each key. It is safe for concurrent
// use.
type Runner struct {
	cfg RunnerConfig
}

// NewRunner returns a runner.
func NewRunner(cfg RunnerConfig) *Runner {
	return &Runner{cfg: cfg}
}

// run is one request that is being run.
type run struct {
	*Runner

	avoid map[string]bool
	// proven is the id of an attempt at the key that has provably not run and
	// never will.
	proven string
	req    Request
	tries  int
}

// Run runs a request, or returns the outcome of the attempt that holds its
// key.
func (r *Runner) Run(ctx context.Context, req Request) Result {
	x := &run{Runner: r, avoid: map[string]bool{}, req: req}
	for {
		result, final := x.try(ctx)
		if final {
			return result
		}
		if ctx.Err() != nil {
			return Result{Err: ctx.Err(), Outcome: OutcomeUnknown}
		}
	}
}

// Close returns the outcome of a key. One that has not run is closed: it
// never will run.
func (r *Runner) Close(ctx context.Context, key KeyID) Result {
	x := &run{Runner: r, req: Request{Key: key}}
	for {
		verdict, err := r.cfg.Claim(ctx, Claim{Close: true, Key: key, Supersedes: x.proven})
		if err != nil || ctx.Err() != nil {
			return Result{Err: errors.Join(err, ctx.Err()), Outcome: OutcomeUnknown}
		}
		if verdict.Kind == VerdictGranted {
			return Result{Outcome: OutcomeClosed}
		}
		if result, final := x.take(ctx, verdict); final {
			return result
		}
	}
}

// try makes one attempt. It reports false if another one may be made.
func (x *run) try(ctx context.Context) (Result, bool) {
	attempt, reachable := x.req.Pick(x.avoid)
	if !reachable {
		// A claim without an endpoint proves that the key has not run.
		attempt = NewAttempt("", 0, "")
	}
	verdict, err := x.cfg.Claim(ctx, Claim{
		Attempt:    attempt,
		Key:        x.req.Key,
		Request:    x.req.Sum,
		Supersedes: x.proven,
	})
	switch {
	case errors.Is(err, ErrNotClaimed):
		return Result{Err: err, Outcome: OutcomeNotRun}, true
	case err != nil:
		return Result{Err: err, Outcome: OutcomeUnknown}, true
	case verdict.Kind != VerdictGranted:
		return x.take(ctx, verdict)
	case !reachable:
		x.settle(attempt, OutcomeNotRun, nil)
		return Result{Err: errors.New("no endpoint is live"), Outcome: OutcomeNotRun}, true
	default:
		return x.send(ctx, Ticket{Attempt: attempt, Key: x.req.Key, Segment: verdict.Segment})
	}
}

func (x *run) send(ctx context.Context, t Ticket) (Result, bool) {
	answer, err := x.req.Send(ctx, t)
	switch {
	case err == nil:
		x.settle(t.Attempt, OutcomeDone, answer)
		return Result{Answer: answer, Outcome: OutcomeDone}, true
	case errors.Is(err, ErrSuperseded):
		x.proven = t.Attempt.ID
		return Result{}, false
	case errors.Is(err, ErrNotSent):
		x.proven = t.Attempt.ID
		x.avoid[t.Attempt.Endpoint] = true
		x.tries++
		x.settle(t.Attempt, OutcomeNotRun, nil)
		return Result{Err: err, Outcome: OutcomeNotRun}, x.tries >= maxTries
	default:
		result, final := x.learn(ctx, t)
		result.Replayed = false
		return result, final
	}
}

// take deals with a key that another attempt holds.
func (x *run) take(ctx context.Context, v Verdict) (Result, bool) {
	if v.Kind == VerdictMismatch {
		return Result{Err: errors.New("key belongs to another request"), Mismatch: true, Outcome: OutcomeUnknown}, true
	}
	if v.Kind == VerdictFull {
		return Result{Err: errors.New("too many keys are kept"), Outcome: OutcomeNotRun}, true
	}
	switch v.Outcome {
	case OutcomeClaimed:
		return x.learn(ctx, Ticket{Attempt: v.Attempt, Key: x.req.Key, Segment: v.Segment})
	case OutcomeDone:
		return Result{Answer: v.Answer, Outcome: OutcomeDone, Replayed: true}, true
	case OutcomeNotRun:
		return Result{}, false
	case OutcomeClosed:
		return Result{Err: errors.New("key was closed"), Outcome: OutcomeClosed}, true
	default:
		return Result{Err: errors.New("outcome of the key was lost"), Outcome: OutcomeUnknown}, true
	}
}

// learn finds out the outcome of an attempt. It waits for whoever made the
// attempt to tell, and then asks the agent, which bars an attempt that has
// not arrived.
func (x *run) learn(ctx context.Context, t Ticket) (Result, bool) {
	for ctx.Err() == nil {
		if verdict, changed := x.await(ctx, t); changed {
			return x.take(ctx, verdict)
		}
		outcome, answer, err := x.bar(ctx, t)
		switch {
		case err == nil && outcome == OutcomeDone:
			x.settle(t.Attempt, outcome, answer)
			return Result{Answer: answer, Outcome: OutcomeDone, Replayed: true}, true
		case err == nil && outcome == OutcomeNotRun:
			x.proven = t.Attempt.ID
			return Result{}, false
		case err == nil && outcome == OutcomeUnknown:
			x.settle(t.Attempt, outcome, nil)
			return Result{Err: errors.New("agent has lost the outcome"), Outcome: OutcomeUnknown}, true
		case err != nil && x.cfg.Gone(t.Attempt):
			return Result{Err: err, Outcome: OutcomeUnknown}, true
		}
	}
	return Result{Err: ctx.Err(), Outcome: OutcomeUnknown}, true
}

// await waits for an outcome and reports whether there is one.
func (x *run) await(ctx context.Context, t Ticket) (Verdict, bool) {
	ctx, cancel := context.WithTimeout(ctx, x.cfg.Patience)
	defer cancel()
	verdict, err := x.cfg.Await(ctx, t.Key, t.Attempt.ID)
	if err != nil {
		// Whoever should know fails at once; the agent must not be pressed.
		<-ctx.Done()
		return verdict, false
	}
	known := verdict.Outcome == OutcomeDone || verdict.Outcome == OutcomeUnknown || verdict.Outcome == OutcomeClosed
	return verdict, known
}

// bar bars an attempt. One without an endpoint has never been sent.
func (x *run) bar(ctx context.Context, t Ticket) (Outcome, *Answer, error) {
	if t.Attempt.Member == "" {
		return OutcomeNotRun, nil, nil
	}
	return x.cfg.Bar(ctx, t)
}

func (x *run) settle(a Attempt, outcome Outcome, answer *Answer) {
	x.cfg.Settle(Settlement{Answer: answer, Attempt: a.ID, Key: x.req.Key, Outcome: outcome})
}
