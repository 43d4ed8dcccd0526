package savorypinevent

import (
	"time"

	"github.com/charmbracelet/log"
)

// StreamWaited reports that a stream was refused a place in the waiting queue, or that it waited for
// long, and how that ended.
type StreamWaited struct {
	// Age is the time since the request arrived.
	Age time.Duration
	ID  string
	// Length is the number of streams that wait now.
	Length int
	// Outcome is how the wait ended, and Reason why, if the stream did not start.
	Outcome  string
	Priority int
	Reason   string
	// RetryAfter is when the caller may come back; zero if the stream started.
	RetryAfter time.Duration
	Service    string
	// Wait is how long the stream waited.
	Wait time.Duration
}

// Kind returns the kind of the event.
func (StreamWaited) Kind() Kind { return KindStreamWaited }

// Level returns the level of the log line.
func (StreamWaited) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e StreamWaited) Fields() []any {
	fields := []any{
		"id", e.ID, "service", e.Service, "priority", e.Priority, "outcome", e.Outcome, "wait", milliseconds(e.Wait),
		"length", e.Length, "age", milliseconds(e.Age),
	}
	if e.Reason != "" {
		fields = append(fields, "reason", e.Reason, "retryAfter", milliseconds(e.RetryAfter))
	}
	return fields
}
