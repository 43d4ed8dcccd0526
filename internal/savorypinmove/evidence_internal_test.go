package savorypinmove

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("hypergeometricLogs", func() {
	It("has a mean of one under the null and less under smaller odds", func() {
		for _, tc := range []struct{ n1, n0, k int }{{1, 1, 1}, {1, 40, 2}, {16, 16, 8}, {30, 2, 11}} {
			for _, o := range []odds{errorOdds, latencyOdds} {
				for i := range Alternatives {
					atNull, below := 0.0, 0.0
					for k1 := max(0, tc.k-tc.n0); k1 <= min(tc.k, tc.n1); k1++ {
						ratio := math.Exp(hypergeometricLogs(tc.n1, tc.n0, tc.k, k1, o)[i])
						atNull += ratio * math.Exp(logNoncentral(tc.n1, tc.n0, tc.k, k1, o.null))
						below += ratio * math.Exp(logNoncentral(tc.n1, tc.n0, tc.k, k1, o.null/2))
					}
					Expect(atNull).To(BeNumerically("~", 1, 1e-9))
					Expect(below).To(BeNumerically("<=", 1+1e-9))
				}
			}
		}
	})
})

var _ = Describe("Evaluator", func() {
	// The naive twin tests the rates at one moment, but is asked at every moment.
	naive := func(failed, n [2]float64) bool {
		pooled := (failed[0] + failed[1]) / (n[0] + n[1])
		spread := math.Sqrt(pooled * (1 - pooled) * (1/n[0] + 1/n[1]))
		return spread > 0 && (failed[1]/n[1]-failed[0]/n[0])/spread > 2.75 // One in 335 at a single look.
	}

	It("raises no more false alarms than stated, though asked all the time", func() {
		const runs, blocks = 300, 150
		alarms, naiveAlarms := 0, 0
		for run := range runs {
			r := rand.New(rand.NewPCG(uint64(run), 7))
			now := time.Unix(0, 0)
			e := NewEvaluator(EvaluatorConfig{Begin: now, Horizon: blocks * time.Second})
			var failed, n [2]float64
			alarm, naiveAlarm := false, false
			for range blocks {
				now = now.Add(time.Second)
				g := group{unit: "u"}
				for i := range 32 {
					s := sample{failed: r.Float64() < 0.05, first: time.Duration(1e8 * math.Exp(r.NormFloat64()))}
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
					if logs, ok := g.compare(metric, [2]int{}); ok {
						evidence.Cells = append(evidence.Cells, Cell{Load: LoadLow, Logs: logs, Metric: metric, Unit: "u"})
					}
				}
				e.Add(now, evidence)
				alarm = alarm || e.Judge([]string{"u"}).Finding == FindingBad
				naiveAlarm = naiveAlarm || naive(failed, n)
			}
			if alarm {
				alarms++
			}
			if naiveAlarm {
				naiveAlarms++
			}
		}
		// Of 300 runs 0.9 are expected at most; 5 or more have a chance of 1 in 400.
		Expect(alarms).To(BeNumerically("<=", 4))
		Expect(naiveAlarms).To(BeNumerically(">", 4))
	})
})

var _ = Describe("Judge", func() {
	strong := Logs{40, 40, 40}
	for _, tc := range []struct {
		name  string
		units []string
		live  []string
		want  Finding
	}{
		{"evidence from one place of several", []string{"d1"}, []string{"d1", "d2"}, FindingSuspect},
		{"evidence from the only place", []string{"d1"}, []string{"d1"}, FindingBad},
		{"evidence from a place that is gone", []string{"d1"}, []string{"d2", "d3"}, FindingFine},
		{"evidence from two places", []string{"d1", "d2"}, []string{"d1", "d2", "d3"}, FindingBad},
		{"no evidence", nil, []string{"d1", "d2"}, FindingFine},
	} {
		It("weighs "+tc.name, func() {
			e := NewEvaluator(EvaluatorConfig{Begin: time.Unix(0, 0), Horizon: time.Minute})
			for _, unit := range tc.units {
				cell := Cell{Load: LoadLow, Logs: strong, Metric: MetricError, Route: "r", Unit: unit}
				e.Add(time.Unix(1, 0), Evidence{Cells: []Cell{cell}, New: 20, Old: 20})
			}
			Expect(e.Judge(tc.live).Finding).To(Equal(tc.want))
		})
	}
})
