package savorypinmove

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings of the test.
const (
	// FalseAlarmRate bounds the probability that one evaluator ever finds a
	// version bad that is no worse than the old one, for the time while the move
	// runs and again for the time while it is watched.
	FalseAlarmRate = 0.003
	// cautionAt is the evidence at which the share no longer grows.
	cautionAt = 10
	// maxRoutes is the number of routes that are also judged alone.
	maxRoutes = 8
	// maxLog bounds the logarithm of one factor.
	maxLog = 300
	// maxRatio keeps sums finite.
	maxRatio = 1e200
	// firstWeight is the weight of a fault that is there from the beginning.
	firstWeight = 0.5
	// restarts is the number of times at which a fault may be taken to begin.
	restarts = 64
)

// Weights of the scopes; they add up to 1 for each metric.
const (
	weightAll   = 0.4
	weightLoad  = 0.3
	weightRoute = 0.3
)

// Finding is what the evidence says of a version.
type Finding string

// The findings, in sorted order.
const (
	// FindingBad means that the version is worse than the old one.
	FindingBad Finding = "bad"
	// FindingCaution means that the version may be worse.
	FindingCaution Finding = "caution"
	// FindingFine means that there is no sign that the version is worse.
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
	// Reason tells which comparison the finding rests on.
	Reason string
}

// hypothesis is one way in which a version can be worse.
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

// ratios are the weighted likelihood ratios of a hypothesis, one for each
// alternative.
type ratios [Alternatives]float64

func (r ratios) mean() float64 {
	sum := 0.0
	for _, v := range r {
		sum += v
	}
	return sum / Alternatives
}

// trial is the evidence for a hypothesis: over all units, and with each unit
// left out.
type trial struct {
	all     ratios
	without map[string]ratios
}

// EvaluatorConfig configures an Evaluator.
type EvaluatorConfig struct {
	// Begin is when the evidence begins.
	Begin time.Time
	// Horizon is over which time a fault may be taken to begin.
	Horizon time.Duration
}

// Evaluator sums up evidence from all entries and judges it. The judgement is
// valid at every moment, however often it is asked for.
//
// Each piece of evidence multiplies the likelihood ratios of the hypotheses
// that it bears on; a weighted mean of ratios is a nonnegative martingale or
// less where the version is not worse, and exceeds 1/FalseAlarmRate ever with
// no larger probability than that (Ville's inequality). Evidence that is lost
// costs power only. A share of the weight enters at each of many restarts, so
// that a fault that comes late is not outweighed by the good time before.
type Evaluator struct {
	cfg    EvaluatorConfig
	new    int
	old    int
	routes []string
	trials map[hypothesis]*trial
	units  []string
	weight float64
}

// NewEvaluator returns an evaluator without evidence.
func NewEvaluator(cfg EvaluatorConfig) *Evaluator {
	return &Evaluator{cfg: cfg, trials: map[hypothesis]*trial{}}
}

// Add takes over evidence. Each piece must be added once.
func (e *Evaluator) Add(now time.Time, evidence Evidence) {
	e.new += evidence.New
	e.old += evidence.Old
	e.restart(now)
	sums := map[hypothesis]map[string]Logs{}
	for _, c := range evidence.Cells {
		e.meet(c)
		for _, h := range e.hypotheses(c) {
			if sums[h] == nil {
				sums[h] = map[string]Logs{}
			}
			logs := sums[h][c.Unit]
			logs.add(c.Logs)
			sums[h][c.Unit] = logs
		}
	}
	for h, byUnit := range sums {
		e.trials[h].multiply(byUnit)
	}
}

// restart lets weight enter if it is time.
func (e *Evaluator) restart(now time.Time) {
	part := float64(now.Sub(e.cfg.Begin)) / float64(e.cfg.Horizon)
	part = math.Floor(max(0, min(part, 1))*restarts) / restarts
	due := firstWeight + (1-firstWeight)*part
	if due <= e.weight {
		return
	}
	for _, t := range e.trials {
		t.enter(due - e.weight)
	}
	e.weight = due
}

// meet makes room for a cell of an unknown unit or route.
func (e *Evaluator) meet(c Cell) {
	if !slices.Contains(e.routes, c.Route) && len(e.routes) < maxRoutes {
		e.routes = append(e.routes, c.Route)
	}
	for _, h := range e.hypotheses(c) {
		if e.trials[h] == nil {
			t := &trial{without: map[string]ratios{}}
			t.enter(e.weight)
			e.trials[h] = t
		}
	}
	if slices.Contains(e.units, c.Unit) {
		return
	}
	e.units = append(e.units, c.Unit)
}

