package savorypinmember

import (
	"time"

	"savorypin/internal/savorypinclaim"
)

// Kinds of messages about calls of plain services and about claims, in sorted order.
const (
	// FrameAwait requests the outcome of an attempt once it is known.
	FrameAwait FrameKind = "await"
	// FrameBar asks an agent never to pass an attempt on to its endpoint.
	FrameBar FrameKind = "bar"
	// FrameCall asks an agent to pass a call on to an endpoint.
	FrameCall FrameKind = "call"
	// FrameClaim claims a key.
	FrameClaim FrameKind = "claim"
	// FrameLastSegment asks an entry for the last segment of a shard that it has tried to write.
	FrameLastSegment FrameKind = "head"
	// FrameOutcome reports the outcome of an attempt.
	FrameOutcome FrameKind = "settle"
)

// LastSegmentQuery asks an entry for the last segment of a shard that it has tried to write.
type LastSegmentQuery struct {
	Shard int `msgpack:"sh"`
}

// LastSegmentAnswer is the answer to LastSegmentQuery.
type LastSegmentAnswer struct {
	// LastTried is the number of the last segment that the entry has tried to write;
	// zero if it has tried none.
	LastTried uint64 `msgpack:"tri"`
	// Uptime is how long the entry has been running. It knows of no segments from before.
	Uptime time.Duration `msgpack:"up"`
}

// PlainCall asks an agent to pass a call on to an endpoint.
type PlainCall struct {
	Body        []byte    `msgpack:"body"`
	ContentType string    `msgpack:"ct"`
	Deadline    time.Time `msgpack:"dl"`
	Endpoint    string    `msgpack:"ep"`
	// Key is the idempotency key; empty if the call may be repeated.
	Key  string `msgpack:"key"`
	Path string `msgpack:"path"`
	// Claimed is the claim of the key; nil if the call may be repeated.
	Claimed *savorypinclaim.ClaimedAttempt `msgpack:"tick,omitempty"`
}

// PlainAnswer is the response of an endpoint to a plain call.
type PlainAnswer struct {
	Body        []byte `msgpack:"body"`
	ContentType string `msgpack:"ct"`
	// Refused is why the agent didn't pass the call on; empty if it did.
	Refused Refusal `msgpack:"ref,omitempty"`
	Status  int     `msgpack:"st"`
}

// Refusal is why an agent didn't pass an attempt on.
type Refusal string

// The refusals.
const (
	// RefusalBarred means that the attempt was barred before the call arrived.
	RefusalBarred Refusal = "barred"
	// RefusalOther means any other reason.
	RefusalOther Refusal = "other"
)

// BarAttempt asks an agent never to pass an attempt on to its endpoint.
type BarAttempt struct {
	Claimed savorypinclaim.ClaimedAttempt `msgpack:"tick"`
	// Wait is how long the agent waits for the end of an attempt that is in progress.
	Wait time.Duration `msgpack:"wait"`
}

// BarAnswer is the answer to BarAttempt: the state of the attempt at its agent.
type BarAnswer struct {
	Answer *savorypinclaim.Answer `msgpack:"ans"`
	// Outcome is the outcome of the attempt; OutcomeClaimed if it is still in progress.
	Outcome savorypinclaim.Outcome `msgpack:"out"`
}

// Await requests the outcome of an attempt once it is known.
type Await struct {
	Attempt string               `msgpack:"att"`
	Key     savorypinclaim.KeyID `msgpack:"key"`
	// Wait is how long to wait for the outcome.
	Wait time.Duration `msgpack:"wait"`
}
