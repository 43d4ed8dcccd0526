package savorypinevent

import (
	"time"

	"github.com/charmbracelet/log"
)

// Ignored reports input that is ignored because it is invalid.
type Ignored struct {
	Err error
	// What describes the input, with its name if it has one.
	What string
}

// Kind returns the kind of the event.
func (Ignored) Kind() Kind { return KindIgnored }

// Level returns the level of the log line.
func (Ignored) Level() log.Level { return log.WarnLevel }

// Fields returns the fields as alternating names and values.
func (e Ignored) Fields() []any {
	return appendErr([]any{"what", e.What}, e.Err)
}

// HistoryLost reports that a kind has to be listed again, since the store no longer has
// the changes that are needed to continue its watch, or was restored from an older copy
// of itself.
type HistoryLost struct {
	// ObjectKind is the kind of the objects.
	ObjectKind string
	// Version is the version from which the watch was to continue.
	Version int64
}

// Kind returns the kind of the event.
func (HistoryLost) Kind() Kind { return KindHistoryLost }

// Level returns the level of the log line.
func (HistoryLost) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e HistoryLost) Fields() []any {
	return []any{"of", e.ObjectKind, "version", e.Version}
}

// EndpointLeaves reports that an endpoint announced in a response that it is stopping.
type EndpointLeaves struct {
	Domain   string
	Endpoint string
	// ID is the id of the request that the endpoint responded to.
	ID string
}

// Kind returns the kind of the event.
func (EndpointLeaves) Kind() Kind { return KindEndpointLeaves }

// Level returns the level of the log line.
func (EndpointLeaves) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e EndpointLeaves) Fields() []any {
	return []any{"endpoint", e.Endpoint, "domain", e.Domain, "id", e.ID}
}

// EndpointLimits reports that an endpoint named another limit on the requests that it gets, or no
// longer names one.
type EndpointLimits struct {
	Endpoint string
	// ID is the id of the request that the endpoint responded to; empty if another gateway
	// reported the limit.
	ID string
	// Limited says whether there is a limit, and PerSecond is the number of requests a second.
	Limited   bool
	PerSecond float64
}

// Kind returns the kind of the event.
func (EndpointLimits) Kind() Kind { return KindEndpointLimits }

// Level returns the level of the log line.
func (EndpointLimits) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e EndpointLimits) Fields() []any {
	return []any{"endpoint", e.Endpoint, "limited", e.Limited, "perSecond", e.PerSecond, "id", e.ID}
}

// EndpointPauses reports that an endpoint asked for no requests for some time.
type EndpointPauses struct {
	Endpoint string
	Duration time.Duration
	// ID is the id of the request that the endpoint responded to.
	ID string
}

// Kind returns the kind of the event.
func (EndpointPauses) Kind() Kind { return KindEndpointPauses }

// Level returns the level of the log line.
func (EndpointPauses) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e EndpointPauses) Fields() []any {
	return []any{"endpoint", e.Endpoint, "for", milliseconds(e.Duration), "id", e.ID}
}

// EraBegan reports that the store was restored from an older copy of itself, so that
// all kinds have to be listed again.
type EraBegan struct {
	Era int64
}

// Kind returns the kind of the event.
func (EraBegan) Kind() Kind { return KindEraBegan }

// Level returns the level of the log line.
func (EraBegan) Level() log.Level { return log.WarnLevel }

// Fields returns the fields as alternating names and values.
func (e EraBegan) Fields() []any {
	return []any{"era", e.Era}
}

// EndpointSuspect reports that an endpoint is suspected of having failed, and therefore
// gets no new work for some time.
type EndpointSuspect struct {
	Domain string
	// DomainFailed reports whether its whole failure domain is considered failed.
	DomainFailed bool
	Endpoint     string
	Reason       string
}

// Kind returns the kind of the event.
func (EndpointSuspect) Kind() Kind { return KindEndpointSuspect }

// Level returns the level of the log line.
func (EndpointSuspect) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e EndpointSuspect) Fields() []any {
	return []any{"endpoint", e.Endpoint, "domain", e.Domain, "reason", e.Reason, "domainFailed", e.DomainFailed}
}

// EndpointCrashed reports that the process of an endpoint ended while it had a stream: the
// connection ended and the host refuses a new one.
type EndpointCrashed struct {
	Domain   string
	Endpoint string
	// Events is the number of events that the endpoint had sent for the stream.
	Events int
	// ID is the ID of the request.
	ID string
	// Parts are the parts of the prompt that other requests may share.
	Parts string
	// Suspicion is the number of crashes that count against the most suspect of the parts.
	Suspicion int
}

// Kind returns the kind of the event.
func (EndpointCrashed) Kind() Kind { return KindEndpointCrashed }

// Level returns the level of the log line.
func (EndpointCrashed) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e EndpointCrashed) Fields() []any {
	return []any{"endpoint", e.Endpoint, "domain", e.Domain, "events", e.Events, "parts", e.Parts, "suspicion", e.Suspicion, "id", e.ID}
}

// QuarantineChanged reports that a part of prompts was put into quarantine or released.
type QuarantineChanged struct {
	// Crashes is the number of crashes that count against the part; zero if another gateway
	// decided.
	Crashes int
	Part    string
	// Remaining is the time until a request with the part is sent as a probe.
	Remaining time.Duration
	// Released says that the quarantine has ended.
	Released bool
	// Round counts the times that the part was put into quarantine or failed a probe.
	Round int
}

// Kind returns the kind of the event.
func (QuarantineChanged) Kind() Kind { return KindQuarantineChanged }

// Level returns the level of the log line.
func (QuarantineChanged) Level() log.Level { return log.WarnLevel }

