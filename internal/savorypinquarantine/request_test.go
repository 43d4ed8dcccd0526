package savorypinquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinquarantine"
)

// request returns the subjects of a request with a body and a prompt with the given parts.
func request(body string, ids ...string) []savorypinfleet.Subject {
	call := &savorypinfleet.Call{Body: []byte(body), PromptParts: parts(ids...)}
	return append(parts(ids...), savorypinfleet.NewRequest("ledger", "shops", call))
}

// crashUnder records that another endpoint crashed while it had the requests.
func (b *bench) crashUnder(requests ...[]savorypinfleet.Subject) {
	b.endpoints++
	for _, subjects := range requests {
		b.RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(b.endpoints), Subjects: subjects})
	}
	b.pass(150 * time.Millisecond)
}

// confinedRequest reports whether a request itself is in quarantine.
func (b *bench) confinedRequest(subjects []savorypinfleet.Subject) bool {
	return b.Confined(subjects[len(subjects)-1:]) != nil
}

var _ = Describe("The quarantine of requests", func() {
	poison := request("poison", "first", "shared")
	for _, c := range []struct {
		name string
		play func(*bench)
		// requests and parts are in quarantine afterwards, and no others.
		requests [][]savorypinfleet.Subject
		parts    []string
	}{
		{
			"confines a request that crashes three endpoints one after the other, and none of its parts",
			func(b *bench) {
				for range 3 {
					b.crashUnder(poison)
				}
			},
			[][]savorypinfleet.Subject{poison},
			nil,
		},
		{
			"confines a request that crashes three endpoints within a few milliseconds, if it was sent to one after the other",
			func(b *bench) {
				for i := range 3 {
					b.RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(i), Sequel: i > 0, Subjects: poison})
					b.pass(15 * time.Millisecond)
				}
			},
			[][]savorypinfleet.Subject{poison},
			nil,
		},
		{
			// Guards against the refusal of a request of which many copies come, since all endpoints of
			// its service ended for another reason.
			"doesn't blame a request whose copies were at endpoints that ended at about the same time",
			func(b *bench) {
				for i := range 5 {
					b.RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(i), Subjects: request("often asked")})
					b.pass(15 * time.Millisecond)
				}
			},
			nil, nil,
		},
		{
			"waits for a third endpoint, however many gateways report the crash",
			func(b *bench) {
				for range 5 {
					b.RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(1), Subjects: poison})
					b.RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(2), Subjects: poison})
				}
			},
			nil, nil,
		},
		{
			"tells a request from those that were beside it",
			func(b *bench) {
				for i := range 3 {
					b.crashUnder(poison, request("beside it twice"+strconv.Itoa(i/2)), request(strconv.Itoa(i)))
				}
			},
			[][]savorypinfleet.Subject{poison},
			nil,
		},
		{
			"confines all requests that can't be told apart",
			func(b *bench) {
				for range 3 {
					b.crashUnder(poison, request("always beside it"))
				}
			},
			[][]savorypinfleet.Subject{poison, request("always beside it")},
			nil,
		},
		{
			"doesn't blame a request that was answered between the crashes",
			func(b *bench) {
				for range 10 {
					b.crashUnder(request("sound"))
					b.crashUnder(request("sound"))
					b.pass(time.Second)
					b.RecordBegin(request("sound"))
					b.pass(time.Minute)
				}
			},
			nil, nil,
		},
		{
			// Guards against a part that is never found, as each of its requests explains some crashes.
			"confines a part that makes several requests crash endpoints after five crashes",
			func(b *bench) {
				for i := range 5 {
					b.crashUnder(request("one of several"+strconv.Itoa(max(0, i-2)), "poisoned part"))
					b.pass(time.Second)
				}
			},
			[][]savorypinfleet.Subject{request("one of several0", "poisoned part")},
			[]string{"poisoned part"},
		},
		{
			// Guards against a request that hides behind parts which sound ones clear all the time.
			"confines a request all of whose parts are in use",
			func(b *bench) {
				for range 3 {
					b.RecordBegin(request("sound", "first", "shared"))
					b.crashUnder(poison)
				}
			},
			[][]savorypinfleet.Subject{poison},
			nil,
		},
		{
			"confines a second request once the first one explains its crashes",
			func(b *bench) {
				for range 3 {
					b.crashUnder(poison)
				}
				for range 3 {
					b.crashUnder(request("other"))
				}
			},
			[][]savorypinfleet.Subject{poison, request("other")},
			nil,
		},
	} {
		It(c.name, func() {
			b := newBench()
			c.play(b)
			for _, subjects := range c.requests {
				Expect(b.confinedRequest(subjects)).To(BeTrue())
			}
			for _, id := range c.parts {
				Expect(b.confined(id)).To(BeTrue())
			}
			Expect(b.Len()).To(Equal(len(c.requests) + len(c.parts)))
			parts, requests := b.Count()
			Expect([]int{parts, requests}).To(Equal([]int{len(c.parts), len(c.requests)}))
		})
	}

	It("lasts until two probes have failed, and then a day", func() {
		b := newBench()
		for range 3 {
			b.crashUnder(poison)
		}
		begin := b.now
		var probes []time.Duration
		for b.now.Sub(begin) < 25*time.Hour {
			probe, confinement := b.Admit(poison)
			if confinement != nil {
				b.pass(10 * time.Second)
				continue
			}
			probes = append(probes, b.now.Sub(begin).Truncate(time.Minute/2))
			b.endpoints++
			b.RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(b.endpoints), Probe: true, Subjects: poison})
			probe.End()
		}
		Expect(probes).To(Equal([]time.Duration{30 * time.Second, 150 * time.Second, 24*time.Hour + 150*time.Second}))
	})

	It("ends with an answer, also one that is a failure, at any gateway", func() {
		b, other := newBench(), newBench()
		for range 3 {
			b.crashUnder(poison)
		}
		other.Apply("b", b.Report(), 0)
		Expect(other.confinedRequest(poison)).To(BeTrue())
		b.pass(time.Minute)
		b.RecordBegin(poison)
		Expect(b.Len()).To(BeZero())
		other.Apply("b", b.Report(), 0)
		Expect(other.Len()).To(BeZero())
	})

	It("is saved and loaded with the parts", func() {
		b, next := newBench(), newBench()
		for range 3 {
			b.crashUnder(poison)
		}
		next.Load(b.Save())
		Expect(next.confinedRequest(poison)).To(BeTrue())
	})

	It("watches requests only while there are crashes or verdicts", func() {
		b := newBench()
		Expect(b.Watching()).To(BeFalse())
		b.crashUnder(poison)
		Expect(b.Watching()).To(BeTrue())
		b.pass(11 * time.Minute)
		b.Report()
		Expect(b.Watching()).To(BeFalse())
	})

	// Guards against parts that are forgotten, and then blamed, because of answers to many requests.
	It("doesn't remember answers to requests that no crash concerns", func() {
		b := newBench()
		b.RecordBegin(parts("in use"))
		b.pass(4 * time.Second)
		b.crashUnder(poison)
		for i := range 10000 {
			b.RecordBegin(request(strconv.Itoa(i)))
		}
		for range 3 {
			b.crash("in use")
			b.pass(time.Second)
		}
		Expect(b.confined("in use")).To(BeFalse())
	})
})

