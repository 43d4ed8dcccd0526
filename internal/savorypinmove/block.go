package savorypinmove

import (
	"math"
	"slices"
	"time"
)

// Metric is a quantity by which two versions are compared.
type Metric string

// The metrics, in sorted order.
const (
	// MetricBetween is the time between tokens.
	MetricBetween Metric = "between"
	// MetricError is the failure rate of attempts.
	MetricError Metric = "error"
	// MetricFirst is the time to the first token.
	MetricFirst Metric = "first"
)

// Metrics lists all metrics.
var Metrics = []Metric{MetricBetween, MetricError, MetricFirst}

// Tolerances of the comparison. A difference within the tolerance is no evidence
// against the new version.
const (
	// firstTokenSlack is added to the tolerated time to first token, since network
	// latency to endpoints differs.
	firstTokenSlack = 30 * time.Millisecond
	// latencyTolerance is the tolerated ratio of new to old latency.
	latencyTolerance = 1.25
	// slowestRatio is the fraction of attempts that count as the slowest.
	slowestRatio = 1.0 / 3
)

// Hypotheses on the odds ratio of the new to the old version: for attempts that fail, and
// for attempts that are among the slowest.
var (
	errorHypotheses   = oddsHypotheses{alternativeRatios: [Alternatives]float64{4, 20, 100}, nullRatio: 1.5}
	latencyHypotheses = oddsHypotheses{alternativeRatios: [Alternatives]float64{3, 8, 30}, nullRatio: 1}
)

// sample is the outcome and the latencies of one attempt.
type sample struct {
	endedAt       time.Time
	betweenTokens time.Duration
	failed        bool
	firstToken    time.Duration
	unit          string
}

// block holds attempts on one route at the same load level that ran at about the
// same time and are compared with each other.
type block struct {
	// begunAtOpen holds how many first attempts had begun on the route when the block
	// was opened.
	begunAtOpen [2]int
	openedAt    time.Time
	samples     [2][]sample
}

// Indexes of the versions in arrays of two.
const (
	sideOld = 0
	sideNew = 1
)

// size returns the number of attempts of both versions.
func (b *block) size() int {
	return len(b.samples[sideOld]) + len(b.samples[sideNew])
}

// trim drops attempts that ended before a time, and the oldest ones of a version
// beyond maxSamplesPerVersion.
func (b *block) trim(before time.Time) {
	for side, samples := range b.samples {
		excess := max(0, len(samples)-maxSamplesPerVersion)
		samples = samples[excess:]
		b.samples[side] = slices.DeleteFunc(samples, func(s sample) bool { return s.endedAt.Before(before) })
	}
}

// oldSamplesAround returns how many of the old version's attempts ended before the first
// and after the last of the new version's.
func (b *block) oldSamplesAround() (before, after int) {
	first := b.samples[sideNew][0].endedAt
	last := b.samples[sideNew][len(b.samples[sideNew])-1].endedAt
	for _, s := range b.samples[sideOld] {
		if s.endedAt.Before(first) {
			before++
		}
		if s.endedAt.After(last) {
			after++
		}
	}
	return before, after
}

// trimLeadingOld drops the earliest attempts of the old version until no more of
// them precede the new version's attempts than follow them. Otherwise latencies that
// grow for both versions would count against the new one, whose attempts are rare
// and therefore come last in their block.
func (b *block) trimLeadingOld() {
	before, after := b.oldSamplesAround()
	b.samples[sideOld] = b.samples[sideOld][max(0, before-after):]
}

// comparable reports whether both versions have attempts.
func (b *block) comparable() bool {
	return len(b.samples[sideOld]) > 0 && len(b.samples[sideNew]) > 0
}

// group is the part of a block that is compared for one unit of the new version.
type group struct {
	old  []sample
	unit string
	new  []sample
}

