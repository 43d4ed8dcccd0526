package savorypinmember

import (
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
)

// Kinds of messages about generations, in sorted order.
const (
	// FrameAck acknowledges tokens: entry to agent, on a generation's stream.
	FrameAck FrameKind = "ack"
	// FrameAttach opens a stream to an attempt that exists.
	FrameAttach FrameKind = "attach"
	// FrameCancel ends an attempt: entry to agent, on a generation's stream.
	FrameCancel FrameKind = "cancel"
	// FrameDone ends a generation's stream: agent to entry.
	FrameDone FrameKind = "done"
	// FrameDrop ends an attempt that the entry has no stream to.
	FrameDrop FrameKind = "drop"
	// FrameFind asks an agent for a generation.
	FrameFind FrameKind = "find"
	// FramePlace tells an agent where a generation has moved to.
	FramePlace FrameKind = "place"
	// FrameStart opens a stream to a new attempt.
	FrameStart FrameKind = "start"
	// FrameTokens carries tokens: agent to entry, on a generation's stream.
	FrameTokens FrameKind = "tokens"
)

// Attempt identifies one try at a generation.
type Attempt struct {
	Generation savorypin.GenerationID `msgpack:"g"`
	ID         savorypin.AttemptID    `msgpack:"a"`
}

// Start asks an agent to run an attempt and to stream its tokens.
type Start struct {
	Attempt Attempt `msgpack:"at"`
	// Delivered are the tokens that the caller has; the attempt goes on after
	// them.
	Delivered []savorypin.Token `msgpack:"del"`
	// Endpoint is the endpoint that runs the attempt.
	Endpoint string `msgpack:"ep"`
	// Generation is what to generate.
	Generation savorypin.Generation `msgpack:"gen"`
	// Lineage says which attempts produced the delivered tokens.
	Lineage savorypin.Lineage `msgpack:"lin"`
	// Model is the name under which the engine knows the version.
	Model string `msgpack:"model"`
	// Version is the version that runs.
	Version string `msgpack:"ver"`
	// Window is how many tokens may be unacknowledged.
	Window int `msgpack:"win"`
	// Within is how long the caller still waits. Clocks of hosts may differ.
	Within time.Duration `msgpack:"in"`
}

// Attach asks an agent to go on with an attempt on a new stream.
type Attach struct {
	Attempt Attempt `msgpack:"at"`
	// From is the index of the first token wanted.
	From int `msgpack:"from"`
	// Term is the term of the entry that asks. Entries of lower terms lose the
	// generation.
	Term uint64 `msgpack:"term"`
	// Window is how many tokens may be unacknowledged.
	Window int `msgpack:"win"`
}

// Ack says that all tokens before Next have arrived.
type Ack struct {
	Next int `msgpack:"n"`
}

// Cancel says that nobody wants the attempt any more.
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

// Found is what an agent knows of a generation: where it has moved to, or an
// attempt that it holds, or both.
type Found struct {
	Held  *Held                  `msgpack:"held"`
	Place *savorypinresume.Place `msgpack:"place"`
}

// Place tells an agent where a generation has moved to.
type Place struct {
	// Keep is how long the place is of use.
	Keep  time.Duration         `msgpack:"keep"`
	Place savorypinresume.Place `msgpack:"place"`
}

// Held describes an attempt that an agent holds.
type Held struct {
	Attempt savorypin.AttemptID `msgpack:"at"`
	// Endpoint is the endpoint that runs the attempt.
	Endpoint string `msgpack:"ep"`
	// Generation is what is generated.
	Generation savorypin.Generation `msgpack:"gen"`
	// Lineage says which attempts produced the tokens.
	Lineage savorypin.Lineage `msgpack:"lin"`
	// Model is the name under which the engine knows the version.
	Model string `msgpack:"model"`
	// Term is the highest term that the agent has seen of the generation.
	Term uint64 `msgpack:"term"`
	// Tokens are all tokens of the answer so far.
	Tokens []savorypin.Token `msgpack:"tok"`
	// Version is the version that runs.
	Version string `msgpack:"ver"`
	// Within is how long the caller still waits.
	Within time.Duration `msgpack:"in"`
}
