package savorypinpick

import (
	"time"

	"savorypin/internal/savorypinfleet"
)

// Suspect reports whether an endpoint or its failure domain has just failed.
func (p *Picker) Suspect(e *savorypinfleet.Endpoint) bool {
	return p.suspect(e, p.cfg.Now())
}

func (p *Picker) suspect(e *savorypinfleet.Endpoint, now time.Time) bool {
	l := p.load(e)
	return now.UnixNano() < l.suspectUntil.Load() || p.unlisted(l.replacedAt.Load())
}

// doubtful reports whether an endpoint has failed and not answered since, and the
// list of endpoints can't tell yet whether it is still there: while the store is
// out, a lost endpoint stays in the list for longer than a suspicion lasts.
func (p *Picker) doubtful(e *savorypinfleet.Endpoint) bool {
	return p.unlisted(p.load(e).failedAt.Load())
}

// unlisted reports whether the list of endpoints is too old to show what happened
// at a time in nanoseconds; zero for nothing.
func (p *Picker) unlisted(at int64) bool {
	return at != 0 && p.cfg.Listed().Add(-p.cfg.SuspectTime).UnixNano() < at
}

// Replaced takes note that another incarnation answers at an endpoint's address.
// It is not chosen until the list of endpoints shows what is there now.
func (p *Picker) Replaced(e *savorypinfleet.Endpoint) {
	p.load(e).replacedAt.Store(p.cfg.Now().UnixNano())
}

// Fail takes note that an endpoint did not answer: it was out of reach, silent,
// or broke off. It reports whether the failure domain is now taken as failed.
func (p *Picker) Fail(e *savorypinfleet.Endpoint) bool {
	now := p.cfg.Now()
	l := p.load(e)
	l.failedAt.Store(now.UnixNano())
	l.suspectUntil.Store(now.Add(p.cfg.SuspectTime).UnixNano())
	l.ownSuspectUntil.Store(now.Add(heardSuspectTime).UnixNano())
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.domain(e.Domain(), e.Service())
	for id, at := range d.failed {
		if now.Sub(at) > domainWindow {
			delete(d.failed, id)
		}
	}
	d.failed[e.ID()] = now
	if len(d.failed) < domainFailures && !p.expected(e.Domain(), now) {
		return false
	}
	return p.recordFailure(failureRecord{at: now, domain: e.Domain(), own: true, service: e.Service()})
}

// Distrust takes note that an endpoint answers, but not in the protocol. Its domain is
// not suspected for that.
func (p *Picker) Distrust(e *savorypinfleet.Endpoint) {
	now := p.cfg.Now()
	l := p.load(e)
	l.suspectAtLeast(now.Add(p.cfg.SuspectTime).UnixNano())
	l.ownSuspectUntil.Store(now.Add(heardSuspectTime).UnixNano())
}

// expected reports whether a domain is likely to fail at this moment: where little
// work is left because of that, one endpoint has to tell of all.
func (p *Picker) expected(domain string, now time.Time) bool {
	return p.cfg.Hazard.Risk(domain, now.Add(-expectedWindow/2), expectedWindow) > expectedRisk
}

// FailDomain puts endpoints of a failed domain under suspicion.
func (p *Picker) FailDomain(endpoints []*savorypinfleet.Endpoint) {
	now := p.cfg.Now()
	for _, e := range endpoints {
		l := p.load(e)
		l.failedAt.Store(now.UnixNano())
		l.suspectAtLeast(now.Add(p.cfg.SuspectTime).UnixNano())
	}
}

// suspectAtLeast puts an endpoint under suspicion until a time, or for longer if it
// is already. A change at the same moment may win.
func (l *load) suspectAtLeast(until int64) {
	if l.suspectUntil.Load() < until {
		l.suspectUntil.Store(until)
	}
}

// Clear takes note that an endpoint has answered.
func (p *Picker) Clear(e *savorypinfleet.Endpoint) {
	l := p.load(e)
	if l.suspectUntil.Load() != 0 {
		l.suspectUntil.Store(0)
		l.ownSuspectUntil.Store(0)
		l.failedAt.Store(0)
		l.replacedAt.Store(0)
	}
}
