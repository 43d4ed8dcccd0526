package savorypinevent

import (
	"time"

	"github.com/charmbracelet/log"

	"savorypin/internal/savorypinfleet"
)

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

// EndpointCrashed reports that the process of an endpoint ended while it had a request: the
// connection ended and the host refuses a new one.
type EndpointCrashed struct {
	Domain   string
	Endpoint string
	// Events is the number of events that the endpoint had sent if the request is a stream.
	Events int
	// ID is the ID of the request.
	ID string
	// Parts are the parts of the prompt that other requests may share.
	Parts string
	// Request is the hash of what the endpoint was asked, which a repeat shares.
	Request string
	// Suspicion is the number of crashes that count against the most suspect of the parts and
	// the request.
	Suspicion int
}

// Kind returns the kind of the event.
func (EndpointCrashed) Kind() Kind { return KindEndpointCrashed }

// Level returns the level of the log line.
func (EndpointCrashed) Level() log.Level { return log.InfoLevel }

// Fields returns the fields as alternating names and values.
func (e EndpointCrashed) Fields() []any {
	return []any{"endpoint", e.Endpoint, "domain", e.Domain, "events", e.Events, "parts", e.Parts, "request", e.Request, "suspicion", e.Suspicion, "id", e.ID}
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

// QuarantineChanged reports that a part of prompts or a request was put into quarantine or released.
type QuarantineChanged struct {
	// Crashes is the number of crashes that count against it; zero if another gateway
	// decided.
	Crashes int
	// Remaining is the time until a request with it is sent as a probe.
	Remaining time.Duration
	// Released says that the quarantine has ended.
	Released bool
	// Round counts the times that it was put into quarantine or failed a probe.
	Round   int
	Subject savorypinfleet.Subject
}

// Kind returns the kind of the event.
func (QuarantineChanged) Kind() Kind { return KindQuarantineChanged }

// Level returns the level of the log line.
func (QuarantineChanged) Level() log.Level { return log.WarnLevel }

// Fields returns the fields as alternating names and values.
func (e QuarantineChanged) Fields() []any {
	fields := appendSubject(nil, e.Subject)
	return append(fields, "released", e.Released, "round", e.Round, "crashes", e.Crashes, "remaining", milliseconds(e.Remaining))
}
