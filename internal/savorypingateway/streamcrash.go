package savorypingateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinquarantine"
)

// beginEvents is the number of events after which an answer has begun and gone on.
const beginEvents = 2

// recordBegin records that the answer of the current attempt has begun and gone on.
func (s *stream) recordBegin(w *watchdog) {
	if s.attemptEvents > 0 && !w.begun.Swap(true) {
		s.gateway.quarantine.RecordBegin(s.req.call.PromptParts)
	}
}

// handleBrokenConnection handles a connection that broke before the response was complete. It
// opens a new one to find out whether the endpoint is lost or just that connection. If the prompt
// is suspected of crashing endpoints, it returns only when that is known.
func (s *stream) handleBrokenConnection(e *savorypinfleet.Endpoint, reason string) {
	g := s.gateway
	g.pool.CloseIdle(e.Address())
	parts, events, probe := s.req.call.PromptParts, s.attemptEvents, s.probe != nil
	look := func() { s.lookForEndpoint(e, reason, events) }
	if events < beginEvents && (probe || g.quarantine.Suspicion(parts) > 0) {
		look()
		return
	}
	go g.log.RunRecovered("look for endpoint", look)
}

// lookForEndpoint opens a connection to an endpoint whose last one broke after a number of
// events, and marks the endpoint failed if none can be made.
func (s *stream) lookForEndpoint(e *savorypinfleet.Endpoint, reason string, events int) {
	g := s.gateway
	conn, err := g.pool.Open(context.Background(), e.Address(), g.connectTimeout(e))
	if err == nil {
		g.pool.Put(conn, 0)
		g.log.Debug("endpoint accepts a new connection after a broken one", "endpoint", e.ID(), "reason", reason)
		return
	}
	if processEnded(err) {
		s.recordCrash(e, events)
	}
	g.markEndpointFailed(e, reason)
}

// recordCrash records that an endpoint's process ended after a number of events of this stream.
func (s *stream) recordCrash(e *savorypinfleet.Endpoint, events int) {
	g := s.gateway
	parts := s.req.call.PromptParts
	if events < beginEvents && g.mayBlamePrompt(e) {
		s.crashed.Add(1)
		g.quarantine.RecordCrash(e, parts, s.probe != nil)
		g.gossip.TriggerRound()
	}
	g.counters.endpointsCrashed.Inc(1)
	g.log.Emit(savorypinevent.EndpointCrashed{
		Domain: e.Domain(), Endpoint: e.ID(), Events: events, ID: s.req.call.ID,
		Parts: savorypinfleet.JoinSubjects(parts), Request: s.req.whole().String(), Suspicion: g.quarantine.Suspicion(parts),
	})
}

// checkQuarantine returns an error if the request must not be sent to another endpoint, since a
// part of its prompt is in quarantine or is about to be.
func (s *stream) checkQuarantine() error {
	q, parts := s.gateway.quarantine, s.req.call.PromptParts
	crashed := int(s.crashed.Load())
	if s.probe == nil || crashed > 0 {
		s.confinement = q.Confined(parts)
	}
	if s.confinement != nil {
		return errConfined
	}
	if !q.MayCrashAnother(crashed, parts) {
		return errCrashes
	}
	return nil
}

// confinedRefusal returns the refusal of a request with a part in quarantine. One that may have run
// must not be reported as not run.
func confinedRefusal(c *savorypinquarantine.Confinement, mayHaveRun bool) *refusal {
	refused := notRunRefusal(errConfined.Error(), c.RetryAfter)
	if mayHaveRun {
		refused = &refusal{reason: errConfined.Error(), status: http.StatusBadGateway}
	}
	refused.part = c.Subject.String()
	return refused
}

// processEnded reports whether the error of a connection attempt shows that the process is gone
// and its host is not: the host refused the connection. After a power loss or behind a partition
// there is no answer.
func processEnded(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
