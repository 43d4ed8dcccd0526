package savorypingateway

import (
	"net/http"
	"slices"
	"time"

	"savorypin/internal/savorypinadmission"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinrollout"
)

// candidates returns the endpoints of a service that a request may be sent to: those that
// accept new requests, of the versions that the rollout allows. It returns endpoints that are
// stopping, or whose pause has just ended, only if there are no others.
func (g *Gateway) candidates(service string) []*savorypinfleet.Endpoint {
	ready := g.readyEndpoints(service)
	open := make([]*savorypinfleet.Endpoint, 0, len(ready))
	var lastResort []*savorypinfleet.Endpoint
	for _, e := range ready {
		switch g.admission.State(e) {
		case savorypinadmission.StateOpen:
			open = append(open, e)
		case savorypinadmission.StateLastResort:
			lastResort = append(lastResort, e)
		case savorypinadmission.StateClosed:
		}
	}
	if len(open) == 0 {
		return lastResort
	}
	return open
}

// readyEndpoints returns the endpoints of a service that are listed as ready, of the versions
// that the rollout allows.
func (g *Gateway) readyEndpoints(service string) []*savorypinfleet.Endpoint {
	side, version := g.rollouts.Choose(service)
	all := g.view.directory.Load().Service(service)
	ready := make([]*savorypinfleet.Endpoint, 0, len(all))
	var otherVersions []*savorypinfleet.Endpoint
	for _, e := range all {
		switch {
		case !e.Ready():
		case side == savorypinrollout.SideAny, (e.Version() == version) == (side == savorypinrollout.SideNew):
			ready = append(ready, e)
		default:
			otherVersions = append(otherVersions, e)
		}
	}
	if len(ready) == 0 && side == savorypinrollout.SideNew {
		// The new version has no ready endpoint, or no longer has one.
		return otherVersions
	}
	return ready
}

// query returns the picker's query for a request, given the IDs of endpoints tried already.
func (g *Gateway) query(req *request, tried map[string]bool) savorypinpick.Query {
	return savorypinpick.Query{
		Candidates:   g.candidates(req.service.Name()),
		BackedUp:     req.service.Backups(),
		Excluded:     tried,
		PromptID:     req.call.PromptID,
		PromptTokens: req.call.PromptTokens,
		MemoryTokens: req.memoryTokens(), Rank: req.priority.rank, ReserveTokens: req.reserveTokens(),
		Plain: req.route.Kind() != savorypinfleet.RouteStreaming,
	}
}

// canRepeat reports whether a request may be sent again, by the retry budget, and there is an endpoint for
// it, given the IDs of endpoints that are out of the question.
func (g *Gateway) canRepeat(req *request, excluded map[string]bool) bool {
	if !g.retryBudgets.forService(req.service.Name()).MayRepeat() {
		return false
	}
	return slices.ContainsFunc(g.candidates(req.service.Name()), func(e *savorypinfleet.Endpoint) bool {
		return !excluded[e.ID()]
	})
}

// canRestore reports whether an endpoint that holds a copy of a run's KV cache may still resume
// the run.
func (g *Gateway) canRestore(e *savorypinfleet.Endpoint) bool {
	return g.view.directory.Load().Has(e) && g.admission.State(e) != savorypinadmission.StateClosed
}

// retryDelay returns the delay after which a caller may retry a request that no endpoint of a
// service accepted.
func (g *Gateway) retryDelay(service string) time.Duration {
	if delay, ok := g.admission.RetryAfter(g.readyEndpoints(service)); ok {
		return delay
	}
	if delay, ok := g.limitWait(g.candidates(service)); ok {
		return g.admission.Spread(delay)
	}
	return transientRetryDelay
}

// recordAdmission records that an endpoint announced in a response that it stops, or asked for a
// pause. The response has to carry the request's ID, so that a late response of another process
// does not take the endpoint out of service.
func (g *Gateway) recordAdmission(e *savorypinfleet.Endpoint, call *savorypinfleet.Call, status int, reply savorypinfleet.Reply) {
	if reply.ID == "" || reply.ID != call.ID || status == http.StatusMisdirectedRequest {
		return
	}
	if reply.Leaving && g.admission.MarkStopping(e) {
		g.counters.endpointsLeft.Inc(1)
		g.log.Emit(savorypinevent.EndpointLeaves{Domain: e.Domain(), Endpoint: e.ID(), ID: call.ID})
	}
	g.recordLimit(e, call, reply.Limit)
	if status != http.StatusServiceUnavailable || reply.RetryAfter <= 0 {
		return
	}
	if g.admission.Pause(e, reply.RetryAfter) {
		g.counters.endpointPauses.Inc(1)
		g.log.Emit(savorypinevent.EndpointPauses{Endpoint: e.ID(), Duration: reply.RetryAfter, ID: call.ID})
	}
}
