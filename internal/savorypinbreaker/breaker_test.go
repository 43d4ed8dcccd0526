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
// during an outage. It returns the number of calls, and the time from the recovery of
// the store to the first successful call of a reader.
func simulateOutage(gateways int, outage time.Duration) (calls int, detectionDelay time.Duration) {
	breakers := make([]*savorypinbreaker.Breaker, gateways)
	for i := range breakers {
		breakers[i] = savorypinbreaker.New()
	}
	for now := step; ; now += step {
		for i, breaker := range breakers {
			for range objectKinds {
				if !breaker.Allow(now, 0, i < readers) {
					continue
				}
				if now > outage {
					if i < readers {
						return calls, now - outage
					}
					breaker.RecordSuccess()
					continue
				}
				calls++
				breaker.RecordFailure(now, gateways)
			}
		}
	}
}

var _ = Describe("Breaker", func() {
	for _, gateways := range []int{4, 22, 320} {
		It(fmt.Sprintf("limits %d gateways to a few calls a second while the store is down", gateways), func() {
			const seconds = 30
			calls, detectionDelay := simulateOutage(gateways, seconds*time.Second)
			// This allows 8 calls of each gateway before its pauses have grown, and
			// then 3 calls a second of each reader and 4 a second of all other
			// gateways together.
			initialCalls := gateways * 8
			Expect(calls).To(BeNumerically("<=", initialCalls+readers*3*seconds+4*seconds))
			Expect(detectionDelay).To(BeNumerically("<=", time.Second))
		})
	}

	It("allows one call at a time after a failure", func() {
		breaker := savorypinbreaker.New()
		Expect(breaker.Allow(0, 0, true)).To(BeTrue())
		breaker.RecordFailure(0, 1)
		Expect(breaker.Failing()).To(BeTrue())
		Expect(breaker.Allow(time.Second, 0, true)).To(BeTrue())
		Expect(breaker.Allow(time.Second, 0, true)).To(BeFalse())
		breaker.RecordSuccess()
		Expect(breaker.Allow(time.Second, 0, true)).To(BeTrue())
		Expect(breaker.Allow(time.Second, 0, true)).To(BeTrue())
	})

	It("applies the shorter pause to a gateway that becomes a reader", func() {
		breaker := savorypinbreaker.New()
		now := time.Duration(0)
		for range 10 {
			breaker.RecordFailure(now, 320)
		}
		now += time.Second
		Expect(breaker.Allow(now, 0, false)).To(BeFalse())
		Expect(breaker.Allow(now, 0, true)).To(BeTrue())
	})

	It("allows calls without a pause once the store has answered another gateway", func() {
		breaker := savorypinbreaker.New()
		breaker.RecordFailure(time.Second, 100)
		Expect(breaker.Allow(time.Second, 0, false)).To(BeFalse())
		Expect(breaker.Allow(time.Second, 1100*time.Millisecond, false)).To(BeTrue())
		Expect(breaker.Failing()).To(BeFalse())
	})
})
