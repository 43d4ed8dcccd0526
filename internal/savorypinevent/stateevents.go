package savorypinevent

import "github.com/charmbracelet/log"

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

// ConnectionsClosed reports that connections without a complete request were closed, since all
// connections of a server held too much.
type ConnectionsClosed struct {
	// Bytes is what the closed connections held, Connections their number.
	Bytes       int64
	Connections int
	// Remote is the address of the connection that had held most for longest.
	Remote string
	// Server is "callers" or the address of another server of the gateway.
	Server string
}

// Kind returns the kind of the event.
func (ConnectionsClosed) Kind() Kind { return KindConnectionsClosed }

// Level returns the level of the log line.
func (ConnectionsClosed) Level() log.Level { return log.WarnLevel }

// Fields returns the fields as alternating names and values.
func (e ConnectionsClosed) Fields() []any {
	return []any{"server", e.Server, "connections", e.Connections, "bytes", e.Bytes, "remote", e.Remote}
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