// hypotheses returns the hypotheses that a cell bears on.
func (e *Evaluator) hypotheses(c Cell) []hypothesis {
	hs := []hypothesis{{metric: c.Metric}, {load: c.Load, metric: c.Metric}}
	if slices.Contains(e.routes, c.Route) {
		hs = append(hs, hypothesis{metric: c.Metric, route: c.Route})
	}
	return hs
}

// enter adds weight to all ratios.
func (t *trial) enter(weight float64) {
	for i := range t.all {
		t.all[i] += weight
	}
	for unit, r := range t.without {
		for i := range r {
			r[i] += weight
		}
		t.without[unit] = r
	}
}

// multiply takes over the evidence of several units.
func (t *trial) multiply(byUnit map[string]Logs) {
	var total Logs
	for unit, logs := range byUnit {
		total.add(logs)
		if _, ok := t.without[unit]; !ok {
			// Nothing came from the unit so far, so that leaving it out changes nothing.
			t.without[unit] = t.all
		}
	}
	t.all = t.all.times(total)
	for unit, r := range t.without {
		rest := total
		for i, v := range byUnit[unit] {
			rest[i] -= v
		}
		t.without[unit] = r.times(rest)
	}
}

func (r ratios) times(logs Logs) ratios {
	for i, v := range logs {
		r[i] = min(r[i]*math.Exp(min(v, maxLog)), maxRatio)
	}
	return r
}

// Judge returns the verdict on the evidence. Live are the units that the new
// version runs in. If there are several, the evidence must hold with any one of
// them left out, so that a bad host, link or failure domain does not reject a
// version.
func (e *Evaluator) Judge(live []string) Verdict {
	s := e.sum()
	v := Verdict{Finding: FindingFine, New: e.new, Old: e.old}
	if len(live) <= 1 && len(e.units) <= 1 {
		s.least = s.total
	}
	switch {
	case s.least >= 1/FalseAlarmRate:
		v.Finding = FindingBad
	case s.total >= 1/FalseAlarmRate && slices.Contains(live, s.unit):
		v.Finding = FindingSuspect
	case s.least >= cautionAt, s.total >= cautionAt && slices.Contains(live, s.unit):
		v.Finding = FindingCaution
	}
	v.Reason = s.text(len(live), e.new, e.old)
	return v
}

// summary is the evidence over all hypotheses.
type summary struct {
	// least is the evidence without the unit that it rests on most.
	least float64
	// main is the hypothesis with most of the evidence.
	main  hypothesis
	total float64
	unit  string
}

func (e *Evaluator) sum() summary {
	var s summary
	largest := 0.0
	without := map[string]float64{}
	for h, t := range e.trials {
		mean := h.weight() * t.all.mean()
		s.total += mean
		if mean > largest {
			largest = mean
			s.main = h
		}
		for _, unit := range e.units {
			r, ok := t.without[unit]
			if !ok {
				r = t.all
			}
			without[unit] += h.weight() * r.mean()
		}
	}
	s.least = s.total
	for _, unit := range e.units {
		if without[unit] < s.least {
			s.least = without[unit]
			s.unit = unit
		}
	}
	return s
}

func (s summary) text(live, newAttempts, oldAttempts int) string {
	if s.total == 0 {
		return fmt.Sprintf("nothing compared yet, from %d new and %d old attempts", newAttempts, oldAttempts)
	}
	text := fmt.Sprintf("%s: evidence %.3g of %.0f", s.main, s.total, 1/FalseAlarmRate)
	if s.unit != "" {
		text += fmt.Sprintf(", %.3g without %s", s.least, s.unit)
	}
	text += fmt.Sprintf(", from %d new and %d old attempts", newAttempts, oldAttempts)
	if live <= 1 {
		text += "; the new version runs on one endpoint only, whose fault can't be told from the version's"
	}
	return text
}

// weight returns the weight of a hypothesis among all.
func (h hypothesis) weight() float64 {
	weight := 1 / float64(len(Metrics))
	switch {
	case h.load != "":
		return weight * weightLoad / float64(len(LoadLevels))
	case h.route != "":
		return weight * weightRoute / maxRoutes
	default:
		return weight * weightAll
	}
}
