package savorypingateway

import (
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

// recordLimit logs the limit that an endpoint named in a response.
func (g *Gateway) recordLimit(e *savorypinfleet.Endpoint, call *savorypinfleet.Call, limit savorypinfleet.RequestLimit) {
	if limit.State == savorypinfleet.LimitAbsent {
		return
	}
	g.counters.endpointLimits.Inc(1)
	g.log.Emit(savorypinevent.EndpointLimits{
		Endpoint: e.ID(), ID: call.ID, Limited: limit.State == savorypinfleet.LimitNamed, PerSecond: limit.PerSecond,
	})
}
