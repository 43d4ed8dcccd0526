package savorypinmember

import (
	"time"
)

// Kinds of messages about calls of plain services, in sorted order.
const (
	// FrameBar asks an agent never to run a key.
	FrameBar FrameKind = "bar"
	// FrameCall runs a plain call.
	FrameCall FrameKind = "call"
)

// PlainCall asks an agent to run a call at an endpoint.
type PlainCall struct {
	Body        []byte    `msgpack:"body"`
	ContentType string    `msgpack:"ct"`
	Deadline    time.Time `msgpack:"dl"`
	Endpoint    string    `msgpack:"ep"`
	Key         string    `msgpack:"key"`
	Path        string    `msgpack:"path"`
}

// PlainAnswer is what an endpoint answered.
type PlainAnswer struct {
	Body        []byte `msgpack:"body"`
	ContentType string `msgpack:"ct"`
	Status      int    `msgpack:"st"`
}

// Bar asks an agent never to pass a key on to its endpoint.
type Bar struct {
	Endpoint string `msgpack:"ep"`
	Key      string `msgpack:"key"`
}

// Barred says what an agent knows of a key.
type Barred struct {
	// Answer is what the endpoint answered, if the agent knows.
	Answer *PlainAnswer `msgpack:"ans"`
	// Passed says that the key was passed on to the endpoint before it was
	// barred.
	Passed bool `msgpack:"passed"`
}
