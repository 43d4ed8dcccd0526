package savorypinquarantine_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinquarantine"
)

// bench is a registry with a clock that the spec sets.
type bench struct {
	*savorypinquarantine.Registry
	changes   []savorypinquarantine.Change
	endpoints int
	now       time.Time
	rank      int
}

func newBench() *bench {
	b := &bench{now: time.Unix(1000, 0)}
	b.Registry = savorypinquarantine.New(savorypinquarantine.Config{
		Now:       func() time.Time { return b.now },
		OnVerdict: func(c savorypinquarantine.Change) { b.changes = append(b.changes, c) },
		Rank:      func(savorypinfleet.Subject) int { return b.rank },
	})
	return b
}

// parts returns the parts with the given IDs.
func parts(ids ...string) []savorypinfleet.Subject {
	var list []savorypinfleet.Subject
	for _, id := range ids {
		list = append(list, savorypinfleet.NewPromptPart(id))
	}
	return list
}

// endpoint returns an endpoint with a number.
func endpoint(n int) *savorypinfleet.Endpoint {
	return savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{ID: strconv.Itoa(n), Address: fmt.Sprintf("10.0.0.1:%d", n)})
}

// crash records that another endpoint crashed as it began an answer on the parts.
func (b *bench) crash(ids ...string) {
	b.endpoints++
	b.RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(b.endpoints), Subjects: parts(ids...)})
}

// pass lets time pass.
func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

// confined reports whether a part is in quarantine.
func (b *bench) confined(id string) bool { return b.Confined(parts(id)) != nil }

var _ = Describe("The quarantine", func() {
	for _, c := range []struct {
		name             string
		play             func(*bench)
		confined, atEase []string
	}{
		{
			"confines a part that crashes three endpoints, and not the part before it",
			func(b *bench) {
				for range 3 {
					b.crash("first", "poison")
					b.pass(time.Second)
				}
			},
			[]string{"poison"},
			[]string{"first"},
		},
		{
			"waits for a third crash",
			func(b *bench) {
				b.crash("poison")
				b.pass(time.Second)
				b.crash("poison")
			},
			nil,
			[]string{"poison"},
		},
		{
			// A lost failure domain, a power loss or a completed rollout ends many endpoints at once.
			"counts endpoints that end at the same moment once",
			func(b *bench) {
				for range 40 {
					b.crash("sound")
					b.pass(5 * time.Millisecond)
				}
			},
			nil,
			[]string{"sound"},
		},
		{
			"acquits a part on which an answer has begun between crashes",
			func(b *bench) {
				for range 20 {
					b.crash("sound")
					b.pass(time.Second)
					b.RecordBegin(parts("sound"))
					b.pass(5 * time.Second)
				}
			},
			nil,
			[]string{"sound"},
		},
		{
			"finds a part that begins to crash endpoints after answers on it",
			func(b *bench) {
				b.RecordBegin(parts("first", "turned"))
				b.pass(4 * time.Second)
				for range 5 {
					b.crash("first", "turned")
					b.pass(time.Second)
				}
			},
			[]string{"turned"},
			[]string{"first"},
		},
		{
			"finds two parts that share a first part on which answers begin at times",
			func(b *bench) {
				for i := range 8 {
					if i%3 == 0 {
						b.RecordBegin(parts("first", "other"))
					}
					b.crash("first", []string{"poison", "second poison"}[i%2])
					b.pass(300 * time.Millisecond)
				}
			},
			[]string{"poison", "second poison"},
			[]string{"first", "other"},
		},
		{
			"finds a part that is followed by another in each prompt",
			func(b *bench) {
				for i := range 5 {
					b.crash("first", "poison", "tail"+strconv.Itoa(i))
					b.RecordBegin(parts("first"))
					b.pass(time.Second)
				}
			},
			[]string{"poison"},
			[]string{"first", "tail0", "tail4"},
		},
		{
			// A hostile caller puts another caller's part into its own prompts that crash endpoints.
			"doesn't confine a part that others use, whatever it is sent with",
			func(b *bench) {
				for i := range 60 {
					b.crash("victim", "hostile"+strconv.Itoa(i))
					b.pass(time.Second)
					if i%2 == 0 {
						b.RecordBegin(parts("victim", "other"))
					}
				}
			},
			nil,
			[]string{"victim", "other"},
		},
		{
			"doesn't blame the parts that were at an endpoint together with a part in quarantine",
			func(b *bench) {
				for range 3 {
					b.crash("poison")
					b.pass(time.Second)
				}
				for range 5 {
					b.crash("bystander")
					b.RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(b.endpoints), Subjects: parts("poison")})
					b.pass(time.Second)
				}
			},
			[]string{"poison"},
			[]string{"bystander"},
		},
	} {
		It(c.name, func() {
			b := newBench()
			c.play(b)
			for _, id := range c.confined {
				Expect(b.confined(id)).To(BeTrue(), id)
			}
			for _, id := range c.atEase {
				Expect(b.confined(id)).To(BeFalse(), id)
			}
			Expect(b.Len()).To(Equal(len(c.confined)))
		})
	}

	It("lets a request whose part is suspect crash two endpoints", func() {
		b := newBench()
		b.crash("poison")
		b.pass(time.Second)
		Expect(b.MayCrashAnother(1, parts("poison"))).To(BeTrue())
		b.crash("poison")
		Expect(b.MayCrashAnother(2, parts("poison"))).To(BeFalse())
		Expect(b.MayCrashAnother(2, parts("sound"))).To(BeTrue())
	})
})

