package savorypinmove

import (
	"slices"
	"time"
)

// After a move is done the old version has no traffic to compare with. The new
// one is then held against limits well above what the old version showed last.
const (
	// referenceSamples is how many of the old version's attempts are kept for
	// each route and load level.
	referenceSamples = 64
	// referenceMin is how many of them it takes to judge times.
	referenceMin = 20
	// referenceErrors is the failure rate that is tolerated in any case.
	referenceErrors = 0.05
	// referenceErrorFactor is the factor of the old failure rate that is
	// tolerated.
	referenceErrorFactor = 2
	// referenceQuantile is the quantile of the old times that is taken.
	referenceQuantile = 0.9
	// referenceSlow is the share of attempts that may be slower than
	// referenceTolerance times the quantile.
	referenceSlow      = 0.2
	referenceTolerance = 1.5
	// referenceBatch is the further factor of the time between tokens that is
	// tolerated at a load that the old version never had. The batch, and with it
	// this time, is bounded by the slots of an engine.
	referenceBatch = 1.4
)

var referenceRates = [Alternatives]float64{0.3, 0.6, 0.95}

// reference is what the old version showed last on one route at one load level.
type reference struct {
	next    int
	samples []sample
}

func (r *reference) add(s sample) {
	if len(r.samples) < referenceSamples {
		r.samples = append(r.samples, s)
		return
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % referenceSamples
}

// failureRate returns the failure rate that is tolerated.
func (r *reference) failureRate() float64 {
	rate := referenceErrors
	if len(r.samples) >= referenceMin {
		rate = max(rate, referenceErrorFactor*float64(failures(r.samples))/float64(len(r.samples)))
	}
	return min(rate, referenceRates[Alternatives-1])
}

// limit returns the time that is tolerated; ok is false if too little is known.
func (r *reference) limit(timeOf func(sample) time.Duration) (time.Duration, bool) {
	var times []time.Duration
	for _, s := range r.samples {
		if d := timeOf(s); d > 0 {
			times = append(times, d)
		}
	}
	if len(times) < referenceMin {
		return 0, false
	}
	slices.Sort(times)
	quantile := times[int(referenceQuantile*float64(len(times)))]
	return time.Duration(referenceTolerance * float64(quantile)), true
}

// refer returns the reference of a stratum.
func (w *watched) refer(at stratum) *reference {
	r, ok := w.reference[at]
	if !ok {
		r = &reference{}
		w.reference[at] = r
	}
	return r
}

// observeDone holds an attempt of the new version against the reference.
// Attempts at a load that the old version never had say nothing about times.
func (w *watched) observeDone(side int, at stratum, s sample) {
	w.evidence.Done = true
	if side == sideOld {
		return
	}
	w.evidence.New++
	r := w.refer(at)
	w.add(at, s.unit, MetricError, bernoulliLogs(s.failed, r.failureRate(), referenceRates))
	if limit, ok := w.limitBetween(at); ok && s.between > 0 {
		w.add(at, s.unit, MetricBetween, bernoulliLogs(s.between > limit, referenceSlow, referenceRates))
	}
	first := func(s sample) time.Duration { return s.first }
	if limit, ok := r.limit(first); ok && s.first > 0 {
		w.add(at, s.unit, MetricFirst, bernoulliLogs(s.first > limit+firstSlack, referenceSlow, referenceRates))
	}
}

// limitBetween returns the time between tokens that is tolerated.
func (w *watched) limitBetween(at stratum) (time.Duration, bool) {
	between := func(s sample) time.Duration { return s.between }
	if limit, ok := w.refer(at).limit(between); ok {
		return limit, true
	}
	for _, load := range LoadLevels {
		limit, ok := w.refer(stratum{again: at.again, load: load, route: at.route}).limit(between)
		if ok {
			return time.Duration(referenceBatch * float64(limit)), true
		}
	}
	return 0, false
}
