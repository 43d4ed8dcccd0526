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

// Names of the counters that a Limiter increments through Config.Count.
const (
	// CountLimited is a prefix; the name of the limit follows.
	CountLimited  = "limit.refusals."
	CountAdmitted = "limit.admitted"
)

// Config configures a Limiter.
type Config struct {
	// Count adds n to the named counter.
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
	// released holds, by owner, the organisations whose grants this entry has given
	// up, until the owner answers the renewal that names them.
	released map[string][]string
	// renewedAt holds, by owner, the time of the last renewal.
	renewedAt map[string]time.Time
	specs     map[string]savorypin.OrganisationSpec
}

// NewLimiter returns a limiter without organisations.
func NewLimiter(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, entries: 1, released: map[string][]string{}, renewedAt: map[string]time.Time{}}
	l.organisations.Store(&map[string]*organisation{})
	return l
}

// Admit admits a request that generates at most maxTokens, or returns a
// *LimitedError. It charges the expected number of tokens, which Release
// corrects.
func (l *Limiter) Admit(name string, maxTokens int) (*Admission, error) {
	now := l.cfg.Now()
	o := l.organisation(name)
	estimate := o.estimate(maxTokens)
	o.demand.add(max(1, estimate))
	o.requestDemand.add(1)
	if err := o.charge(float64(estimate), now); err != nil {
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

// charge charges a request to all limits or to none.
func (o *organisation) charge(tokens float64, now time.Time) *LimitedError {
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

// organisation returns the named organisation, and adds it if it is new.
func (l *Limiter) organisation(name string) *organisation {
	if o, ok := (*l.organisations.Load())[name]; ok {
		return o
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := *l.organisations.Load()
	if o, ok := known[name]; ok {
		return o
	}
	o := newOrganisation(name, l.specs[name])
	o.setRates(l.entries, l.cfg.Now())
	next := maps.Clone(known)
	next[name] = o
	l.organisations.Store(&next)
	return o
}

// Configure sets the limits of all organisations. An organisation that is not in
// specs becomes unlimited, or is removed if it is idle.
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

// Tick must be called once every ExchangeInterval. It sets the number of known
// entries, applies grants and fallback shares, and returns the due reports by
// owner.
func (l *Limiter) Tick(entries int, ownerOf func(organisation string) string) map[string]Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
	now := l.cfg.Now()
	reports := map[string]Report{}
	renewals := map[string]*Renewal{}
	for _, o := range *l.organisations.Load() {
		o.admitted.tick(ExchangeInterval)
		o.demand.tick(ExchangeInterval)
		o.requestDemand.tick(ExchangeInterval)
		o.setRates(entries, now)
		owner := ownerOf(o.name)
		if o.contended && !o.needsGrant() {
			l.releaseGrant(owner, o)
		}
		if o.holdsGrantOf(owner, now) {
			l.addHeldGrant(renewals, owner, o, now)
		}
		if !o.needsGrant() {
			continue
		}
		if u := o.usage(now); o.reportDue(owner, u, now) {
			report := reports[owner]
			report.Usages = append(report.Usages, u)
			reports[owner] = report
		}
	}
	l.addRenewals(reports, renewals)
	l.updateFairness()
	return reports
}

// addHeldGrant adds the grant of an organisation to the renewal for its owner,
// which is nil if none is due.
func (l *Limiter) addHeldGrant(renewals map[string]*Renewal, owner string, o *organisation, now time.Time) {
	r, ok := renewals[owner]
	if !ok {
		if now.Sub(l.renewedAt[owner]) >= renewAfter {
			r = &Renewal{}
		}
		renewals[owner] = r
	}
	if r != nil {
		r.add(o.name, o.grant)
	}
}

// addRenewals adds the due renewals to the reports and removes the state of
// owners from which this entry has no grant.
func (l *Limiter) addRenewals(reports map[string]Report, renewals map[string]*Renewal) {
	for owner, r := range renewals {
		if r == nil {
			continue
		}
		// Tick may have released more grants since it created the renewal.
		r.Released = slices.Clone(l.released[owner])
		report := reports[owner]
		report.Renewal = r
		reports[owner] = report
	}
	for owner := range l.renewedAt {
		if _, ok := renewals[owner]; !ok {
			delete(l.renewedAt, owner)
			delete(l.released, owner)
		}
	}
}

// ApplyAnswer applies the answer of an owner to a report that was sent at the
// given time.
func (l *Limiter) ApplyAnswer(owner string, report Report, answer Answer, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if report.Renewal != nil {
		l.applyRenewal(owner, *report.Renewal, answer, sent)
	}
	now := l.cfg.Now()
	for i := range min(len(report.Usages), len(answer.Amounts)) {
		usage := report.Usages[i]
		o, ok := (*l.organisations.Load())[usage.Organisation]
		if !ok {
			continue
		}
		o.reportRequested = false
		// An organisation that is in use again keeps its grant.
		l.released[owner] = slices.DeleteFunc(l.released[owner], func(name string) bool { return name == o.name })
		o.grant = answer.Amounts[i]
		o.grantedBy = owner
		o.grantUntil = sent.Add(GrantTerm)
		o.reported = usage
		o.reportedAt = sent
		o.contended = i < len(answer.Contended) && answer.Contended[i]
		o.setRates(l.entries, now)
		if _, ok := l.renewedAt[owner]; !ok {
			l.renewedAt[owner] = sent
		}
	}
}

// applyRenewal applies the answer of an owner to a renewal. If the owner did not
// renew the grants, their usages are reported one by one.
func (l *Limiter) applyRenewal(owner string, r Renewal, answer Answer, sent time.Time) {
	l.renewedAt[owner] = sent
	l.released[owner] = slices.DeleteFunc(l.released[owner], func(name string) bool { return slices.Contains(r.Released, name) })
	organisations := *l.organisations.Load()
	until := sent.Add(GrantTerm)
	for _, o := range organisations {
		switch {
		case !o.holdsGrantOf(owner, sent):
		case !answer.Renewed:
			o.reportRequested = true
		case until.After(o.grantUntil):
			o.grantUntil = until
		}
	}
	for _, name := range answer.Stale {
		o, ok := organisations[name]
		switch {
		case !ok:
		case o.needsGrant():
			o.reportRequested = true
		default:
			l.releaseGrant(owner, o)
		}
	}
}

// releaseGrant gives up the grant of an organisation that no longer needs it.
func (l *Limiter) releaseGrant(owner string, o *organisation) {
	o.contended = false
	o.grantUntil = time.Time{}
	l.released[owner] = append(l.released[owner], o.name)
}

// updateFairness marks the organisations that demand more than their weighted
// max-min share of the admitted tokens and receive more than fairShareThreshold
// of that share.
func (l *Limiter) updateFairness() {
	var parties []Party
	var organisations []*organisation
	capacity := 0.0
	for _, o := range *l.organisations.Load() {
		parties = append(parties, Party{Demand: o.demand.value(), Weight: o.weight()})
		organisations = append(organisations, o)
		capacity += o.admitted.value()
	}
	_, level := MaxMin(capacity, parties)
	for i, o := range organisations {
		fair := level * parties[i].Weight
		o.overFair.Store(parties[i].Demand > fair && o.admitted.value() > fairShareThreshold*fair)
	}
}

// Settings of the fairness between organisations under overload.
const (
	// fairShareThreshold is the fraction of its fair share above which an
	// organisation that demands more than the share counts as over it.
	fairShareThreshold = 0.9
	// overFairDivisor divides the maximum wait for the first token of an
	// organisation that is over its fair share, so that the rest of the queue is
	// left to the others.
	overFairDivisor = 2
)

// MaxWait returns the maximum wait for the first token of an organisation; maxWait
// is that of an organisation within its fair share. Under overload an
// organisation that is over its fair share is refused earlier, so that the queue
// has room for the others.
func (l *Limiter) MaxWait(name string, maxWait time.Duration) time.Duration {
	if o, ok := (*l.organisations.Load())[name]; ok && o.overFair.Load() {
		return maxWait / overFairDivisor
	}
	return maxWait
}

// OrganisationState describes an organisation in the state dump.
type OrganisationState struct {
	AdmittedPerSecond float64 `json:"admittedTokensPerSecond"`
	Concurrency       int64   `json:"concurrency"`
	DemandPerSecond   float64 `json:"demandTokensPerSecond"`
	// Granted reports whether the entry has a valid grant. The parts of Share that
	// are not granted come from the fallback share.
	Granted  bool   `json:"granted"`
	Name     string `json:"name"`
	OverFair bool   `json:"overFairShare"`
	Running  int64  `json:"running"`
	// Share is the part of the limits that this entry may use now.
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
		share := limitsOf(*o.spec.Load()).fallback(l.entries)
		if granted {
			share = withDefaults(o.grant, share)
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
