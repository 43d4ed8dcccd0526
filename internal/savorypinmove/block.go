package savorypinmove

import (
	"math"
	"slices"
	"time"
)

// Metric is what two versions are compared by.
type Metric string

// The metrics, in sorted order.
const (
	// MetricBetween is the time between tokens.
	MetricBetween Metric = "between"
	// MetricError is the failure of attempts.
	MetricError Metric = "error"
	// MetricFirst is the time to the first token.
	MetricFirst Metric = "first"
)

// Metrics are all metrics.
var Metrics = []Metric{MetricBetween, MetricError, MetricFirst}

// What counts as worse. Differences up to the tolerance never reject a
// version.
const (
	// firstSlack is added to the time to first token that is tolerated, since
	// the way to endpoints differs.
	firstSlack = 30 * time.Millisecond
	// latencyTolerance is the factor of time that is tolerated.
	latencyTolerance = 1.25
	// slowestShare is the share of attempts that count as the slowest.
	slowestShare = 1.0 / 3
)

var (
	errorOdds   = odds{alternatives: [Alternatives]float64{4, 20, 100}, null: 1.5}
	latencyOdds = odds{alternatives: [Alternatives]float64{3, 8, 30}, null: 1}
)

// sample is what one attempt showed.
type sample struct {
	at      time.Time
	between time.Duration
	failed  bool
	first   time.Duration
	unit    string
}

// block holds the attempts of one route at like load that are compared with
// each other, since they ran at the same time.
type block struct {
	begun   [2]int
	opened  time.Time
	samples [2][]sample
}

// Sides of a comparison.
const (
	sideOld = 0
	sideNew = 1
)

// size returns the number of attempts.
func (b *block) size() int {
	return len(b.samples[sideOld]) + len(b.samples[sideNew])
}

// trim drops attempts that ended before a time, and others if there are too
// many.
func (b *block) trim(before time.Time) {
	for side, samples := range b.samples {
		excess := max(0, len(samples)-maxBlockSize)
		samples = samples[excess:]
		b.samples[side] = slices.DeleteFunc(samples, func(s sample) bool { return s.at.Before(before) })
	}
}

// balance returns how many of the old version's attempts ended before the first
// and after the last of the new version's.
func (b *block) balance() (before, after int) {
	first := b.samples[sideNew][0].at
	last := b.samples[sideNew][len(b.samples[sideNew])-1].at
	for _, s := range b.samples[sideOld] {
		if s.at.Before(first) {
			before++
		}
		if s.at.After(last) {
			after++
		}
	}
	return before, after
}

// level drops the earliest attempts of the old version until no more of them
// came before the new version's than after. Times that grow for both versions
// would else speak against the new one, whose attempts are rare and so come last
// in their block.
func (b *block) level() {
	before, after := b.balance()
	b.samples[sideOld] = b.samples[sideOld][max(0, before-after):]
}

// comparable reports whether both versions have attempts.
func (b *block) comparable() bool {
	return len(b.samples[sideOld]) > 0 && len(b.samples[sideNew]) > 0
}

// group is the part of a block that tells about one unit.
type group struct {
	old  []sample
	unit string
	new  []sample
}

// groups splits the block by the unit of the new version's attempts. Attempts
// of the old version in the same unit are the best control; those elsewhere go
// where there are fewest.
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
		i := scarcest(groups)
		groups[i].old = append(groups[i].old, s)
	}
	return groups
}

// scarcest returns the index of the group with the fewest controls for each
// attempt of the new version.
func scarcest(groups []group) int {
	best := 0
	for i, g := range groups {
		if len(g.old)*len(groups[best].new) < len(groups[best].old)*len(g.new) {
			best = i
		}
	}
	return best
}

// compare returns the evidence of a group by a metric; ok is false if it has
// none.
func (g group) compare(metric Metric, begun [2]int) (logs Logs, ok bool) {
	switch metric {
	case MetricBetween:
		return compareTimes(g, func(s sample) time.Duration { return s.between }, 0)
	case MetricError:
		return g.compareErrors(begun)
	case MetricFirst:
		return compareTimes(g, func(s sample) time.Duration { return s.first }, firstSlack)
	default:
		return logs, false
	}
}

// compareErrors compares failures. Failures show sooner than successes do, so
// that a version that has just got work would look worse than it is; begun are
// the attempts that began meanwhile, and count where they are more than those
// that ended.
func (g group) compareErrors(begun [2]int) (Logs, bool) {
	failed1, failed0 := failures(g.new), failures(g.old)
	n1 := max(len(g.new), begun[sideNew])
	n0 := len(g.old)
	if begun[sideOld] > 0 {
		n0 = max(failed0, min(n0, begun[sideOld]))
	}
	k := failed1 + failed0
	if k == 0 || n0 == 0 {
		return Logs{}, false
	}
	return hypergeometricLogs(n1, n0, k, failed1, errorOdds), true
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

// compareTimes counts how many of the slowest attempts are of the new version,
// after taking off what is tolerated. It needs no assumption on how times are
// distributed.
func compareTimes(g group, timeOf func(sample) time.Duration, slack time.Duration) (Logs, bool) {
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
		return Logs{}, false
	}
	// The sort is stable and reversed, so that ties speak for the new version.
	slices.Reverse(all)
	slices.SortStableFunc(all, func(a, b timed) int { return compareDown(a.d, b.d) })
	k := max(1, int(math.Round(float64(len(all))*slowestShare)))
	slow1 := 0
	for _, t := range all[:k] {
		if t.new {
			slow1++
		}
	}
	return hypergeometricLogs(n1, n0, k, slow1, latencyOdds), true
}

func compareDown(a, b float64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	default:
		return 0
	}
}
