package savorypingateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// Bounds on the silence of a stream.
const (
	// firstCheckPart is the part of the target latency after which an endpoint
	// without a first event is asked for its work: reading a prompt takes about as
	// long.
	firstCheckPart = 0.35
	// reportTimeout bounds the answer to that question.
	reportTimeout = 400 * time.Millisecond
	// reportBytes bounds the size of that answer.
	reportBytes = 1 << 20
	// reportLag is how old a report may be: a request that was sent later may be
	// missing from it.
	reportLag = 600 * time.Millisecond
	// defaultGap stands for the longest pause where the route names none.
	defaultGap = time.Second
	// firstPart is how many times the target latency an endpoint without a first
	// event may take that says it has the request: what was read is lost by
	// leaving.
	firstPart = 2
	// defaultTarget stands for the target latency where the route names none.
	defaultTarget = 5 * time.Second
)

// watch notices that the endpoint of a stream is silent. It closes the
// connection, so that the reader sees an error.
type watch struct {
	bounds   atomic.Pointer[bounds]
	checking atomic.Bool
	// begun says that the first event has come.
	begun    atomic.Bool
	conn     *savorypinpool.Conn
	ctx      context.Context //nolint:containedctx // the timer's callback has no other way to end with the request
	endpoint *savorypinfleet.Endpoint
	// gap is the longest pause between events that is still on time.
	gap     time.Duration
	gateway *Gateway
	last    atomic.Int64
	// longest is the longest time between two events so far, in nanoseconds.
	longest atomic.Int64
	// lost says that the endpoint's host did not answer, and stuck that it did but
	// the stream was silent for too long.
	lost  atomic.Bool
	stuck atomic.Bool
	id    string
	// resting says that the caller takes an event.
	resting atomic.Bool
	// sent is when the request was sent.
	sent time.Time
	// stuckBefore is the number of earlier attempts that were given up although
	// their hosts answered.
	stuckBefore int
	timer       *time.Timer
}

// watch returns a watch over one attempt. Stuck is the number of earlier attempts
// of the stream that were given up although their hosts answered.
func (g *Gateway) watch(
	ctx context.Context,
	req *request,
	e *savorypinfleet.Endpoint,
	conn *savorypinpool.Conn,
	stuck int,
) *watch {
	target := req.route.TargetLatency()
	if target == 0 {
		target = defaultTarget
	}
	gap := req.route.TargetGap()
	if gap == 0 {
		gap = defaultGap
	}
	w := &watch{conn: conn, ctx: ctx, endpoint: e, gap: gap, gateway: g, id: req.call.ID, sent: time.Now(), stuckBefore: stuck}
	w.bounds.Store(&bounds{
		check: time.Duration(firstCheckPart * float64(target)),
		limit: time.Duration(firstPart * float64(target)),
	})
	w.last.Store(time.Now().UnixNano())
	w.timer = time.AfterFunc(w.bounds.Load().check, func() { g.log.Contain("check stream", w.run) })
	g.streams.add(w)
	return w
}

// event takes note of an event that goes beyond the last one. After the first one
// they come often.
func (w *watch) event() {
	now := time.Now().UnixNano()
	pause := now - w.last.Swap(now)
	if w.begun.Swap(true) && pause > w.longest.Load() {
		w.longest.Store(pause)
	}
	b := silenceBounds(w.gap, w.stuckBefore, time.Duration(w.longest.Load()))
	w.bounds.Store(&b)
	w.timer.Reset(b.check)
}

// rest stops the watch while the caller takes an event: a slow caller says nothing
// of the endpoint.
func (w *watch) rest() {
	w.resting.Store(true)
	w.timer.Stop()
}

// resume lets the watch go on after a rest.
func (w *watch) resume() {
	w.resting.Store(false)
	w.last.Store(time.Now().UnixNano())
	w.timer.Reset(w.bounds.Load().check)
}

// stop ends the watch.
func (w *watch) stop() {
	w.timer.Stop()
	w.gateway.streams.remove(w)
}

// checkNow lets the watch check the endpoint at once.
func (w *watch) checkNow() {
	w.timer.Reset(0)
}

// run checks the endpoint's host by a new connection, which it answers even if
// the endpoint is busy, and gives the endpoint up if it does not, if the engine
// does not know the request, or if the silence has lasted too long.
func (w *watch) run() {
	if w.checking.Swap(true) {
		return
	}
	defer w.checking.Store(false)
	if w.ctx.Err() != nil {
		return
	}
	began := w.last.Load()
	conn, err := w.gateway.pool.Open(w.ctx, w.endpoint.Address(), w.gateway.connectTimeout(w.endpoint))
	reported := err == nil && w.known(conn)
	sent := time.Since(w.sent)
	goesOn := err == nil && !missing(reported, sent)
	if w.last.Load() != began || w.ctx.Err() != nil {
		return
	}
	silence := time.Since(time.Unix(0, began))
	b := w.bounds.Load()
	if goesOn && w.resting.Load() {
		return
	}
	if goesOn && silence <= b.limit {
		again := min(b.check, max(b.limit-silence, time.Millisecond))
		if !reported {
			again = reportLag - sent
		}
		w.timer.Reset(again)
		return
	}
	w.lost.Store(err != nil)
	w.stuck.Store(err == nil)
	w.conn.Close()
}

// missing reports whether an engine does not have a request that was sent some time
// ago, given whether its report may name it. Reports are late: when a failure domain is
// lost, all streams there are checked at once, also those that were just sent.
func missing(reported bool, sent time.Duration) bool {
	return !reported && sent >= reportLag
}

// known reports whether the engine may have a request whose first event is
// awaited, among those that it does not name. It takes over the connection. Between events
// silence alone decides, since a run may be known whose answer is lost; so it does if the
// endpoint wants no questions now.
func (w *watch) known(conn *savorypinpool.Conn) bool {
	if w.begun.Load() || w.gateway.intake.Paused(w.endpoint) {
		w.gateway.pool.Put(conn, 0)
		return true
	}
	report, keepAlive, err := w.gateway.askReport(conn, w.endpoint)
	if err != nil {
		conn.Close()
		w.gateway.log.Debug("no report", "id", w.id, "endpoint", w.endpoint.ID(), "err", err)
		return false
	}
	w.gateway.pool.Put(conn, keepAlive)
	return report.Pending > 0 || slices.Contains(report.Running, w.id)
}

// askReport asks an engine for its work.
func (g *Gateway) askReport(conn *savorypinpool.Conn, e *savorypinfleet.Endpoint) (savorypinfleet.Report, time.Duration, error) {
	deadline := time.Now().Add(reportTimeout)
	question := savorypinpool.Request{Header: http.Header{}, Host: e.Address(), Method: http.MethodGet, URI: g.cfg.Codec.ReportPath}
	if err := conn.Send(question, deadline); err != nil {
		return savorypinfleet.Report{}, 0, err
	}
	if err := conn.SetReadDeadline(deadline); err != nil {
		return savorypinfleet.Report{}, 0, err
	}
	resp, err := conn.Receive(http.MethodGet)
	if err != nil {
		return savorypinfleet.Report{}, 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, reportBytes))
	if err != nil {
		return savorypinfleet.Report{}, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return savorypinfleet.Report{}, 0, fmt.Errorf("report: status %d", resp.StatusCode)
	}
	report, err := g.cfg.Codec.DecodeReport(data)
	return report, g.cfg.Codec.DecodeReply(resp).KeepAlive, err
}
