package savorypinmove

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings of the sequential test.
const (
	// FalseAlarmRate bounds the probability that an evaluator ever rejects a version
	// that is no worse than the old one. It applies once to the time while the move
	// runs and again to the time while the move is watched after it is done.
	FalseAlarmRate = 0.003
	// cautionThreshold is the likelihood ratio at and above which the share is not raised.
	cautionThreshold = 10
	// maxRouteHypotheses is the number of routes that get a hypothesis of their own.
	maxRouteHypotheses = 8
	// maxLogRatio bounds the log-likelihood ratio of one piece of evidence.
	maxLogRatio = 300
	// maxRatio bounds a likelihood ratio so that sums stay finite.
	maxRatio = 1e200
	// initialWeight is the weight of a fault that is present from the beginning. The rest
	// of the weight is divided equally between restartCount later times at which a fault
	// may begin.
	initialWeight = 0.5
	restartCount  = 64
)

// Weights of the hypotheses on all evidence, on one load level and on one route. They
// add up to 1 for each metric.
const (
	weightAll   = 0.4
	weightLoad  = 0.3
	weightRoute = 0.3
)

// Finding is the conclusion from the evidence on a new version.
type Finding string

// The findings, in sorted order.
const (
	// FindingBad means that the version is worse than the old one.
	FindingBad Finding = "bad"
	// FindingCaution means that the version may be worse.
	FindingCaution Finding = "caution"
	// FindingFine means that there is no evidence that the version is worse.
	FindingFine Finding = "fine"
	// FindingSuspect means that the evidence is strong but comes from a single
	// failure domain or endpoint of several, which may itself be at fault.
	FindingSuspect Finding = "suspect"
)

// Verdict is a finding with its reason.
type Verdict struct {
	Finding Finding
	// New is the number of the new version's attempts that were compared.
	New int
	// Old is the number of the old version's attempts that were compared.
	Old int
	// Reason describes the evidence and the comparison that contributes most of it.
	Reason string
}

// hypothesis is one way in which a version can be worse: by a metric, on all
// evidence, on one route or at one load level.
type hypothesis struct {
	load   LoadLevel
	metric Metric
	route  string
}

func (h hypothesis) String() string {
	text := "metric " + string(h.metric)
	if h.route != "" {
		text += ", route " + h.route
	}
	if h.load != "" {
		text += ", load " + string(h.load)
	}
	return text
}

// likelihoodRatios holds the weighted likelihood ratios of a hypothesis, one for each
// alternative.
type likelihoodRatios [Alternatives]float64

func (r likelihoodRatios) mean() float64 {
	sum := 0.0
	for _, v := range r {
		sum += v
	}
	return sum / Alternatives
}

// hypothesisEvidence is the evidence for a hypothesis over all units, and over all
// units but one for each unit.
type hypothesisEvidence struct {
	all         likelihoodRatios
	withoutUnit map[string]likelihoodRatios
}

// EvaluatorConfig configures an Evaluator.
type EvaluatorConfig struct {
	// Begin is the time from which evidence counts.
	Begin time.Time
	// Horizon is the time after Begin within which a fault is assumed to begin.
	Horizon time.Duration
}

// Evaluator combines the evidence of all entries and judges it. The error bound holds
// at any time and however often Judge is called.
//
// Each piece of evidence multiplies the likelihood ratios of the hypotheses to which
// it applies. If the version is not worse, the weighted mean of the ratios is a
// nonnegative supermartingale, and the probability that it ever exceeds
// 1/FalseAlarmRate is at most FalseAlarmRate (Ville's inequality). Lost evidence only
// reduces the power of the test. Part of the weight is added at each of restartCount
// later times, so that a late fault is not outweighed by the good evidence before it.
type Evaluator struct {
	cfg         EvaluatorConfig
	newAttempts int
	oldAttempts int
	routes      []string
	evidence    map[hypothesis]*hypothesisEvidence
	units       []string
	// addedWeight is the weight that has been added to each hypothesis.
	addedWeight float64
}

// NewEvaluator returns an evaluator without evidence.
func NewEvaluator(cfg EvaluatorConfig) *Evaluator {
	return &Evaluator{cfg: cfg, evidence: map[hypothesis]*hypothesisEvidence{}}
}

// Add adds evidence. Each piece must be added only once.
func (e *Evaluator) Add(now time.Time, evidence Evidence) {
	e.newAttempts += evidence.New
	e.oldAttempts += evidence.Old
	e.addDueWeight(now)
	sums := map[hypothesis]map[string]LogRatios{}
	for _, c := range evidence.Cells {
		e.register(c)
		for _, h := range e.hypotheses(c) {
			if sums[h] == nil {
				sums[h] = map[string]LogRatios{}
			}
			logs := sums[h][c.Unit]
			logs.add(c.Logs)
			sums[h][c.Unit] = logs
		}
	}
	for h, byUnit := range sums {
		e.evidence[h].multiply(byUnit)
	}
}

// addDueWeight adds the weight that is due by now to all hypotheses.
func (e *Evaluator) addDueWeight(now time.Time) {
	elapsed := float64(now.Sub(e.cfg.Begin)) / float64(e.cfg.Horizon)
	elapsed = math.Floor(max(0, min(elapsed, 1))*restartCount) / restartCount
	targetWeight := initialWeight + (1-initialWeight)*elapsed
	if targetWeight <= e.addedWeight {
		return
	}
	for _, he := range e.evidence {
		he.addWeight(targetWeight - e.addedWeight)
	}
	e.addedWeight = targetWeight
}

