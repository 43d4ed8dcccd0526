package savorypinroute

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// attempt is an attempt to serve a request at the endpoint that was selected for
// it.
type attempt struct {
	begun       atomic.Bool
	crossesLink bool
	ended       atomic.Bool
	estimate    time.Duration
	// firstTokenAt is the arrival time of the first tokens, in Unix nanoseconds, or
	// zero before that.
	firstTokenAt   atomic.Int64
	req            Request
	prefillTokens  int64
	counter        string
	router         *Router
	startedAt      time.Time
	target         *target
	producedTokens atomic.Int64
}

// newCandidate returns a candidate for a choice.
func (r *Router) newCandidate(c choice, req Request, crossesLink bool) Candidate {
	rep := c.target.endpoint.report.Load()
	a := &attempt{crossesLink: crossesLink, req: req, counter: c.counter, router: r, target: c.target}
	return Candidate{endpoint: *rep.state, member: *rep.member, attempt: a}
}

// begin adds the request to those in flight at its endpoint. Only the first call
// has an effect.
func (a *attempt) begin() {
	if a.begun.Swap(true) {
		return
	}
	r, e := a.router, a.target.endpoint
	rep := e.report.Load()
	tokens := a.req.promptTokens()
	tokens -= min(tokens, e.cachedTokens(a.req.Prefixes, rep.state.CachedPrefixes))
	a.estimate = e.estimate(rep, &a.req)
	a.prefillTokens = int64(tokens)
	a.startedAt = r.cfg.Now()
	e.service.recordStart(a.req.MaxTokens)
	e.inFlight.Add(1)
	e.pendingPrefill.Add(a.prefillTokens)
	e.sentPrefixes.add(a.req.Prefixes)
	r.affinity.add(a.req.Prefixes, a.target)
	a.target.breaker.begin()
	r.cfg.OnBegin(a.req.Purpose)
	r.cfg.Count(a.counter, 1)
	if a.crossesLink {
		r.link.Charge(a.req.linkBytes(), a.startedAt)
		r.cfg.Count(CountSpills, 1)
	}
}

// delivered counts n more tokens. The first ones end the prefill and reveal the
// error of the estimate.
func (a *attempt) delivered(n int) {
	a.producedTokens.Add(int64(n))
	if !a.begun.Load() {
		return
	}
	if !a.firstTokenAt.CompareAndSwap(0, a.router.cfg.Now().UnixNano()) || a.ended.Load() {
		return
	}
	a.target.endpoint.pendingPrefill.Add(-a.prefillTokens)
	a.updateBias()
}

// updateBias adds the error of the estimated time to the first token to the bias
// of the target.
func (a *attempt) updateBias() {
	now := a.router.cfg.Now()
	delay := now.Sub(a.startedAt) - a.estimate
	if a.crossesLink {
		delay -= a.router.cfg.LinkDelay(a.req.Region, a.target.endpoint.report.Load().member.Region)
	}
	a.target.bias.add(now, delay.Seconds(), sampleWeight)
}

// end removes the request from those in flight at its endpoint. It reports false
// if the attempt never began or has ended before.
func (a *attempt) end() bool {
	if !a.begun.Load() || a.ended.Swap(true) {
		return false
	}
	a.target.endpoint.inFlight.Add(-1)
	if a.firstTokenAt.Load() == 0 {
		a.target.endpoint.pendingPrefill.Add(-a.prefillTokens)
	}
	return true
}

func (a *attempt) done(err error) {
	if !a.end() {
		return
	}
	a.correctLinkCharge()
	now := a.router.cfg.Now()
	switch {
	case err == nil:
		if a.firstTokenAt.Load() == 0 {
			a.updateBias()
		}
		a.target.endpoint.service.recordEnd(a.req.MaxTokens, a.slotTime(now))
		a.target.failureRatio.add(now, 0, sampleWeight)
		a.target.breaker.success()
	case unrelatedToEndpoint(err):
		a.target.breaker.probing.Store(false)
	default:
		a.fail(now)
	}
}

// slotTime returns the time for which the request occupied a slot. It excludes the
// wait for the slot, unless there was no first token from which to derive it.
func (a *attempt) slotTime(now time.Time) time.Duration {
	first := a.firstTokenAt.Load()
	if first == 0 {
		return now.Sub(a.startedAt)
	}
	return now.Sub(time.Unix(0, first)) + a.target.endpoint.prefillTime(float64(a.prefillTokens))
}

func (a *attempt) fail(now time.Time) {
	a.target.failureRatio.add(now, 1, sampleWeight)
	if a.target.breaker.failure(now, func() bool { return a.router.mayEject(a.target, now) }) {
		a.router.cfg.Count(CountEjections, 1)
	}
}

// correctLinkCharge replaces the charge for the expected bytes by that for the
// tokens that were produced.
func (a *attempt) correctLinkCharge() {
	if !a.crossesLink {
		return
	}
	sent := a.req.PromptBytes + (a.req.Delivered+int(a.producedTokens.Load()))*tokenWireBytes
	a.router.link.Refund(a.req.linkBytes() - sent)
	a.router.cfg.Count(CountLinkBytes+string(linkPurpose(&a.req)), int64(sent))
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
