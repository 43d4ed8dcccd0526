package savorypinresume

import (
	"time"

	"savorypin/internal/savorypin"
)

// Cause says why an attempt failed.
type Cause string

// The causes of failed attempts, in sorted order.
const (
	// CauseEngine means that the agent reported a failure of its engine.
	CauseEngine Cause = "engine"
	// CauseHost means that the agent's host can't be reached on a new connection.
	CauseHost Cause = "host"
	// CauseMissing means that the agent answers but does not have the attempt.
	CauseMissing Cause = "missing"
	// CauseRefused means that the engine did not start the attempt.
	CauseRefused Cause = "refused"
	// CauseStalled means that no token arrived within the stall timeout.
	CauseStalled Cause = "stalled"
	// CauseStopping means that the agent is stopping and hands its attempts over
	// to other agents.
	CauseStopping Cause = "stopping"
	// CauseSuperseded means that another attempt extended the log, or that
	// another entry has taken over the generation.
	CauseSuperseded Cause = "superseded"
)

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of actions, in sorted order.
const (
	// ActionAttach requests the tokens of an attempt on a new stream.
	ActionAttach ActionKind = "attach"
	// ActionCancel cancels an attempt at its agent, as a best effort.
	ActionCancel ActionKind = "cancel"
	// ActionFinish ends the streams of the readers of the generation.
	ActionFinish ActionKind = "finish"
	// ActionPlace chooses an endpoint for a new attempt. Its result is passed to
	// Placed or PlacementFailed.
	ActionPlace ActionKind = "place"
)

// Action is an operation that the caller of the Machine has to carry out.
type Action struct {
	// Attempt is the attempt that is attached to, cancelled or finished.
	Attempt savorypin.AttemptID
	// Cause is why an attempt is cancelled.
	Cause Cause
	// From is the index of the first token that is requested.
	From int
	// Kind is the kind of the action.
	Kind ActionKind
	// Purpose is the purpose of the new attempt.
	Purpose savorypin.Purpose
}

// End is how a generation ended.
type End struct {
	// Err is why the answer is incomplete; nil if it is complete.
	Err error
	// Reason is the finish reason of a complete or cancelled answer.
	Reason savorypin.FinishReason
}

// Limits are the timeouts and counts by which a Machine decides that an attempt or
// the generation has failed.
type Limits struct {
	// AttachSuspectTimeout is how long attaching may take before the attempt is
	// suspected. If the policy prefers latency, a second attempt is made then.
	AttachSuspectTimeout time.Duration
	// AttachTimeout is how long attaching may take before the host counts as
	// failed.
	AttachTimeout time.Duration
	// MaxFailures is the number of attempts in a row that fail after little
	// progress at which the generation ends.
	MaxFailures int
	// MaxGaps is the maximum number of times in a row that an attempt is attached
	// to again because of missing tokens or a lost connection.
	MaxGaps int
	// MaxTickDelay is the delay of a tick from which on the daemon counts as
	// having been paused.
	MaxTickDelay time.Duration
	// MaxPlaceRetryDelay is the maximum of the delay that starts at
	// PlaceRetryDelay and doubles.
	MaxPlaceRetryDelay time.Duration
	// PlaceRetryDelay is the delay before the first retry of the choice of an
	// endpoint.
	PlaceRetryDelay time.Duration
	// MinProgressTokens is the number of tokens from which on the failure of an
	// attempt restarts the count of failures.
	MinProgressTokens int
	// MaxRefusals is the number of failed choices of an endpoint at which a
	// generation that has not run ends.
	MaxRefusals int
}

// DefaultLimits returns the limits that entries use.
func DefaultLimits() Limits {
	return Limits{
		AttachSuspectTimeout: 250 * time.Millisecond,
		AttachTimeout:        600 * time.Millisecond,
		MaxFailures:          4,
		MaxGaps:              8,
		MaxTickDelay:         400 * time.Millisecond,
		MaxPlaceRetryDelay:   time.Second,
		PlaceRetryDelay:      100 * time.Millisecond,
		MinProgressTokens:    32,
		MaxRefusals:          4,
	}
}
