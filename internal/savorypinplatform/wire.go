package savorypinplatform

import "encoding/json"

// Metadata is the metadata of a platform object.
type Metadata struct {
	Annotations     map[string]string `json:"annotations,omitempty"`
	Name            string            `json:"name"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
}

// Document is a platform object on the wire.
type Document struct {
	Kind     string          `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// List is a list of platform objects on the wire.
type List struct {
	Items    []Document `json:"items"`
	Metadata Metadata   `json:"metadata"`
}

// EventType says what a watch event reports.
type EventType string

// The types of watch events.
const (
	EventAdded    EventType = "ADDED"
	EventBookmark EventType = "BOOKMARK"
	EventDeleted  EventType = "DELETED"
	EventError    EventType = "ERROR"
	EventModified EventType = "MODIFIED"
)

// Event is one event of a watch on the wire.
type Event struct {
	Object Document  `json:"object"`
	Type   EventType `json:"type"`
}

// Host is one host in the platform's list of hosts.
type Host struct {
	// Addresses are the addresses of daemons on the host.
	Addresses []string `json:"addresses"`
	// Leaving reports whether the host is about to be removed.
	Leaving bool `json:"leaving"`
	// Name is the name of the host.
	Name string `json:"name"`
}
