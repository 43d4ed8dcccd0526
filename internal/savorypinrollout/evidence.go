// Package savorypinrollout decides how much of a service's traffic a new version
// gets while it is rolled out, and whether it is worse than the old one. It uses
// no network and no clock of its own. Gateways exchange reports and each decides
// locally from them, so routing a request needs no remote call.
package savorypinrollout

import (
	"math"
	"time"
)

// Settings of the sequential test that compares the two versions.
const (
	// rejectThreshold is the log-likelihood ratio at which a version is rejected. A
	// good version reaches it with a probability of about 0.001 in each test: that of
	// a route, and that of all routes together.
	rejectThreshold = 6.9
	// deadlineRejectThreshold is the lower threshold that applies at the deadline of
	// the rollout, when no time is left to collect more evidence.
	deadlineRejectThreshold = 3.0
	// degradedFailureFactor and degradedFailureMargin define the failure ratio of a
	// bad version: the old version's ratio times the factor, and at least the old
	// version's ratio plus the margin.
	degradedFailureFactor = 2.5
	degradedFailureMargin = 0.12
	// maxFailureRatio caps the failure ratio that the test assumes for a bad version.
	maxFailureRatio = 0.95
	// slowAnswerFactor is the multiple of the old version's mean latency on the route
	// above which an answer counts as failed.
	slowAnswerFactor = 4
	// minSlowDelay is the least delay beyond the mean of an answer that counts as failed:
	// scheduling and the network delay answers of a sound version by up to as much.
	minSlowDelay = 20 * time.Millisecond
	// latencySampleWeight is the weight of a new sample in the moving average of the
	// latency.
	latencySampleWeight = 0.1
)

// Count is the number of answers of a version and how many of them failed or were
// too slow.
type Count struct {
	Bad   int64 `msgpack:"b"`
	Total int64 `msgpack:"t"`
}

func (c *Count) add(o Count) {
	c.Bad += o.Bad
	c.Total += o.Total
}

// Counts holds the counts of both versions on one route.
type Counts struct {
	New Count `msgpack:"n"`
	Old Count `msgpack:"o"`
}

// logLikelihoodRatio returns the log-likelihood ratio of the hypothesis that the new
// version is worse than the old one against the hypothesis that it is as good. This
// is Wald's sequential test with the old version's observed failure ratio in place
// of a known one.
func (c Counts) logLikelihoodRatio() float64 {
	if c.New.Total == 0 {
		return 0
	}
	// Laplace's rule of succession: one failure and one success are added, so that the
	// ratio is never 0 or 1, however few answers the old version has.
	baseRatio := (float64(c.Old.Bad) + 1) / (float64(c.Old.Total) + 2)
	baseRatio = min(baseRatio, maxFailureRatio/degradedFailureFactor)
	degradedRatio := min(maxFailureRatio, max(degradedFailureFactor*baseRatio, baseRatio+degradedFailureMargin))
	failed := float64(c.New.Bad)
	succeeded := float64(c.New.Total) - failed
	return failed*math.Log(degradedRatio/baseRatio) + succeeded*math.Log((1-degradedRatio)/(1-baseRatio))
}

// maxLogLikelihoodRatio returns the highest log-likelihood ratio of any single route
// and of all routes together, but at least 0.
func maxLogLikelihoodRatio(byRoute map[string]Counts) float64 {
	var all Counts
	highest := 0.0
	for _, c := range byRoute {
		all.New.add(c.New)
		all.Old.add(c.Old)
		highest = max(highest, c.logLikelihoodRatio())
	}
	return max(highest, all.logLikelihoodRatio())
}

// latencyAverage is an exponentially weighted moving average of the old version's
// latency on a route.
type latencyAverage struct {
	mean time.Duration
}

// isSlow reports whether an answer took more than slowAnswerFactor times the mean, and at least
// minSlowDelay longer than it.
func (a *latencyAverage) isSlow(took time.Duration) bool {
	return a.mean > 0 && took > slowAnswerFactor*a.mean && took-a.mean >= minSlowDelay
}

func (a *latencyAverage) observe(took time.Duration) {
	if a.mean == 0 {
		a.mean = took
		return
	}
	a.mean += time.Duration(latencySampleWeight * float64(took-a.mean))
}
