package savorypinmove

import (
	"slices"
	"time"
)

// After a move is done, the old version has no traffic to compare with. The new version
// is then compared with limits well above the old version's last results.
const (
	// referenceSamples is the number of the old version's attempts that are kept in
	// each stratum.
	referenceSamples = 64
	// minReferenceSamples is the number of these attempts that is needed to derive a
	// limit from them.
	minReferenceSamples = 20
	// minReferenceFailureRate is the lowest limit of the failure rate.
	minReferenceFailureRate = 0.05
	// referenceFailureFactor is the tolerated multiple of the old failure rate.
	referenceFailureFactor = 2
	// referenceQuantile is the quantile of the old latencies from which the limit is
	// derived.
	referenceQuantile = 0.9
	// referenceSlowRatio is the tolerated fraction of attempts slower than
	// referenceLatencyFactor times the quantile.
	referenceSlowRatio     = 0.2
	referenceLatencyFactor = 1.5
	// unknownLoadFactor is a further factor on the tolerated time between tokens at a
	// load level for which the old version has too few samples. The slots of an engine
	// bound its batch size, and with it the time between tokens.
	unknownLoadFactor = 1.4
)

// alternativeRates are the rates of failed or slow attempts that are assumed for a bad
// version.
var alternativeRates = [Alternatives]float64{0.3, 0.6, 0.95}

// reference holds the old version's last samples in one stratum as a ring buffer.
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

// failureRateLimit returns the tolerated failure rate.
func (r *reference) failureRateLimit() float64 {
	rate := minReferenceFailureRate
	if len(r.samples) >= minReferenceSamples {
		rate = max(rate, referenceFailureFactor*float64(failures(r.samples))/float64(len(r.samples)))
	}
	return min(rate, alternativeRates[Alternatives-1])
}

// latencyLimit returns the tolerated latency and whether there are enough samples to
// derive it.
func (r *reference) latencyLimit(timeOf func(sample) time.Duration) (time.Duration, bool) {
	var times []time.Duration
	for _, s := range r.samples {
		if d := timeOf(s); d > 0 {
			times = append(times, d)
		}
	}
	if len(times) < minReferenceSamples {
		return 0, false
	}
	slices.Sort(times)
	quantile := times[int(referenceQuantile*float64(len(times)))]
	return time.Duration(referenceLatencyFactor * float64(quantile)), true
}

// referenceFor returns the reference of a stratum, which it creates if needed.
func (m *moveRecord) referenceFor(st stratum) *reference {
	r, ok := m.references[st]
	if !ok {
		r = &reference{}
		m.references[st] = r
	}
	return r
}

// observeDone compares an attempt of the new version with the reference. At a load level
// with too few reference samples, the time to first token is not compared.
func (m *moveRecord) observeDone(side int, st stratum, s sample) {
	m.evidence.Done = true
	if side == sideOld {
		return
	}
	m.evidence.New++
	r := m.referenceFor(st)
	m.addCell(st, s.unit, MetricError, bernoulliLogRatios(s.failed, r.failureRateLimit(), alternativeRates))
	if limit, ok := m.betweenTokensLimit(st); ok && s.betweenTokens > 0 {
		m.addCell(st, s.unit, MetricBetween, bernoulliLogRatios(s.betweenTokens > limit, referenceSlowRatio, alternativeRates))
	}
	first := func(s sample) time.Duration { return s.firstToken }
	if limit, ok := r.latencyLimit(first); ok && s.firstToken > 0 {
		m.addCell(st, s.unit, MetricFirst, bernoulliLogRatios(s.firstToken > limit+firstTokenSlack, referenceSlowRatio, alternativeRates))
	}
}

// betweenTokensLimit returns the tolerated time between tokens and whether it is known.
// If the load level lacks samples, the limit derives from another level of the route.
func (m *moveRecord) betweenTokensLimit(st stratum) (time.Duration, bool) {
	between := func(s sample) time.Duration { return s.betweenTokens }
	if limit, ok := m.referenceFor(st).latencyLimit(between); ok {
		return limit, true
	}
	for _, load := range LoadLevels {
		limit, ok := m.referenceFor(stratum{later: st.later, load: load, route: st.route}).latencyLimit(between)
		if ok {
			return time.Duration(unknownLoadFactor * float64(limit)), true
		}
	}
	return 0, false
}