var _ = Describe("A request that is suspect", func() {
	spare := func() bool { return true }
	noSpare := func() bool { return false }
	whole := request("poison")[0]

	It("is sent only if another endpoint is left, and alone after two crashes", func() {
		b := newBench()
		b.crashUnder(request("poison"))
		_, ok := b.Isolate("ledger", whole, noSpare)
		Expect(ok).To(BeFalse(), "one crash")
		for range 2 {
			isolation, ok := b.Isolate("ledger", whole, spare)
			Expect(ok).To(BeTrue(), "one crash")
			Expect(isolation).NotTo(BeNil())
		}
		b.crashUnder(request("poison"))
		_, ok = b.Isolate("ledger", whole, noSpare)
		Expect(ok).To(BeFalse())
		isolation, ok := b.Isolate("ledger", whole, spare)
		Expect(ok).To(BeTrue())
		_, ok = b.Isolate("ledger", whole, spare)
		Expect(ok).To(BeFalse(), "one at a time")
		other, ok := b.Isolate("ledger", request("sound")[0], spare)
		Expect(ok).To(BeTrue())
		Expect(other).To(BeNil())
		isolation.End()
		_, ok = b.Isolate("ledger", whole, spare)
		Expect(ok).To(BeTrue())
	})

	// Guards against a deadlock of the gateway, whose spare endpoints are those that haven't crashed.
	It("may have its spare endpoints found with the registry", func() {
		b := newBench()
		b.crashUnder(request("poison"))
		b.crashUnder(request("poison"))
		_, ok := b.Isolate("ledger", whole, func() bool { return !b.Crashed(endpoint(1)) })
		Expect(ok).To(BeFalse())
		Expect(b.Crashed(endpoint(3))).To(BeFalse())
	})
})

