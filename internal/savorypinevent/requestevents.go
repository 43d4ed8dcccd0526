package savorypinevent

import (
	"time"

	"github.com/charmbracelet/log"

	"savorypin/internal/savorypinfleet"
)

// AttemptEnded reports the outcome of one attempt of a plain request at an endpoint.
type AttemptEnded struct {
	// Age is the time since the request arrived.
	Age time.Duration
	// Earlier is the number of earlier attempts of the request.
	Earlier  int
	Endpoint string
	Err      error
	ID       string
	Outcome  string
	Status   int
}

// Kind returns the kind of the event.
func (AttemptEnded) Kind() Kind { return KindAttemptEnded }

// Level returns the level of the log line.
func (AttemptEnded) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e AttemptEnded) Fields() []any {
	return appendErr([]any{
		"id", e.ID, "endpoint", e.Endpoint, "outcome", e.Outcome, "status", e.Status, "earlier", e.Earlier,
		"age", milliseconds(e.Age),
	}, e.Err)
}

// RequestEnded reports the end of a request. Its kind is the outcome.
type RequestEnded struct {
	// Age is the time since the request arrived.
	Age time.Duration
	// Attempts is the number of attempts that were made.
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
	// EventKind is the kind of the event, which says how the request ended.
	EventKind Kind
}

// Kind returns the kind of the event.
func (e RequestEnded) Kind() Kind { return e.EventKind }

// Level returns the level of the log line.
func (e RequestEnded) Level() log.Level {
	switch e.EventKind {
	case KindRequestUnanswered, KindStreamFailed:
		return log.WarnLevel
	default:
		return log.InfoLevel
	}
}

// Fields returns the fields as alternating names and values.
func (e RequestEnded) Fields() []any {
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
	return appendErr(fields, e.Err)
}

// RequestRefused reports that the gateway sent the caller an error of its own, because it
// rejected the request or got no complete response from an endpoint. It includes the
// state of the gateway.
type RequestRefused struct {
	// Configuration is the version of the configuration that was in force.
	Configuration int64
	// ConfirmationAge is the time since the configuration was last confirmed.
	ConfirmationAge time.Duration
	// Endpoints is the number of endpoints of the service that accepted requests.
	Endpoints int
	ID        string
	// Path is the URI of the request.
	Path       string
	Reason     string
	RetryAfter time.Duration
	Status     int
	// Subject is what crashes endpoints, if that is the reason; zero if it isn't.
	Subject savorypinfleet.Subject
	// Suspects is the number of these endpoints that were suspected of having failed.
	Suspects int
}

// Kind returns the kind of the event.
func (RequestRefused) Kind() Kind { return KindRequestRefused }

// Level returns the level of the log line.
func (RequestRefused) Level() log.Level { return log.WarnLevel }

// Fields returns the fields as alternating names and values.
func (e RequestRefused) Fields() []any {
	fields := []any{
		"id", e.ID, "status", e.Status, "reason", e.Reason, "path", e.Path, "retryAfter", milliseconds(e.RetryAfter),
		"configuration", e.Configuration, "confirmationAge", milliseconds(e.ConfirmationAge), "endpoints", e.Endpoints, "suspects", e.Suspects,
	}
	if e.Subject != 0 {
		fields = appendSubject(fields, e.Subject)
	}
	return fields
}

// appendSubject adds the name and the hash of a subject.
func appendSubject(fields []any, s savorypinfleet.Subject) []any {
	name := "part"
	if s.IsRequest() {
		name = "request"
	}
	return append(fields, name, s.String())
}

// StreamSent reports the endpoint that a stream is sent to, and the state on which the
// choice was based.
type StreamSent struct {
	// Age is the time since the request arrived.
	Age     time.Duration
	Attempt int
	// Backup is the endpoint that keeps a copy of the stream's KV cache.
	Backup string
	// DirectoryAge is the time since the list of endpoints was last confirmed.
	DirectoryAge time.Duration
	Domain       string
	Endpoint     string
	// Event is the number of the last event that was delivered.
	Event int64
	ID    string
	// Priority is the rank of the stream's priority among the streams to its service; 0 is the highest.
	Priority int
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Reserved is the number of tokens of KV memory that were reserved at the endpoint before, over all
	// gateways; zero if memory is not limited.
	Reserved int
	// Restored reports whether the endpoint is to continue from the copy of the KV cache.
	Restored bool
	// Waiting is the number of prompt tokens that are queued at the endpoint.
	Waiting int
}

// Kind returns the kind of the event.
func (StreamSent) Kind() Kind { return KindStreamSent }

// Level returns the level of the log line.
func (StreamSent) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e StreamSent) Fields() []any {
	return []any{
		"id", e.ID, "endpoint", e.Endpoint, "domain", e.Domain, "attempt", e.Attempt, "backup", e.Backup, "restored", e.Restored,
		"event", e.Event, "prompt", e.PromptTokens, "priority", e.Priority, "reserved", e.Reserved, "waiting", e.Waiting, "directoryAge", milliseconds(e.DirectoryAge), "age", milliseconds(e.Age),
	}
}

// StreamBroken reports that a stream broke off at an endpoint, and why.
type StreamBroken struct {
	// Age is the time since the request arrived.
	Age      time.Duration
	Endpoint string
	Err      error
	// Event is the number of the last event that was delivered.
	Event int64
	ID    string
}

// Kind returns the kind of the event.
func (StreamBroken) Kind() Kind { return KindStreamBroken }

// Level returns the level of the log line.
func (StreamBroken) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e StreamBroken) Fields() []any {
	return appendErr([]any{"id", e.ID, "endpoint", e.Endpoint, "event", e.Event, "age", milliseconds(e.Age)}, e.Err)
}

// StreamResumed reports that a stream continues after it broke off.
type StreamResumed struct {
	// Age is the time since the request arrived.
	Age      time.Duration
	Endpoint string
	// Event is the number of the last event that was delivered.
	Event int64
	ID    string
	// Pause is the time in which the caller received no event.
	Pause time.Duration
	// Restored reports whether the endpoint continues from the copy of the KV cache.
	Restored bool
}

// Kind returns the kind of the event.
func (StreamResumed) Kind() Kind { return KindStreamResumed }

// Level returns the level of the log line.
func (StreamResumed) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e StreamResumed) Fields() []any {
	return []any{
		"id", e.ID, "endpoint", e.Endpoint, "restored", e.Restored, "event", e.Event,
		"pause", milliseconds(e.Pause), "age", milliseconds(e.Age),
	}
}
