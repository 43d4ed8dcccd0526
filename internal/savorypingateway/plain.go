package savorypingateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
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

// succeeded reports whether there is a response with a status below 500.
func (o *outcome) succeeded() bool {
	return o.kind == outcomeAnswered && o.resp.StatusCode < http.StatusInternalServerError
}

// relayPlain serves a request whose response is buffered and delivered whole.
func (g *Gateway) relayPlain(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	defer g.setWriteDeadline(w, req.deadline)()
	defer req.bodies.release()
	result, refused := g.tryPlain(ctx, req)
	if r.Context().Err() != nil {
		g.logCallerLeft(req)
		return
	}
	if refused != nil {
		g.refuse(w, req.call, req.service.Name(), refused)
		return
	}
	g.counters.answered.Inc(1)
	g.counters.plainAnswer.UpdateSince(req.arrived)
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

// tryPlain sends a request to endpoints until one succeeds. It returns a refusal if no endpoint
// sent a response.
func (g *Gateway) tryPlain(ctx context.Context, req *request) (*outcome, *refusal) {
	budget := g.retryBudgets.forService(req.service.Name())
	budget.RecordFirst()
	tried := map[string]bool{}
	reported := &outcome{kind: outcomeUnsent}
	sent, unsent := 0, 0
	for sent < req.route.MaxAttempts() && unsent < maxUnsentAttempts && ctx.Err() == nil {
		e := g.chooseEndpoint(req, tried)
		if e == nil || sent > 0 && !budget.TryRepeat() {
			break
		}
		tried[e.ID()] = true
		result := g.attemptPlain(ctx, req, e, sent+1 < req.route.MaxAttempts())
		if !result.succeeded() {
			g.logAttempt(req, e, result, sent)
		}
		if result.kind == outcomeUnsent {
			unsent++
			continue
		}
		sent++
		result.attempts, result.endpoint = sent, e
		if sent > 1 {
			g.counters.repeated.Inc(1)
		}
		// A response, even a failure, tells the caller more than a later attempt without one.
		if reported.kind != outcomeAnswered || result.succeeded() {
			reported = result
		}
		if result.succeeded() || !req.route.Retryable() && result.kind != outcomeNotRun {
			break
		}
	}
	if reported.kind == outcomeAnswered {
		return reported, nil
	}
	return nil, plainRefusal(req, reported, g.retryDelay(req.service.Name()))
}

// plainRefusal returns the refusal of a request without a response, given the outcome of the last
// attempt that was sent. A request that has not run may be retried after retryAfter.
func plainRefusal(req *request, last *outcome, retryAfter time.Duration) *refusal {
	switch {
	case last.kind == outcomeUnsent, last.kind == outcomeNotRun:
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

// attemptPlain sends a request to one endpoint and reads the whole response.
func (g *Gateway) attemptPlain(ctx context.Context, req *request, e *savorypinfleet.Endpoint, mayRetry bool) *outcome {
	deadline := req.deadline
	if mayRetry && req.route.Retryable() {
		deadline = time.Now().Add(attemptTimeout(req.route.TargetLatency(), req.remaining()))
	}
	conn, err := g.connect(ctx, e)
	if err != nil {
		return &outcome{err: err, kind: outcomeUnsent}
	}
	defer context.AfterFunc(ctx, conn.Close)()
	work := g.picker.BeginPlain(e)
	defer work.End()
	start := time.Now()
	g.rollouts.CountSent(e.Service(), e.Version())
	result, keepAlive := g.exchange(conn, req, savorypinfleet.Attempt{
		Call: req.call, Deadline: req.remaining(), Endpoint: e, Organisation: req.organisation, Priority: noPriority,
	}, deadline)
	if ctx.Err() == nil {
		work.RecordAnswer(!result.succeeded())
		g.recordVersionResult(req, e, !result.succeeded(), time.Since(start))
		g.updateSuspicion(e, result)
	}
	g.releaseConn(conn, keepAlive)
	if ctx.Err() == nil && connectionBroke(result) {
		go g.log.RunRecovered("look for endpoint", func() { g.logPlainCrash(req, e) })
	}
	return result
}

// connectionBroke reports whether an attempt got no response because its connection ended.
func connectionBroke(o *outcome) bool {
	var timeout net.Error
	return o.kind == outcomeUnknown && !isProtocolError(o.err) && !errors.Is(o.err, savorypinpool.ErrUnrelated) &&
		!errors.Is(o.err, errUnsigned) && !(errors.As(o.err, &timeout) && timeout.Timeout())
}

// logPlainCrash logs that an endpoint's process ended under a request, if its host refuses a new
// connection.
func (g *Gateway) logPlainCrash(req *request, e *savorypinfleet.Endpoint) {
	conn, err := g.pool.Open(context.Background(), e.Address(), g.connectTimeout(e))
	if err == nil {
		g.pool.Put(conn, 0)
		return
	}
	if !processEnded(err) {
		return
	}
	g.counters.endpointsCrashed.Inc(1)
	g.log.Emit(savorypinevent.EndpointCrashed{Domain: e.Domain(), Endpoint: e.ID(), ID: req.call.ID, Request: req.whole().String()})
}

// idleTimeout returns how long a connection may stay idle after its response was read whole. It
// is zero if the endpoint does not say, and negative if the connection can't be reused.
func idleTimeout(conn *savorypinpool.Conn, resp *http.Response, reply savorypinfleet.Reply) time.Duration {
	if resp.Close || conn.Buffered() > 0 {
		return -1
	}
	return reply.KeepAlive
}

// releaseConn returns a connection to the pool for keepAlive, or closes it if that is negative.
func (g *Gateway) releaseConn(conn *savorypinpool.Conn, keepAlive time.Duration) {
	if keepAlive < 0 {
		conn.Close()
		return
	}
	g.pool.Put(conn, keepAlive)
}

// attemptTimeout returns the timeout of an attempt that can be retried elsewhere, given the
// target latency, zero for none, and the time left until the request's deadline.
func attemptTimeout(target, left time.Duration) time.Duration {
	if target > 0 {
		return min(left, time.Duration(plainAttemptRatio*float64(target)))
	}
	return left / 2
}

// updateSuspicion marks an endpoint suspect that sent an invalid response, marks one failed that
// was replaced by another incarnation, and clears one that sent a valid response.
func (g *Gateway) updateSuspicion(e *savorypinfleet.Endpoint, o *outcome) {
	switch o.kind {
	case outcomeAnswered:
		g.picker.ClearSuspicion(e)
	case outcomeNotRun:
		if o.resp.StatusCode == http.StatusMisdirectedRequest {
			g.picker.RecordReplacement(e)
			g.markEndpointFailed(e, "another incarnation answers")
		}
	case outcomeUnknown:
		if isProtocolError(o.err) {
			g.handleProtocolError(e, o.err.Error())
		}
	case outcomeUnsent:
	}
}

// exchange sends a request and reads the whole response. It also returns how long the
// connection may stay idle; negative if it can't be reused.
func (g *Gateway) exchange(
	conn *savorypinpool.Conn,
	req *request,
	attempt savorypinfleet.Attempt,
	deadline time.Time,
) (*outcome, time.Duration) {
	unknown := func(err error) (*outcome, time.Duration) {
		return &outcome{err: err, kind: outcomeUnknown}, -1
	}
	if err := conn.Send(wireRequest(g.cfg.Codec, attempt), deadline); err != nil {
		return unknown(err)
	}
	if err := conn.SetReadDeadline(deadline); err != nil {
		return unknown(err)
	}
	resp, err := conn.Receive(req.call.Method)
	if err != nil {
		return unknown(err)
	}
	defer resp.Body.Close()
	body, err := req.bodies.read(resp.Body)
	if err != nil {
		return unknown(err)
	}
	reply := g.cfg.Codec.DecodeReply(resp)
	keepAlive := idleTimeout(conn, resp, reply)
	if !matchesCall(conn, reply, req.call) {
		return unknown(savorypinpool.ErrUnrelated)
	}
	g.recordAdmission(attempt.Endpoint, req.call, resp.StatusCode, reply)
	switch {
	case reply.NotExecuted:
		return &outcome{kind: outcomeNotRun, resp: resp}, keepAlive
	case reply.ContentEncoded, !reply.Signed:
		return &outcome{err: errUnsigned, kind: outcomeUnknown}, -1
	}
	return &outcome{body: body, kind: outcomeAnswered, resp: resp}, keepAlive
}

// matchesCall reports whether a response belongs to a call. If the connection has carried another
// request, a response without an ID may be a late duplicate of the response to that one.
func matchesCall(conn *savorypinpool.Conn, reply savorypinfleet.Reply, call *savorypinfleet.Call) bool {
	if reply.ID == "" {
		return !conn.Reused()
	}
	return reply.ID == call.ID
}

// errUnsigned means that a response may not be what the endpoint sent: it lacks the endpoint's
// signature, or its body is encoded.
var errUnsigned = errors.New("answer is not signed or not plain")

// isProtocolError reports whether an attempt failed because the response was malformed, invalid
// or too long.
func isProtocolError(err error) bool {
	return errors.Is(err, savorypinpool.ErrMalformed) || errors.Is(err, errBodyTooLong) || errors.Is(err, errInvalidEvent)
}

// wireRequest returns the HTTP request of an attempt.
func wireRequest(codec savorypinfleet.Codec, a savorypinfleet.Attempt) savorypinpool.Request {
	return savorypinpool.Request{
		Body:   a.Call.Body,
		Header: codec.EncodeAttempt(a),
		Host:   a.Call.Host,
		Method: a.Call.Method,
		URI:    a.Call.URI,
	}
}
