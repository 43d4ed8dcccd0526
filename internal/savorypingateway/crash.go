package savorypingateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"savorypin/internal/savorypinadmission"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinquarantine"
)

// beginEvents is the number of events after which an answer has begun and gone on.
const beginEvents = 2

// isolatedRetryDelay is the delay after which a caller may repeat a request that is suspect of
// crashing endpoints: those that have crashed need some seconds to restart.
const isolatedRetryDelay = time.Second

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
	// probe is set if the request was a probe.
	probe bool
	// subjects are the parts of the prompt and the request itself.
	subjects []savorypinfleet.Subject
}

// recordCrash records a crash. It reports whether the request may have caused it.
func (g *Gateway) recordCrash(c crash) bool {
	blamed := c.events < beginEvents && g.mayBlameRequest(c.endpoint)
	if blamed {
		g.quarantine.RecordCrash(c.endpoint, c.subjects, c.probe)
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

// recordBegin records that the answer of the current attempt has begun and gone on.
func (s *stream) recordBegin(w *watchdog) {
	if s.attemptEvents > 0 && !w.begun.Swap(true) {
		s.gateway.quarantine.RecordBegin(s.gateway.subjects(s.req))
	}
}

// handleBrokenConnection handles a connection that broke before the response was complete. If the
// prompt is suspected of crashing endpoints, it returns only when it is known whether this one has
// crashed.
func (s *stream) handleBrokenConnection(e *savorypinfleet.Endpoint, reason string) {
	g := s.gateway
	g.pool.CloseIdle(e.Address())
	c := crash{endpoint: e, events: s.attemptEvents, id: s.req.call.ID, probe: s.probe != nil, subjects: s.req.subjects()}
	look := func() {
		g.lookForEndpoint(e, reason, func() {
			if g.recordCrash(c) {
				s.crashed.Add(1)
			}
		})
	}
	if c.events < beginEvents && (c.probe || g.quarantine.Suspicion(g.subjects(s.req)) > 0) {
		look()
		return
	}
	go g.log.RunRecovered("look for endpoint", look)
}

// checkQuarantine returns an error if the request must not be sent to another endpoint, since a
// subject of it is in quarantine or is about to be.
func (s *stream) checkQuarantine() error {
	q := s.gateway.quarantine
	crashed := int(s.crashed.Load())
	if s.probe == nil || crashed > 0 {
		s.confinement = q.Confined(s.gateway.subjects(s.req))
	}
	if s.confinement != nil {
		return errConfined
	}
	if !q.MayCrashAnother(crashed, s.req.call.PromptParts) {
		return errCrashes
	}
	return nil
}

// handleLostResponse handles an attempt without a response, of which it is unknown whether it has
// run. While crashes are known, it returns only when it is known whether a broken connection was one,
// as the request may be their cause.
func (p *plainCall) handleLostResponse(e *savorypinfleet.Endpoint, result *outcome) {
	g := p.gateway
	c := crash{endpoint: e, id: p.req.call.ID, probe: p.probe != nil, subjects: p.req.subjects()}
	if !result.connectionBroke() {
		g.abandon(c)
		return
	}
	g.pool.CloseIdle(e.Address())
	look := func() {
		g.lookForEndpoint(e, result.err.Error(), func() { g.recordCrash(c) })
	}
	mayRepeat := p.req.route.Retryable() && p.sent < p.req.route.MaxAttempts()
	if p.probe != nil || mayRepeat && g.quarantine.Watching() {
		look()
		return
	}
	go g.log.RunRecovered("look for endpoint", look)
}

// isolate decides whether a plain request is sent to an endpoint, given the crashes that it is
// suspect by.
func (g *Gateway) isolate(req *request) (*savorypinquarantine.Isolation, bool) {
	if !g.quarantine.Watching() {
		return nil, true
	}
	service := req.service.Name()
	return g.quarantine.Isolate(service, req.whole(), func() bool { return g.hasSpareEndpoint(service) })
}

// hasSpareEndpoint reports whether a service is served if one of its endpoints crashes, or has but
// one endpoint at all.
func (g *Gateway) hasSpareEndpoint(service string) bool {
	alive := 0
	for _, e := range g.candidates(service) {
		if !g.picker.Suspect(e) && !g.quarantine.Crashed(e) {
			alive++
		}
	}
	return alive > 1 || len(g.readyEndpoints(service)) == 1
}

// confinedRefusal returns the refusal of a request with a subject in quarantine. One that may have
// run must not be reported as not run.
func (g *Gateway) confinedRefusal(c *savorypinquarantine.Confinement, mayHaveRun bool) *refusal {
	reason := errConfined
	if c.Subject.IsRequest() {
		reason = errRequestConfined
		g.counters.repeatsRefused.Inc(1)
	} else {
		g.counters.partsRefused.Inc(1)
	}
	refused := notRunRefusal(reason.Error(), c.RetryAfter)
	if mayHaveRun {
		refused = &refusal{reason: reason.Error(), status: http.StatusBadGateway}
	}
	refused.subject = c.Subject
	return refused
}

// isolatedRefusal returns the refusal of a request that is suspect of crashing endpoints.
func isolatedRefusal(request savorypinfleet.Subject) *refusal {
	refused := notRunRefusal(errSuspect.Error(), isolatedRetryDelay)
	refused.subject = request
	return refused
}