// register adds the hypotheses, the unit and the route of a cell if they are new. A
// route beyond maxRouteHypotheses gets no hypothesis of its own.
func (e *Evaluator) register(c Cell) {
	if !slices.Contains(e.routes, c.Route) && len(e.routes) < maxRouteHypotheses {
		e.routes = append(e.routes, c.Route)
	}
	for _, h := range e.hypotheses(c) {
		if e.evidence[h] == nil {
			he := &hypothesisEvidence{withoutUnit: map[string]likelihoodRatios{}}
			he.addWeight(e.addedWeight)
			e.evidence[h] = he
		}
	}
	if slices.Contains(e.units, c.Unit) {
		return
	}
	e.units = append(e.units, c.Unit)
}

// hypotheses returns the hypotheses to which a cell applies.
func (e *Evaluator) hypotheses(c Cell) []hypothesis {
	hs := []hypothesis{{metric: c.Metric}, {load: c.Load, metric: c.Metric}}
	if slices.Contains(e.routes, c.Route) {
		hs = append(hs, hypothesis{metric: c.Metric, route: c.Route})
	}
	return hs
}

// addWeight adds weight to all ratios.
func (he *hypothesisEvidence) addWeight(weight float64) {
	for i := range he.all {
		he.all[i] += weight
	}
	for unit, r := range he.withoutUnit {
		for i := range r {
			r[i] += weight
		}
		he.withoutUnit[unit] = r
	}
}

// multiply multiplies the ratios by the evidence of several units.
func (he *hypothesisEvidence) multiply(byUnit map[string]LogRatios) {
	var total LogRatios
	for unit, logs := range byUnit {
		total.add(logs)
		if _, ok := he.withoutUnit[unit]; !ok {
			// The unit had no evidence so far, so the ratios without it equal those of all.
			he.withoutUnit[unit] = he.all
		}
	}
	he.all = he.all.multiply(total)
	for unit, r := range he.withoutUnit {
		rest := total
		for i, v := range byUnit[unit] {
			rest[i] -= v
		}
		he.withoutUnit[unit] = r.multiply(rest)
	}
}

func (r likelihoodRatios) multiply(logs LogRatios) likelihoodRatios {
	for i, v := range logs {
		r[i] = min(r[i]*math.Exp(min(v, maxLogRatio)), maxRatio)
	}
	return r
}

// Judge returns the verdict on the evidence. The new version currently runs in
// servingUnits. If there are several units, the evidence must suffice without any one
// of them, so that a bad host, link or failure domain does not reject a version.
func (e *Evaluator) Judge(servingUnits []string) Verdict {
	s := e.summarize()
	v := Verdict{Finding: FindingFine, New: e.newAttempts, Old: e.oldAttempts}
	if len(servingUnits) <= 1 && len(e.units) <= 1 {
		s.withoutUnit = s.total
	}
	switch {
	case s.withoutUnit >= 1/FalseAlarmRate:
		v.Finding = FindingBad
	case s.total >= 1/FalseAlarmRate && slices.Contains(servingUnits, s.unit):
		v.Finding = FindingSuspect
	case s.withoutUnit >= cautionThreshold, s.total >= cautionThreshold && slices.Contains(servingUnits, s.unit):
		v.Finding = FindingCaution
	}
	v.Reason = s.reason(len(servingUnits), e.newAttempts, e.oldAttempts)
	return v
}

// summary is the weighted evidence over all hypotheses.
type summary struct {
	// withoutUnit is the evidence without the unit that contributes most.
	withoutUnit float64
	// strongest is the hypothesis that contributes most of the evidence.
	strongest hypothesis
	total     float64
	// unit is the unit that contributes most of the evidence; empty if none does.
	unit string
}

func (e *Evaluator) summarize() summary {
	var s summary
	largest := 0.0
	without := map[string]float64{}
	for h, he := range e.evidence {
		mean := h.weight() * he.all.mean()
		s.total += mean
		if mean > largest {
			largest = mean
			s.strongest = h
		}
		for _, unit := range e.units {
			r, ok := he.withoutUnit[unit]
			if !ok {
				r = he.all
			}
			without[unit] += h.weight() * r.mean()
		}
	}
	s.withoutUnit = s.total
	for _, unit := range e.units {
		if without[unit] < s.withoutUnit {
			s.withoutUnit = without[unit]
			s.unit = unit
		}
	}
	return s
}

func (s summary) reason(servingUnits, newAttempts, oldAttempts int) string {
	if s.total == 0 {
		return fmt.Sprintf("nothing compared yet, from %d new and %d old attempts", newAttempts, oldAttempts)
	}
	text := fmt.Sprintf("%s: evidence %.3g of %.0f", s.strongest, s.total, 1/FalseAlarmRate)
	if s.unit != "" {
		text += fmt.Sprintf(", %.3g without %s", s.withoutUnit, s.unit)
	}
	text += fmt.Sprintf(", from %d new and %d old attempts", newAttempts, oldAttempts)
	if servingUnits <= 1 {
		text += "; the new version runs on one endpoint only, whose fault can't be told from the version's"
	}
	return text
}

// weight returns the weight of a hypothesis; the weights of all hypotheses add up to at
// most 1.
func (h hypothesis) weight() float64 {
	weight := 1 / float64(len(Metrics))
	switch {
	case h.load != "":
		return weight * weightLoad / float64(len(LoadLevels))
	case h.route != "":
		return weight * weightRoute / maxRouteHypotheses
	default:
		return weight * weightAll
	}
}
