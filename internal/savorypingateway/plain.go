package savorypingateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// Settings of plain requests.
const (
	// plainPatiencePart is the part of the target latency after which a request
	// that may be repeated is sent to another endpoint.
	plainPatiencePart = 0.6
	// maxUnsent bounds the endpoints that are tried without sending anything.
	maxUnsent = 4
)

// outcomeKind says what is known of an attempt.
type outcomeKind string

// The outcomes of attempts, in sorted order.
const (
	// outcomeAnswered means that there is a whole answer.
	outcomeAnswered outcomeKind = "answered"
	// outcomeNotRun means that the endpoint said that it did not run the request.
	outcomeNotRun outcomeKind = "not run"
	// outcomeUnknown means that the request may have run.
	outcomeUnknown outcomeKind = "unknown"
	// outcomeUnsent means that nothing was sent.
	outcomeUnsent outcomeKind = "unsent"
)

// outcome is the result of an attempt.
type outcome struct {
	// attempts is the number of endpoints that the request was sent to by then.
	attempts int
	body     []byte
	endpoint *savorypinfleet.Endpoint
	err      error
	kind     outcomeKind
	resp     *http.Response
}

// succeeded reports whether the answer is a success.
func (o *outcome) succeeded() bool {
	return o.kind == outcomeAnswered && o.resp.StatusCode < http.StatusInternalServerError
}

// relayPlain relays a request whose answer is delivered whole.
func (g *Gateway) relayPlain(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithDeadline(r.Context(), req.until)
	defer cancel()
	defer g.boundWrites(w, req.until)()
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
	g.log.Emit(savorypinevent.Ended{
		Age: time.Since(req.arrived), Attempts: result.attempts, Configuration: g.configurationVersion(),
		Endpoint: result.endpoint.ID(), ID: req.call.ID, Route: req.route.Name(), Status: result.resp.StatusCode,
		What: savorypinevent.KindRequestAnswered,
	})
	g.cfg.Codec.EncodeReply(w.Header(), result.resp, req.call)
	w.Header().Set("Content-Length", strconv.Itoa(len(result.body)))
	w.WriteHeader(result.resp.StatusCode)
	if _, err := w.Write(result.body); err != nil {
		g.log.Debug("answer not delivered", "id", req.call.ID, "err", err)
	}
}

// logCallerLeft logs that a caller has gone before its answer.
func (g *Gateway) logCallerLeft(req *request) {
	g.log.Emit(savorypinevent.Ended{
		Age: time.Since(req.arrived), Configuration: g.configurationVersion(), ID: req.call.ID, Route: req.route.Name(),
		What: savorypinevent.KindCallerLeft,
	})
}

