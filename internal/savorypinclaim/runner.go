package savorypinclaim

import (
	"context"
	"errors"
	"time"
)

// The errors of Request.Send.
var (
	// ErrNotSent means that the attempt provably did not reach the endpoint.
	ErrNotSent = errors.New("attempt did not reach the endpoint")
	// ErrSuperseded means that the agent refused the attempt because a repeat of
	// the key had barred it.
	ErrSuperseded = errors.New("attempt was superseded")
)

// maxUnsentAttempts is the maximum number of attempts of a request that fail to
// reach an endpoint.
const maxUnsentAttempts = 3

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Await waits until the attempt has an outcome or another attempt holds the
	// key, or until ctx ends.
	Await func(ctx context.Context, key KeyID, attempt string) (Verdict, error)
	// Bar bars an attempt at its agent and returns its outcome, see
	// AttemptLog.Bar. It returns an error if the agent does not answer.
	Bar func(context.Context, ClaimedAttempt) (Outcome, *Answer, error)
	// Claim decides a claim.
	Claim func(context.Context, Claim) (Verdict, error)
	// IsAgentLost reports whether the agent of an attempt is not expected to report
	// the outcome any more, for example because it has restarted.
	IsAgentLost func(Attempt) bool
	// OutcomeTimeout is how long a repeat waits for the outcome of the current
	// attempt before it calls the agent.
	OutcomeTimeout time.Duration
	// Settle records an outcome.
	Settle func(Settlement)
}

// Request is a call that must run at most once for its key.
type Request struct {
	// Key is the idempotency key.
	Key KeyID
	// Pick returns an attempt on an endpoint that is not in avoid. It returns
	// false if there is none.
	Pick func(avoid map[string]bool) (Attempt, bool)
	// Send sends an attempt. After an error other than ErrNotSent and
	// ErrSuperseded, the attempt may have run.
	Send func(context.Context, ClaimedAttempt) (*Answer, error)
	// Sum is the checksum of the request, see RequestSum.
	Sum uint64
}

