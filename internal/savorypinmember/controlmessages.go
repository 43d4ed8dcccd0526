package savorypinmember

import "savorypin/internal/savorypin"

// Kinds of messages about members and configuration.
const (
	// FrameHeartbeat is a heartbeat.
	FrameHeartbeat FrameKind = "beat"
	// FrameConfig exchanges configuration.
	FrameConfig FrameKind = "config"
	// FrameVersion asks for the version of an object that is in force.
	FrameVersion FrameKind = "version"
	// FrameReport reports the load of a member. It has no answer.
	FrameReport FrameKind = "report"
	// FrameStop orders a planned stop of the receiver.
	FrameStop FrameKind = "stop"
)

// VersionQuery asks for the version of an object that is in force.
type VersionQuery struct {
	Key savorypin.Key `msgpack:"key"`
}

// VersionAnswer is the version of an object in force; 0 if there is none.
type VersionAnswer struct {
	Version int64 `msgpack:"v"`
}

// Stop orders a planned stop of the receiver.
type Stop struct {
	// By names who orders it: an operator, or the platform.
	By string `msgpack:"by"`
}

// Empty is an answer without content.
type Empty struct{}
