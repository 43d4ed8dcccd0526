package savorypingateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinquarantine"
)

// Parameters of plain requests.
const (
	// plainAttemptRatio is the fraction of the target latency after which a request that may
	// be retried is sent to another endpoint.
	plainAttemptRatio = 0.6
	// maxUnsentAttempts limits the attempts that fail before anything is sent.
	maxUnsentAttempts = 4
)

// outcomeKind classifies the result of an attempt.
type outcomeKind string

// The outcomes of attempts.
const (
	// outcomeAnswered means that a complete response was received.
	outcomeAnswered outcomeKind = "answered"
	// outcomeNotRun means that the endpoint reported that it did not run the request.
	outcomeNotRun outcomeKind = "not run"
	// outcomeUnknown means that the request may have run.
	outcomeUnknown outcomeKind = "unknown"
	// outcomeUnsent means that nothing was sent.
	outcomeUnsent outcomeKind = "unsent"
)

// outcome is the result of an attempt.
type outcome struct {
	// attempts is the number of attempts in which the request was sent, up to this one.
	attempts int
	body     []byte
	endpoint *savorypinfleet.Endpoint
	err      error
	kind     outcomeKind
	resp     *http.Response
}

// replaces reports whether the caller is told this outcome rather than that of an earlier attempt. A
// response, even a failure, tells it more than a later attempt without one, and a request that may
// have run must not be reported as not run.
func (o *outcome) replaces(earlier *outcome) bool {
	switch earlier.kind {
	case outcomeAnswered:
		return o.succeeded()
	case outcomeUnknown:
		return o.kind != outcomeNotRun
	case outcomeNotRun, outcomeUnsent:
	}
	return true
}

// succeeded reports whether there is a response with a status below 500.
func (o *outcome) succeeded() bool {
	return o.kind == outcomeAnswered && o.resp.StatusCode < http.StatusInternalServerError
}

// relayPlain serves a request whose response is buffered and delivered whole.
func (g *Gateway) relayPlain(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	defer g.setWriteDeadline(w, req.deadline)()
	defer req.release()
	result, refused := g.tryPlain(ctx, req)
	if callerLeft(r) {
		g.logCallerLeft(req)
		return
	}
	if refused != nil {
		g.refuse(w, req.call, req.service.Name(), refused)
		return
	}
	g.counters.answered.Inc(1)
	g.counters.plainAnswer.UpdateSince(req.arrived)
	g.slowest.ObservePlain(req.kind(), time.Since(req.arrived))
	g.log.Emit(savorypinevent.RequestEnded{
		Age: time.Since(req.arrived), Attempts: result.attempts, Configuration: g.configurationVersion(),
		Endpoint: result.endpoint.ID(), ID: req.call.ID, Route: req.route.Name(), Status: result.resp.StatusCode,
		EventKind: savorypinevent.KindRequestAnswered,
	})
	g.cfg.Codec.EncodeReply(w.Header(), result.resp, req.call)
	w.Header().Set("Content-Length", strconv.Itoa(len(result.body)))
	w.WriteHeader(result.resp.StatusCode)
	if _, err := w.Write(result.body); err != nil {
		g.log.Debug("writing the response to the caller failed", "id", req.call.ID, "err", err)
	}
}

// logCallerLeft logs that a caller disconnected before the response.
func (g *Gateway) logCallerLeft(req *request) {
	g.log.Emit(savorypinevent.RequestEnded{
		Age: time.Since(req.arrived), Configuration: g.configurationVersion(), ID: req.call.ID, Route: req.route.Name(),
		EventKind: savorypinevent.KindCallerLeft,
	})
}

// plainCall is a plain request over all of its attempts.
type plainCall struct {
	// confinement is why the request was not sent, or not sent again; nil if it was for other
	// reasons.
	confinement *savorypinquarantine.Confinement
	gateway     *Gateway
	// crashChecks are those of the endpoints whose connections broke.
	crashChecks crashChecks
	// isolated is set if the request was not sent because it is suspect of crashing endpoints.
	isolated bool
	// probe is set if the request is a probe of subjects in quarantine.
	probe *savorypinquarantine.Probe
	// reported is the outcome that the caller is told.
	reported *outcome
	req      *request
	// sequel is set if the next attempt comes after the request may have crashed an endpoint.
	sequel bool
	// sent and unsent are the numbers of attempts in which the request was sent or not.
	sent, unsent int
	tried        map[string]bool
}

