package savorypingateway

import (
	"maps"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinpick"
)

// recordLimit records the limit on requests that an endpoint named in a response, or that it named
// none.
func (g *Gateway) recordLimit(e *savorypinfleet.Endpoint, call *savorypinfleet.Call, limit savorypinfleet.RequestLimit) {
	changed := false
	switch limit.State {
	case savorypinfleet.LimitNamed:
		g.counters.endpointLimits.Inc(1)
		changed = g.endpointLimits.Name(e.IncarnationHash(), e.Service(), limit.PerSecond)
	case savorypinfleet.LimitAbsent:
		changed = g.endpointLimits.Omit(e.IncarnationHash())
	case savorypinfleet.LimitInvalid:
		g.log.Debug("limit of an endpoint is not a number; the last one stays in force", "endpoint", e.ID(), "id", call.ID)
	}
	if !changed {
		return
	}
	g.gossip.TriggerRound()
	g.logLimit(e, call.ID, limit.PerSecond, limit.State == savorypinfleet.LimitNamed)
}

// logLimit logs that a limit has changed. The ID of the request is empty if another gateway reported
// the limit.
func (g *Gateway) logLimit(e *savorypinfleet.Endpoint, id string, perSecond float64, limited bool) {
	g.log.Emit(savorypinevent.EndpointLimits{Endpoint: e.ID(), ID: id, Limited: limited, PerSecond: max(0, perSecond)})
}

// handleLimits processes the limits that another gateway has seen.
func (g *Gateway) handleLimits(update savorypingossip.ReceivedUpdate) {
	if len(update.State.Limits) == 0 {
		return
	}
	byHash := g.endpointsByHash()
	for _, limit := range update.State.Limits {
		e := byHash[limit.Endpoint]
		if e != nil && g.endpointLimits.Apply(update.Origin, limit, e.Service()) {
			g.logLimit(e, "", limit.PerSecond, limit.PerSecond >= 0)
		}
	}
}

// endpointsByHash returns the listed endpoints by the hash of their incarnation.
func (g *Gateway) endpointsByHash() map[uint64]*savorypinfleet.Endpoint {
	byHash := map[uint64]*savorypinfleet.Endpoint{}
	for _, e := range g.view.directory.Load().All() {
		byHash[e.IncarnationHash()] = e
	}
	return byHash
}

// retainLimits drops the limits and the uploads of endpoints that are no longer listed.
func (g *Gateway) retainLimits() {
	byHash := g.endpointsByHash()
	listed := func(endpoint uint64) bool { return byHash[endpoint] != nil }
	g.endpointLimits.Retain(listed)
	g.uploads.retain(listed)
}

// chooseEndpoint returns the endpoint for the next attempt of a request, and counts the attempt
// against its limits. It returns nil if there is none that takes the request now.
func (g *Gateway) chooseEndpoint(req *request, tried map[string]bool) *savorypinfleet.Endpoint {
	e := g.chooseWith(req, tried, g.picker.Choose, func(e *savorypinfleet.Endpoint) bool {
		if !g.takeUpload(e, req) {
			return false
		}
		if g.endpointLimits.Take(e.IncarnationHash()) {
			return true
		}
		g.counters.limitHeld.Inc(1)
		return false
	})
	if e == nil {
		req.endUpload()
	}
	return e
}

// chooseWith returns the endpoint that choose selects for the next attempt of a request and that take
// accepts; nil if there is none.
func (g *Gateway) chooseWith(
	req *request,
	tried map[string]bool,
	choose func(savorypinpick.Query) *savorypinfleet.Endpoint,
	take func(*savorypinfleet.Endpoint) bool,
) *savorypinfleet.Endpoint {
	excluded := maps.Clone(tried)
	for {
		e := choose(g.query(req, excluded))
		if e == nil || take(e) {
			return e
		}
		excluded[e.ID()] = true
	}
}

// limitWait returns the time until one of the endpoints is expected to take a request of this
// gateway, and whether all of them take none now because of their limits.
func (g *Gateway) limitWait(endpoints []*savorypinfleet.Endpoint) (time.Duration, bool) {
	var shortest time.Duration
	for i, e := range endpoints {
		d := g.endpointLimits.Wait(e.IncarnationHash())
		if d == 0 {
			return 0, false
		}
		if i == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest, len(endpoints) > 0
}
