package savorypinfence_test

import (
	"errors"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypinfence"
)

var _ = Describe("Gate", func() {
	for _, tc := range []struct {
		name    string
		prepare func(*savorypinfence.Gate)
		want    error
	}{
		{"refuses all orders after a restart", func(*savorypinfence.Gate) {}, savorypinfence.ErrFenceUnknown},
		{"refuses an order with an old fencing number", func(g *savorypinfence.Gate) { g.RaiseFence(4) }, savorypinfence.ErrOldFence},
		{"refuses a second order while another is in progress", func(g *savorypinfence.Gate) {
			g.RaiseFence(1)
			_, _ = g.Begin("other", 3)
		}, savorypinfence.ErrBusy},
		{"passes on an order with a newer fencing number", func(g *savorypinfence.Gate) { g.RaiseFence(2) }, nil},
		{"passes on an order that failed before", func(g *savorypinfence.Gate) {
			g.RaiseFence(3)
			_, _ = g.Begin("load", 3)
			g.End("load", errors.New("engine refused"))
		}, nil},
	} {
		It(tc.name, func() {
			gate := savorypinfence.NewGate()
			tc.prepare(gate)
			_, err := gate.Begin("load", 3)
			if tc.want == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(tc.want))
		})
	}

	It("doesn't pass on an order again that has succeeded", func() {
		gate := savorypinfence.NewGate()
		gate.RaiseFence(1)
		Expect(gate.Begin("load", 1)).To(Equal(savorypinfence.DecisionPass))
		gate.End("load", nil)
		Expect(gate.Begin("load", 1)).To(Equal(savorypinfence.DecisionSkip))
	})

	// The endpoint doesn't check the fencing number. The agent must therefore refuse an order
	// of an old controller that arrives late because the controller or the agent was paused,
	// also after a restart of the agent.
	It("never passes on a lower fencing number after a higher one, also after restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			gate := savorypinfence.NewGate()
			var newest, lastPassed int64 = 1, 0
			for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0:
					newest++
				case 1:
					gate = savorypinfence.NewGate()
				case 2:
					gate.RaiseFence(newest)
				default:
					fence := rapid.Int64Range(1, newest).Draw(t, "fence")
					name := fmt.Sprint(i)
					if decision, err := gate.Begin(name, fence); err == nil && decision == savorypinfence.DecisionPass {
						if fence < lastPassed {
							t.Fatalf("order with fencing number %d was passed on after %d", fence, lastPassed)
						}
						lastPassed = fence
						gate.End(name, nil)
					}
				}
			}
		})
	})
})
