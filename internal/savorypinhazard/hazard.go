// Package savorypinhazard estimates which failure domain fails next, and when,
// from the failures that were seen. Work can then be placed where it is likely
// to finish. It knows nothing of the deployment and uses no clock of its own.
package savorypinhazard

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Settings of the estimate.
const (
	// maxFailures bounds the failures that are remembered, so that old habits are
	// forgotten.
	maxFailures = 9
	// mergeTime is the time within which failures of a domain count as one. It
	// covers the time from a failure to the restart that tells of it too.
	mergeTime = 3 * time.Second
	// leastSpread is the least spread of the intervals, as a part of their mean:
	// a few equal intervals don't prove that all are equal.
	leastSpread = 0.15
	// firstProbability stands for the probability that the next failure falls in
	// a span while only one failure has been seen.
	firstProbability = 0.5
	// lastWeight is the weight, before anything was learned, of the domain that
	// failed last against any other one.
	lastWeight = 0.5
)

// Failure is a failure of a domain.
type Failure struct {
	At     time.Time
	Domain string
}

// Estimator estimates the risks of failure domains. It is safe for concurrent
// use.
type Estimator struct {
	mu      sync.Mutex
	domains []string
	// failures are the failures that are remembered, from the oldest on.
	failures []Failure

	// What follows is derived from the failures.
	intervals []time.Duration
	last      time.Time
	lastOf    map[string]time.Time
	// ranks counts how often the domain failed that was hit longest ago, second
	// longest ago, and so on.
	ranks []float64
}

// New returns an estimator for failure domains of which none has failed yet.
func New(domains []string) *Estimator {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	e := &Estimator{domains: sorted}
	e.derive()
	return e
}

// Record takes note that a domain has failed. Failures may come in any order,
// as others tell of them. It reports whether this is a new failure.
func (e *Estimator) Record(domain string, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.domains, domain) {
		return false
	}
	for _, f := range e.failures {
		if f.Domain == domain && f.At.Sub(at).Abs() < mergeTime {
			return false
		}
	}
	e.failures = append(e.failures, Failure{At: at, Domain: domain})
	slices.SortStableFunc(e.failures, func(a, b Failure) int { return a.At.Compare(b.At) })
	e.failures = e.failures[max(0, len(e.failures)-maxFailures):]
	e.derive()
	return true
}

// Failures returns the failures that are remembered, from the oldest on.
func (e *Estimator) Failures() []Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.failures)
}

// derive learns from the failures anew.
func (e *Estimator) derive() {
	e.intervals = nil
	e.last = time.Time{}
	e.lastOf = map[string]time.Time{}
	e.ranks = make([]float64, len(e.domains))
	for _, f := range e.failures {
		if !e.last.IsZero() {
			e.ranks[e.firstOfRank(slices.Index(e.order(), f.Domain))]++
			e.intervals = append(e.intervals, f.At.Sub(e.last))
		}
		e.last = f.At
		e.lastOf[f.Domain] = f.At
	}
}

// Risk returns the probability that a domain fails within a span from now.
func (e *Estimator) Risk(domain string, now time.Time, span time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last.IsZero() || len(e.domains) < 2 {
		return 0
	}
	return e.within(now, span) * e.share(domain)
}

// order returns the domains from the one that failed longest ago to the one
// that failed last. Domains that have not failed come first.
func (e *Estimator) order() []string {
	order := slices.Clone(e.domains)
	slices.SortStableFunc(order, func(a, b string) int {
		return e.lastOf[a].Compare(e.lastOf[b])
	})
	return order
}

// firstOfRank returns the rank at which the domains begin that failed as long
// ago as the one at rank, since nothing tells those apart.
func (e *Estimator) firstOfRank(rank int) int {
	order := e.order()
	for rank > 0 && e.lastOf[order[rank-1]].Equal(e.lastOf[order[rank]]) {
		rank--
	}
	return rank
}

// share returns the probability that the next domain to fail is this one.
func (e *Estimator) share(domain string) float64 {
	order := e.order()
	weights := make([]float64, len(order))
	sum := 0.0
	for i := range order {
		weights[i] = 1
		if i == len(order)-1 {
			weights[i] = lastWeight
		}
		weights[i] += e.ranks[i]
		sum += weights[i]
	}
	rank := slices.Index(order, domain)
	if rank < 0 {
		return 0
	}
	// Domains that failed equally long ago share what was counted for them.
	first := e.firstOfRank(rank)
	total, n := 0.0, 0.0
	for i := first; i < len(order) && e.lastOf[order[i]].Equal(e.lastOf[domain]); i++ {
		total += weights[i]
		n++
	}
	return total / n / sum
}

// within returns the probability that a domain fails within a span from now,
// given that none has failed since the last failure. Intervals are taken as
// normally distributed.
func (e *Estimator) within(now time.Time, span time.Duration) float64 {
	if len(e.intervals) == 0 {
		return firstProbability
	}
	mean, spread := e.moments()
	elapsed := now.Sub(e.last).Seconds()
	survived := 1 - normal((elapsed-mean)/spread)
	if survived < 1e-3 {
		// The failures have stopped, as far as can be told.
		return 0
	}
	ends := 1 - normal((elapsed+span.Seconds()-mean)/spread)
	return 1 - ends/survived
}

// moments returns the mean and the spread of the intervals in seconds.
func (e *Estimator) moments() (mean, spread float64) {
	for _, d := range e.intervals {
		mean += d.Seconds()
	}
	mean /= float64(len(e.intervals))
	for _, d := range e.intervals {
		spread += (d.Seconds() - mean) * (d.Seconds() - mean)
	}
	spread = math.Sqrt(spread / float64(len(e.intervals)))
	return mean, max(spread, leastSpread*mean)
}

// normal is the distribution function of the standard normal distribution.
func normal(x float64) float64 {
	return 0.5 * math.Erfc(-x/math.Sqrt2)
}
