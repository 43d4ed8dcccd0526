package savorypinresume

import (
	"time"

	"savorypin/internal/savorypin"
)

// Cause says why an attempt failed.
type Cause string

// The causes of failed attempts, in sorted order.
const (
	// CauseEngine means that the agent told that its engine broke off.
	CauseEngine Cause = "engine"
	// CauseHost means that no new connection to the agent's host works.
	CauseHost Cause = "host"
	// CauseMissing means that the agent lives but does not hold the attempt.
	CauseMissing Cause = "missing"
	// CauseRefused means that the engine did not begin the attempt.
	CauseRefused Cause = "refused"
	// CauseStalled means that no token came for too long.
	CauseStalled Cause = "stalled"
	// CauseStopping means that the agent hands its attempts over to others.
	CauseStopping Cause = "stopping"
	// CauseSuperseded means that another attempt went on, or that another
	// entry has taken the generation over.
	CauseSuperseded Cause = "superseded"
)

// ActionKind says what is to be done.
type ActionKind string

// The kinds of actions, in sorted order.
const (
	// ActionAttach asks for the tokens of an attempt on a new stream.
	ActionAttach ActionKind = "attach"
	// ActionCancel ends an attempt at its agent, best effort.
	ActionCancel ActionKind = "cancel"
	// ActionFinish tells the readers that the generation has ended.
	ActionFinish ActionKind = "finish"
	// ActionPlace chooses an endpoint and starts an attempt there.
	ActionPlace ActionKind = "place"
)

// Action is something to be done outside of the Machine.
type Action struct {
	// Attempt is what is attached to or cancelled.
	Attempt savorypin.AttemptID
	// Cause is why an attempt is cancelled.
	Cause Cause
	// From is the index of the first token wanted.
	From int
	// Kind says what is to be done.
	Kind ActionKind
	// Purpose says why an endpoint is chosen.
	Purpose savorypin.Purpose
}

// End is how a generation ended.
type End struct {
	// Err is why the answer is not whole; nil if it is.
	Err error
	// Reason is why the answer ended.
	Reason savorypin.FinishReason
}

// Limits are the times and numbers that decide when an attempt has failed.
type Limits struct {
	// AttachSuspected is how long attaching may take before a second attempt
	// is made, if the service prefers latency.
	AttachSuspected time.Duration
	// AttachSure is how long attaching may take before the host is taken as
	// dead.
	AttachSure time.Duration
	// Failures is how many attempts in a row may fail with little progress.
	Failures int
	// Gaps is how often an attempt may have to repeat tokens.
	Gaps int
	// Late is how late a tick may come until the daemon is taken as having been
	// paused.
	Late time.Duration
	// MaxPlacePause bounds PlacePause, which doubles.
	MaxPlacePause time.Duration
	// PlacePause is the pause before the choice of an endpoint is tried again.
	PlacePause time.Duration
	// Progress is how many tokens an attempt has to produce for its failure
	// not to count.
	Progress int
	// Refusals is how many rounds of refusals end a generation that has not
	// run.
	Refusals int
}

// DefaultLimits returns the limits that entries use.
func DefaultLimits() Limits {
	return Limits{
		AttachSuspected: 250 * time.Millisecond,
		AttachSure:      600 * time.Millisecond,
		Failures:        4,
		Gaps:            8,
		Late:            400 * time.Millisecond,
		MaxPlacePause:   time.Second,
		PlacePause:      100 * time.Millisecond,
		Progress:        32,
		Refusals:        4,
	}
}
