package savorypingateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
)

var _ = Describe("Abandoned attempts", func() {
	endpoint := func(id string) *savorypinfleet.Endpoint {
		return savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{ID: id})
	}
	one, two := endpoint("1"), endpoint("2")
	start := time.Unix(1000, 0)

	It("are taken once, by the incarnation of their endpoint", func() {
		var s abandonedAttempts
		Expect(s.empty()).To(BeTrue())
		Expect(s.add(crash{endpoint: one, id: "r1"}, start)).To(BeTrue())
		Expect(s.add(crash{endpoint: one, id: "r2"}, start)).To(BeFalse())
		Expect(s.add(crash{endpoint: two, id: "r3"}, start)).To(BeTrue())
		taken := s.take(one.IncarnationHash(), start.Add(time.Second))
		Expect(taken).To(HaveLen(2))
		Expect(taken[0].id).To(Equal("r1"))
		Expect(s.take(one.IncarnationHash(), start)).To(BeEmpty())
		Expect(s.empty()).To(BeFalse())
	})

	It("are dropped when they are old or too many", func() {
		var s abandonedAttempts
		s.add(crash{endpoint: one, id: "old"}, start)
		for range maxAbandoned {
			s.add(crash{endpoint: two}, start.Add(time.Second))
		}
		Expect(s.attempts).To(HaveLen(maxAbandoned))
		Expect(s.take(one.IncarnationHash(), start.Add(time.Second))).To(BeEmpty())
		s.add(crash{endpoint: one}, start.Add(time.Minute))
		Expect(s.attempts).To(HaveLen(1))
		Expect(s.take(one.IncarnationHash(), start.Add(2*time.Minute))).To(BeEmpty())
	})
})