// Result is the result of a request for its caller.
type Result struct {
	// Answer is the answer of the endpoint if the outcome is done.
	Answer *Answer
	// Err is the cause of any other outcome.
	Err error
	// Mismatch says that the key belongs to another request.
	Mismatch bool
	// Outcome is done, not run, closed or unknown.
	Outcome Outcome
	// Replayed says that the answer is from an earlier attempt.
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

// requestRun is the state of one call of Run or Close.
type requestRun struct {
	*Runner

	avoid map[string]bool
	// notRunAttempt is the id of an attempt that has provably not run and never
	// will; empty if there is none.
	notRunAttempt  string
	req            Request
	unsentAttempts int
}

// Run runs a request, or returns the outcome of the attempt that holds its
// key.
func (r *Runner) Run(ctx context.Context, req Request) Result {
	x := &requestRun{Runner: r, avoid: map[string]bool{}, req: req}
	for {
		result, final := x.attemptOnce(ctx)
		if final {
			return result
		}
		if ctx.Err() != nil {
			return Result{Err: ctx.Err(), Outcome: OutcomeUnknown}
		}
	}
}

// Close returns the outcome of a key. It closes a key that has not run, so that
// the key never runs.
func (r *Runner) Close(ctx context.Context, key KeyID) Result {
	x := &requestRun{Runner: r, req: Request{Key: key}}
	for {
		verdict, err := r.cfg.Claim(ctx, Claim{Close: true, Key: key, Supersedes: x.notRunAttempt})
		if err != nil || ctx.Err() != nil {
			return Result{Err: errors.Join(err, ctx.Err()), Outcome: OutcomeUnknown}
		}
		if verdict.Kind == VerdictGranted {
			return Result{Outcome: OutcomeClosed}
		}
		if result, final := x.handleVerdict(ctx, verdict); final {
			return result
		}
	}
}

// attemptOnce makes one attempt. It returns false if another attempt may follow.
func (x *requestRun) attemptOnce(ctx context.Context) (Result, bool) {
	attempt, reachable := x.req.Pick(x.avoid)
	if !reachable {
		// If a claim without an endpoint is granted, the key has not run.
		attempt = NewAttempt("", 0, "")
	}
	verdict, err := x.cfg.Claim(ctx, Claim{
		Attempt:    attempt,
		Key:        x.req.Key,
		Request:    x.req.Sum,
		Supersedes: x.notRunAttempt,
	})
	switch {
	case errors.Is(err, ErrNotClaimed):
		return Result{Err: err, Outcome: OutcomeNotRun}, true
	case err != nil:
		return Result{Err: err, Outcome: OutcomeUnknown}, true
	case verdict.Kind != VerdictGranted:
		return x.handleVerdict(ctx, verdict)
	case !reachable:
		x.recordOutcome(attempt, OutcomeNotRun, nil)
		return Result{Err: errors.New("no endpoint is live"), Outcome: OutcomeNotRun}, true
	default:
		return x.send(ctx, ClaimedAttempt{Attempt: attempt, Key: x.req.Key, Segment: verdict.Segment})
	}
}

func (x *requestRun) send(ctx context.Context, claimed ClaimedAttempt) (Result, bool) {
	answer, err := x.req.Send(ctx, claimed)
	switch {
	case err == nil:
		x.recordOutcome(claimed.Attempt, OutcomeDone, answer)
		return Result{Answer: answer, Outcome: OutcomeDone}, true
	case errors.Is(err, ErrSuperseded):
		x.notRunAttempt = claimed.Attempt.ID
		return Result{}, false
	case errors.Is(err, ErrNotSent):
		x.notRunAttempt = claimed.Attempt.ID
		x.avoid[claimed.Attempt.Endpoint] = true
		x.unsentAttempts++
		x.recordOutcome(claimed.Attempt, OutcomeNotRun, nil)
		return Result{Err: err, Outcome: OutcomeNotRun}, x.unsentAttempts >= maxUnsentAttempts
	default:
		result, final := x.awaitOutcome(ctx, claimed)
		result.Replayed = false
		return result, final
	}
}

// handleVerdict returns the result for a key that another attempt holds. It
// returns false if another attempt may follow.
func (x *requestRun) handleVerdict(ctx context.Context, v Verdict) (Result, bool) {
	if v.Kind == VerdictMismatch {
		return Result{Err: errors.New("key belongs to another request"), Mismatch: true, Outcome: OutcomeUnknown}, true
	}
	if v.Kind == VerdictFull {
		return Result{Err: errors.New("too many keys are kept"), Outcome: OutcomeNotRun}, true
	}
	switch v.Outcome {
	case OutcomeClaimed:
		return x.awaitOutcome(ctx, ClaimedAttempt{Attempt: v.Attempt, Key: x.req.Key, Segment: v.Segment})
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

// awaitOutcome determines the outcome of an attempt. It first waits for the
// daemon that made the attempt to record the outcome, and then calls the agent,
// which bars the attempt if it has not arrived. It returns false if another
// attempt may follow.
func (x *requestRun) awaitOutcome(ctx context.Context, claimed ClaimedAttempt) (Result, bool) {
	for ctx.Err() == nil {
		if verdict, changed := x.awaitVerdict(ctx, claimed); changed {
			return x.handleVerdict(ctx, verdict)
		}
		outcome, answer, err := x.bar(ctx, claimed)
		switch {
		case err == nil && outcome == OutcomeDone:
			x.recordOutcome(claimed.Attempt, outcome, answer)
			return Result{Answer: answer, Outcome: OutcomeDone, Replayed: true}, true
		case err == nil && outcome == OutcomeNotRun:
			x.notRunAttempt = claimed.Attempt.ID
			return Result{}, false
		case err == nil && outcome == OutcomeUnknown:
			x.recordOutcome(claimed.Attempt, outcome, nil)
			return Result{Err: errors.New("agent has lost the outcome"), Outcome: OutcomeUnknown}, true
		case err != nil && x.cfg.IsAgentLost(claimed.Attempt):
			return Result{Err: err, Outcome: OutcomeUnknown}, true
		}
	}
	return Result{Err: ctx.Err(), Outcome: OutcomeUnknown}, true
}

// awaitVerdict waits for the outcome of an attempt, for OutcomeTimeout at most. It
// returns true if the outcome is done, unknown or closed. In all other cases, the
// agent has to be called.
func (x *requestRun) awaitVerdict(ctx context.Context, claimed ClaimedAttempt) (Verdict, bool) {
	ctx, cancel := context.WithTimeout(ctx, x.cfg.OutcomeTimeout)
	defer cancel()
	verdict, err := x.cfg.Await(ctx, claimed.Key, claimed.Attempt.ID)
	if err != nil {
		// The call fails at once if the committer of the shard is unavailable.
		// Waiting for the rest of the time keeps the loop from flooding the agent.
		<-ctx.Done()
		return verdict, false
	}
	known := verdict.Outcome == OutcomeDone || verdict.Outcome == OutcomeUnknown || verdict.Outcome == OutcomeClosed
	return verdict, known
}

// bar bars an attempt at its agent. An attempt without an endpoint was never sent
// and so needs no call.
func (x *requestRun) bar(ctx context.Context, claimed ClaimedAttempt) (Outcome, *Answer, error) {
	if claimed.Attempt.Member == "" {
		return OutcomeNotRun, nil, nil
	}
	return x.cfg.Bar(ctx, claimed)
}

func (x *requestRun) recordOutcome(a Attempt, outcome Outcome, answer *Answer) {
	x.cfg.Settle(Settlement{Answer: answer, Attempt: a.ID, Key: x.req.Key, Outcome: outcome})
}
