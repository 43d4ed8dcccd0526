package savorypinpick

import (
	"time"

	"savorypin/internal/savorypinfleet"
)

// Suspect reports whether an endpoint is suspect: it or its failure domain has just
// failed, or another incarnation has answered at its address.
func (p *Picker) Suspect(e *savorypinfleet.Endpoint) bool {
	return p.suspect(e, p.cfg.Now())
}

func (p *Picker) suspect(e *savorypinfleet.Endpoint, now time.Time) bool {
	l := p.load(e)
	return now.UnixNano() < l.suspectUntil.Load() || p.newerThanList(l.replacedAt.Load())
}

// possiblyLost reports whether an endpoint has failed, has not answered since, and the
// endpoint list is too old to show whether it still exists. During a store outage a
// lost endpoint stays in the list for longer than a suspicion lasts.
func (p *Picker) possiblyLost(e *savorypinfleet.Endpoint) bool {
	return p.newerThanList(p.load(e).failedAt.Load())
}

// newerThanList reports whether an event at a time in nanoseconds is too recent for the
// endpoint list to reflect it. A zero time stands for no event.
func (p *Picker) newerThanList(at int64) bool {
	return at != 0 && p.cfg.ListConfirmedAt().Add(-p.cfg.SuspectTimeout).UnixNano() < at
}

// RecordReplacement records that another incarnation answers at an endpoint's address. The
// endpoint stays suspect until the endpoint list reflects the change.
func (p *Picker) RecordReplacement(e *savorypinfleet.Endpoint) {
	p.load(e).replacedAt.Store(p.cfg.Now().UnixNano())
}

// MarkFailed records that an endpoint failed: it was unreachable, did not respond, or broke
// off its response. It reports whether this shows a new failure of its domain.
func (p *Picker) MarkFailed(e *savorypinfleet.Endpoint) bool {
	now := p.cfg.Now()
	l := p.load(e)
	l.failedAt.Store(now.UnixNano())
	l.suspectUntil.Store(now.Add(p.cfg.SuspectTimeout).UnixNano())
	l.localSuspectUntil.Store(now.Add(sharedSuspicionTTL).UnixNano())
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.domain(e.Domain(), e.Service())
	for id, at := range d.failed {
		if now.Sub(at) > domainWindow {
			delete(d.failed, id)
		}
	}
	d.failed[e.ID()] = now
	if len(d.failed) < domainFailures && !p.failureExpected(e.Domain(), now) {
		return false
	}
	return p.recordFailure(failureRecord{at: now, domain: e.Domain(), local: true, service: e.Service()})
}

// RecordProtocolError marks an endpoint as suspect because its responses violate the protocol.
// This does not count towards a failure of its domain.
func (p *Picker) RecordProtocolError(e *savorypinfleet.Endpoint) {
	now := p.cfg.Now()
	l := p.load(e)
	l.extendSuspicion(now.Add(p.cfg.SuspectTimeout).UnixNano())
	l.localSuspectUntil.Store(now.Add(sharedSuspicionTTL).UnixNano())
}

// failureExpected reports whether a domain is likely to fail at this moment. Such a
// domain has been given little work, so the failure of one endpoint must suffice to
// detect it.
func (p *Picker) failureExpected(domain string, now time.Time) bool {
	return p.cfg.Hazard.Risk(domain, now.Add(-expectedFailureWindow/2), expectedFailureWindow) > expectedFailureRisk
}

// MarkSuspect marks the endpoints of a failed domain as suspect.
func (p *Picker) MarkSuspect(endpoints []*savorypinfleet.Endpoint) {
	now := p.cfg.Now()
	for _, e := range endpoints {
		l := p.load(e)
		l.failedAt.Store(now.UnixNano())
		l.extendSuspicion(now.Add(p.cfg.SuspectTimeout).UnixNano())
	}
}

// extendSuspicion keeps an endpoint suspect at least until the given time in
// nanoseconds. A concurrent change may overwrite it.
func (l *load) extendSuspicion(until int64) {
	if l.suspectUntil.Load() < until {
		l.suspectUntil.Store(until)
	}
}

// ClearSuspicion ends the suspicion of an endpoint that has answered.
func (p *Picker) ClearSuspicion(e *savorypinfleet.Endpoint) {
	l := p.load(e)
	if l.suspectUntil.Load() != 0 {
		l.suspectUntil.Store(0)
		l.localSuspectUntil.Store(0)
		l.failedAt.Store(0)
		l.replacedAt.Store(0)
	}
}
