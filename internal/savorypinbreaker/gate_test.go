package savorypinbreaker_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinbreaker"
)

const (
	objectKinds = 3
	readers     = 2
	// step is the interval at which the simulated gateways call the store.
	step = 50 * time.Millisecond
)

// simulateOutage simulates gateways that call a store for several kinds of objects
// while it is down. It returns the number of calls, and the time from the recovery
// of the store to the first successful call of a reader.
func simulateOutage(gateways int, down time.Duration) (calls int, detectionDelay time.Duration) {
	gates := make([]*savorypinbreaker.Gate, gateways)
	for i := range gates {
		gates[i] = savorypinbreaker.New()
	}
	for now := step; ; now += step {
		for i, gate := range gates {
			for range objectKinds {
				if !gate.Allow(now, 0, i < readers) {
					continue
				}
				if now > down {
					if i < readers {
						return calls, now - down
					}
					gate.RecordSuccess()
					continue
				}
				calls++
				gate.RecordFailure(now, gateways)
			}
		}
	}
}

var _ = Describe("Gate", func() {
	for _, gateways := range []int{4, 22, 320} {
		It(fmt.Sprintf("allows a few calls a second of %d gateways to a store that is down", gateways), func() {
			const seconds = 30
			calls, detectionDelay := simulateOutage(gateways, seconds*time.Second)
			// Each gateway makes a few attempts before its pauses have grown; the
			// readers make at most three a second.
			initialCalls := gateways * 8
			Expect(calls).To(BeNumerically("<=", initialCalls+readers*3*seconds+4*seconds))
			Expect(detectionDelay).To(BeNumerically("<=", time.Second))
		})
	}

	It("allows one call at a time after a failure", func() {
		gate := savorypinbreaker.New()
		Expect(gate.Allow(0, 0, true)).To(BeTrue())
		gate.RecordFailure(0, 1)
		Expect(gate.Failing()).To(BeTrue())
		Expect(gate.Allow(time.Second, 0, true)).To(BeTrue())
		Expect(gate.Allow(time.Second, 0, true)).To(BeFalse())
		gate.RecordSuccess()
		Expect(gate.Allow(time.Second, 0, true)).To(BeTrue())
		Expect(gate.Allow(time.Second, 0, true)).To(BeTrue())
	})

	It("applies the shorter pause to a gateway that becomes a reader", func() {
		gate := savorypinbreaker.New()
		now := time.Duration(0)
		for range 10 {
			gate.RecordFailure(now, 320)
		}
		now += time.Second
		Expect(gate.Allow(now, 0, false)).To(BeFalse())
		Expect(gate.Allow(now, 0, true)).To(BeTrue())
	})

	It("allows calls at once when the store has answered another gateway", func() {
		gate := savorypinbreaker.New()
		gate.RecordFailure(time.Second, 100)
		Expect(gate.Allow(time.Second, 0, false)).To(BeFalse())
		Expect(gate.Allow(time.Second, 1100*time.Millisecond, false)).To(BeTrue())
		Expect(gate.Failing()).To(BeFalse())
	})
})
