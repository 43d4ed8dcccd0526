package savorypingateway

import (
	"context"
	"net/http"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// ServeHTTP relays a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.counters.requests.Inc(1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	call := g.cfg.Codec.DecodeCall(r)
	req, refused := g.admit(w, r, call)
	if refused != nil {
		g.refuse(w, call, "", refused)
		return
	}
	if req == nil {
		return
	}
	if req.route.Kind() == savorypinfleet.RouteStreaming {
		g.relayStream(w, r, req)
		return
	}
	g.relayPlain(w, r, req)
}

// boundWrites lets writes to a caller fail after its deadline, so that one who does
// not read holds nothing for good. The function that it returns lifts the bound
// for the connection's next request.
func (g *Gateway) boundWrites(w http.ResponseWriter, until time.Time) (lift func()) {
	rc := http.NewResponseController(w)
	set := func(t time.Time) {
		if err := rc.SetWriteDeadline(t); err != nil {
			g.log.Debug("writes not bounded", "err", err)
		}
	}
	set(until.Add(lastWriteTime))
	return func() { set(time.Time{}) }
}

// lastWriteTime is the time after the deadline for the end of what was begun.
const lastWriteTime = time.Second

// refuse gives an answer of the gateway itself.
func (g *Gateway) refuse(w http.ResponseWriter, call *savorypinfleet.Call, service string, refused *refusal) {
	g.counters.refused.Inc(1)
	g.logRefusal(call, service, refused)
	g.cfg.Codec.EncodeFailure(w.Header(), call, refused.retryAfter)
	http.Error(w, refused.reason, refused.status)
}

// logRefusal logs a refusal with what decided it.
func (g *Gateway) logRefusal(call *savorypinfleet.Call, service string, refused *refusal) {
	e := savorypinevent.RequestRefused{
		ID: call.ID, Path: call.URI, Reason: refused.reason, RetryAfter: refused.retryAfter, Status: refused.status,
		Configuration: g.configurationVersion(),
	}
	if age, ok := g.view.confirmation(bootClock()); ok {
		e.ConfirmationAge = age
	}
	for _, endpoint := range g.candidates(service) {
		e.Endpoints++
		if g.picker.Suspect(endpoint) {
			e.Suspects++
		}
	}
	g.log.Emit(e)
}

// configurationVersion is the version of the configuration in force; zero for
// none.
func (g *Gateway) configurationVersion() int64 {
	if c := g.view.configuration.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// brokeOff takes note that an endpoint broke off an answer. Whether the endpoint
// is lost, or has lost just this connection, is found out by another one.
func (g *Gateway) brokeOff(e *savorypinfleet.Endpoint, reason string) {
	g.pool.Drop(e.Address())
	go g.log.Contain("look for endpoint", func() {
		conn, err := g.pool.Open(context.Background(), e.Address(), g.connectTimeout(e))
		if err == nil {
			g.pool.Put(conn, 0)
			g.log.Debug("endpoint lives", "endpoint", e.ID(), "reason", reason)
			return
		}
		g.endpointFailed(e, reason)
	})
}

// endpointDistrusted takes note that an endpoint sent what is no answer. That says
// nothing of its failure domain.
func (g *Gateway) endpointDistrusted(e *savorypinfleet.Endpoint, reason string) {
	g.pool.Drop(e.Address())
	g.counters.distrusted.Inc(1)
	g.picker.Distrust(e)
	g.log.Emit(savorypinevent.EndpointSuspect{Domain: e.Domain(), Endpoint: e.ID(), Reason: reason})
}

// endpointFailed takes note that an endpoint was out of reach or silent. When
// its whole domain is taken as failed, the streams there are checked at once.
func (g *Gateway) endpointFailed(e *savorypinfleet.Endpoint, reason string) {
	g.pool.Drop(e.Address())
	domainFailed := g.picker.Fail(e)
	g.log.Emit(savorypinevent.EndpointSuspect{Domain: e.Domain(), DomainFailed: domainFailed, Endpoint: e.ID(), Reason: reason})
	if domainFailed {
		g.domainFailed(e.Domain(), e.Service(), g.settings.Load().Name)
		g.gossip.Hurry()
	}
}

// domainFailed puts the endpoints of a service in a domain under suspicion and
// checks the streams there at once.
func (g *Gateway) domainFailed(domain, service, seenBy string) {
	var neighbours []*savorypinfleet.Endpoint
	for _, e := range g.view.directory.Load().Service(service) {
		if e.Domain() == domain {
			neighbours = append(neighbours, e)
		}
	}
	g.picker.FailDomain(neighbours)
	g.log.Emit(savorypinevent.DomainSuspect{Domain: domain, Endpoints: len(neighbours), SeenBy: seenBy, Service: service})
	g.streams.check(domain, service)
}

// noPriority leaves the rank of a request to the endpoint.
const noPriority = -1

// connect returns a connection to an endpoint. One that can't be had in time speaks
// against the endpoint.
func (g *Gateway) connect(ctx context.Context, e *savorypinfleet.Endpoint) (*savorypinpool.Conn, error) {
	conn, err := g.pool.Get(ctx, e.Address(), g.connectTimeout(e))
	if err != nil && ctx.Err() == nil {
		g.endpointFailed(e, "connect")
	}
	return conn, err
}

// connectTimeout bounds the time in which an endpoint accepts a connection. Its
// host answers without waiting for a slot, so that a few round trips are enough.
func (g *Gateway) connectTimeout(e *savorypinfleet.Endpoint) time.Duration {
	if g.settings.Load().Regions[e.Domain()] == g.settings.Load().Region {
		return nearConnectTimeout
	}
	return farConnectTimeout
}

// Bounds of a connection attempt within a region and between regions.
const (
	nearConnectTimeout = 80 * time.Millisecond
	farConnectTimeout  = 150 * time.Millisecond
)
