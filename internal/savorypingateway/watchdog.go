package savorypingateway

import (
	"context"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// Times of the checks of a stream.
const (
	// firstCheckRatio is the fraction of the target latency after which an endpoint that has
	// sent no event is asked for a report of its requests: the prefill of a prompt takes about as
	// long.
	firstCheckRatio = 0.35
	// unresumableInterval is the interval at which the host of a stream is checked that goes on although
	// its endpoint is silent.
	unresumableInterval = 2 * time.Second
	// defaultTargetGap applies if the route has no target gap.
	defaultTargetGap = time.Second
	// firstLimitFactor multiplies the target latency to give the time without a first event
	// after which an attempt is abandoned although the endpoint has the request. It is generous
	// since another endpoint would have to prefill the prompt again.
	firstLimitFactor = 2
	// defaultTargetLatency applies if the route has no target latency.
	defaultTargetLatency = 5 * time.Second
)

// watchdog detects that an attempt of a stream has stalled. It then closes the connection, so
// that the reader gets an error.
type watchdog struct {
	// begun is set once the answer has begun and gone on, confined once the attempt was
	// abandoned because a subject of the request was put into quarantine.
	begun    atomic.Bool
	confined atomic.Bool
	// probe says that the request is a probe of subjects in quarantine.
	probe    bool
	req      *request
	timeouts atomic.Pointer[stallTimeouts]
	checking atomic.Bool
	// firstEventSeen is set once the first event has arrived.
	firstEventSeen atomic.Bool
	conn           *savorypinpool.Conn
	ctx            context.Context //nolint:containedctx // the timer's callback has no other way to end with the request
	endpoint       *savorypinfleet.Endpoint
	// targetGap is the maximum time between two events that the route aims at.
	targetGap   time.Duration
	gateway     *Gateway
	lastEventAt atomic.Int64
	// longestPause is the longest time between two events so far, in nanoseconds.
	longestPause atomic.Int64
	// unreachable is set if the attempt was abandoned because the host did not answer, stalled
	// if it did answer but the stream made no progress.
	unreachable atomic.Bool
	stalled     atomic.Bool
	// stopped is set once the attempt has ended.
	stopped atomic.Bool
	// paused is set while an event is being written to the caller.
	paused atomic.Bool
	// sentAt is when the request was sent.
	sentAt time.Time
	// stalledBefore is the number of earlier attempts that were abandoned although their hosts
	// answered.
	stalledBefore int
	// lastAttempt is set if no other attempt may follow.
	lastAttempt bool
	// patience is the time without an event after which an attempt is abandoned that can't be resumed
	// at another endpoint, although the endpoint's host answers.
	patience time.Duration
	// silent is set once the endpoint's host did not answer, until the next event.
	silent atomic.Bool
	timer  *time.Timer
}

// newWatchdog starts a watchdog for one attempt of a stream.
func (g *Gateway) newWatchdog(ctx context.Context, s *stream, e *savorypinfleet.Endpoint, conn *savorypinpool.Conn) *watchdog {
	req := s.req
	target := req.route.TargetLatency()
	if target == 0 {
		target = defaultTargetLatency
	}
	gap := req.route.TargetGap()
	if gap == 0 {
		gap = defaultTargetGap
	}
	w := &watchdog{
		conn: conn, ctx: ctx, endpoint: e, targetGap: gap, gateway: g, probe: s.probe != nil, req: req,
		lastAttempt: s.attempts+1 >= req.route.MaxAttempts(), patience: firstLimitFactor * target,
		sentAt: time.Now(), stalledBefore: s.stalledAttempts,
	}
	w.timeouts.Store(&stallTimeouts{check: time.Duration(firstCheckRatio * float64(target)), limit: firstLimitFactor * target})
	w.lastEventAt.Store(time.Now().UnixNano())
	w.timer = time.AfterFunc(w.timeouts.Load().check, func() { g.log.RunRecovered("check stream", w.check) })
	g.streams.add(w)
	return w
}

// recordEvent resets the timer at a new event. The timeouts between events, which are shorter
// than those before the first one, apply from now on.
func (w *watchdog) recordEvent() {
	w.silent.Store(false)
	now := time.Now().UnixNano()
	pause := now - w.lastEventAt.Swap(now)
	if w.firstEventSeen.Swap(true) && pause > w.longestPause.Load() {
		w.longestPause.Store(pause)
	}
	timeouts := eventTimeouts(w.targetGap, w.stalledBefore, time.Duration(w.longestPause.Load()))
	w.timeouts.Store(&timeouts)
	w.timer.Reset(timeouts.check)
}

// pause stops the watchdog while an event is written to the caller: a slow caller says nothing
// about the endpoint.
func (w *watchdog) pause() {
	w.paused.Store(true)
	w.timer.Stop()
}

// resume restarts the watchdog after a pause.
func (w *watchdog) resume() {
	w.paused.Store(false)
	w.lastEventAt.Store(time.Now().UnixNano())
	w.timer.Reset(w.timeouts.Load().check)
}

// stop ends the watchdog.
func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
	w.gateway.streams.remove(w)
}

// checkNow makes the watchdog check the endpoint at once.
func (w *watchdog) checkNow() {
	w.timer.Reset(0)
}

// check opens a new connection to the endpoint's host, which accepts it even if the endpoint is
// busy. It abandons the attempt if the host does not accept it, if the engine does not have the
// request, or if the last event is too long ago, unless the answer could still come and nothing
// else would.
func (w *watchdog) check() {
	if w.checking.Swap(true) {
		return
	}
	defer w.checking.Store(false)
	if w.ended() {
		return
	}
	lastEvent := w.lastEventAt.Load()
	conn, err := w.gateway.pool.Open(w.ctx, w.endpoint.Address(), w.gateway.connectTimeout(w.endpoint))
	reported := err == nil && w.mayHaveRequest(conn)
	sinceSent := time.Since(w.sentAt)
	healthy := err == nil && !isMissing(reported, sinceSent)
	if w.lastEventAt.Load() != lastEvent || w.ended() {
		return
	}
	idle := time.Since(time.Unix(0, lastEvent))
	timeouts := w.timeouts.Load()
	if healthy && w.paused.Load() {
		return
	}
	if healthy && idle <= timeouts.limit {
		delay := min(timeouts.check, max(timeouts.limit-idle, time.Millisecond))
		if !reported {
			delay = maxReportAge - sinceSent
		}
		w.timer.Reset(delay)
		return
	}
	switch {
	case !w.req.route.Retryable():
		w.recordSilence(err)
		w.timer.Reset(unresumableInterval)
	case err == nil && idle <= w.patience && !w.canMove():
		w.timer.Reset(min(timeouts.check, max(w.patience-idle, time.Millisecond)))
	default:
		w.unreachable.Store(err != nil)
		w.stalled.Store(err == nil)
		w.conn.Close()
	}
}

// ended reports whether the attempt or its request has ended.
func (w *watchdog) ended() bool {
	return w.stopped.Load() || w.ctx.Err() != nil
}

// recordSilence marks the endpoint failed if its host did not answer, given the error of the attempt to
// connect. It does so once for each silence.
func (w *watchdog) recordSilence(err error) {
	if err != nil && !w.silent.Swap(true) {
		w.gateway.counters.silentHosts.Inc(1)
		w.gateway.markEndpointFailed(w.endpoint, errUnreachable.Error())
	}
}

// canMove reports whether the stream can be resumed at another endpoint now.
func (w *watchdog) canMove() bool {
	return !w.lastAttempt && w.gateway.canRepeat(w.req, map[string]bool{w.endpoint.ID(): true})
}