// confinedBench returns a registry with the part "poison" in quarantine.
func confinedBench() *bench {
	b := newBench()
	for range 3 {
		b.crash("poison")
		b.pass(time.Second)
	}
	Expect(b.confined("poison")).To(BeTrue())
	return b
}

var _ = Describe("A part in quarantine", func() {
	It("is refused until its probe, with the time until then", func() {
		b := confinedBench()
		probe, confinement := b.Admit(parts("first", "poison"))
		Expect(probe).To(BeNil())
		Expect(confinement.Subject).To(Equal(savorypinfleet.NewPromptPart("poison")))
		Expect(confinement.RetryAfter).To(Equal(29 * time.Second))
		_, confinement = b.Admit(parts("first"))
		Expect(confinement).To(BeNil())
	})

	It("is released when an answer on it begins", func() {
		b := confinedBench()
		b.pass(time.Minute)
		probe, confinement := b.Admit(parts("poison"))
		Expect(confinement).To(BeNil())
		_, second := b.Admit(parts("poison"))
		Expect(second).NotTo(BeNil(), "one probe at a time")
		b.RecordBegin(parts("poison"))
		probe.End()
		Expect(b.Len()).To(BeZero())
		Expect(b.changes[len(b.changes)-1].Released).To(BeTrue())
	})

	It("costs an endpoint for each probe, after times that grow", func() {
		b := confinedBench()
		begin := b.now
		var probes []time.Duration
		for b.now.Sub(begin) < 40*time.Minute {
			probe, confinement := b.Admit(parts("poison"))
			if confinement != nil {
				b.pass(time.Second)
				continue
			}
			probes = append(probes, b.now.Sub(begin))
			b.endpoints++
			b.RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(b.endpoints), Probe: true, Subjects: parts("poison")})
			probe.End()
		}
		Expect(probes).To(Equal([]time.Duration{29 * time.Second, 149 * time.Second, 629 * time.Second}))
	})

	It("that is blamed again after its release is probed as soon as the first time", func() {
		b := confinedBench()
		for range 3 {
			b.pass(10 * time.Minute)
			probe, confinement := b.Admit(parts("poison"))
			Expect(confinement).To(BeNil())
			b.RecordBegin(parts("poison"))
			probe.End()
			b.pass(5 * time.Minute)
			for range 3 {
				b.crash("poison")
				b.pass(time.Second)
			}
			_, confinement = b.Admit(parts("poison"))
			Expect(confinement.RetryAfter).To(Equal(29 * time.Second))
		}
	})

	It("may be probed again at once after a probe that showed nothing", func() {
		b := confinedBench()
		b.pass(time.Minute)
		probe, _ := b.Admit(parts("poison"))
		probe.End()
		probe, _ = b.Admit(parts("poison"))
		Expect(probe).NotTo(BeNil())
	})

	It("is probed by one gateway after the other", func() {
		b := confinedBench()
		b.rank = 3
		b.pass(30 * time.Second)
		_, confinement := b.Admit(parts("poison"))
		Expect(confinement).NotTo(BeNil())
		b.pass(12 * time.Second)
		probe, _ := b.Admit(parts("poison"))
		Expect(probe).NotTo(BeNil())
	})

	It("may be released by an operator", func() {
		b := confinedBench()
		Expect(b.Release(savorypinfleet.NewPromptPart("poison"))).To(BeTrue())
		Expect(b.confined("poison")).To(BeFalse())
		Expect(b.Release(savorypinfleet.NewPromptPart("poison"))).To(BeFalse())
	})

	It("stays so over a restart of all gateways", func() {
		b := confinedBench()
		later := newBench()
		later.pass(10 * time.Second)
		later.Load(b.Save())
		_, confinement := later.Admit(parts("poison"))
		Expect(confinement.RetryAfter).To(Equal(22 * time.Second))
	})
})

