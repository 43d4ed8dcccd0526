package savorypinfleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
)

func endpoint(id, address string, started int64) *savorypinfleet.Endpoint {
	return savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{
		Address: address, ID: id, Service: "s", Started: time.UnixMilli(started),
	})
}

var _ = Describe("The directory of endpoints", func() {
	It("assigns an address to the incarnation that started last", func() {
		d := savorypinfleet.NewDirectory([]*savorypinfleet.Endpoint{endpoint("new", "x", 2), endpoint("old", "x", 1)})
		Expect(d.Len()).To(Equal(1))
		Expect(d.Endpoint("old")).To(BeNil())
		Expect(d.Service("s")[0].ID()).To(Equal("new"))
	})

	It("distinguishes incarnations with the same ID", func() {
		old := savorypinfleet.NewDirectory([]*savorypinfleet.Endpoint{endpoint("a", "x", 1), endpoint("b", "y", 1), endpoint("c", "z", 1)})
		next := savorypinfleet.NewDirectory([]*savorypinfleet.Endpoint{endpoint("a", "x", 2), endpoint("b", "y", 1), endpoint("d", "z", 2)})
		Expect(next.Has(old.Endpoint("a"))).To(BeFalse())
		Expect(next.Has(old.Endpoint("b"))).To(BeTrue())
		Expect(old.Difference(next)).To(ConsistOf(old.Endpoint("a"), old.Endpoint("c")))
		Expect(next.Restarted(old)).To(ConsistOf(next.Endpoint("a"), next.Endpoint("d")))
	})
})
