package savorypinquarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A preview", func() {
	// Guards against a preview that differs from the decision, or takes the place of a probe.
	It("of a part in quarantine tells whether it would be a probe, and probes nothing", func() {
		b := confinedBench()
		_, admitted := b.Admit(parts("poison"))
		probe, confinement := b.Preview(parts("first", "poison"))
		Expect(probe).To(BeFalse())
		Expect(confinement).To(Equal(admitted))
		b.pass(time.Minute)
		for range 2 {
			probe, confinement = b.Preview(parts("poison"))
			Expect(probe).To(BeTrue())
			Expect(confinement).To(BeNil())
		}
		b.Admit(parts("poison"))
		probe, confinement = b.Preview(parts("poison"))
		Expect(probe).To(BeFalse())
		Expect(confinement).NotTo(BeNil())
	})

	// Guards against a preview that differs from the decision, or keeps a request from being sent.
	It("of a suspect request tells whether it would be sent, and isolates nothing", func() {
		spare, noSpare := func() bool { return true }, func() bool { return false }
		whole := request("poison")[0]
		b := newBench()
		Expect(b.MayIsolate("ledger", whole, noSpare)).To(BeTrue())
		b.crashUnder(request("poison"))
		Expect(b.MayIsolate("ledger", whole, noSpare)).To(BeFalse())
		b.crashUnder(request("poison"))
		for range 2 {
			Expect(b.MayIsolate("ledger", whole, spare)).To(BeTrue())
		}
		isolation, ok := b.Isolate("ledger", whole, spare)
		Expect(ok).To(BeTrue())
		Expect(b.MayIsolate("ledger", whole, spare)).To(BeFalse())
		isolation.End()
		Expect(b.MayIsolate("ledger", whole, spare)).To(BeTrue())
	})
})
