package savorypinevent

import (
	"time"

	"github.com/charmbracelet/log"
)

// AttemptEnded tells how one try of a plain request at an endpoint ended.
type AttemptEnded struct {
	Age      time.Duration
	Earlier  int
	Endpoint string
	Err      error
	ID       string
	Outcome  string
	Status   int
}

// Kind names the event.
func (AttemptEnded) Kind() Kind { return KindAttemptEnded }

// Level is how much it matters.
func (AttemptEnded) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e AttemptEnded) Fields() []any {
	return withErr([]any{
		"id", e.ID, "endpoint", e.Endpoint, "outcome", e.Outcome, "status", e.Status, "earlier", e.Earlier,
		"age", milliseconds(e.Age),
	}, e.Err)
}

// Ended tells how a request ended; its kind says in which way.
type Ended struct {
	Age time.Duration
	// Attempts is the number of endpoints that it was sent to.
	Attempts int
	// Configuration is the version of the configuration that was in force.
	Configuration int64
	Endpoint      string
	Err           error
	// Event is the number of the last event that was delivered.
	Event int64
	// First is the time to the first event.
	First time.Duration
	ID    string
	// LongestPause is the longest time between two events.
	LongestPause time.Duration
	Route        string
	Status       int
	What         Kind
}

// Kind names the event.
func (e Ended) Kind() Kind { return e.What }

// Level is how much it matters.
func (e Ended) Level() log.Level {
	if e.What == KindStreamFailed {
		return log.WarnLevel
	}
	return log.InfoLevel
}

// Fields are names and values in turn.
func (e Ended) Fields() []any {
	fields := []any{"id", e.ID, "route", e.Route, "attempts", e.Attempts, "age", milliseconds(e.Age), "configuration", e.Configuration}
	if e.Endpoint != "" {
		fields = append(fields, "endpoint", e.Endpoint)
	}
	if e.Status != 0 {
		fields = append(fields, "status", e.Status)
	}
	if e.Event != 0 {
		fields = append(fields, "event", e.Event, "first", milliseconds(e.First), "longestPause", milliseconds(e.LongestPause))
	}
	return withErr(fields, e.Err)
}

// RequestRefused tells that the gateway answered a request itself, and by what
// it decided.
type RequestRefused struct {
	Configuration int64
	// ConfirmationAge is how long ago the configuration was confirmed.
	ConfirmationAge time.Duration
	// Endpoints is the number of endpoints of the service that took requests.
	Endpoints  int
	ID         string
	Path       string
	Reason     string
	RetryAfter time.Duration
	Status     int
	// Suspects is how many of the endpoints were under suspicion.
	Suspects int
}

// Kind names the event.
func (RequestRefused) Kind() Kind { return KindRequestRefused }

// Level is how much it matters.
func (RequestRefused) Level() log.Level { return log.WarnLevel }

// Fields are names and values in turn.
func (e RequestRefused) Fields() []any {
	return []any{
		"id", e.ID, "status", e.Status, "reason", e.Reason, "path", e.Path, "retryAfter", milliseconds(e.RetryAfter),
		"configuration", e.Configuration, "confirmationAge", milliseconds(e.ConfirmationAge), "endpoints", e.Endpoints, "suspects", e.Suspects,
	}
}

// StreamSent tells where a stream is sent and by what that was decided.
type StreamSent struct {
	Age     time.Duration
	Attempt int
	// Backup is the endpoint that keeps a copy of its memory.
	Backup string
	// DirectoryAge is how long ago the list of endpoints was confirmed.
	DirectoryAge time.Duration
	Domain       string
	Endpoint     string
	// Event is the number of the last event that was delivered.
	Event    int64
	ID       string
	Restored bool
	// Waiting is the number of prompt tokens that wait at the endpoint.
	Waiting int
}

// Kind names the event.
func (StreamSent) Kind() Kind { return KindStreamSent }

// Level is how much it matters.
func (StreamSent) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e StreamSent) Fields() []any {
	return []any{
		"id", e.ID, "endpoint", e.Endpoint, "domain", e.Domain, "attempt", e.Attempt, "backup", e.Backup, "restored", e.Restored,
		"event", e.Event, "waiting", e.Waiting, "directoryAge", milliseconds(e.DirectoryAge), "age", milliseconds(e.Age),
	}
}

// StreamBroken tells why a stream leaves an endpoint.
type StreamBroken struct {
	Age      time.Duration
	Endpoint string
	Err      error
	Event    int64
	ID       string
}

// Kind names the event.
func (StreamBroken) Kind() Kind { return KindStreamBroken }

// Level is how much it matters.
func (StreamBroken) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e StreamBroken) Fields() []any {
	return withErr([]any{"id", e.ID, "endpoint", e.Endpoint, "event", e.Event, "age", milliseconds(e.Age)}, e.Err)
}

// StreamResumed tells that a stream goes on after it broke off.
type StreamResumed struct {
	Age      time.Duration
	Endpoint string
	Event    int64
	ID       string
	// Pause is the time without an event at the caller.
	Pause    time.Duration
	Restored bool
}

// Kind names the event.
func (StreamResumed) Kind() Kind { return KindStreamResumed }

// Level is how much it matters.
func (StreamResumed) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e StreamResumed) Fields() []any {
	return []any{
		"id", e.ID, "endpoint", e.Endpoint, "restored", e.Restored, "event", e.Event,
		"pause", milliseconds(e.Pause), "age", milliseconds(e.Age),
	}
}