// tryPlain sends a request to endpoints until one answers, or returns why none
// will.
func (g *Gateway) tryPlain(ctx context.Context, req *request) (*outcome, *refusal) {
	budget := g.budgets.of(req.service.Name())
	budget.Earn()
	tried := map[string]bool{}
	last := &outcome{kind: outcomeUnsent}
	sent, unsent := 0, 0
	for sent < req.route.MaxAttempts() && unsent < maxUnsent && ctx.Err() == nil {
		e := g.picker.Choose(g.query(req, tried))
		if e == nil || sent > 0 && !budget.Spend() {
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
		// An answer of an endpoint, even a failure, says more than what came later.
		if last.kind != outcomeAnswered || result.succeeded() {
			last = result
		}
		if result.succeeded() || !req.route.Repeatable() && result.kind != outcomeNotRun {
			break
		}
	}
	if last.kind == outcomeAnswered {
		return last, nil
	}
	return nil, plainRefusal(req, last, g.returnTime(req.service.Name()))
}

// plainRefusal returns what the caller is told if there is no answer. A request that
// has not run may come again after a time.
func plainRefusal(req *request, last *outcome, again time.Duration) *refusal {
	switch {
	case last.kind == outcomeUnsent, last.kind == outcomeNotRun:
		return notRun("no endpoint took the request", again)
	case req.over():
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

// attemptPlain sends a request to one endpoint and reads the whole answer.
func (g *Gateway) attemptPlain(ctx context.Context, req *request, e *savorypinfleet.Endpoint, more bool) *outcome {
	until := req.until
	if more && req.route.Repeatable() {
		until = time.Now().Add(patience(req.route.TargetLatency(), req.left()))
	}
	conn, err := g.connect(ctx, e)
	if err != nil {
		return &outcome{err: err, kind: outcomeUnsent}
	}
	defer context.AfterFunc(ctx, conn.Close)()
	work := g.picker.BeginPlain(e)
	defer work.End()
	began := time.Now()
	g.rollouts.Sent(e.Service(), e.Version())
	result, keepAlive := g.exchange(conn, req, savorypinfleet.Attempt{
		Call: req.call, Deadline: req.left(), Endpoint: e, Organisation: req.organisation, Priority: noPriority,
	}, until)
	if ctx.Err() == nil {
		work.Answered(!result.succeeded())
		g.noteVersion(req, e, !result.succeeded(), time.Since(began))
		g.judgePlain(e, result)
	}
	g.giveBack(conn, keepAlive)
	return result
}

// idleTime is how long a connection may stay idle whose answer was read whole; it is
// negative if the connection can't be used again.
func idleTime(conn *savorypinpool.Conn, resp *http.Response, reply savorypinfleet.Reply) time.Duration {
	if resp.Close || conn.Buffered() > 0 {
		return -1
	}
	return reply.KeepAlive
}

// giveBack keeps a connection for another request for as long as it may stay idle, or
// closes it if that is negative.
func (g *Gateway) giveBack(conn *savorypinpool.Conn, keepAlive time.Duration) {
	if keepAlive < 0 {
		conn.Close()
		return
	}
	g.pool.Put(conn, keepAlive)
}

// patience is how long an endpoint may take for a request that can go on elsewhere,
// given the target latency, if there is one, and the time that is left.
func patience(target, left time.Duration) time.Duration {
	if target > 0 {
		return min(left, time.Duration(plainPatiencePart*float64(target)))
	}
	return left / 2
}

// judgePlain puts an endpoint under suspicion that sent what is no answer, and clears
// one that answered.
func (g *Gateway) judgePlain(e *savorypinfleet.Endpoint, o *outcome) {
	switch o.kind {
	case outcomeAnswered:
		g.picker.Clear(e)
	case outcomeNotRun:
		if o.resp.StatusCode == http.StatusMisdirectedRequest {
			g.picker.Replaced(e)
			g.endpointFailed(e, "another incarnation answers")
		}
	case outcomeUnknown:
		if noAnswer(o.err) {
			g.endpointDistrusted(e, o.err.Error())
		}
	case outcomeUnsent:
	}
}

// exchange sends a request and reads the whole answer. It returns how long the
// connection may stay idle; a negative time means that it can't be used again.
func (g *Gateway) exchange(
	conn *savorypinpool.Conn,
	req *request,
	attempt savorypinfleet.Attempt,
	until time.Time,
) (*outcome, time.Duration) {
	unknown := func(err error) (*outcome, time.Duration) {
		return &outcome{err: err, kind: outcomeUnknown}, -1
	}
	if err := conn.Send(wireRequest(g.cfg.Codec, attempt), until); err != nil {
		return unknown(err)
	}
	if err := conn.SetReadDeadline(until); err != nil {
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
	keepAlive := idleTime(conn, resp, reply)
	if !related(conn, reply, req.call) {
		return unknown(savorypinpool.ErrUnrelated)
	}
	g.noteIntake(attempt.Endpoint, req.call, resp.StatusCode, reply)
	switch {
	case reply.NotRun:
		return &outcome{kind: outcomeNotRun, resp: resp}, keepAlive
	case reply.Encoded, !reply.Signed:
		return &outcome{err: errUnsigned, kind: outcomeUnknown}, -1
	}
	return &outcome{body: body, kind: outcomeAnswered, resp: resp}, keepAlive
}

// related reports whether an answer is to a call. One without an id may be a late
// copy of an earlier answer if the connection has carried another request.
func related(conn *savorypinpool.Conn, reply savorypinfleet.Reply, call *savorypinfleet.Call) bool {
	if reply.ID == "" {
		return !conn.Reused()
	}
	return reply.ID == call.ID
}

// errUnsigned means that an answer does not come from an endpoint as it made it.
var errUnsigned = errors.New("answer is not signed or not plain")

// noAnswer reports whether an attempt ended since what the endpoint sent is no answer
// of the protocol, or has no end.
func noAnswer(err error) bool {
	return errors.Is(err, savorypinpool.ErrMalformed) || errors.Is(err, errTooLong) || errors.Is(err, errEvent)
}

// wireRequest returns an attempt as it is sent.
func wireRequest(codec savorypinfleet.Codec, a savorypinfleet.Attempt) savorypinpool.Request {
	return savorypinpool.Request{
		Body:   a.Call.Body,
		Header: codec.EncodeAttempt(a),
		Host:   a.Call.Host,
		Method: a.Call.Method,
		URI:    a.Call.URI,
	}
}
