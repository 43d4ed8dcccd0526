package savorypingateway

import (
	"context"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// Bounds on the silence of a stream.
const (
	// firstCheck is after which silence before the first event the endpoint's
	// host is checked: reading a prompt takes about as long.
	firstCheck = 1200 * time.Millisecond
	// gapCheckPart is the part of the longest pause on time after which the host
	// is checked between events. The rest has to suffice for the check and for
	// the first event from another endpoint.
	gapCheckPart = 0.4
	// gapPart is the part of the longest pause on time after which an endpoint is
	// given up although its host answers.
	gapPart = 0.6
	// defaultGap stands for the longest pause where the route names none.
	defaultGap = time.Second
	// firstPart is the part of the target latency after which an endpoint without
	// a first event is given up although its host answers, if no other prompts
	// wait there that would explain it.
	firstPart = 0.6
	// busyPart is the same if other prompts wait: what was read is lost by leaving.
	busyPart = 2
	// defaultTarget stands for the target latency where the route names none.
	defaultTarget = 5 * time.Second
)

// watch notices that the endpoint of a stream is silent. It closes the
// connection, so that the reader sees an error.
type watch struct {
	bounds   atomic.Pointer[bounds]
	checking atomic.Bool
	conn     *savorypinpool.Conn
	ctx      context.Context //nolint:containedctx // the timer's callback has no other way to end with the request
	endpoint *savorypinfleet.Endpoint
	gateway  *Gateway
	last     atomic.Int64
	// lost says that the endpoint's host did not answer, and stuck that it did but
	// the stream was silent for too long.
	lost   atomic.Bool
	stuck  atomic.Bool
	timer  *time.Timer
	tokens int
}

// bounds are the bounds on a stream's silence.
type bounds struct {
	// busyLimit is the limit while other prompts wait at the endpoint.
	busyLimit time.Duration
	// check is the silence after which the host is checked.
	check time.Duration
	// limit is the silence after which the endpoint is given up.
	limit time.Duration
}

func (g *Gateway) watch(ctx context.Context, req *request, e *savorypinfleet.Endpoint, conn *savorypinpool.Conn) *watch {
	target := req.route.TargetLatency()
	if target == 0 {
		target = defaultTarget
	}
	w := &watch{conn: conn, ctx: ctx, endpoint: e, gateway: g, tokens: req.call.PromptTokens}
	w.bounds.Store(&bounds{
		busyLimit: time.Duration(busyPart * float64(target)),
		check:     firstCheck,
		limit:     time.Duration(firstPart * float64(target)),
	})
	w.last.Store(time.Now().UnixNano())
	w.timer = time.AfterFunc(firstCheck, w.run)
	g.streams.add(w)
	return w
}

// began takes note of the first event, after which events come often.
func (w *watch) began(route *savorypinfleet.Route) {
	gap := route.TargetGap()
	if gap == 0 {
		gap = defaultGap
	}
	limit := time.Duration(gapPart * float64(gap))
	w.bounds.Store(&bounds{
		busyLimit: limit,
		check:     time.Duration(gapCheckPart * float64(gap)),
		limit:     limit,
	})
}

// event takes note of an event.
func (w *watch) event() {
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
// the endpoint is busy, and gives the endpoint up if it does not, or if the
// silence has lasted too long.
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
	if err == nil {
		w.gateway.pool.Put(conn, 0)
	}
	if w.last.Load() != began || w.ctx.Err() != nil {
		return
	}
	silence := time.Since(time.Unix(0, began))
	b := w.bounds.Load()
	limit := b.limit
	if w.gateway.picker.Waiting(w.endpoint) > w.tokens {
		limit = b.busyLimit
	}
	if err == nil && silence <= limit {
		w.timer.Reset(min(b.check, max(limit-silence, time.Millisecond)))
		return
	}
	w.lost.Store(err != nil)
	w.stuck.Store(err == nil)
	w.conn.Close()
}
