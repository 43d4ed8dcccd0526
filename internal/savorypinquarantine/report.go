package savorypinquarantine

import (
	"slices"
	"time"

	"savorypin/internal/savorypinfleet"
)

// Crash is a crash of an endpoint as gateways exchange it.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes the struct as an array, without field names
	// Endpoint is the hash of the endpoint's incarnation.
	Endpoint uint64 `msgpack:"e"`
	// Suspects are the parts on which the endpoint may have begun an answer, in the order of the
	// prompt, and behind them the request itself.
	Suspects []savorypinfleet.Subject `msgpack:"s"`
	// Sequel says that the request was sent after it may have crashed another endpoint.
	Sequel bool `msgpack:"q"`
}

// Begin says that an answer on a subject has begun and gone on, which one that crashes endpoints
// doesn't allow.
type Begin struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes the struct as an array, without field names
	// Age is the time since then when the entry was made.
	Age     time.Duration          `msgpack:"a"`
	Subject savorypinfleet.Subject `msgpack:"p"`
	// Serial tells a later begin from an entry that is sent again.
	Serial uint32 `msgpack:"s"`
}

// Verdict is the state of a subject that is or was in quarantine.
type Verdict struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes the struct as an array, without field names
	// Failed is the number of probes that failed since the subject was put into quarantine.
	Failed  int32                  `msgpack:"f"`
	Subject savorypinfleet.Subject `msgpack:"p"`
	// Released says that the quarantine has ended.
	Released bool `msgpack:"r"`
	// Round counts the times that the subject was put into quarantine, or a probe of it failed.
	Round int32 `msgpack:"n"`
}

// supersedes reports whether a verdict replaces another one on the same subject: it is of a later
// round, or the release of the same one.
func (v Verdict) supersedes(other Verdict) bool {
	return v.Round > other.Round || v.Round == other.Round && v.Released && !other.Released
}

// Report is what a gateway tells the others. Its fields are exported for the codec.
type Report struct {
	Begins   []Begin   `msgpack:"b,omitempty"`
	Crashes  []Crash   `msgpack:"c,omitempty"`
	Verdicts []Verdict `msgpack:"v,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (r Report) Empty() bool {
	return len(r.Begins)+len(r.Crashes)+len(r.Verdicts) == 0
}

// Bounds of a report, which has to fit into an update of the gossip.
const (
	maxReportBegins   = 64
	maxReportSuspects = 256
	maxReportVerdicts = 128
	// maxRound bounds the round of a verdict.
	maxRound = 1 << 20
	// maxBeginAge bounds the age of a begin.
	maxBeginAge = time.Hour
)

// Valid reports whether the values of a received report are within bounds.
func (r Report) Valid() bool {
	suspects := 0
	for _, c := range r.Crashes {
		suspects += len(c.Suspects)
	}
	if len(r.Begins) > maxReportBegins || len(r.Verdicts) > maxReportVerdicts || suspects > maxReportSuspects || len(r.Crashes) > maxReportSuspects {
		return false
	}
	badBegin := func(b Begin) bool { return b.Age < 0 || b.Age > maxBeginAge }
	badVerdict := func(v Verdict) bool { return v.Round < 1 || v.Round > maxRound || v.Failed < 0 || v.Failed >= v.Round }
	return !slices.ContainsFunc(r.Begins, badBegin) && !slices.ContainsFunc(r.Verdicts, badVerdict)
}
