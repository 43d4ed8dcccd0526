// Package savorypinhazard estimates from past failures which failure domain fails next,
// and when, so that work can be placed in domains that are likely to outlast it. It
// knows nothing of the deployment besides the list of domains, and callers pass in the
// time.
package savorypinhazard

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Settings of the estimate.
const (
	// maxFailures is the number of failures that the estimate is based on. Older ones are
	// dropped, so that the estimate follows changes in the pattern.
	maxFailures = 9
	// mergeWindow is the time within which failures of a domain count as one. It also
	// covers the time from a failure to the restart by which it may be detected.
	mergeWindow = 3 * time.Second
	// minRelativeStdDev is the minimum standard deviation of the intervals between
	// failures, as a fraction of their mean: a few equal intervals don't prove that all
	// are equal.
	minRelativeStdDev = 0.15
	// defaultProbability is the assumed probability that the next failure falls within a
	// time span while the intervals between failures are unknown.
	defaultProbability = 0.5
)

// Failure is a failure of a domain.
type Failure struct {
	At     time.Time
	Domain string
}

// Estimator estimates the risks of failure domains. It is safe for concurrent
// use.
type Estimator struct {
	// domains are the failure domains in the order of the deployment's list.
	domains []string

	mu sync.Mutex
	// failures are the recorded failures, oldest first.
	failures []Failure

	// The following fields are derived from the failures.
	intervals   []time.Duration
	lastFailure time.Time
	ensemble    *ensemble
}

// New returns an Estimator without recorded failures. Domains are given in the order of
// the deployment's list.
func New(domains []string) *Estimator {
	e := &Estimator{domains: slices.Clone(domains)}
	e.rebuild()
	return e
}

// Record adds a failure of a domain and reports whether it is new. Failures may be
// recorded in any order, because those reported by other gateways arrive late. Failures
// of unknown domains are ignored.
func (e *Estimator) Record(domain string, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.domains, domain) {
		return false
	}
	for _, f := range e.failures {
		if f.Domain == domain && f.At.Sub(at).Abs() < mergeWindow {
			return false
		}
	}
	e.failures = append(e.failures, Failure{At: at, Domain: domain})
	slices.SortStableFunc(e.failures, func(a, b Failure) int { return a.At.Compare(b.At) })
	e.failures = e.failures[max(0, len(e.failures)-maxFailures):]
	e.rebuild()
	return true
}

// Failures returns the recorded failures, oldest first.
func (e *Estimator) Failures() []Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.failures)
}

// rebuild derives the intervals and the ensemble from all recorded failures.
func (e *Estimator) rebuild() {
	e.intervals = nil
	e.lastFailure = time.Time{}
	e.ensemble = newEnsemble(e.domains)
	for _, f := range e.failures {
		if !e.lastFailure.IsZero() {
			e.intervals = append(e.intervals, f.At.Sub(e.lastFailure))
		}
		e.lastFailure = f.At
		e.ensemble.observe(f.Domain)
	}
}

// Risk returns the probability that a domain fails within a time span from now.
func (e *Estimator) Risk(domain string, now time.Time, span time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastFailure.IsZero() || len(e.domains) < 2 {
		return 0
	}
	return e.failureProbability(now, span) * e.ensemble.probability(domain)
}

// failureProbability returns the probability that any domain fails within a time span
// from now, given that none has failed since the last recorded failure. Intervals are
// assumed to be normally distributed.
func (e *Estimator) failureProbability(now time.Time, span time.Duration) float64 {
	if len(e.intervals) == 0 {
		return defaultProbability
	}
	mean, stdDev := e.intervalMoments()
	if mean == 0 {
		// All failures were simultaneous, so the intervals contain no information.
		return defaultProbability
	}
	elapsed := now.Sub(e.lastFailure).Seconds()
	survival := 1 - normalCDF((elapsed-mean)/stdDev)
	if survival < 1e-3 {
		// The next failure is long overdue, so the series of failures has most likely
		// ended.
		return 0
	}
	survivalAtEnd := 1 - normalCDF((elapsed+span.Seconds()-mean)/stdDev)
	return 1 - survivalAtEnd/survival
}

// intervalMoments returns the mean and the standard deviation of the intervals in
// seconds.
func (e *Estimator) intervalMoments() (mean, stdDev float64) {
	for _, d := range e.intervals {
		mean += d.Seconds()
	}
	mean /= float64(len(e.intervals))
	for _, d := range e.intervals {
		stdDev += (d.Seconds() - mean) * (d.Seconds() - mean)
	}
	stdDev = math.Sqrt(stdDev / float64(len(e.intervals)))
	return mean, max(stdDev, minRelativeStdDev*mean)
}

// normalCDF is the cumulative distribution function of the standard normal
// distribution.
func normalCDF(x float64) float64 {
	return 0.5 * math.Erfc(-x/math.Sqrt2)
}
