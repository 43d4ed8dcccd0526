package savorypinhazard_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinhazard"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// failure is a failure of a domain at a time in seconds after start.
type failure struct {
	at     float64
	domain string
}

var _ = Describe("Failure domains that fail one after the other", func() {
	rotation := []failure{{4.5, "a"}, {11, "b"}, {17, "c"}, {24, "a"}}
	span := 6500 * time.Millisecond

	cases := []struct {
		name     string
		failures []failure
		now      float64
		// riskiest and safest are the domains with the highest and the lowest risk.
		riskiest, safest string
	}{
		{name: "the domain that failed longest ago is next", failures: rotation, now: 24.5, riskiest: "b", safest: "a"},
		{name: "a domain that has never failed is next", failures: rotation[:2], now: 11.5, riskiest: "c", safest: "b"},
		{
			name:     "the same domain is next if no other has failed",
			failures: []failure{{5, "a"}, {11, "a"}, {17, "a"}, {23, "a"}, {29, "a"}, {35, "a"}},
			now:      36, riskiest: "a", safest: "b",
		},
	}
	for _, c := range cases {
		It("predicts that "+c.name, func() {
			e := savorypinhazard.New([]string{"c", "b", "a"})
			for _, f := range c.failures {
				e.Record(f.domain, at(f.at))
			}
			for _, domain := range []string{"a", "b", "c"} {
				Expect(e.Risk(c.riskiest, at(c.now), span)).To(BeNumerically(">=", e.Risk(domain, at(c.now), span)))
				Expect(e.Risk(c.safest, at(c.now), span)).To(BeNumerically("<=", e.Risk(domain, at(c.now), span)))
			}
			Expect(e.Risk(c.riskiest, at(c.now), span)).To(BeNumerically(">", 2*e.Risk(c.safest, at(c.now), span)))
		})
	}

	It("learns from four failures that they fail in the order of the deployment's list, its reverse or a fixed step", func() {
		listed := []string{"f", "b", "a", "e", "c", "d"}
		for _, step := range []int{1, 5, 2} {
			e := savorypinhazard.New(listed)
			for i := range 4 {
				e.Record(listed[(2+i*step)%len(listed)], at(5+6*float64(i)))
			}
			next := listed[(2+4*step)%len(listed)]
			risk := e.Risk(next, at(24), span)
			for _, domain := range listed {
				if domain != next {
					Expect(risk).To(BeNumerically(">", 3*e.Risk(domain, at(24), span)), "step %d: %s", step, domain)
				}
			}
		}
	})

	It("predicts the domain that has never failed if the others failed in no regular order", func() {
		e := savorypinhazard.New([]string{"a", "b", "c", "d", "e", "f"})
		// The step predictor must not take failures without a regular order for a regular
		// one: on its own, it would expect e. That d is the only domain that was never hit
		// is enough to expect it next.
		for i, domain := range []string{"c", "f", "a", "e", "b"} {
			e.Record(domain, at(5+6*float64(i)))
		}
		for _, domain := range []string{"a", "b", "c", "e", "f"} {
			Expect(e.Risk("d", at(30), span)).To(BeNumerically(">", e.Risk(domain, at(30), span)))
		}
	})

	It("returns a valid risk if all domains failed at the same time", func() {
		e := savorypinhazard.New([]string{"a", "b", "c"})
		for _, domain := range []string{"a", "b", "c"} {
			e.Record(domain, at(5))
		}
		Expect(e.Risk("a", at(6), span)).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1)))
	})

	It("returns no risk before the first failure and long after the last", func() {
		e := savorypinhazard.New([]string{"a", "b", "c"})
		Expect(e.Risk("a", at(0), span)).To(BeZero())
		for _, f := range rotation {
			e.Record(f.domain, at(f.at))
		}
		Expect(e.Risk("b", at(60), span)).To(BeZero())
	})

	It("gives the same estimate for failures recorded in any order", func() {
		inOrder, reversed := savorypinhazard.New([]string{"a", "b", "c"}), savorypinhazard.New([]string{"a", "b", "c"})
		for i := range rotation {
			inOrder.Record(rotation[i].domain, at(rotation[i].at))
			late := rotation[len(rotation)-1-i]
			reversed.Record(late.domain, at(late.at))
		}
		Expect(reversed.Failures()).To(Equal(inOrder.Failures()))
		for _, domain := range []string{"a", "b", "c"} {
			Expect(reversed.Risk(domain, at(25), span)).To(Equal(inOrder.Risk(domain, at(25), span)))
		}
	})

	It("counts failures of a domain in quick succession once and ignores unknown domains", func() {
		e := savorypinhazard.New([]string{"a", "b"})
		Expect(e.Record("a", at(1))).To(BeTrue())
		Expect(e.Record("a", at(1.3))).To(BeFalse())
		Expect(e.Record("unknown", at(2))).To(BeFalse())
	})
})
