package savorypingateway

import (
	"context"

	"savorypin/internal/savorypinfleet"
)

// recordBegin records that the answer of the current attempt has begun and gone on.
func (s *stream) recordBegin(w *watchdog) {
	if s.attemptEvents > 0 && !w.begun.Swap(true) {
		s.gateway.quarantine.RecordBegin(s.gateway.subjects(s.req))
	}
}

// handleBrokenConnection handles a connection that broke before the response was complete. If the
// prompt is suspected of crashing endpoints, or another connection broke before, it returns only when
// it is known whether this endpoint has crashed.
func (s *stream) handleBrokenConnection(ctx context.Context, e *savorypinfleet.Endpoint, reason string) {
	g := s.gateway
	g.pool.CloseIdle(e.Address())
	c := s.crash(e)
	look := func() {
		g.lookForEndpoint(e, reason, func() {
			if g.recordCrash(c) {
				s.crashed.Add(1)
			}
		})
	}
	if c.events >= beginEvents {
		// The request isn't blamed, so that nothing waits for the result.
		go g.log.RunRecovered("look for endpoint", look)
		return
	}
	await := c.probe || s.crashChecks.begun() || g.quarantine.Suspicion(g.subjects(s.req)) > 0
	s.crashChecks.begin(g, look)
	if await {
		s.crashChecks.await(ctx)
	}
}

// crash returns the crash of an endpoint under the current attempt.
func (s *stream) crash(e *savorypinfleet.Endpoint) crash {
	return crash{
		endpoint: e, events: s.attemptEvents, id: s.req.call.ID, probe: s.probe != nil, sequel: s.sequel, subjects: s.req.subjects(),
	}
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
