package savorypinmember

import (
	"time"

	"savorypin/internal/savorypin"
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
	// FrameFind asks an agent for a generation.
	FrameFind FrameKind = "find"
	// FrameStart opens a stream to a new attempt.
	FrameStart FrameKind = "start"
	// FrameTokens carries tokens: agent to entry, on a generation's stream.
	FrameTokens FrameKind = "tokens"
)

// Attempt identifies one try at a generation.
type Attempt struct {
	Generation savorypin.GenerationID `msgpack:"g"`
	Number     int                    `msgpack:"a"`
}

// Start asks an agent to run an attempt and to stream its tokens.
type Start struct {
	Attempt Attempt `msgpack:"at"`
	// Deadline is when the caller stops waiting.
	Deadline time.Time `msgpack:"dl"`
	// Delivered are the tokens that the caller has; the attempt goes on after
	// them.
	Delivered []savorypin.Token `msgpack:"del"`
	// Endpoint is the endpoint that runs the attempt.
	Endpoint string `msgpack:"ep"`
	// Generation is what to generate.
	Generation savorypin.Generation `msgpack:"gen"`
	// Model is the name under which the engine knows the version.
	Model string `msgpack:"model"`
	// Version is the version that runs.
	Version string `msgpack:"ver"`
	// Window is how many tokens may be unacknowledged.
	Window int `msgpack:"win"`
}

// Attach asks an agent to go on with an attempt on a new stream.
type Attach struct {
	Attempt Attempt `msgpack:"at"`
	// From is the index of the first token wanted.
	From int `msgpack:"from"`
	// Window is how many tokens may be unacknowledged.
	Window int `msgpack:"win"`
}

// Tokens carries consecutive tokens of an attempt.
type Tokens struct {
	Attempt Attempt `msgpack:"at"`
	// First is the index of the first token in the whole answer.
	First  int               `msgpack:"i"`
	Tokens []savorypin.Token `msgpack:"t"`
}

// Ack says that all tokens before Next have arrived.
type Ack struct {
	Next int `msgpack:"n"`
}

// Cancel says that nobody wants the attempt any more.
type Cancel struct{}

// Done says that an attempt has ended.
type Done struct {
	Attempt Attempt `msgpack:"at"`
	// Length is the number of tokens in the whole answer.
	Length int                    `msgpack:"len"`
	Reason savorypin.FinishReason `msgpack:"why"`
}

// Find asks for a generation by its id.
type Find struct {
	Generation savorypin.GenerationID `msgpack:"g"`
}

// Found describes a generation that an agent holds.
type Found struct {
	Attempt    Attempt              `msgpack:"at"`
	Deadline   time.Time            `msgpack:"dl"`
	Delivered  []savorypin.Token    `msgpack:"del"`
	Endpoint   string               `msgpack:"ep"`
	Generation savorypin.Generation `msgpack:"gen"`
	Model      string               `msgpack:"model"`
	Version    string               `msgpack:"ver"`
}
