package savorypinevent

import "github.com/charmbracelet/log"

// BufferOutcome is what the used-up memory for slow callers means for a stream.
type BufferOutcome string

// The outcomes.
const (
	// BufferAborted means that the stream was aborted so that another one can go on.
	BufferAborted BufferOutcome = "aborted"
	// BufferHeldBack means that the endpoint's response is read only as fast as the caller reads.
	BufferHeldBack BufferOutcome = "held back"
)

// BufferFull reports that the memory for the events of slow callers is used up.
type BufferFull struct {
	// Held is the number of bytes that the stream holds, or held until it was aborted.
	Held     int64
	ID       string
	Outcome  BufferOutcome
	Priority int
	Route    string
	// Used is the number of bytes that all streams hold.
	Used int64
}

// Kind returns the kind of the event.
func (BufferFull) Kind() Kind { return KindBufferFull }

// Level returns the level of the log line.
func (BufferFull) Level() log.Level { return log.WarnLevel }

// Fields returns the fields as alternating names and values.
func (e BufferFull) Fields() []any {
	return []any{"id", e.ID, "route", e.Route, "outcome", string(e.Outcome), "priority", e.Priority, "held", e.Held, "used", e.Used}
}