// requestFleet simulates gateways to which one request comes again and again, and endpoints that
// crash under it after runTime. Reports arrive after delay.
type requestFleet struct {
	gateways []*savorypinquarantine.Registry
	now      time.Time
	crashes  []time.Time
	sent     []time.Time
}

// play plays a time, with a number of requests a second, and reports that take a time to arrive.
func (f *requestFleet) play(d, delay time.Duration, perSecond float64, rng *rand.Rand) {
	type event struct {
		at      time.Time
		gateway int
		probe   *savorypinquarantine.Probe
		report  *savorypinquarantine.Report
	}
	const runTime = 100 * time.Millisecond
	poison := request("poison")
	var pending []event
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simulationStep) {
		if rng.Float64() < perSecond*simulationStep.Seconds() {
			i := rng.IntN(len(f.gateways))
			if probe, confinement := f.gateways[i].Admit(poison); confinement == nil {
				f.sent = append(f.sent, f.now)
				pending = append(pending, event{at: f.now.Add(runTime), gateway: i, probe: probe})
			}
		}
		var later []event
		for _, e := range pending {
			switch {
			case e.at.After(f.now):
				later = append(later, e)
			case e.report != nil:
				for i, g := range f.gateways {
					if i != e.gateway {
						g.Apply(strconv.Itoa(e.gateway), *e.report, delay)
					}
				}
			default:
				f.crashes = append(f.crashes, f.now)
				f.gateways[e.gateway].RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(len(f.crashes)), Probe: e.probe != nil, Subjects: poison})
				e.probe.End()
				report := f.gateways[e.gateway].Report()
				later = append(later, event{at: f.now.Add(delay), gateway: e.gateway, report: &report})
			}
		}
		pending = later
	}
}

var _ = Describe("A fleet of gateways to which a request comes that crashes endpoints", func() {
	for _, c := range []struct {
		gateways  int
		delay     time.Duration
		perSecond float64
	}{
		{1, 0, 1},
		{5, 200 * time.Millisecond, 1},
		{5, 200 * time.Millisecond, 10},
		{300, time.Second, 5},
	} {
		// Guards against a request that reaches a gateway before it knows what the others saw, and
		// against probes that add up over a long day.
		It(fmt.Sprintf("sends it %d times at most later than the contact time after the third crash, in an hour with %d gateways and %v a second", maxLateSent, c.gateways, c.perSecond), func() {
			for seed := range uint64(3) {
				f := &requestFleet{now: time.Unix(1000, 0)}
				for i := range c.gateways {
					f.gateways = append(f.gateways, savorypinquarantine.New(savorypinquarantine.Config{
						Now: func() time.Time { return f.now }, OnVerdict: func(savorypinquarantine.Change) {},
						Rank: func(savorypinfleet.Subject) int { return i },
					}))
				}
				f.play(time.Hour, c.delay, c.perSecond, rand.New(rand.NewPCG(seed, 1)))
				late := 0
				for _, at := range f.sent {
					if at.Sub(f.crashes[2]) > contactTime {
						late++
					}
				}
				Expect(late).To(BeNumerically("<=", maxLateSent), fmt.Sprintf("seed %d, %d crashes", seed, len(f.crashes)))
			}
		})
	}
})
