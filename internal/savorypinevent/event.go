// Package savorypinevent logs the decisions of a gateway and its view of endpoints,
// store and peers as structured events. Each event has a type that defines its fields,
// so that all lines of a kind have the same form. The rate is limited for each kind.
// With a Writer as the output of the logger, requests never wait for a line to be
// written.
package savorypinevent

import (
	"time"

	"github.com/charmbracelet/log"
)

// TimeFormat is the format of the time of a line. It has milliseconds to order the
// lines of several gateways.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Kind is the kind of an event. It is the message of its log line.
type Kind string

// The kinds of events, in sorted order.
const (
	KindAttemptEnded         Kind = "attempt ended"
	KindBufferFull           Kind = "buffer full"
	KindCallerLeft           Kind = "caller left"
	KindConfigurationInForce Kind = "configuration in force"
	KindConnectionsClosed    Kind = "connections closed"
	KindDependency           Kind = "dependency"
	KindDomainSuspect        Kind = "failure domain suspect"
	KindEndpointCrashed      Kind = "endpoint crashed"
	KindEndpointLeaves       Kind = "endpoint leaves"
	KindEndpointLimits       Kind = "endpoint limits"
	KindEndpointPauses       Kind = "endpoint pauses"
	KindEndpointSuspect      Kind = "endpoint suspect"
	KindEndpointsChanged     Kind = "endpoints changed"
	KindEraBegan             Kind = "era began"
	KindHistoryLost          Kind = "history lost"
	KindIgnored              Kind = "input ignored"
	KindLinesLeftOut         Kind = "lines left out"
	KindPanicked             Kind = "panicked"
	KindProcess              Kind = "process"
	KindQuarantineChanged    Kind = "quarantine changed"
	KindReadinessChanged     Kind = "readiness changed"
	KindRequestAnswered      Kind = "request answered"
	KindRequestRefused       Kind = "request refused"
	KindRequestUnanswered    Kind = "request unanswered"
	KindRollout              Kind = "rollout"
	KindStreamBroken         Kind = "stream broken"
	KindStreamCompleted      Kind = "stream completed"
	KindStreamFailed         Kind = "stream failed"
	KindStreamResumed        Kind = "stream resumed"
	KindStreamSent           Kind = "stream sent"
	KindStreamWaited         Kind = "stream waited"
)

// Event is an event that can be logged.
type Event interface {
	// Kind returns the kind of the event.
	Kind() Kind
	// Level returns the level of the log line.
	Level() log.Level
	// Fields returns the fields as alternating names and values.
	Fields() []any
}

func appendErr(fields []any, err error) []any {
	if err == nil {
		return fields
	}
	return append(fields, "err", err.Error())
}

// milliseconds returns a duration in whole milliseconds, which are short and easy to
// compare for readers of the log.
func milliseconds(d time.Duration) int64 {
	return d.Milliseconds()
}