var _ = Describe("Reports on crashes", func() {
	It("add up over gateways that saw one crash each", func() {
		gateways := []*bench{newBench(), newBench(), newBench()}
		for i, g := range gateways {
			for _, other := range gateways {
				other.pass(time.Second)
			}
			g.endpoints = i
			g.crash("poison")
			for j, other := range gateways {
				if j != i {
					other.Apply(strconv.Itoa(i), g.Report(), 0)
				}
			}
		}
		for _, g := range gateways {
			Expect(g.confined("poison")).To(BeTrue())
		}
	})

	It("count a crash that several gateways report once", func() {
		b := newBench()
		for i := range 5 {
			other := newBench()
			other.crash("sound")
			b.pass(time.Second)
			b.Apply(strconv.Itoa(i), other.Report(), 0)
		}
		Expect(b.Suspicion(parts("sound"))).To(Equal(1))
	})

	It("acquit a part by the begins of other gateways, once for each begin", func() {
		a, b := newBench(), newBench()
		b.crash("sound")
		a.Apply("b", b.Report(), 0)
		a.pass(time.Second)
		b.pass(time.Second)
		a.RecordBegin(parts("sound"))
		report := a.Report()
		Expect(report.Begins).To(HaveLen(1))
		b.Apply("a", report, 0)
		Expect(b.Suspicion(parts("sound"))).To(BeZero())
		b.pass(time.Second)
		b.crash("sound")
		b.Apply("a", report, 0)
		Expect(b.Suspicion(parts("sound"))).To(Equal(0), "begun within the trust period")
		b.pass(4 * time.Second)
		b.crash("sound")
		b.Apply("a", report, 0)
		Expect(b.Suspicion(parts("sound"))).To(Equal(1))
	})

	It("carry verdicts to gateways that start later, and releases after them", func() {
		a, b := confinedBench(), newBench()
		verdict := a.Report()
		b.Apply("a", verdict, 0)
		Expect(b.confined("poison")).To(BeTrue())
		a.RecordBegin(parts("poison"))
		b.Apply("a", a.Report(), 0)
		Expect(b.confined("poison")).To(BeFalse())
		b.Apply("c", verdict, time.Second)
		Expect(b.confined("poison")).To(BeFalse(), "by an older report")
	})

	It("are empty while nothing crashes, and again some time after a verdict has ended", func() {
		b := newBench()
		b.RecordBegin(parts("sound"))
		Expect(b.Report().Empty()).To(BeTrue())
		b.crash("poison")
		b.pass(time.Minute)
		Expect(b.Report().Empty()).To(BeTrue())
		c := confinedBench()
		c.RecordBegin(parts("poison"))
		c.pass(2 * time.Hour)
		Expect(c.Report().Empty()).To(BeTrue())
	})

	It("stay within bounds, whatever the prompts are", func() {
		b := newBench()
		for i := range 600 {
			var ids []string
			for j := range 1000 {
				ids = append(ids, fmt.Sprintf("%x", i*1000+j))
			}
			b.crash(ids...)
			b.pass(10 * time.Millisecond)
			if i%100 == 0 {
				Expect(b.Report().Valid()).To(BeTrue())
			}
		}
		Expect(b.Report().Valid()).To(BeTrue())
		Expect(b.Len()).To(BeZero())
	})
})
