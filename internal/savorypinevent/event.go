// Package savorypinevent writes what a gateway decides and believes as log
// lines. Each event has a type that names its fields, so that all lines of a
// kind can be read alike. The volume is bounded for each kind, and no request
// ever waits for a line to be written.
package savorypinevent

import (
	"time"

	"github.com/charmbracelet/log"
)

// TimeFormat is the format of the time of a line; milliseconds tell the order of
// lines of several gateways.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Kind names an event; it is the message of its line.
type Kind string

// The kinds of events, in sorted order.
const (
	KindAttemptEnded         Kind = "attempt ended"
	KindCallerLeft           Kind = "caller left"
	KindConfigurationInForce Kind = "configuration in force"
	KindDependency           Kind = "dependency"
	KindDomainSuspect        Kind = "failure domain suspect"
	KindEndpointLeaves       Kind = "endpoint leaves"
	KindEndpointPauses       Kind = "endpoint pauses"
	KindEndpointSuspect      Kind = "endpoint suspect"
	KindEndpointsChanged     Kind = "endpoints changed"
	KindEraBegan             Kind = "era began"
	KindHistoryLost          Kind = "history lost"
	KindIgnored              Kind = "input ignored"
	KindLinesLeftOut         Kind = "lines left out"
	KindPanicked             Kind = "panicked"
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