// groups splits the block by the unit of the new version's attempts. Attempts
// of the old version in the same unit are the best controls; each one in another unit
// is assigned to the group that has the fewest controls so far.
func (b *block) groups() []group {
	var groups []group
	find := func(unit string) int {
		return slices.IndexFunc(groups, func(g group) bool { return g.unit == unit })
	}
	for _, s := range b.samples[sideNew] {
		i := find(s.unit)
		if i < 0 {
			i = len(groups)
			groups = append(groups, group{unit: s.unit})
		}
		groups[i].new = append(groups[i].new, s)
	}
	var others []sample
	for _, s := range b.samples[sideOld] {
		if i := find(s.unit); i >= 0 {
			groups[i].old = append(groups[i].old, s)
			continue
		}
		others = append(others, s)
	}
	for _, s := range others {
		i := fewestControls(groups)
		groups[i].old = append(groups[i].old, s)
	}
	return groups
}

// fewestControls returns the index of the group with the fewest controls per attempt of
// the new version.
func fewestControls(groups []group) int {
	best := 0
	for i, g := range groups {
		if len(g.old)*len(groups[best].new) < len(groups[best].old)*len(g.new) {
			best = i
		}
	}
	return best
}

// logRatios returns the log-likelihood ratios of a group by a metric; ok is false if
// the group has no evidence for it.
func (g group) logRatios(metric Metric, begun [2]int) (logs LogRatios, ok bool) {
	switch metric {
	case MetricBetween:
		return latencyLogRatios(g, func(s sample) time.Duration { return s.betweenTokens }, 0)
	case MetricError:
		return g.errorLogRatios(begun)
	case MetricFirst:
		return latencyLogRatios(g, func(s sample) time.Duration { return s.firstToken }, firstTokenSlack)
	default:
		return logs, false
	}
}

// errorLogRatios compares failures. Failed attempts end sooner than successful ones,
// so a version that has just received its first requests would look worse than it
// is. The comparison therefore also uses begun, the numbers of attempts that began while
// the block was open: for the new version if it exceeds the number that ended, and for
// the old version as an upper bound.
func (g group) errorLogRatios(begun [2]int) (LogRatios, bool) {
	failedNew, failedOld := failures(g.new), failures(g.old)
	n1 := max(len(g.new), begun[sideNew])
	n0 := len(g.old)
	if begun[sideOld] > 0 {
		n0 = max(failedOld, min(n0, begun[sideOld]))
	}
	k := failedNew + failedOld
	if k == 0 || n0 == 0 {
		return LogRatios{}, false
	}
	return hypergeometricLogRatios(n1, n0, k, failedNew, errorHypotheses), true
}

func failures(samples []sample) int {
	n := 0
	for _, s := range samples {
		if s.failed {
			n++
		}
	}
	return n
}

// latencyLogRatios compares latencies by the number of the new version's attempts
// among the slowest, after subtracting the tolerance. The test is based on ranks and
// assumes no distribution of the latencies.
func latencyLogRatios(g group, timeOf func(sample) time.Duration, slack time.Duration) (LogRatios, bool) {
	type timed struct {
		d   float64
		new bool
	}
	var all []timed
	n1 := 0
	for _, s := range g.new {
		if d := timeOf(s); d > 0 {
			all = append(all, timed{d: float64(d-slack) / latencyTolerance, new: true})
			n1++
		}
	}
	for _, s := range g.old {
		if d := timeOf(s); d > 0 {
			all = append(all, timed{d: float64(d)})
		}
	}
	n0 := len(all) - n1
	if n1 == 0 || n0 == 0 {
		return LogRatios{}, false
	}
	// Old samples come first in the reversed slice and the sort is stable, so ties
	// count in favor of the new version.
	slices.Reverse(all)
	slices.SortStableFunc(all, func(a, b timed) int { return compareDescending(a.d, b.d) })
	k := max(1, int(math.Round(float64(len(all))*slowestRatio)))
	slowNew := 0
	for _, t := range all[:k] {
		if t.new {
			slowNew++
		}
	}
	return hypergeometricLogRatios(n1, n0, k, slowNew, latencyHypotheses), true
}

func compareDescending(a, b float64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	default:
		return 0
	}
}
