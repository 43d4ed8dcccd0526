package savorypingateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"

	"savorypin/internal/savorypinadmission"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinquarantine"
)

// beginEvents is the number of events after which an answer has begun and gone on.
const beginEvents = 2

// subjects returns what the quarantine may know of a request: the parts of its prompt and, while
// there is a crash or a verdict, the request itself.
func (g *Gateway) subjects(req *request) []savorypinfleet.Subject {
	if !g.quarantine.Watching() {
		return req.call.PromptParts
	}
	return req.subjects()
}

// subjects returns the parts of the prompt and the request itself.
func (r *request) subjects() []savorypinfleet.Subject {
	return append(slices.Clip(r.call.PromptParts), r.whole())
}

// suspects reports whether a request itself may have crashed an endpoint.
func (g *Gateway) suspects(req *request) bool {
	return g.quarantine.Watching() && g.quarantine.Suspicion([]savorypinfleet.Subject{req.whole()}) > 0
}

// lookForEndpoint opens a connection to an endpoint whose last one broke, to find out whether the
// endpoint is lost or just that connection. It marks the endpoint failed if none can be made, and
// calls onCrash if its process has ended.
func (g *Gateway) lookForEndpoint(e *savorypinfleet.Endpoint, reason string, onCrash func()) {
	conn, err := g.pool.Open(context.Background(), e.Address(), g.connectTimeout(e))
	if err == nil {
		g.pool.Put(conn, 0)
		g.log.Debug("endpoint accepts a new connection after a broken one", "endpoint", e.ID(), "reason", reason)
		return
	}
	if processEnded(err) {
		onCrash()
		g.recordAbandoned(e)
	}
	g.markEndpointFailed(e, reason)
}

// processEnded reports whether the error of a connection attempt shows that the process is gone
// and its host is not: the host refused the connection. After a power loss or behind a partition
// there is no answer.
func processEnded(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// crash is the end of an endpoint's process while it had a request.
type crash struct {
	endpoint *savorypinfleet.Endpoint
	// events is the number of events that the endpoint had sent.
	events int
	// id is the ID of the request.
	id string
	// probe is set if the request was a probe, and sequel if it was sent after it may have crashed
	// another endpoint.
	probe, sequel bool
	// subjects are the parts of the prompt and the request itself.
	subjects []savorypinfleet.Subject
}

// recordCrash records a crash. It reports whether the request may have caused it.
func (g *Gateway) recordCrash(c crash) bool {
	blamed := c.events < beginEvents && g.mayBlameRequest(c.endpoint)
	if blamed {
		g.quarantine.RecordCrash(savorypinquarantine.Observation{Endpoint: c.endpoint, Probe: c.probe, Sequel: c.sequel, Subjects: c.subjects})
		g.gossip.TriggerRound()
	}
	g.counters.endpointsCrashed.Inc(1)
	parts, request := c.subjects[:len(c.subjects)-1], c.subjects[len(c.subjects)-1]
	g.log.Emit(savorypinevent.EndpointCrashed{
		Domain: c.endpoint.Domain(), Endpoint: c.endpoint.ID(), Events: c.events, ID: c.id,
		Parts: savorypinfleet.JoinSubjects(parts), Request: request.String(), Suspicion: g.quarantine.Suspicion(c.subjects),
	})
	return blamed
}

// mayBlameRequest reports whether a crash of an endpoint may be due to a request: one that is
// stopping, or was removed from the list, may have ended as planned.
func (g *Gateway) mayBlameRequest(e *savorypinfleet.Endpoint) bool {
	listed := g.view.directory.Load().Endpoint(e.ID())
	return listed != nil && listed.Incarnation() == e.Incarnation() && listed.Ready() &&
		g.admission.State(e) == savorypinadmission.StateOpen
}

// countConfined counts a request that is refused because of a confinement.
func (g *Gateway) countConfined(c *savorypinquarantine.Confinement) {
	if c.Subject.IsRequest() {
		g.counters.repeatsRefused.Inc(1)
	} else {
		g.counters.partsRefused.Inc(1)
	}
}

// confinedRefusal returns the refusal of a request with a subject in quarantine. One that may have
// run must not be reported as not run.
func confinedRefusal(c *savorypinquarantine.Confinement, mayHaveRun bool) *refusal {
	reason := errConfined
	if c.Subject.IsRequest() {
		reason = errRequestConfined
	}
	refused := notRunRefusal(reason.Error(), c.RetryAfter)
	if mayHaveRun {
		refused = &refusal{reason: reason.Error(), status: http.StatusBadGateway}
	}
	refused.subject = c.Subject
	return refused
}
