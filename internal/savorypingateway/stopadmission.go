package savorypingateway

import (
	"net/http"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinforecast"
)

// Times by which a stopping gateway decides on new requests.
const (
	// loadBalancerDelay is how long the load balancer goes on sending new callers: it checks the
	// readiness every second and removes a gateway after two failed checks.
	loadBalancerDelay = 2500 * time.Millisecond
	// lateFactor multiplies the duration of the slowest requests of a kind to give the time that
	// must be left for one that comes after loadBalancerDelay. Such a caller reaches another gateway
	// with its next attempt, so that a refusal costs it little.
	lateFactor = 2
)

// stopAdmission is what a stopping gateway knows of a new request.
type stopAdmission struct {
	// deadline is the time until the request's deadline.
	deadline time.Duration
	// known says whether slowest is known.
	known bool
	// left is the time until the gateway exits.
	left time.Duration
	// repeatable says whether another gateway can go on with the request if it is cut off.
	repeatable bool
	// sinceStop is the time since the shutdown began.
	sinceStop time.Duration
	// slowest is the time that the slowest requests of this kind and size take.
	slowest time.Duration
}

// accepts reports whether the request is served by this gateway. One that would be cut off is better
// served by another gateway from the beginning.
func (a stopAdmission) accepts() bool {
	switch {
	case a.deadline <= a.left:
		// The response is due before the gateway exits, whatever it is.
		return true
	case a.sinceStop < loadBalancerDelay:
		// A caller that is refused may reach another gateway that stops, which costs it more than
		// going on elsewhere after the exit.
		return a.repeatable || !a.known || a.slowest <= a.left
	default:
		return a.known && lateFactor*a.slowest <= a.left
	}
}

// acceptsWhileStopping reports whether a request is served. It returns true if the gateway does not
// stop.
func (g *Gateway) acceptsWhileStopping(req *request) bool {
	sinceStop := g.stoppingFor()
	if sinceStop == 0 {
		return true
	}
	a := stopAdmission{
		deadline:   req.remaining(),
		left:       g.settings.Load().StopGracePeriod - stopMargin - sinceStop,
		repeatable: req.route.Retryable(),
		sinceStop:  sinceStop,
	}
	if req.route.Kind() == savorypinfleet.RouteStreaming {
		a.slowest, a.known = g.slowest.Stream(req.kind(), savorypinforecast.Remaining{
			Events: req.call.LastEvent(), OutputTokens: req.call.OutputTokens, PromptTokens: req.call.PromptTokens,
		})
	} else {
		a.slowest, a.known = g.slowest.Plain(req.kind())
	}
	return a.accepts()
}

// retainDurations drops the durations of requests on routes that are no longer configured.
func (g *Gateway) retainDurations() {
	c := g.view.configuration()
	if c == nil {
		return
	}
	keep := func(kind savorypinforecast.Kind) bool { return c.HasRoute(kind.Route) }
	g.forecast.Retain(keep)
	g.slowest.Retain(keep)
}

// stoppingRefusal returns the refusal of a request that another gateway can serve at once.
func stoppingRefusal() *refusal {
	return notRunRefusal("gateway stops", otherGatewayRetryDelay)
}

// exitRefusal returns the error response to a request that may have run and has no response when the
// gateway exits.
func exitRefusal() *refusal {
	return &refusal{reason: "gateway stops", status: http.StatusGatewayTimeout}
}