// Fields returns the fields as alternating names and values.
func (e QuarantineChanged) Fields() []any {
	return []any{"part", e.Part, "released", e.Released, "round", e.Round, "crashes", e.Crashes, "remaining", milliseconds(e.Remaining)}
}

// DomainSuspect reports that a whole failure domain is considered failed.
type DomainSuspect struct {
	Domain string
	// Endpoints is the number of endpoints of the service in the domain.
	Endpoints int
	// SeenBy is the gateway that detected the failure.
	SeenBy  string
	Service string
}

// Kind returns the kind of the event.
func (DomainSuspect) Kind() Kind { return KindDomainSuspect }

// Level returns the level of the log line.
func (DomainSuspect) Level() log.Level { return log.WarnLevel }

// Fields returns the fields as alternating names and values.
func (e DomainSuspect) Fields() []any {
	return []any{"domain", e.Domain, "service", e.Service, "endpoints", e.Endpoints, "seenBy", e.SeenBy}
}

// EndpointsChanged reports that endpoints were removed from the list of endpoints, have
// restarted or have begun to drain.
type EndpointsChanged struct {
	// Age is the time since the list was last confirmed.
	Age time.Duration
	// Draining is the number of endpoints that accept no new requests and were not
	// already draining in the previous list.
	Draining int
	// Era is the era of the store.
	Era int64
	// Gone is the number of endpoints that are no longer listed. It includes those that
	// are listed with another incarnation.
	Gone int
	// Now is the number of endpoints in the list.
	Now int
	// Restarted is the number of endpoints that have restarted since the previous list.
	Restarted int
	// Revision is the version of the last change of the list in the store.
	Revision int64
}

// Kind returns the kind of the event.
func (EndpointsChanged) Kind() Kind { return KindEndpointsChanged }

// Level returns the level of the log line.
func (EndpointsChanged) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e EndpointsChanged) Fields() []any {
	return []any{
		"now", e.Now, "gone", e.Gone, "draining", e.Draining, "restarted", e.Restarted, "age", milliseconds(e.Age),
		"era", e.Era, "revision", e.Revision,
	}
}

// ConfigurationInForce reports that a configuration has come into force.
type ConfigurationInForce struct {
	Era      int64
	Revision int64
	Version  int64
}

// Kind returns the kind of the event.
func (ConfigurationInForce) Kind() Kind { return KindConfigurationInForce }

// Level returns the level of the log line.
func (ConfigurationInForce) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e ConfigurationInForce) Fields() []any {
	return []any{"version", e.Version, "era", e.Era, "revision", e.Revision}
}

// Dependency reports that the connection to a dependency was lost or regained.
type Dependency struct {
	Err  error
	Lost bool
	// Name is "store", or names a gateway by its address.
	Name string
}

// Kind returns the kind of the event.
func (Dependency) Kind() Kind { return KindDependency }

// Level returns the level of the log line.
func (e Dependency) Level() log.Level {
	if e.Lost {
		return log.WarnLevel
	}
	return log.InfoLevel
}

// Fields returns the fields as alternating names and values.
func (e Dependency) Fields() []any {
	state := "regained"
	if e.Lost {
		state = "lost"
	}
	return appendErr([]any{"name", e.Name, "state", state}, e.Err)
}

// Process reports a start, stop or reload of the process, a warning about its settings,
// or a failure of its background work.
type Process struct {
	Err error
	// What says what happened, for example "started", "stop begun" or "not reloaded".
	What string
}

// Kind returns the kind of the event.
func (Process) Kind() Kind { return KindProcess }

// Level returns the level of the log line.
func (e Process) Level() log.Level {
	if e.Err != nil {
		return log.ErrorLevel
	}
	return log.InfoLevel
}

// Fields returns the fields as alternating names and values.
func (e Process) Fields() []any {
	return appendErr([]any{"what", e.What}, e.Err)
}

// ReadinessChanged reports that the gateway began or ceased to accept new callers.
type ReadinessChanged struct {
	Ready  bool
	Reason string
}

// Kind returns the kind of the event.
func (ReadinessChanged) Kind() Kind { return KindReadinessChanged }

// Level returns the level of the log line.
func (ReadinessChanged) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e ReadinessChanged) Fields() []any {
	return []any{"ready", e.Ready, "reason", e.Reason}
}

// Rollout reports a step of a rollout.
type Rollout struct {
	Err      error
	Revision int64
	Service  string
	State    string
	Version  string
	// What is "seen", "written", "not written", or "rejected by" followed by the name of a
	// gateway.
	What string
}

// Kind returns the kind of the event.
func (Rollout) Kind() Kind { return KindRollout }

// Level returns the level of the log line.
func (Rollout) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e Rollout) Fields() []any {
	return appendErr([]any{"what", e.What, "service", e.Service, "version", e.Version, "state", e.State, "revision", e.Revision}, e.Err)
}

// linesLeftOut reports how many lines of a kind the rate limit left out.
type linesLeftOut struct {
	count int64
	of    Kind
}

func (linesLeftOut) Kind() Kind { return KindLinesLeftOut }

func (linesLeftOut) Level() log.Level { return log.WarnLevel }

func (e linesLeftOut) Fields() []any {
	return []any{"of", string(e.of), "count", e.count}
}

// Panicked reports that a task ended by a panic. The process continues.
type Panicked struct {
	Err   error
	Stack string
	// What describes the task.
	What string
}

// Kind returns the kind of the event.
func (Panicked) Kind() Kind { return KindPanicked }

// Level returns the level of the log line.
func (Panicked) Level() log.Level { return log.ErrorLevel }

// Fields returns the fields as alternating names and values.
func (e Panicked) Fields() []any {
	return appendErr([]any{"what", e.What, "stack", e.Stack}, e.Err)
}
