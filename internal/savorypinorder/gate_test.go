package savorypinorder_test

import (
	"errors"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypinorder"
)

var _ = Describe("Gate", func() {
	for _, tc := range []struct {
		name    string
		prepare func(*savorypinorder.Gate)
		want    error
	}{
		{"refuses all orders after a restart", func(*savorypinorder.Gate) {}, savorypinorder.ErrFenceUnknown},
		{"refuses an old number", func(g *savorypinorder.Gate) { g.Learn(4) }, savorypinorder.ErrOldFence},
		{"refuses a second order", func(g *savorypinorder.Gate) {
			g.Learn(1)
			_, _ = g.Begin("other", 3)
		}, savorypinorder.ErrBusy},
		{"passes an order with a newer number", func(g *savorypinorder.Gate) { g.Learn(2) }, nil},
		{"passes an order that failed before", func(g *savorypinorder.Gate) {
			g.Learn(3)
			_, _ = g.Begin("load", 3)
			g.End("load", errors.New("engine refused"))
		}, nil},
	} {
		It(tc.name, func() {
			gate := savorypinorder.NewGate()
			tc.prepare(gate)
			_, err := gate.Begin("load", 3)
			if tc.want == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(tc.want))
		})
	}

	It("repeats an order that was carried out", func() {
		gate := savorypinorder.NewGate()
		gate.Learn(1)
		Expect(gate.Begin("load", 1)).To(Equal(savorypinorder.DecisionPass))
		gate.End("load", nil)
		Expect(gate.Begin("load", 1)).To(Equal(savorypinorder.DecisionRepeat))
	})

	It("never lets an old number reach an endpoint that doesn't check, through restarts and pauses", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			gate := savorypinorder.NewGate()
			var current, reached int64 = 1, 0
			for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0:
					current++
				case 1:
					gate = savorypinorder.NewGate()
				case 2:
					gate.Learn(current)
				default:
					fence := rapid.Int64Range(1, current).Draw(t, "fence")
					name := fmt.Sprint(i)
					if decision, err := gate.Begin(name, fence); err == nil && decision == savorypinorder.DecisionPass {
						if fence < reached {
							t.Fatalf("number %d reached the endpoint after %d", fence, reached)
						}
						reached = fence
						gate.End(name, nil)
					}
				}
			}
		})
	})
})
