package savorypinpick_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinpick"
)

// scoreOf returns the score of a term of the comparison of an endpoint, by its index in a fleet.
func scoreOf(f *fleet, x savorypinpick.Explanation, endpoint int, name savorypinpick.TermName) float64 {
	for _, c := range x.Compared {
		if c.Endpoint != f.endpoints[endpoint] {
			continue
		}
		for _, t := range c.Terms() {
			if t.Name == name {
				return t.Score
			}
		}
	}
	return math.NaN()
}

var _ = Describe("The explanation of a choice", func() {
	// These guard against an explanation that differs from the decision.
	for _, c := range []struct {
		name  string
		query savorypinpick.Query
	}{
		{"of a stream", savorypinpick.Query{}},
		{"of a stream that fits nowhere in its sample", savorypinpick.Query{MemoryTokens: 10000, ReserveTokens: 9000}},
		{"of a plain request", savorypinpick.Query{Plain: true}},
	} {
		It(c.name+" names the endpoint that is chosen, and its terms add up to the score", func() {
			f := newFleetOfGateways(100)
			for i, e := range f.endpoints {
				w := f.picker.Begin(e, nil, (i+1)*1000)
				w.Reserve(9000)
				f.now = f.now.Add(time.Duration(i+1) * time.Millisecond)
				w.RecordAnswer(i == 2)
			}
			f.picker.MarkFailed(f.endpoints[5])
			for prompt := range 50 {
				q := c.query
				q.Candidates, q.PromptID, q.PromptTokens = f.endpoints, fmt.Sprint(prompt), promptTokens
				x := f.picker.Explain(q)
				Expect(x.Chosen).To(Equal(f.picker.Choose(q)))
				for _, compared := range x.Compared {
					sum := 0.0
					for _, t := range compared.Terms() {
						sum += t.Score
					}
					Expect(sum).To(BeNumerically("~", compared.Score, 1e-3))
				}
			}
		})
	}

	It("shows the cause of each term of a stream's score", func() {
		f := newFleet()
		f.picker.Begin(f.endpoints[0], nil, 3000).Reserve(80000)
		f.picker.RecordPromptCached(f.endpoints[1], "prompt")
		f.picker.MarkFailed(f.endpoints[2])
		q := f.query()
		q.PromptID, q.MemoryTokens, q.ReserveTokens = "prompt", 88000, 9000
		x := f.picker.Explain(q)
		Expect(scoreOf(f, x, 0, savorypinpick.TermWaitingTokens)).To(Equal(3000.0))
		Expect(scoreOf(f, x, 0, savorypinpick.TermRunningRequests)).To(Equal(400.0))
		Expect(scoreOf(f, x, 0, savorypinpick.TermOvercommittedMemory)).To(Equal(10000.0))
		Expect(scoreOf(f, x, 1, savorypinpick.TermCachedPrompt)).To(Equal(-16000.0))
		Expect(scoreOf(f, x, 5, savorypinpick.TermRegion)).To(Equal(1000.0))
		Expect(scoreOf(f, x, 5, savorypinpick.TermSuspicion)).To(BeZero())
	})

	It("shows among which equal endpoints a plain request is drawn", func() {
		f := newFleet()
		q := f.query()
		q.Plain = true
		x := f.picker.Explain(q)
		Expect(x.Tied).To(HaveLen(4))
		Expect(x.Tied).To(ContainElement(x.Chosen))
		Expect(scoreOf(f, x, 2, savorypinpick.TermRegion)).To(Equal(25e6))
	})

	It("tells that the sample of a stream with an unknown prompt is random", func() {
		f := newFleetOfGateways(100)
		Expect(f.picker.Explain(f.query()).RandomSample).To(BeTrue())
		q := f.query()
		q.PromptID = "prompt"
		Expect(f.picker.Explain(q).RandomSample).To(BeFalse())
	})
})