// tryPlain sends a request to endpoints until one succeeds. It returns a refusal if no endpoint
// sent a response.
func (g *Gateway) tryPlain(ctx context.Context, req *request) (*outcome, *refusal) {
	g.retryBudgets.forService(req.service.Name()).RecordFirst()
	p := &plainCall{gateway: g, reported: &outcome{kind: outcomeUnsent}, req: req, tried: map[string]bool{}}
	p.probe, p.confinement = g.quarantine.Admit(g.subjects(req))
	defer p.probe.End()
	for p.mayAttempt() && ctx.Err() == nil {
		if done := p.attempt(ctx); done {
			break
		}
	}
	if !p.reported.succeeded() {
		p.crashChecks.await(ctx)
	}
	if p.reported.kind == outcomeAnswered {
		return p.reported, nil
	}
	if p.confinement != nil {
		g.countConfined(p.confinement)
	}
	return nil, p.refusal()
}

// mayAttempt reports whether the request may be sent, or sent again.
func (p *plainCall) mayAttempt() bool {
	if p.probe == nil || p.sent > 0 {
		p.confinement = p.gateway.quarantine.Confined(p.gateway.subjects(p.req))
	}
	return p.confinement == nil && p.sent < p.req.route.MaxAttempts() && p.unsent < maxUnsentAttempts
}

// attempt sends the request to one endpoint. It reports whether no other attempt is to follow.
func (p *plainCall) attempt(ctx context.Context) (done bool) {
	g, req := p.gateway, p.req
	isolation, ok := g.isolate(req)
	if !ok {
		p.isolated = true
		return true
	}
	defer isolation.End()
	p.sequel = p.sequel || isolation != nil
	e := g.chooseEndpoint(req, p.tried)
	if e == nil || p.sent > 0 && !g.retryBudgets.forService(req.service.Name()).TryRepeat() {
		return true
	}
	p.tried[e.ID()] = true
	result := g.attemptPlain(ctx, req, e, p.mayRepeat())
	if !result.succeeded() {
		g.logAttempt(req, e, result, p.sent)
	}
	if result.kind == outcomeUnsent {
		p.unsent++
		return false
	}
	p.sent++
	result.attempts, result.endpoint = p.sent, e
	if p.sent > 1 {
		g.counters.repeated.Inc(1)
	}
	if result.replaces(p.reported) {
		p.reported = result
	}
	if result.kind == outcomeUnknown {
		p.handleLostResponse(ctx, e, result)
	}
	return result.succeeded() || !req.route.Retryable() && result.kind != outcomeNotRun
}

// mayRepeat reports whether the request may be sent to another endpoint after the current attempt.
func (p *plainCall) mayRepeat() bool {
	return p.req.route.Retryable() && p.sent+1 < p.req.route.MaxAttempts() && p.gateway.canRepeat(p.req, p.tried)
}

// refusal returns the refusal of a request without a response.
func (p *plainCall) refusal() *refusal {
	g := p.gateway
	mayHaveRun := p.reported.kind == outcomeUnknown
	switch {
	case p.confinement != nil:
		return confinedRefusal(p.confinement, mayHaveRun)
	case p.isolated && !mayHaveRun:
		return isolatedRefusal(p.req.whole())
	case mayHaveRun && g.exiting.Err() != nil:
		return exitRefusal()
	}
	return plainRefusal(p.req, p.reported, g.retryDelay(p.req.service.Name()))
}

// plainRefusal returns the refusal of a request without a response, given the outcome that the caller
// is told. A request that has not run may be retried after retryAfter.
func plainRefusal(req *request, reported *outcome, retryAfter time.Duration) *refusal {
	switch {
	case reported.kind == outcomeUnsent, reported.kind == outcomeNotRun:
		return notRunRefusal("no endpoint took the request", retryAfter)
	case req.expired():
		return &refusal{reason: "no answer in time", status: http.StatusGatewayTimeout}
	default:
		return &refusal{reason: "endpoint failed", status: http.StatusBadGateway}
	}
}

func (g *Gateway) logAttempt(req *request, e *savorypinfleet.Endpoint, o *outcome, earlier int) {
	status := 0
	if o.resp != nil {
		status = o.resp.StatusCode
	}
	g.log.Emit(savorypinevent.AttemptEnded{
		Age: time.Since(req.arrived), Earlier: earlier, Endpoint: e.ID(), Err: o.err, ID: req.call.ID,
		Outcome: string(o.kind), Status: status,
	})
}
