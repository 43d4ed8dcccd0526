package savorypinmember

import (
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
)

// Kinds of messages about generations, in sorted order.
const (
	// FrameAck acknowledges tokens. Entries send it to agents on the stream of a generation.
	FrameAck FrameKind = "ack"
	// FrameAttach opens a stream to an existing attempt.
	FrameAttach FrameKind = "attach"
	// FrameCancel ends the attempt of a stream. Agents accept it, but entries send FrameDrop
	// instead.
	FrameCancel FrameKind = "cancel"
	// FrameDone ends the stream of a generation. Agents send it to entries.
	FrameDone FrameKind = "done"
	// FrameDrop ends an attempt to which the entry has no stream.
	FrameDrop FrameKind = "drop"
	// FrameFind asks an agent for a generation.
	FrameFind FrameKind = "find"
	// FrameLocation informs an agent where a generation has moved to.
	FrameLocation FrameKind = "place"
	// FrameStart opens a stream to a new attempt.
	FrameStart FrameKind = "start"
	// FrameTokens carries tokens. Agents send it to entries on the stream of a generation.
	FrameTokens FrameKind = "tokens"
)

// Attempt identifies an attempt at a generation.
type Attempt struct {
	Generation savorypin.GenerationID `msgpack:"g"`
	ID         savorypin.AttemptID    `msgpack:"a"`
}

// Start asks an agent to run an attempt and to stream its tokens.
type Start struct {
	Attempt Attempt `msgpack:"at"`
	// Delivered are the tokens that the caller already has. The attempt continues after them.
	Delivered []savorypin.Token `msgpack:"del"`
	// Endpoint is the endpoint that runs the attempt.
	Endpoint string `msgpack:"ep"`
	// Generation is what to generate.
	Generation savorypin.Generation `msgpack:"gen"`
	// Lineage records which attempts produced the delivered tokens.
	Lineage savorypin.Lineage `msgpack:"lin"`
	// Model is the engine's name of the version.
	Model string `msgpack:"model"`
	// Version is the version that runs.
	Version string `msgpack:"ver"`
	// Window is how many tokens may be unacknowledged.
	Window int `msgpack:"win"`
	// RemainingWait is how much longer the caller waits. It is a duration because the clocks of
	// hosts may differ.
	RemainingWait time.Duration `msgpack:"in"`
}

// Attach asks an agent to continue an attempt on a new stream.
type Attach struct {
	Attempt Attempt `msgpack:"at"`
	// From is the index of the first token that is requested.
	From int `msgpack:"from"`
	// Term is the term of the entry that asks. Entries with lower terms lose the generation.
	Term uint64 `msgpack:"term"`
	// Window is how many tokens may be unacknowledged.
	Window int `msgpack:"win"`
}

// Ack acknowledges all tokens before Next.
type Ack struct {
	Next int `msgpack:"n"`
}

// Cancel ends an attempt that is no longer needed.
type Cancel struct{}

// Done says that an attempt has ended.
type Done struct {
	Attempt savorypin.AttemptID `msgpack:"at"`
	// Length is the number of tokens in the whole answer.
	Length int                    `msgpack:"len"`
	Reason savorypin.FinishReason `msgpack:"why"`
}

// Drop asks an agent to end an attempt.
type Drop struct {
	Attempt Attempt `msgpack:"at"`
}

// Find asks for a generation by its id.
type Find struct {
	Generation savorypin.GenerationID `msgpack:"g"`
}

// FindAnswer is the answer to Find: the attempt that the agent holds, where the generation has
// moved to, or both.
type FindAnswer struct {
	Held     *HeldAttempt              `msgpack:"held"`
	Location *savorypinresume.Location `msgpack:"place"`
}

// Location informs an agent where a generation has moved to.
type Location struct {
	// Keep is how long the agent should keep the location.
	Keep     time.Duration            `msgpack:"keep"`
	Location savorypinresume.Location `msgpack:"place"`
}

// HeldAttempt describes an attempt that an agent holds.
type HeldAttempt struct {
	Attempt savorypin.AttemptID `msgpack:"at"`
	// Endpoint is the endpoint that runs the attempt.
	Endpoint string `msgpack:"ep"`
	// Generation is what to generate.
	Generation savorypin.Generation `msgpack:"gen"`
	// Lineage records which attempts produced the tokens.
	Lineage savorypin.Lineage `msgpack:"lin"`
	// Model is the engine's name of the version.
	Model string `msgpack:"model"`
	// Term is the highest term that the agent has seen of the generation.
	Term uint64 `msgpack:"term"`
	// Tokens are all tokens of the answer so far.
	Tokens []savorypin.Token `msgpack:"tok"`
	// Version is the version that runs.
	Version string `msgpack:"ver"`
	// RemainingWait is how much longer the caller waits.
	RemainingWait time.Duration `msgpack:"in"`
}
