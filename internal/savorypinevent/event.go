// Package savorypinevent writes what a gateway decides and believes as log
// lines. Each event has a type that names its fields, so that all lines of a
// kind can be read alike. The volume is bounded for each kind, and no request
// ever waits for a line to be written.
package savorypinevent

import (
	"time"

	"github.com/charmbracelet/log"
)

// Kind names an event; it is the message of its line.
type Kind string

// The kinds of events, in sorted order.
const (
	KindAttemptEnded         Kind = "attempt ended"
	KindCallerLeft           Kind = "caller left"
	KindConfigurationInForce Kind = "configuration in force"
	KindDependency           Kind = "dependency"
	KindDomainSuspect        Kind = "failure domain suspect"
	KindEndpointSuspect      Kind = "endpoint suspect"
	KindEndpointsChanged     Kind = "endpoints changed"
	KindHistoryLost          Kind = "history lost"
	KindIgnored              Kind = "input ignored"
	KindLinesLeftOut         Kind = "lines left out"
	KindProcess              Kind = "process"
	KindReadinessChanged     Kind = "readiness changed"
	KindRequestAnswered      Kind = "request answered"
	KindRequestRefused       Kind = "request refused"
	KindRollout              Kind = "rollout"
	KindStreamBroken         Kind = "stream broken"
	KindStreamCompleted      Kind = "stream completed"
	KindStreamFailed         Kind = "stream failed"
	KindStreamResumed        Kind = "stream resumed"
	KindStreamSent           Kind = "stream sent"
)

// Event is something that is logged.
type Event interface {
	// Kind names the event.
	Kind() Kind
	// Level is how much it matters.
	Level() log.Level
	// Fields are names and values in turn.
	Fields() []any
}

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

// Ignored tells of input that can't be used.
type Ignored struct {
	Err error
	// What is ignored, with its name.
	What string
}

// Kind names the event.
func (Ignored) Kind() Kind { return KindIgnored }

// Level is how much it matters.
func (Ignored) Level() log.Level { return log.WarnLevel }

// Fields are names and values in turn.
func (e Ignored) Fields() []any {
	return withErr([]any{"what", e.What}, e.Err)
}

// HistoryLost tells that a kind is listed anew, since the store has dropped the
// changes.
type HistoryLost struct {
	Of      string
	Version int64
}

// Kind names the event.
func (HistoryLost) Kind() Kind { return KindHistoryLost }

// Level is how much it matters.
func (HistoryLost) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e HistoryLost) Fields() []any {
	return []any{"of", e.Of, "version", e.Version}
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

// EndpointSuspect tells why an endpoint gets no new work for a while.
type EndpointSuspect struct {
	Domain       string
	DomainFailed bool
	Endpoint     string
	Reason       string
}

// Kind names the event.
func (EndpointSuspect) Kind() Kind { return KindEndpointSuspect }

// Level is how much it matters.
func (EndpointSuspect) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e EndpointSuspect) Fields() []any {
	return []any{"endpoint", e.Endpoint, "domain", e.Domain, "reason", e.Reason, "domainFailed", e.DomainFailed}
}

// DomainSuspect tells that a failure domain is taken as failed.
type DomainSuspect struct {
	Domain    string
	Endpoints int
	SeenBy    string
	Service   string
}

// Kind names the event.
func (DomainSuspect) Kind() Kind { return KindDomainSuspect }

// Level is how much it matters.
func (DomainSuspect) Level() log.Level { return log.WarnLevel }

// Fields are names and values in turn.
func (e DomainSuspect) Fields() []any {
	return []any{"domain", e.Domain, "service", e.Service, "endpoints", e.Endpoints, "seenBy", e.SeenBy}
}

// EndpointsChanged tells that the list of endpoints has changed.
type EndpointsChanged struct {
	Gone      int
	Now       int
	Restarted int
	Revision  int64
}

// Kind names the event.
func (EndpointsChanged) Kind() Kind { return KindEndpointsChanged }

// Level is how much it matters.
func (EndpointsChanged) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e EndpointsChanged) Fields() []any {
	return []any{"now", e.Now, "gone", e.Gone, "restarted", e.Restarted, "revision", e.Revision}
}

// ConfigurationInForce tells that a configuration is in force.
type ConfigurationInForce struct {
	Revision int64
	Version  int64
}

// Kind names the event.
func (ConfigurationInForce) Kind() Kind { return KindConfigurationInForce }

// Level is how much it matters.
func (ConfigurationInForce) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e ConfigurationInForce) Fields() []any {
	return []any{"version", e.Version, "revision", e.Revision}
}

// Dependency tells that a dependency was lost or regained.
type Dependency struct {
	Err  error
	Lost bool
	// Name is the store, or a gateway's address.
	Name string
}

// Kind names the event.
func (Dependency) Kind() Kind { return KindDependency }

// Level is how much it matters.
func (e Dependency) Level() log.Level {
	if e.Lost {
		return log.WarnLevel
	}
	return log.InfoLevel
}

// Fields are names and values in turn.
func (e Dependency) Fields() []any {
	state := "regained"
	if e.Lost {
		state = "lost"
	}
	return withErr([]any{"name", e.Name, "state", state}, e.Err)
}

// Process tells of the start, the stop and reloads of the process.
type Process struct {
	Err error
	// What is started, stop begun, stopped, reloaded or not reloaded.
	What string
}

// Kind names the event.
func (Process) Kind() Kind { return KindProcess }

// Level is how much it matters.
func (e Process) Level() log.Level {
	if e.Err != nil {
		return log.ErrorLevel
	}
	return log.InfoLevel
}

// Fields are names and values in turn.
func (e Process) Fields() []any {
	return withErr([]any{"what", e.What}, e.Err)
}

// ReadinessChanged tells that the gateway takes new callers, or why not.
type ReadinessChanged struct {
	Ready  bool
	Reason string
}

// Kind names the event.
func (ReadinessChanged) Kind() Kind { return KindReadinessChanged }

// Level is how much it matters.
func (ReadinessChanged) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e ReadinessChanged) Fields() []any {
	return []any{"ready", e.Ready, "reason", e.Reason}
}

// Rollout tells of a step of a roll-out.
type Rollout struct {
	Err      error
	Revision int64
	Service  string
	State    string
	Version  string
	// What is seen, written or rejected.
	What string
}

// Kind names the event.
func (Rollout) Kind() Kind { return KindRollout }

// Level is how much it matters.
func (Rollout) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e Rollout) Fields() []any {
	return withErr([]any{"what", e.What, "service", e.Service, "version", e.Version, "state", e.State, "revision", e.Revision}, e.Err)
}

// linesLeftOut tells how many lines of a kind were left out.
type linesLeftOut struct {
	count int64
	of    Kind
}

func (linesLeftOut) Kind() Kind { return KindLinesLeftOut }

func (linesLeftOut) Level() log.Level { return log.WarnLevel }

func (e linesLeftOut) Fields() []any {
	return []any{"of", string(e.of), "count", e.count}
}

func withErr(fields []any, err error) []any {
	if err == nil {
		return fields
	}
	return append(fields, "err", err.Error())
}

// milliseconds writes a duration as whole milliseconds, which is short and can
// be compared by eye.
func milliseconds(d time.Duration) int64 {
	return d.Milliseconds()
}
