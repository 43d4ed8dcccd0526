package savorypinmove

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("hypergeometricLogRatios", func() {
	It("returns likelihood ratios with a mean of 1 at the null odds ratio and at most 1 at a smaller one", func() {
		for _, tc := range []struct{ n1, n0, k int }{{1, 1, 1}, {1, 40, 2}, {16, 16, 8}, {30, 2, 11}} {
			for _, o := range []oddsHypotheses{errorHypotheses, latencyHypotheses} {
				for i := range Alternatives {
					atNull, below := 0.0, 0.0
					for k1 := max(0, tc.k-tc.n0); k1 <= min(tc.k, tc.n1); k1++ {
						ratio := math.Exp(hypergeometricLogRatios(tc.n1, tc.n0, tc.k, k1, o)[i])
						atNull += ratio * math.Exp(logNoncentralProbability(tc.n1, tc.n0, tc.k, k1, o.nullRatio))
						below += ratio * math.Exp(logNoncentralProbability(tc.n1, tc.n0, tc.k, k1, o.nullRatio/2))
					}
					Expect(atNull).To(BeNumerically("~", 1, 1e-9))
					Expect(below).To(BeNumerically("<=", 1+1e-9))
				}
			}
		}
	})
})

var _ = Describe("Evaluator", func() {
	// zTest is a two-proportion z-test. Its error rate holds for a single look at the
	// data, but it is evaluated after every block.
	zTest := func(failed, n [2]float64) bool {
		pooled := (failed[0] + failed[1]) / (n[0] + n[1])
		spread := math.Sqrt(pooled * (1 - pooled) * (1/n[0] + 1/n[1]))
		return spread > 0 && (failed[1]/n[1]-failed[0]/n[0])/spread > 2.75 // A probability of 1 in 335 for a single look.
	}

	It("keeps FalseAlarmRate when evaluated after every block", func() {
		const runs, blocks = 300, 150
		alarms, zTestAlarms := 0, 0
		for run := range runs {
			r := rand.New(rand.NewPCG(uint64(run), 7))
			now := time.Unix(0, 0)
			e := NewEvaluator(EvaluatorConfig{Begin: now, Horizon: blocks * time.Second})
			var failed, n [2]float64
			alarm, zTestAlarm := false, false
			for range blocks {
				now = now.Add(time.Second)
				g := group{unit: "u"}
				for i := range 32 {
					s := sample{failed: r.Float64() < 0.05, firstToken: time.Duration(1e8 * math.Exp(r.NormFloat64()))}
					side := i % 2
					n[side]++
					if s.failed {
						failed[side]++
					}
					if side == sideNew {
						g.new = append(g.new, s)
					} else {
						g.old = append(g.old, s)
					}
				}
				evidence := Evidence{New: 16, Old: 16}
				for _, metric := range Metrics {
					if logs, ok := g.logRatios(metric, [2]int{}); ok {
						evidence.Cells = append(evidence.Cells, Cell{Load: LoadLow, Logs: logs, Metric: metric, Unit: "u"})
					}
				}
				e.Add(now, evidence)
				alarm = alarm || e.Judge([]string{"u"}).Finding == FindingBad
				zTestAlarm = zTestAlarm || zTest(failed, n)
			}
			if alarm {
				alarms++
			}
			if zTestAlarm {
				zTestAlarms++
			}
		}
		// At most 0.9 of 300 runs are expected to raise a false alarm; the probability
		// of 5 or more is 1 in 400.
		Expect(alarms).To(BeNumerically("<=", 4))
		Expect(zTestAlarms).To(BeNumerically(">", 4))
	})
})

var _ = Describe("Judge", func() {
	strong := LogRatios{40, 40, 40}
	for _, tc := range []struct {
		name         string
		units        []string
		servingUnits []string
		want         Finding
	}{
		{"evidence from one unit of several", []string{"d1"}, []string{"d1", "d2"}, FindingSuspect},
		{"evidence from the only unit", []string{"d1"}, []string{"d1"}, FindingBad},
		{"evidence from a unit that no longer serves the version", []string{"d1"}, []string{"d2", "d3"}, FindingFine},
		{"evidence from two units", []string{"d1", "d2"}, []string{"d1", "d2", "d3"}, FindingBad},
		{"no evidence", nil, []string{"d1", "d2"}, FindingFine},
	} {
		It("judges "+tc.name, func() {
			e := NewEvaluator(EvaluatorConfig{Begin: time.Unix(0, 0), Horizon: time.Minute})
			for _, unit := range tc.units {
				cell := Cell{Load: LoadLow, Logs: strong, Metric: MetricError, Route: "r", Unit: unit}
				e.Add(time.Unix(1, 0), Evidence{Cells: []Cell{cell}, New: 20, Old: 20})
			}
			Expect(e.Judge(tc.servingUnits).Finding).To(Equal(tc.want))
		})
	}
})
