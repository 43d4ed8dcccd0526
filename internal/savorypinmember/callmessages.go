package savorypinmember

import (
	"time"

	"savorypin/internal/savorypinclaim"
)

// Kinds of messages about calls of plain services and about claims, in sorted
// order.
const (
	// FrameAwait waits for the outcome of an attempt.
	FrameAwait FrameKind = "await"
	// FrameBar asks an agent never to run an attempt.
	FrameBar FrameKind = "bar"
	// FrameCall runs a plain call.
	FrameCall FrameKind = "call"
	// FrameClaim claims a key.
	FrameClaim FrameKind = "claim"
	// FrameHead asks which segment of a shard an entry has tried to write last.
	FrameHead FrameKind = "head"
	// FrameSettle tells the outcome of an attempt.
	FrameSettle FrameKind = "settle"
)

// Head asks for the last segment of a shard.
type Head struct {
	Shard int `msgpack:"sh"`
}

// HeadAnswer is the answer to Head.
type HeadAnswer struct {
	// Tried is the number of the last segment that the entry has tried to write;
	// zero if it has tried none.
	Tried uint64 `msgpack:"tri"`
	// Up is how long the entry has run: it knows of nothing before.
	Up time.Duration `msgpack:"up"`
}

// PlainCall asks an agent to run a call at an endpoint.
type PlainCall struct {
	Body        []byte    `msgpack:"body"`
	ContentType string    `msgpack:"ct"`
	Deadline    time.Time `msgpack:"dl"`
	Endpoint    string    `msgpack:"ep"`
	// Key is the idempotency key; empty if the call may be repeated.
	Key  string `msgpack:"key"`
	Path string `msgpack:"path"`
	// Ticket is the claim of the key; nil if the call may be repeated.
	Ticket *savorypinclaim.Ticket `msgpack:"tick,omitempty"`
}

// PlainAnswer is what an endpoint answered.
type PlainAnswer struct {
	Body        []byte `msgpack:"body"`
	ContentType string `msgpack:"ct"`
	// Refused says that an attempt was not passed on.
	Refused Refusal `msgpack:"ref,omitempty"`
	Status  int     `msgpack:"st"`
}

// Refusal says why an agent did not pass an attempt on.
type Refusal string

// The refusals.
const (
	// RefusalBarred means that the attempt was barred before it arrived.
	RefusalBarred Refusal = "barred"
	// RefusalOther means any other reason.
	RefusalOther Refusal = "other"
)

// Bar asks an agent never to pass an attempt on to its endpoint.
type Bar struct {
	Ticket savorypinclaim.Ticket `msgpack:"tick"`
	// Wait is how long to wait for the end of an attempt that is under way.
	Wait time.Duration `msgpack:"wait"`
}

// Barred says what an agent knows of an attempt.
type Barred struct {
	Answer *savorypinclaim.Answer `msgpack:"ans"`
	// Outcome is claimed if the attempt is still under way.
	Outcome savorypinclaim.Outcome `msgpack:"out"`
}

// Await waits for the outcome of an attempt.
type Await struct {
	Attempt string               `msgpack:"att"`
	Key     savorypinclaim.KeyID `msgpack:"key"`
	// Wait is how long to wait.
	Wait time.Duration `msgpack:"wait"`
}
