package savorypinmember

import "savorypin/internal/savorypin"

// Kinds of messages about members and configuration, in sorted order.
const (
	// FrameBeat is a heartbeat.
	FrameBeat FrameKind = "beat"
	// FrameConfig is an exchange of configuration.
	FrameConfig FrameKind = "config"
	// FrameHeld asks at which version an object is in force.
	FrameHeld FrameKind = "held"
	// FrameReport reports a load. It has no answer.
	FrameReport FrameKind = "report"
	// FrameStop orders a planned stop.
	FrameStop FrameKind = "stop"
)

// Held asks at which version an object is in force.
type Held struct {
	Key savorypin.Key `msgpack:"key"`
}

// HeldAnswer is the version of an object in force; 0 if there is none.
type HeldAnswer struct {
	Version int64 `msgpack:"v"`
}

// Stop orders a planned stop.
type Stop struct {
	By string `msgpack:"by"`
}

// Empty is an answer without content.
type Empty struct{}
