package savorypingateway

import (
	"context"
	"net/http"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// ServeHTTP serves a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.counters.requests.Inc(1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	call := g.cfg.Codec.DecodeCall(r)
	g.requireResponse(w, r, call, func(w *responseTracker, r *http.Request) { g.serveCall(w, r, call) })
}

// serveCall serves a caller's call. It returns without a response only if the caller has left.
func (g *Gateway) serveCall(w *responseTracker, r *http.Request, call *savorypinfleet.Call) {
	// Only on its own writer does net/http notice that a body is too large.
	req, refused := g.admit(w.ResponseWriter, r, call)
	if refused != nil {
		limitRefusedCaller(w.ResponseWriter, r)
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

// setWriteDeadline makes writes to a caller fail soon after the request's deadline, so that a
// caller that does not read can't hold resources forever. The returned function removes the
// deadline for the next request on the connection.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter, deadline time.Time) (reset func()) {
	rc := http.NewResponseController(w)
	set := func(t time.Time) {
		if err := rc.SetWriteDeadline(t); err != nil {
			g.log.Debug("setting the write deadline failed", "err", err)
		}
	}
	set(deadline.Add(writeGracePeriod))
	return func() { set(time.Time{}) }
}

// writeGracePeriod is the time after the deadline in which a write in progress may finish.
const writeGracePeriod = time.Second

// refuse sends a refusal to the caller.
func (g *Gateway) refuse(w http.ResponseWriter, call *savorypinfleet.Call, service string, refused *refusal) {
	g.counters.refused.Inc(1)
	g.logRefusal(call, service, refused)
	g.cfg.Codec.EncodeFailure(w.Header(), call, refused.retryAfter)
	http.Error(w, refused.reason, refused.status)
}

// logRefusal logs a refusal and the state that led to it.
func (g *Gateway) logRefusal(call *savorypinfleet.Call, service string, refused *refusal) {
	e := savorypinevent.RequestRefused{
		ID: call.ID, Path: call.URI, Subject: refused.subject, Reason: refused.reason, RetryAfter: refused.retryAfter, Status: refused.status,
		Configuration: g.configurationVersion(),
	}
	if age, ok := g.view.current.Load().confirmationAge(g.cfg.Clock()); ok {
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

// configurationVersion returns the version of the configuration in force; zero if there is none.
func (g *Gateway) configurationVersion() int64 {
	if c := g.view.configuration(); c != nil {
		return c.Version()
	}
	return 0
}

// handleProtocolError marks an endpoint suspect that sent an invalid response. This does not count
// as a failure of its domain.
func (g *Gateway) handleProtocolError(e *savorypinfleet.Endpoint, reason string) {
	g.pool.CloseIdle(e.Address())
	g.counters.endpointsDistrusted.Inc(1)
	g.picker.RecordProtocolError(e)
	g.log.Emit(savorypinevent.EndpointSuspect{Domain: e.Domain(), Endpoint: e.ID(), Reason: reason})
}

// markEndpointFailed marks an endpoint failed that was unreachable, did not respond or was replaced
// by another incarnation. If its whole failure domain is now considered failed, the streams there
// are checked at once.
func (g *Gateway) markEndpointFailed(e *savorypinfleet.Endpoint, reason string) {
	g.pool.CloseIdle(e.Address())
	domainFailed := g.picker.MarkFailed(e)
	g.log.Emit(savorypinevent.EndpointSuspect{Domain: e.Domain(), DomainFailed: domainFailed, Endpoint: e.ID(), Reason: reason})
	if domainFailed {
		g.markDomainFailed(e.Domain(), e.Service(), g.settings.Load().Name)
		g.gossip.TriggerRound()
	}
}

// markDomainFailed marks the endpoints of a service in a domain suspect and checks the streams there
// at once.
func (g *Gateway) markDomainFailed(domain, service, seenBy string) {
	var affected []*savorypinfleet.Endpoint
	for _, e := range g.view.directory.Load().Service(service) {
		if e.Domain() == domain {
			affected = append(affected, e)
		}
	}
	g.picker.MarkSuspect(affected)
	g.log.Emit(savorypinevent.DomainSuspect{Domain: domain, Endpoints: len(affected), SeenBy: seenBy, Service: service})
	g.streams.checkDomain(domain, service)
}

// connectFor returns a connection to an endpoint for a request. If the request can't be repeated, the
// connection outlasts the silence of the endpoint's host until the request's deadline: nothing else can
// bring the response.
func (g *Gateway) connectFor(ctx context.Context, e *savorypinfleet.Endpoint, req *request) (*savorypinpool.Conn, error) {
	conn, err := g.connect(ctx, e, req.call.ID)
	if err != nil || req.route.Retryable() {
		return conn, err
	}
	if err := conn.TolerateSilence(req.remaining()); err != nil {
		g.log.Debug("setting the keep-alive of a connection failed", "id", req.call.ID, "endpoint", e.ID(), "err", err)
	}
	return conn, nil
}

// connect returns a connection to an endpoint for a request with an ID. If none can be made in time,
// the endpoint is marked failed.
func (g *Gateway) connect(ctx context.Context, e *savorypinfleet.Endpoint, id string) (*savorypinpool.Conn, error) {
	conn, err := g.pool.Get(ctx, e.Address(), g.connectTimeout(e))
	for err == nil && conn.HasRefused(id) {
		conn.Close()
		conn, err = g.pool.Get(ctx, e.Address(), g.connectTimeout(e))
	}
	if err != nil && ctx.Err() == nil {
		if processEnded(err) {
			g.recordAbandoned(e)
		}
		g.markEndpointFailed(e, "connect")
	}
	return conn, err
}

// connectTimeout returns the timeout of a connection attempt. The endpoint's host accepts
// connections without waiting for a free slot, so that a few round trips are enough.
func (g *Gateway) connectTimeout(e *savorypinfleet.Endpoint) time.Duration {
	if g.settings.Load().Regions[e.Domain()] == g.settings.Load().Region {
		return sameRegionConnectTimeout
	}
	return crossRegionConnectTimeout
}

// Timeouts of connection attempts within a region and between regions.
const (
	sameRegionConnectTimeout  = 80 * time.Millisecond
	crossRegionConnectTimeout = 150 * time.Millisecond
)
