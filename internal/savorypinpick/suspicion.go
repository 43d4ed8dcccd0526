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
	return p.suspectState(p.state(e), now.UnixNano())
}

// suspectState reports whether an endpoint with a state is suspect at a time in nanoseconds.
func (p *Picker) suspectState(s *endpointState, now int64) bool {
	return now < s.suspectUntil.Load() || p.newerThanList(s.replacedAt.Load())
}

// mostlySuspect reports whether most of the endpoints are suspect. Then the suspicion says more of the
// gateways' links than of the endpoints.
func (p *Picker) mostlySuspect(endpoints []*savorypinfleet.Endpoint, now time.Time) bool {
	n := 0
	for _, e := range endpoints {
		if p.suspect(e, now) {
			n++
		}
	}
	return 2*n > len(endpoints)
}

// possiblyLost reports whether an endpoint or its domain has failed, the endpoint has
// not answered since, and the endpoint list is too old to show whether it still exists.
// During a store outage a lost endpoint stays in the list for longer than a suspicion
// lasts.
func (p *Picker) possiblyLost(e *savorypinfleet.Endpoint) bool {
	return p.newerThanList(p.state(e).failedAt.Load())
}

// newerThanList reports whether an event at a time in nanoseconds is too recent for the
// endpoint list to reflect it. A zero time stands for no event.
func (p *Picker) newerThanList(at int64) bool {
	return at != 0 && p.cfg.ListConfirmedAt().Add(-p.cfg.SuspectTimeout).UnixNano() < at
}

// RecordReplacement records that another incarnation answers at an endpoint's address.
// The endpoint stays suspect until the endpoint list reflects the change.
func (p *Picker) RecordReplacement(e *savorypinfleet.Endpoint) {
	p.state(e).replacedAt.Store(p.cfg.Now().UnixNano())
}

// MarkFailed records that an endpoint failed: it was unreachable, did not respond, or
// broke off its response. It reports whether this shows a new failure of its domain.
func (p *Picker) MarkFailed(e *savorypinfleet.Endpoint) bool {
	now := p.cfg.Now()
	state := p.state(e)
	state.failedAt.Store(now.UnixNano())
	state.suspectUntil.Store(now.Add(p.cfg.SuspectTimeout).UnixNano())
	state.shareSuspicionUntil.Store(now.Add(sharedSuspicionTTL).UnixNano())
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.domainRecord(e.Domain(), e.Service())
	for id, at := range d.failedAt {
		if now.Sub(at) > domainWindow {
			delete(d.failedAt, id)
		}
	}
	d.failedAt[e.ID()] = now
	if len(d.failedAt) < minFailedEndpoints && !p.failureExpected(e.Domain(), now) {
		return false
	}
	return p.recordFailure(failureRecord{at: now, domain: e.Domain(), local: true, service: e.Service()})
}

// RecordProtocolError marks an endpoint as suspect because its responses violate the
// protocol. This does not count towards a failure of its domain.
func (p *Picker) RecordProtocolError(e *savorypinfleet.Endpoint) {
	now := p.cfg.Now()
	state := p.state(e)
	state.extendSuspicion(now.Add(p.cfg.SuspectTimeout).UnixNano())
	state.shareSuspicionUntil.Store(now.Add(sharedSuspicionTTL).UnixNano())
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
		state := p.state(e)
		state.failedAt.Store(now.UnixNano())
		state.extendSuspicion(now.Add(p.cfg.SuspectTimeout).UnixNano())
	}
}

// extendSuspicion keeps an endpoint suspect at least until the given time in
// nanoseconds, unless a concurrent change overwrites it.
func (s *endpointState) extendSuspicion(until int64) {
	if s.suspectUntil.Load() < until {
		s.suspectUntil.Store(until)
	}
}

// ClearSuspicion ends the suspicion of an endpoint that has answered.
func (p *Picker) ClearSuspicion(e *savorypinfleet.Endpoint) {
	state := p.state(e)
	if state.suspectUntil.Load() != 0 {
		state.suspectUntil.Store(0)
		state.shareSuspicionUntil.Store(0)
		state.failedAt.Store(0)
		state.replacedAt.Store(0)
	}
}
