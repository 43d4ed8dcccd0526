package savorypinlimit

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// Counters that a Limiter counts up through Config.Count.
const (
	// CountLimited is followed by the limit.
	CountLimited  = "limit.refusals."
	CountAdmitted = "limit.admitted"
)

// Config configures a Limiter.
type Config struct {
	// Count counts events by name.
	Count func(name string, n int64)
	// Now is the clock.
	Now func() time.Time
}

// Limiter admits requests of organisations. It is safe for concurrent use;
// Admit takes no lock for an organisation that it knows.
type Limiter struct {
	cfg           Config
	organisations atomic.Pointer[map[string]*organisation]

	mu      sync.Mutex
	entries int
	// released are the organisations whose grants are given back, by owner.
	released map[string][]string
	// renewed are when the grants of an owner were renewed last.
	renewed map[string]time.Time
	specs   map[string]savorypin.OrganisationSpec
}

// NewLimiter returns a limiter without organisations.
func NewLimiter(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, entries: 1, released: map[string][]string{}, renewed: map[string]time.Time{}}
	l.organisations.Store(&map[string]*organisation{})
	return l
}

// Admit begins a request that generates at most maxTokens, or returns a
// *LimitedError. Tokens are charged as they are expected and corrected when
// the request is released.
func (l *Limiter) Admit(name string, maxTokens int) (*Admission, error) {
	now := l.cfg.Now()
	o := l.organisation(name)
	estimate := o.estimate(maxTokens)
	o.demand.add(max(1, estimate))
	o.requestDemand.add(1)
	if err := o.take(float64(estimate), now); err != nil {
		l.cfg.Count(CountLimited+string(err.Limit), 1)
		return nil, err
	}
	l.cfg.Count(CountAdmitted, 1)
	o.admitted.add(max(1, estimate))
	return &Admission{
		estimate:     estimate,
		limiter:      l,
		maxTokens:    maxTokens,
		organisation: o,
		started:      now,
	}, nil
}

// take charges a request to all limits or to none.
func (o *organisation) take(tokens float64, now time.Time) *LimitedError {
	spec := o.spec.Load()
	if running := o.running.Add(1); spec.Concurrency > 0 && running > o.concurrency.Load() {
		o.running.Add(-1)
		return &LimitedError{Limit: LimitConcurrency, RetryAfter: o.slotWait()}
	}
	if spec.RequestsPerSecond > 0 {
		if wait, ok := o.requests.take(1, now); !ok {
			o.running.Add(-1)
			return &LimitedError{Limit: LimitRequests, RetryAfter: o.retryAfter(wait)}
		}
	}
	if spec.TokensPerSecond > 0 && tokens > 0 {
		if wait, ok := o.tokens.take(tokens, now); !ok {
			o.running.Add(-1)
			o.requests.correct(-1)
			return &LimitedError{Limit: LimitTokens, RetryAfter: o.retryAfter(wait)}
		}
	}
	return nil
}

// organisation returns the organisation of a name, which it adds if it is new.
func (l *Limiter) organisation(name string) *organisation {
	if o, ok := (*l.organisations.Load())[name]; ok {
		return o
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	held := *l.organisations.Load()
	if o, ok := held[name]; ok {
		return o
	}
	o := newOrganisation(name, l.specs[name])
	o.setRates(l.entries, l.cfg.Now())
	next := maps.Clone(held)
	next[name] = o
	l.organisations.Store(&next)
	return o
}

// Configure takes over the organisations of the configuration in force. Those
// that are no longer in it keep no limit and are forgotten once idle.
func (l *Limiter) Configure(specs map[string]savorypin.OrganisationSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.specs = specs
	next := map[string]*organisation{}
	for name, o := range *l.organisations.Load() {
		spec, ok := specs[name]
		if !ok && o.idle() {
			continue
		}
		o.spec.Store(&spec)
		o.setRates(l.entries, l.cfg.Now())
		next[name] = o
	}
	l.organisations.Store(&next)
}

// Tick is called at every exchange interval. It takes over the number of known
// entries, brings grants and fallback shares into force, and returns what is due
// to be reported, by the owner of the organisations.
func (l *Limiter) Tick(entries int, ownerOf func(organisation string) string) map[string]Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
	now := l.cfg.Now()
	due := map[string]Report{}
	held := map[string]*Renewal{}
	for _, o := range *l.organisations.Load() {
		o.admitted.tick(ExchangeInterval)
		o.demand.tick(ExchangeInterval)
		o.requestDemand.tick(ExchangeInterval)
		o.setRates(entries, now)
		owner := ownerOf(o.name)
		if o.tight && !o.reports() {
			l.release(owner, o)
		}
		if o.holds(owner, now) {
			l.hold(held, owner, o, now)
		}
		if !o.reports() {
			continue
		}
		if u := o.usage(now); o.due(owner, u, now) {
			report := due[owner]
			report.Usages = append(report.Usages, u)
			due[owner] = report
		}
	}
	l.renew(due, held)
	l.judgeFairness()
	return due
}

// hold adds what is held of an owner to the renewal; it is nil if none is due.
func (l *Limiter) hold(held map[string]*Renewal, owner string, o *organisation, now time.Time) {
	r, ok := held[owner]
	if !ok {
		if now.Sub(l.renewed[owner]) >= renewAfter {
			r = &Renewal{}
		}
		held[owner] = r
	}
	if r != nil {
		r.add(o.name, o.grant)
	}
}

