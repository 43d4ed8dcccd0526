package savorypinroute

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// work is a piece of work for which an endpoint was chosen.
type work struct {
	begun    atomic.Bool
	crosses  bool
	ended    atomic.Bool
	estimate time.Duration
	// firstAt is when the first tokens came, in nanoseconds; zero before.
	firstAt atomic.Int64
	need    Need
	prefill int64
	reason  string
	router  *Router
	started time.Time
	target  *target
	tokens  atomic.Int64
}

// candidate returns a choice as a candidate.
func (r *Router) candidate(c choice, need Need, crosses bool) Candidate {
	rep := c.target.endpoint.report.Load()
	w := &work{crosses: crosses, need: need, reason: c.reason, router: r, target: c.target}
	return Candidate{endpoint: *rep.state, member: *rep.member, work: w}
}

// begin counts the work as in flight.
func (w *work) begin() {
	if w.begun.Swap(true) {
		return
	}
	r, e := w.router, w.target.endpoint
	rep := e.report.Load()
	tokens := w.need.promptTokens()
	tokens -= min(tokens, e.cachedTokens(w.need.Prefixes, rep.state.CachedPrefixes))
	w.estimate = e.estimate(rep, &w.need)
	w.prefill = int64(tokens)
	w.started = r.cfg.Now()
	e.service.begun(w.need.MaxTokens)
	e.flight.Add(1)
	e.prefill.Add(w.prefill)
	e.memory.add(w.need.Prefixes)
	r.affinity.add(w.need.Prefixes, w.target)
	w.target.breaker.begin()
	r.cfg.Begun(w.need.Purpose)
	r.cfg.Count(w.reason, 1)
	if w.crosses {
		r.link.Charge(w.need.linkBytes(), w.started)
		r.cfg.Count(CountSpills, 1)
	}
}

// delivered takes note of tokens. At the first ones the prompt has been read
// and the estimate can be judged.
func (w *work) delivered(n int) {
	w.tokens.Add(int64(n))
	if !w.begun.Load() {
		return
	}
	if !w.firstAt.CompareAndSwap(0, w.router.cfg.Now().UnixNano()) || w.ended.Load() {
		return
	}
	w.target.endpoint.prefill.Add(-w.prefill)
	w.learn()
}

// learn compares the time to the first token with the estimate.
func (w *work) learn() {
	now := w.router.cfg.Now()
	late := now.Sub(w.started) - w.estimate
	if w.crosses {
		late -= w.router.cfg.LinkDelay(w.need.Region, w.target.endpoint.report.Load().member.Region)
	}
	w.target.bias.add(now, late.Seconds(), learnWeight)
}

// end takes the work off the endpoint. It reports false if that was done before
// or the work never began.
func (w *work) end() bool {
	if !w.begun.Load() || w.ended.Swap(true) {
		return false
	}
	w.target.endpoint.flight.Add(-1)
	if w.firstAt.Load() == 0 {
		w.target.endpoint.prefill.Add(-w.prefill)
	}
	return true
}

func (w *work) done(err error) {
	if !w.end() {
		return
	}
	w.settleLink()
	now := w.router.cfg.Now()
	switch {
	case err == nil:
		if w.firstAt.Load() == 0 {
			w.learn()
		}
		w.target.endpoint.service.ended(w.need.MaxTokens, w.hold(now))
		w.target.failures.add(now, 0, learnWeight)
		w.target.breaker.success()
	case neutral(err):
		w.target.breaker.probing.Store(false)
	default:
		w.fail(now)
	}
}

// hold returns how long the work held a slot, without the wait for it.
func (w *work) hold(now time.Time) time.Duration {
	first := w.firstAt.Load()
	if first == 0 {
		return now.Sub(w.started)
	}
	return now.Sub(time.Unix(0, first)) + w.target.endpoint.prefillTime(float64(w.prefill))
}

func (w *work) fail(now time.Time) {
	w.target.failures.add(now, 1, learnWeight)
	if w.target.breaker.failure(now, func() bool { return w.router.mayEject(w.target, now) }) {
		w.router.cfg.Count(CountEjections, 1)
	}
}

// settleLink replaces the expected bytes by those that the tokens took.
func (w *work) settleLink() {
	if !w.crosses {
		return
	}
	sent := w.need.PromptBytes + (w.need.Delivered+int(w.tokens.Load()))*tokenWireBytes
	w.router.link.GiveBack(w.need.linkBytes() - sent)
	w.router.cfg.Count(CountLinkBytes+string(purposeOf(&w.need)), int64(sent))
}

// neutral reports whether an error says nothing of the endpoint: the caller
// left, was too late, or asked for what cannot be done.
func neutral(err error) bool {
	var e *savorypin.Error
	if errors.As(err, &e) && e.Kind == savorypin.KindInvalid {
		return true
	}
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
