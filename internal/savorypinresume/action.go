package savorypinresume

import (
	"time"

	"savorypin/internal/savorypin"
)

// Cause says why an attempt failed.
type Cause string

// The causes of failed attempts, in sorted order.
const (
	// CauseEngine means that the agent reported a failure of its engine, that
	// tokens were missing too often, or that the answer is shorter than the log.
	CauseEngine Cause = "engine"
	// CauseHost means that the agent's host can't be reached on a new connection,
	// or that the connections to it were lost too often.
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
	// CauseSuperseded means that another attempt extended the log, that another
	// entry has taken over the generation, or that the generation has ended.
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
	// MaxFailures is the number of failed attempts with little progress in between
	// at which the generation ends.
	MaxFailures int
	// MaxReattaches is the maximum number of times in a row that an attempt is
	// attached to again because of missing tokens or a lost connection.
	MaxReattaches int
	// MaxTickDelay is the delay of a tick at which the daemon counts as having
	// been paused.
	MaxTickDelay time.Duration
	// MaxPlaceRetryDelay is the maximum delay before a retry of the choice of an
	// endpoint. The delay starts at PlaceRetryDelay and doubles.
	MaxPlaceRetryDelay time.Duration
	// PlaceRetryDelay is the delay before the first retry of the choice of an
	// endpoint.
	PlaceRetryDelay time.Duration
	// MinProgressTokens is the number of tokens that an attempt must have added to
	// the log for its failure to restart the count of failures.
	MinProgressTokens int
	// MaxPlacementFailures is the number of failed choices of an endpoint at which
	// a generation that has not run ends.
	MaxPlacementFailures int
}

// DefaultLimits returns the limits that entries use.
func DefaultLimits() Limits {
	return Limits{
		AttachSuspectTimeout: 250 * time.Millisecond,
		AttachTimeout:        600 * time.Millisecond,
		MaxFailures:          4,
		MaxReattaches:        8,
		MaxTickDelay:         400 * time.Millisecond,
		MaxPlaceRetryDelay:   time.Second,
		PlaceRetryDelay:      100 * time.Millisecond,
		MinProgressTokens:    32,
		MaxPlacementFailures: 4,
	}
}
