package savorypinlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlimit"
)

// Parameters of the simulated overload: the capacity in tokens per second, the
// length of a request in tokens, and the maximum wait in the queue. Nine small
// organisations each demand less than their fair share, and the last of them has
// twice the weight. One large organisation demands the rest of the load.
const (
	overloadCapacity      = 10_000.0
	overloadRequestTokens = 100
	overloadMaxWait       = 1700 * time.Millisecond
)

// simulateOverload sends load times the capacity to one queue for a minute and
// returns, for each organisation, the ratio of what it received to its fair share.
// The maximum wait comes from Limiter.MaxWait, or is the same for all organisations
// if useMaxWait is false.
func simulateOverload(load float64, useMaxWait bool) []float64 {
	random := rand.New(rand.NewPCG(11, 11))
	now := time.Unix(1000, 0)
	limiter := savorypinlimit.NewLimiter(savorypinlimit.Config{Count: func(string, int64) {}, Now: func() time.Time { return now }})
	var parties []savorypinlimit.Party
	specs := map[string]savorypin.OrganisationSpec{}
	for i := range 10 {
		p := savorypinlimit.Party{Demand: 0.08 * overloadCapacity, Weight: 1}
		if i == 0 {
			p.Demand = (load - 9*0.08) * overloadCapacity
		}
		if i == 9 {
			p.Weight = 2
		}
		parties = append(parties, p)
		specs[fmt.Sprint(i)] = savorypin.OrganisationSpec{Weight: p.Weight}
	}
	limiter.Configure(specs)
	received := make([]float64, len(parties))
	queuedTokens := 0.0
	const step = time.Millisecond
	for t := time.Duration(0); t < time.Minute; t += step {
		now = now.Add(step)
		queuedTokens = max(0, queuedTokens-overloadCapacity*step.Seconds())
		if t%savorypinlimit.ExchangeInterval == 0 {
			limiter.Tick(1, func(string) string { return "" })
		}
		for i, p := range parties {
			if random.Float64() >= p.Demand/overloadRequestTokens*step.Seconds() {
				continue
			}
			a, _ := limiter.Admit(fmt.Sprint(i), 2*overloadRequestTokens)
			maxWait := overloadMaxWait
			if useMaxWait {
				maxWait = limiter.MaxWait(fmt.Sprint(i), overloadMaxWait)
			}
			if queuedTokens/overloadCapacity > maxWait.Seconds() {
				a.Cancel()
				continue
			}
			a.Release(overloadRequestTokens)
			queuedTokens += overloadRequestTokens
			received[i] += overloadRequestTokens / time.Minute.Seconds()
		}
	}
	shares, _ := savorypinlimit.MaxMin(overloadCapacity, parties)
	for i := range received {
		received[i] /= shares[i]
	}
	return received
}

// jain returns Jain's fairness index: 1 if all n values are equal, 1/n if all but
// one are zero (Jain, Chiu and Hawe, 1984).
func jain(values []float64) float64 {
	total, squares := 0.0, 0.0
	for _, v := range values {
		total += v
		squares += v * v
	}
	return total * total / (float64(len(values)) * squares)
}

var _ = Describe("Overload", func() {
	for _, load := range []float64{0.9, 1.2, 2, 5} {
		It(fmt.Sprintf("does not starve small organisations at a load of %v", load), func() {
			got := simulateOverload(load, true)
			for i, ratio := range got[1:] {
				Expect(ratio).To(BeNumerically(">=", 0.9), "organisation %d", i+1)
			}
			Expect(jain(got)).To(BeNumerically(">=", jain(simulateOverload(load, false))-0.01))
		})
	}
})

// BenchmarkFairness reports Jain's index and the ratios to the fair share of the
// worst served and of the large organisation, with Limiter.MaxWait and with the same
// maximum wait for all.
func BenchmarkFairness(b *testing.B) {
	for _, load := range []float64{0.9, 1.2, 2, 5} {
		for _, fair := range []bool{false, true} {
			b.Run(fmt.Sprintf("load=%v/fair=%t", load, fair), func(b *testing.B) {
				var got []float64
				for range b.N {
					got = simulateOverload(load, fair)
				}
				smallest := got[0]
				for _, v := range got {
					smallest = min(smallest, v)
				}
				b.ReportMetric(jain(got), "jain")
				b.ReportMetric(smallest, "least")
				b.ReportMetric(got[0], "large")
			})
		}
	}
}
