package savorypingateway

import (
	"context"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinquarantine"
)

// isolatedRetryDelay is the delay after which a caller may repeat a request that is suspect of
// crashing endpoints: those that have crashed need some seconds to restart.
const isolatedRetryDelay = time.Second

// handleLostResponse handles an attempt without a response, of which it is unknown whether it has
// run. While crashes are known, or after another broken connection, it returns only when it is known
// whether a broken connection was a crash, as the request may be the cause.
func (p *plainCall) handleLostResponse(ctx context.Context, e *savorypinfleet.Endpoint, result *outcome) {
	g := p.gateway
	c := crash{endpoint: e, id: p.req.call.ID, probe: p.probe != nil, sequel: p.sequel, subjects: p.req.subjects()}
	if !result.connectionBroke() {
		g.abandon(c)
		return
	}
	await := p.probe != nil || p.crashChecks.begun() || g.quarantine.Watching()
	p.sequel = true
	g.pool.CloseIdle(e.Address())
	p.crashChecks.begin(g, func() {
		g.lookForEndpoint(e, result.err.Error(), func() { g.recordCrash(c) })
	})
	if await {
		p.crashChecks.await(ctx)
	}
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

// isolatedRefusal returns the refusal of a request that is suspect of crashing endpoints.
func isolatedRefusal(request savorypinfleet.Subject) *refusal {
	refused := notRunRefusal(errSuspect.Error(), isolatedRetryDelay)
	refused.subject = request
	return refused
}
