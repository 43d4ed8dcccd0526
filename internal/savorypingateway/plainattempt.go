package savorypingateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// attemptPlain sends a request to one endpoint and reads the whole response. If another attempt may follow,
// it gives up in time for that.
func (g *Gateway) attemptPlain(ctx context.Context, req *request, e *savorypinfleet.Endpoint, mayRepeat bool) *outcome {
	deadline := req.deadline
	if mayRepeat {
		deadline = time.Now().Add(attemptTimeout(req.route.TargetLatency(), req.remaining()))
	}
	conn, err := g.connectFor(ctx, e, req)
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
		if g.quarantine.Confined(g.subjects(req)) == nil {
			g.recordVersionResult(req, e, !result.succeeded(), time.Since(start))
		}
		g.updateSuspicion(e, result)
	}
	if result.kind == outcomeAnswered {
		g.quarantine.RecordBegin(g.subjects(req))
	}
	g.releaseConn(conn, keepAlive)
	return result
}

// connectionBroke reports whether there is no response because the endpoint's side of the connection
// ended.
func (o *outcome) connectionBroke() bool {
	var netErr net.Error
	givenUp := errors.Is(o.err, net.ErrClosed) || errors.As(o.err, &netErr) && netErr.Timeout()
	return o.kind == outcomeUnknown && !givenUp && !isProtocolError(o.err) && !isInvalidResponse(o.err)
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
	req.endUpload()
	if err != nil {
		return unknown(err)
	}
	defer resp.Body.Close()
	body, err := req.bodies.read(resp.Body, unknownLength)
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
		if !conn.RecordRefusal(req.call.ID) {
			keepAlive = -1
		}
		return &outcome{kind: outcomeNotRun, resp: resp}, keepAlive
	case reply.ContentEncoded, !reply.Signed:
		return &outcome{err: errUnsigned, kind: outcomeUnknown}, -1
	case len(body) == 0 && !framed(resp):
		return unknown(errMayBeCutOff)
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

// isInvalidResponse reports whether an attempt failed because its response is another's, or may not
// be the endpoint's.
func isInvalidResponse(err error) bool {
	return errors.Is(err, savorypinpool.ErrUnrelated) || errors.Is(err, errUnsigned)
}

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
