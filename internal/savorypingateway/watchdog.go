package savorypingateway

import (
	"context"
	"slices"
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
	// keptInterval is the interval at which the host of a stream is checked that goes on although its
	// endpoint is silent.
	keptInterval = 2 * time.Second
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
	// patience is the time without an event after which an attempt of whose request the endpoint knows
	// nothing is abandoned although no other endpoint is left, and after which the host of one that goes
	// on is checked less often.
	patience time.Duration
	// backup says that another endpoint holds a copy of the run's KV cache after the first event.
	backup bool
	// crashed is the number of endpoints that have crashed under the request.
	crashed *atomic.Int32
	// lastEventID is the number of the last event.
	lastEventID atomic.Int64
	// repeatTaken is set if the attempt was abandoned and the next one is already counted in the retry
	// budget.
	repeatTaken atomic.Bool
	// kept is set once the endpoint has been silent for longer than patience, until the next event.
	kept atomic.Bool
	// silent is set once the endpoint's host did not answer, until the next event.
	silent atomic.Bool
	timer  *time.Timer
}

// newWatchdog starts a watchdog for one attempt of a stream.
func (g *Gateway) newWatchdog(ctx context.Context, s *stream, e *savorypinfleet.Endpoint, conn *savorypinpool.Conn, backup bool) *watchdog {
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
		backup: backup, conn: conn, crashed: &s.crashed, ctx: ctx, endpoint: e, targetGap: gap, gateway: g, probe: s.probe != nil, req: req,
		lastAttempt: s.attempts+1 >= req.route.MaxAttempts(), patience: firstLimitFactor * target,
		sentAt: time.Now(), stalledBefore: s.stalledAttempts,
	}
	w.timeouts.Store(&stallTimeouts{check: time.Duration(firstCheckRatio * float64(target)), limit: firstLimitFactor * target})
	w.lastEventID.Store(s.lastEventID)
	w.lastEventAt.Store(time.Now().UnixNano())
	w.timer = time.AfterFunc(w.timeouts.Load().check, func() { g.log.RunRecovered("check stream", w.check) })
	g.streams.add(w)
	return w
}

// recordEvent resets the timer at a new event, which has a number unless that is zero. The timeouts
// between events, which are shorter than those before the first one, apply from now on.
func (w *watchdog) recordEvent(id int64) {
	if id > 0 {
		w.lastEventID.Store(id)
	}
	w.silent.Store(false)
	w.kept.Store(false)
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
// busy. If the host does not accept it, the engine does not have the request, or the last event is
// too long ago, it abandons the attempt if the stream goes on elsewhere then. Otherwise the endpoint
// may still go on, and nothing else would.
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
	if !w.takeMove(err == nil && !healthy && idle > w.patience) {
		w.recordSilence(err)
		w.recordKept(idle)
		w.timer.Reset(w.intervalWhileKept(idle, timeouts.check))
		return
	}
	w.repeatTaken.Store(true)
	w.unreachable.Store(err != nil)
	w.stalled.Store(err == nil)
	w.conn.Close()
}

// intervalWhileKept returns the time until the next check of a stream that goes on although its endpoint
// has been silent for a time. As long as another endpoint could still help in time, it is short.
func (w *watchdog) intervalWhileKept(idle, check time.Duration) time.Duration {
	if w.req.route.Retryable() && idle <= w.patience {
		return min(check, keptInterval)
	}
	return keptInterval
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

// recordKept counts the stream if its endpoint has been silent for longer than patience. It does so once
// for each silence.
func (w *watchdog) recordKept(idle time.Duration) {
	if idle > w.patience && !w.kept.Swap(true) {
		w.gateway.counters.streamsKept.Inc(1)
	}
}

// takeMove reports whether the stream can be resumed elsewhere now, and counts that in the retry budget if
// so: of several streams that are abandoned at once, the budget may have room for one. If same is set, the
// next attempt may be at the same endpoint, too.
func (w *watchdog) takeMove(same bool) bool {
	if !w.req.route.Retryable() || w.lastAttempt || !same && !w.otherEndpointTakes() {
		return false
	}
	return w.mayResume() && w.gateway.retryBudgets.forService(w.req.service.Name()).TryRepeat()
}

// otherEndpointTakes reports whether another endpoint is there for the stream, and takes a request now by
// the limits that endpoints named.
func (w *watchdog) otherEndpointTakes() bool {
	others := slices.DeleteFunc(slices.Clone(w.gateway.candidates(w.req.service.Name())), func(e *savorypinfleet.Endpoint) bool {
		return e.ID() == w.endpoint.ID()
	})
	_, held := w.gateway.limitWait(others)
	return len(others) > 0 && !held
}

// mayResume reports whether another attempt would be made: the rest has to fit into the time that is left,
// with the prompt to be read again, and the quarantine has to allow it.
func (w *watchdog) mayResume() bool {
	g, crashed := w.gateway, int(w.crashed.Load())
	confined := (!w.probe || crashed > 0) && g.quarantine.Confined(g.subjects(w.req)) != nil
	if confined || !g.quarantine.MayCrashAnother(crashed, w.req.call.PromptParts) {
		return false
	}
	return g.minDuration(w.req, w.lastEventID.Load(), w.backup && w.firstEventSeen.Load()) <= w.req.remaining()
}