// renew adds to the reports the renewals that are due, and forgets the owners of
// which nothing is held.
func (l *Limiter) renew(due map[string]Report, held map[string]*Renewal) {
	for owner, r := range held {
		if r == nil {
			continue
		}
		// More may have been released since it was begun.
		r.Released = slices.Clone(l.released[owner])
		report := due[owner]
		report.Renewal = r
		due[owner] = report
	}
	for owner := range l.renewed {
		if _, ok := held[owner]; !ok {
			delete(l.renewed, owner)
			delete(l.released, owner)
		}
	}
}

// Granted takes over the answer of an owner to a report that was sent at a
// time.
func (l *Limiter) Granted(owner string, report Report, answer Answer, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if report.Renewal != nil {
		l.takeRenewal(owner, *report.Renewal, answer, sent)
	}
	now := l.cfg.Now()
	for i := range min(len(report.Usages), len(answer.Amounts)) {
		usage := report.Usages[i]
		o, ok := (*l.organisations.Load())[usage.Organisation]
		if !ok {
			continue
		}
		o.asked = false
		// A grant that is used again is not given back.
		l.released[owner] = slices.DeleteFunc(l.released[owner], func(name string) bool { return name == o.name })
		o.grant = answer.Amounts[i]
		o.grantedBy = owner
		o.grantUntil = sent.Add(GrantTerm)
		o.reported = usage
		o.reportedAt = sent
		o.tight = i < len(answer.Tight) && answer.Tight[i]
		o.setRates(l.entries, now)
		if _, ok := l.renewed[owner]; !ok {
			l.renewed[owner] = sent
		}
	}
}

// takeRenewal takes over the answer of an owner to a renewal. The grants that the
// owner does not renew are reported one by one.
func (l *Limiter) takeRenewal(owner string, r Renewal, answer Answer, sent time.Time) {
	l.renewed[owner] = sent
	l.released[owner] = slices.DeleteFunc(l.released[owner], func(name string) bool { return slices.Contains(r.Released, name) })
	organisations := *l.organisations.Load()
	until := sent.Add(GrantTerm)
	for _, o := range organisations {
		switch {
		case !o.holds(owner, sent):
		case !answer.Renewed:
			o.asked = true
		case until.After(o.grantUntil):
			o.grantUntil = until
		}
	}
	for _, name := range answer.Stale {
		o, ok := organisations[name]
		switch {
		case !ok:
		case o.reports():
			o.asked = true
		default:
			l.release(owner, o)
		}
	}
}

// release gives the grant of an organisation back that is not used.
func (l *Limiter) release(owner string, o *organisation) {
	o.tight = false
	o.grantUntil = time.Time{}
	l.released[owner] = append(l.released[owner], o.name)
}

// judgeFairness finds the organisations that get more than their weighted
// max-min share of what is admitted while others do not get what they ask for.
func (l *Limiter) judgeFairness() {
	var claims []Claim
	var organisations []*organisation
	capacity := 0.0
	for _, o := range *l.organisations.Load() {
		claims = append(claims, Claim{Demand: o.demand.value(), Weight: o.weight()})
		organisations = append(organisations, o)
		capacity += o.admitted.value()
	}
	_, level := MaxMin(capacity, claims)
	for i, o := range organisations {
		fair := level * claims[i].Weight
		o.overFair.Store(claims[i].Demand > fair && o.admitted.value() > fairTolerance*fair)
	}
}

// Settings of fairness.
const (
	// fairTolerance is the part of its fair share beyond which an organisation
	// has to leave room for others.
	fairTolerance = 0.9
	// overFairDivisor divides the wait for a first token that an organisation
	// beyond its fair share may cause, so that the rest of the queue is left
	// to the others.
	overFairDivisor = 2
)

// Wait returns how long a first token of an organisation may be waited for,
// given how long others may wait. While there is too much work, an organisation
// beyond its fair share is refused earlier than the others, and the queue has
// room for them.
func (l *Limiter) Wait(name string, wait time.Duration) time.Duration {
	if o, ok := (*l.organisations.Load())[name]; ok && o.overFair.Load() {
		return wait / overFairDivisor
	}
	return wait
}

// OrganisationState is an organisation in the state dump.
type OrganisationState struct {
	AdmittedPerSecond float64 `json:"admittedTokensPerSecond"`
	Concurrency       int64   `json:"concurrency"`
	DemandPerSecond   float64 `json:"demandTokensPerSecond"`
	// Granted says that the shares come from the owner of the limits.
	Granted  bool   `json:"granted"`
	Name     string `json:"name"`
	OverFair bool   `json:"overFairShare"`
	Running  int64  `json:"running"`
	// Share is what is in force at this entry.
	Share Amount `json:"share"`
}

// State returns the organisations for the state dump, sorted by name.
func (l *Limiter) State() []OrganisationState {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	states := []OrganisationState{}
	for _, o := range *l.organisations.Load() {
		granted := now.Before(o.grantUntil)
		share := amountOf(*o.spec.Load()).fallback(l.entries)
		if granted {
			share = orElse(o.grant, share)
		}
		states = append(states, OrganisationState{
			AdmittedPerSecond: o.admitted.value(),
			Concurrency:       o.concurrency.Load(),
			DemandPerSecond:   o.demand.value(),
			Granted:           granted,
			Name:              o.name,
			OverFair:          o.overFair.Load(),
			Running:           o.running.Load(),
			Share:             share,
		})
	}
	slices.SortFunc(states, func(a, b OrganisationState) int { return strings.Compare(a.Name, b.Name) })
	return states
}
