package savorypinevent

import (
	"time"

	"github.com/charmbracelet/log"
)

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

// EndpointLeaves tells that an endpoint said in an answer that it stops.
type EndpointLeaves struct {
	Domain   string
	Endpoint string
	// ID is the request that was answered.
	ID string
}

// Kind names the event.
func (EndpointLeaves) Kind() Kind { return KindEndpointLeaves }

// Level is how much it matters.
func (EndpointLeaves) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e EndpointLeaves) Fields() []any {
	return []any{"endpoint", e.Endpoint, "domain", e.Domain, "id", e.ID}
}

// EndpointPauses tells that an endpoint wants no requests for some time.
type EndpointPauses struct {
	Endpoint string
	For      time.Duration
	// ID is the request that was answered.
	ID string
}

// Kind names the event.
func (EndpointPauses) Kind() Kind { return KindEndpointPauses }

// Level is how much it matters.
func (EndpointPauses) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e EndpointPauses) Fields() []any {
	return []any{"endpoint", e.Endpoint, "for", milliseconds(e.For), "id", e.ID}
}

// EraBegan tells that the store has come back from an older copy of itself, so that
// all kinds are listed anew.
type EraBegan struct {
	Era int64
}

// Kind names the event.
func (EraBegan) Kind() Kind { return KindEraBegan }

// Level is how much it matters.
func (EraBegan) Level() log.Level { return log.WarnLevel }

// Fields are names and values in turn.
func (e EraBegan) Fields() []any {
	return []any{"era", e.Era}
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
	// Age is how long ago the list was confirmed.
	Age time.Duration
	// Draining is the number of endpoints that take no new requests any more.
	Draining  int
	Era       int64
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
	return []any{
		"now", e.Now, "gone", e.Gone, "draining", e.Draining, "restarted", e.Restarted, "age", milliseconds(e.Age),
		"era", e.Era, "revision", e.Revision,
	}
}

// ConfigurationInForce tells that a configuration is in force.
type ConfigurationInForce struct {
	Era      int64
	Revision int64
	Version  int64
}

// Kind names the event.
func (ConfigurationInForce) Kind() Kind { return KindConfigurationInForce }

// Level is how much it matters.
func (ConfigurationInForce) Level() log.Level { return log.InfoLevel }

// Fields are names and values in turn.
func (e ConfigurationInForce) Fields() []any {
	return []any{"version", e.Version, "era", e.Era, "revision", e.Revision}
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

// Panicked tells that one piece of work ended by a panic; the process goes on.
type Panicked struct {
	Err   error
	Stack string
	// What is the work.
	What string
}

// Kind names the event.
func (Panicked) Kind() Kind { return KindPanicked }

// Level is how much it matters.
func (Panicked) Level() log.Level { return log.ErrorLevel }

// Fields are names and values in turn.
func (e Panicked) Fields() []any {
	return withErr([]any{"what", e.What, "stack", e.Stack}, e.Err)
}
