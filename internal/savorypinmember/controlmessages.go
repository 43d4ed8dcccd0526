package savorypinmember

import (
	"savorypin/internal/savorypin"
)

// Kinds of messages about members and configuration, in sorted order.
const (
	// FrameBeat is a heartbeat.
	FrameBeat FrameKind = "beat"
	// FramePull asks for objects.
	FramePull FrameKind = "pull"
	// FramePush sends objects.
	FramePush FrameKind = "push"
	// FrameStop orders a planned stop.
	FrameStop FrameKind = "stop"
)

// Beat is a heartbeat: what the sender knows of members.
type Beat struct {
	Members []savorypin.MemberState `msgpack:"mem"`
}

// Pull asks for the objects that are newer than what the sender holds.
type Pull struct {
	Versions map[string]int64 `msgpack:"ver"`
}

// Push sends objects.
type Push struct {
	Objects []savorypin.Object `msgpack:"obj"`
}

// Stop orders a planned stop.
type Stop struct {
	By string `msgpack:"by"`
}

// Empty is an answer without content.
type Empty struct{}
