package savorypinoutage_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinoutage"
)

const (
	kinds   = 3
	readers = 2
	// slice is the step of the simulated time.
	slice = 50 * time.Millisecond
)

// outage lets gateways call a store that fails for a time, each for several kinds
// of objects, and returns the number of calls and how long after the store's
// return a reader noticed it.
func outage(gateways int, down time.Duration) (calls int, noticed time.Duration) {
	gates := make([]*savorypinoutage.Gate, gateways)
	for i := range gates {
		gates[i] = savorypinoutage.New()
	}
	for now := slice; ; now += slice {
		for i, gate := range gates {
			for range kinds {
				if !gate.Enter(now, 0, i < readers) {
					continue
				}
				if now > down {
					if i < readers {
						return calls, now - down
					}
					gate.Succeeded()
					continue
				}
				calls++
				gate.Failed(now, gateways)
			}
		}
	}
}

var _ = Describe("A store that fails", func() {
	for _, gateways := range []int{4, 22, 320} {
		It(fmt.Sprintf("is tried a few times a second by %d gateways", gateways), func() {
			const seconds = 30
			calls, noticed := outage(gateways, seconds*time.Second)
			// Each gateway tries a few times before its pauses have grown, and the
			// readers each third of a second at the most.
			first := gateways * 8
			Expect(calls).To(BeNumerically("<=", first+readers*3*seconds+4*seconds))
			Expect(noticed).To(BeNumerically("<=", time.Second))
		})
	}

	It("is tried by one call at a time", func() {
		gate := savorypinoutage.New()
		Expect(gate.Enter(0, 0, true)).To(BeTrue())
		gate.Failed(0, 1)
		Expect(gate.Failing()).To(BeTrue())
		Expect(gate.Enter(time.Second, 0, true)).To(BeTrue())
		Expect(gate.Enter(time.Second, 0, true)).To(BeFalse())
		gate.Succeeded()
		Expect(gate.Enter(time.Second, 0, true)).To(BeTrue())
		Expect(gate.Enter(time.Second, 0, true)).To(BeTrue())
	})

	It("is tried often by a gateway that has come to read for all", func() {
		gate := savorypinoutage.New()
		now := time.Duration(0)
		for range 10 {
			gate.Failed(now, 320)
		}
		now += time.Second
		Expect(gate.Enter(now, 0, false)).To(BeFalse())
		Expect(gate.Enter(now, 0, true)).To(BeTrue())
	})

	It("is called again at once when another gateway has had its answer", func() {
		gate := savorypinoutage.New()
		gate.Failed(time.Second, 100)
		Expect(gate.Enter(time.Second, 0, false)).To(BeFalse())
		Expect(gate.Enter(time.Second, 1100*time.Millisecond, false)).To(BeTrue())
		Expect(gate.Failing()).To(BeFalse())
	})
})
