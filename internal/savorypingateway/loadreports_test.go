package savorypingateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The load reports of other gateways", func() {
	It("are as old as their composition, until their gateway is lost", func() {
		now := time.Unix(1000, 0)
		r := newLoadReports(func() time.Time { return now })
		_, ok := r.age("a")
		Expect(ok).To(BeFalse())
		r.record("a", 300*time.Millisecond)
		r.record("b", 0)
		now = now.Add(time.Second)
		age, ok := r.age("a")
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(1300 * time.Millisecond))
		r.retain(map[string]bool{"b": true})
		_, ok = r.age("a")
		Expect(ok).To(BeFalse())
		age, _ = r.age("b")
		Expect(age).To(Equal(time.Second))
	})
})
