package savorypinroute

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// work is a piece of work for which an endpoint was selected.
type work struct {
	begun       atomic.Bool
	crossesLink bool
	ended       atomic.Bool
	estimate    time.Duration
	// firstTokenAt is the time of the first tokens, in Unix nanoseconds; zero before.
	firstTokenAt atomic.Int64
	need         Request
	prefill      int64
	reason       string
	router       *Router
	started      time.Time
	target       *target
	tokens       atomic.Int64
}

// newCandidate returns a candidate for a choice.
func (r *Router) newCandidate(c choice, need Request, crossesLink bool) Candidate {
	rep := c.target.endpoint.report.Load()
	w := &work{crossesLink: crossesLink, need: need, reason: c.reason, router: r, target: c.target}
	return Candidate{endpoint: *rep.state, member: *rep.member, work: w}
}

// begin adds the work to the work in flight of its endpoint. Only the first call
// has an effect.
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
	e.service.recordStart(w.need.MaxTokens)
	e.inFlight.Add(1)
	e.pendingPrefill.Add(w.prefill)
	e.sentPrefixes.add(w.need.Prefixes)
	r.affinity.add(w.need.Prefixes, w.target)
	w.target.breaker.begin()
	r.cfg.OnBegin(w.need.Purpose)
	r.cfg.Count(w.reason, 1)
	if w.crossesLink {
		r.link.Charge(w.need.linkBytes(), w.started)
		r.cfg.Count(CountSpills, 1)
	}
}

// delivered counts n more tokens. The first ones end the prefill and show the
// error of the estimate.
func (w *work) delivered(n int) {
	w.tokens.Add(int64(n))
	if !w.begun.Load() {
		return
	}
	if !w.firstTokenAt.CompareAndSwap(0, w.router.cfg.Now().UnixNano()) || w.ended.Load() {
		return
	}
	w.target.endpoint.pendingPrefill.Add(-w.prefill)
	w.updateBias()
}

// updateBias adds the error of the estimated time to the first token to the bias
// of the target.
func (w *work) updateBias() {
	now := w.router.cfg.Now()
	delay := now.Sub(w.started) - w.estimate
	if w.crossesLink {
		delay -= w.router.cfg.LinkDelay(w.need.Region, w.target.endpoint.report.Load().member.Region)
	}
	w.target.bias.add(now, delay.Seconds(), sampleWeight)
}

// end removes the work from the work in flight of its endpoint. It reports false
// if the work never began or has ended before.
func (w *work) end() bool {
	if !w.begun.Load() || w.ended.Swap(true) {
		return false
	}
	w.target.endpoint.inFlight.Add(-1)
	if w.firstTokenAt.Load() == 0 {
		w.target.endpoint.pendingPrefill.Add(-w.prefill)
	}
	return true
}

func (w *work) done(err error) {
	if !w.end() {
		return
	}
	w.correctLinkCharge()
	now := w.router.cfg.Now()
	switch {
	case err == nil:
		if w.firstTokenAt.Load() == 0 {
			w.updateBias()
		}
		w.target.endpoint.service.recordEnd(w.need.MaxTokens, w.slotTime(now))
		w.target.failures.add(now, 0, sampleWeight)
		w.target.breaker.success()
	case unrelatedToEndpoint(err):
		w.target.breaker.probing.Store(false)
	default:
		w.fail(now)
	}
}

// slotTime returns the time for which the work occupied a slot, without the wait
// for the slot.
func (w *work) slotTime(now time.Time) time.Duration {
	first := w.firstTokenAt.Load()
	if first == 0 {
		return now.Sub(w.started)
	}
	return now.Sub(time.Unix(0, first)) + w.target.endpoint.prefillTime(float64(w.prefill))
}

func (w *work) fail(now time.Time) {
	w.target.failures.add(now, 1, sampleWeight)
	if w.target.breaker.failure(now, func() bool { return w.router.mayEject(w.target, now) }) {
		w.router.cfg.Count(CountEjections, 1)
	}
}

// correctLinkCharge corrects the charge of the expected bytes to those of the
// produced tokens.
func (w *work) correctLinkCharge() {
	if !w.crossesLink {
		return
	}
	sent := w.need.PromptBytes + (w.need.Delivered+int(w.tokens.Load()))*tokenWireBytes
	w.router.link.Refund(w.need.linkBytes() - sent)
	w.router.cfg.Count(CountLinkBytes+string(purposeOf(&w.need)), int64(sent))
}

// unrelatedToEndpoint reports whether an error is no failure of the endpoint: the
// caller left, the deadline passed, or the request was invalid.
func unrelatedToEndpoint(err error) bool {
	var e *savorypin.Error
	if errors.As(err, &e) && e.Kind == savorypin.KindInvalid {
		return true
	}
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
