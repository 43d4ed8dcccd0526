package savorypingateway

import (
	"net/http"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinintake"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinrollout"
)

// candidates returns the endpoints that may serve a request: those that take new
// ones, of the versions that a roll-out allows. Endpoints that stop, or whose pause
// has just ended, are among them only if there are no others.
func (g *Gateway) candidates(service string) []*savorypinfleet.Endpoint {
	listed := g.listed(service)
	open := make([]*savorypinfleet.Endpoint, 0, len(listed))
	var last []*savorypinfleet.Endpoint
	for _, e := range listed {
		switch g.intake.State(e) {
		case savorypinintake.StateOpen:
			open = append(open, e)
		case savorypinintake.StateLastResort:
			last = append(last, e)
		case savorypinintake.StateClosed:
		}
	}
	if len(open) == 0 {
		return last
	}
	return open
}

// listed returns the endpoints that are listed as ready, of the versions that a
// roll-out allows.
func (g *Gateway) listed(service string) []*savorypinfleet.Endpoint {
	side, version := g.rollouts.Choose(service)
	all := g.view.directory.Load().Service(service)
	ready := make([]*savorypinfleet.Endpoint, 0, len(all))
	var others []*savorypinfleet.Endpoint
	for _, e := range all {
		switch {
		case !e.Ready():
		case side == savorypinrollout.SideAny, (e.Version() == version) == (side == savorypinrollout.SideNew):
			ready = append(ready, e)
		default:
			others = append(others, e)
		}
	}
	if len(ready) == 0 && side == savorypinrollout.SideNew {
		// The new version has no endpoint yet, or not any more.
		return others
	}
	return ready
}

// query returns the query of a request that was sent to some endpoints already.
func (g *Gateway) query(req *request, tried map[string]bool) savorypinpick.Query {
	return savorypinpick.Query{
		Candidates:   g.candidates(req.service.Name()),
		Copied:       req.service.Backups(),
		Excluded:     tried,
		Prompt:       req.call.Prompt,
		PromptTokens: req.call.PromptTokens,
		Plain:        req.route.Kind() != savorypinfleet.RouteStreaming,
	}
}

// restores reports whether an endpoint that keeps a copy of a run's memory may still
// go on with the run.
func (g *Gateway) restores(e *savorypinfleet.Endpoint) bool {
	return g.view.directory.Load().Has(e) && g.intake.State(e) != savorypinintake.StateClosed
}

// returnTime is when the caller of a request that no endpoint of a service took may
// come back.
func (g *Gateway) returnTime(service string) time.Duration {
	if reopens, ok := g.intake.Reopens(g.listed(service)); ok {
		return reopens
	}
	return retrySoon
}

// noteIntake takes note of what an answer says of the endpoint's willingness to take
// requests. The answer has to name the request, so that a late one of another
// process takes nobody out.
func (g *Gateway) noteIntake(e *savorypinfleet.Endpoint, call *savorypinfleet.Call, status int, reply savorypinfleet.Reply) {
	if reply.ID == "" || reply.ID != call.ID || status == http.StatusMisdirectedRequest {
		return
	}
	if reply.Leaving && g.intake.Leaves(e) {
		g.counters.left.Inc(1)
		g.log.Emit(savorypinevent.EndpointLeaves{Domain: e.Domain(), Endpoint: e.ID(), ID: call.ID})
	}
	if status != http.StatusServiceUnavailable || reply.RetryAfter <= 0 {
		return
	}
	if g.intake.Pause(e, reply.RetryAfter) {
		g.counters.pauses.Inc(1)
		g.log.Emit(savorypinevent.EndpointPauses{Endpoint: e.ID(), For: reply.RetryAfter, ID: call.ID})
	}
}
