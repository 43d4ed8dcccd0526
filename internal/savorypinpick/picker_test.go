package savorypinpick_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinhazard"
	"savorypin/internal/savorypinpick"
)

const promptTokens = 8000

// fleet is a Picker for six engines in three failure domains, of which a and b are in
// the Picker's region.
type fleet struct {
	endpoints []*savorypinfleet.Endpoint
	// listConfirmedAt is when the endpoint list was last confirmed, during a store outage;
	// otherwise the list is always up to date.
	listConfirmedAt time.Time
	now             time.Time
	storeOutage     bool
	picker          *savorypinpick.Picker
}

// startStoreOutage makes the store unavailable until storeOutage is reset.
func (f *fleet) startStoreOutage() {
	f.listConfirmedAt = f.now
	f.storeOutage = true
}

func newFleet() *fleet { return newFleetOfGateways(1) }

// newFleetOfGateways returns a fleet whose requests are placed by a number of gateways.
func newFleetOfGateways(gateways int) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	regions := map[string]string{"a": "near", "b": "near", "c": "far"}
	f.picker = savorypinpick.New(savorypinpick.Config{
		Gateways: func() int { return gateways },
		ListConfirmedAt: func() time.Time {
			if f.storeOutage {
				return f.listConfirmedAt
			}
			return f.now
		},
		Hazard: savorypinhazard.New([]string{"a", "b", "c"}), Now: func() time.Time { return f.now },
		PromptRetention: 10 * time.Second, Region: "near", Regions: regions, SuspectTimeout: 3600 * time.Millisecond,
	})
	for i := range 6 {
		f.endpoints = append(f.endpoints, f.endpoint(i, 0))
	}
	return f
}

func (f *fleet) endpoint(i, incarnation int) *savorypinfleet.Endpoint {
	domain := []string{"a", "b", "c"}[i%3]
	return savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{
		Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: domain, ID: fmt.Sprintf("%s%d-%d", domain, i, incarnation),
		Service: "llm", Slots: 4, Started: f.now, State: savorypinfleet.EndpointReady,
	})
}

func (f *fleet) query() savorypinpick.Query {
	return savorypinpick.Query{Candidates: f.endpoints, PromptTokens: promptTokens}
}

// failDomain fails all endpoints of a domain.
func (f *fleet) failDomain(domain string) {
	var failed []*savorypinfleet.Endpoint
	domainFailed := false
	for _, e := range f.endpoints {
		if e.Domain() == domain {
			failed = append(failed, e)
			domainFailed = f.picker.MarkFailed(e) || domainFailed
		}
	}
	Expect(domainFailed).To(BeTrue())
	f.picker.MarkSuspect(failed)
}

// placeStreams starts n streams that keep running and returns their number by domain.
func (f *fleet) placeStreams(n int) map[string]int {
	streams := map[string]int{}
	for range n {
		e := f.picker.Choose(f.query())
		f.picker.Begin(e, nil, promptTokens)
		streams[e.Domain()]++
	}
	return streams
}

var _ = Describe("New streams", func() {
	It("are spread evenly while all prompts are in prefill", func() {
		f := newFleet()
		chosen := map[string]int{}
		for range 12 {
			e := f.picker.Choose(f.query())
			f.picker.Begin(e, nil, promptTokens)
			chosen[e.ID()]++
		}
		for id, n := range chosen {
			Expect(n).To(Equal(2), id)
		}
	})

	It("stay in the region while its endpoints score as well", func() {
		f := newFleet()
		Expect(f.placeStreams(4)["c"]).To(BeZero())
	})

	It("take the load of other gateways into account", func() {
		f := newFleet()
		var loads []savorypinpick.Load
		for _, e := range f.endpoints[1:] {
			loads = append(loads, savorypinpick.Load{Endpoint: e.ID(), Running: 1, Waiting: promptTokens})
		}
		f.picker.SetLoads("other", loads)
		Expect(f.picker.Choose(f.query())).To(Equal(f.endpoints[0]))
		f.picker.RetainGateways(map[string]bool{})
		Expect(f.placeStreams(4)).To(Equal(map[string]int{"a": 2, "b": 2}))
	})

	It("are counted correctly at an endpoint whose entry lapsed and came back", func() {
		f := newFleet()
		e := f.endpoints[0]
		f.picker.SetLoads("other", []savorypinpick.Load{{Endpoint: e.ID(), Running: 1, Waiting: promptTokens}})
		f.picker.RemoveUnlisted(savorypinfleet.NewDirectory(f.endpoints[1:]))
		f.picker.SetLoads("other", nil)
		Expect(f.picker.WaitingTokens(e)).To(BeZero())
	})

	It("with the same prompt go to the same endpoint through any gateway", func() {
		for prompt := range 20 {
			one, two := newFleet(), newFleet()
			q := one.query()
			q.PromptID = fmt.Sprint(prompt)
			Expect(one.picker.Choose(q).ID()).To(Equal(two.picker.Choose(q).ID()))
		}
	})

	It("go to the engine that cached the prompt for another gateway, for as long as it is cached", func() {
		one, two := newFleet(), newFleet()
		for i, e := range two.endpoints {
			// Without the cached prompt this engine would not be selected: it has more
			// load than the others.
			if i == 1 {
				two.picker.Begin(e, nil, promptTokens)
			}
		}
		work := one.picker.Begin(one.endpoints[1], nil, promptTokens)
		one.picker.RecordPromptCached(one.endpoints[1], "prompt")
		work.RecordPrefill()
		Expect(one.picker.Loads()).To(Equal([]savorypinpick.Load{
			{Endpoint: one.endpoints[1].ID(), PromptIDs: []string{"prompt"}, Running: 1},
		}))
		two.picker.SetLoads("one", one.picker.Loads())
		q := two.query()
		q.PromptID = "prompt"
		Expect(two.picker.Choose(q)).To(Equal(two.endpoints[1]))
		Expect(two.picker.PromptCachedAt(two.endpoints[1], "prompt")).To(BeTrue())
		two.picker.MarkFailed(two.endpoints[1])
		Expect(two.picker.Choose(q)).NotTo(Equal(two.endpoints[1]))
		two.now = two.now.Add(time.Minute)
		Expect(two.picker.PromptCachedAt(two.endpoints[1], "prompt")).To(BeFalse())
		one.picker.RecordStreamEnd("prompt")
		work.End()
		Expect(one.picker.Loads()).To(BeEmpty())
		Expect(one.picker.PromptCachedAt(one.endpoints[1], "prompt")).To(BeTrue())
	})

	for _, c := range []struct {
		name     string
		backedUp bool
		want     string
	}{
		{"accept a longer queue to avoid the domain that fails next", false, "b"},
		{"don't accept a longer queue to avoid that domain if their KV cache is backed up", true, "a"},
	} {
		It("in a deployment whose domains fail in turn "+c.name, func() {
			f := newFleet()
			for _, domain := range []string{"a", "b", "c", "a", "b", "c"} {
				f.failDomain(domain)
				f.now = f.now.Add(7 * time.Second)
			}
			f.now = f.now.Add(-2 * time.Second)
			for _, e := range f.endpoints {
				f.picker.ClearSuspicion(e)
				if e.Domain() != "a" {
					f.picker.Begin(e, nil, promptTokens/2)
				}
			}
			q := f.query()
			q.BackedUp = c.backedUp
			Expect(f.picker.Choose(q).Domain()).To(Equal(c.want))
		})
	}

	It("avoid a failed domain until the entries of its lost endpoints have lapsed", func() {
		f := newFleet()
		f.failDomain("a")
		Expect(f.placeStreams(4)["a"]).To(BeZero())
		f.now = f.now.Add(3 * time.Second)
		Expect(f.placeStreams(4)["a"]).To(BeZero())
		f.now = f.now.Add(time.Second)
		Expect(f.picker.Suspect(f.endpoints[0])).To(BeFalse())
	})

	It("avoid an endpoint at whose address another incarnation answers until the list is confirmed again", func() {
		f := newFleet()
		f.startStoreOutage()
		f.picker.RecordReplacement(f.endpoints[0])
		f.now = f.now.Add(time.Minute)
		for _, e := range f.endpoints[1:] {
			f.picker.Begin(e, nil, 3*promptTokens)
		}
		Expect(f.picker.Choose(f.query())).NotTo(Equal(f.endpoints[0]))
		f.storeOutage = false
		Expect(f.picker.Choose(f.query())).To(Equal(f.endpoints[0]))
	})

	It("use suspect endpoints if there are no others", func() {
		f := newFleet()
		for _, domain := range []string{"a", "b", "c"} {
			f.failDomain(domain)
		}
		Expect(f.picker.Choose(f.query())).NotTo(BeNil())
	})

	It("avoid the domain that is likely to fail before they end", func() {
		f := newFleet()
		for _, domain := range []string{"a", "b", "c", "a", "b", "c", "a"} {
			f.failDomain(domain)
			f.now = f.now.Add(6 * time.Second)
		}
		// The domains fail in turn, one every six seconds: b is next.
		Expect(f.placeStreams(4)["b"]).To(BeZero())
	})

	It("avoid a domain whose failure showed only in restarts of its endpoints", func() {
		f := newFleet()
		for i, domain := range []string{"a", "b", "c", "a", "b", "c", "a"} {
			var restarted []*savorypinfleet.Endpoint
			for j, e := range f.endpoints {
				if e.Domain() == domain {
					f.endpoints[j] = f.endpoint(j, i+1)
					restarted = append(restarted, f.endpoints[j])
				}
			}
			f.picker.RecordRestarts(restarted)
			f.now = f.now.Add(6 * time.Second)
		}
		Expect(f.placeStreams(4)["b"]).To(BeZero())
	})

	It("treat one endpoint's failure as its domain's if the domain was expected to fail", func() {
		f := newFleet()
		for _, domain := range []string{"a", "b", "c", "a"} {
			f.failDomain(domain)
			f.now = f.now.Add(6 * time.Second)
		}
		Expect(f.picker.MarkFailed(f.endpoints[2])).To(BeFalse())
		Expect(f.picker.MarkFailed(f.endpoints[1])).To(BeTrue())
	})

	It("don't treat one endpoint's failure as its domain's otherwise", func() {
		f := newFleet()
		Expect(f.picker.MarkFailed(f.endpoints[0])).To(BeFalse())
		f.now = f.now.Add(time.Second)
		Expect(f.picker.MarkFailed(f.endpoints[3])).To(BeFalse())
		Expect(f.picker.Failures()).To(BeEmpty())
	})
})

var _ = Describe("Backups of a request's KV cache", func() {
	It("are kept in another domain that is not suspect and has few of them", func() {
		f := newFleet()
		f.failDomain("b")
		q := f.query()
		for range 2 {
			backup := f.picker.ChooseBackup(f.endpoints[0], q)
			Expect(backup.Domain()).To(Equal("c"))
			f.picker.Begin(f.endpoints[0], backup, promptTokens)
		}
		Expect(f.picker.ChooseBackup(f.endpoints[2], q).Domain()).To(Equal("a"))
	})

	It("are not kept at engines lost during a store outage until the list is confirmed again", func() {
		f := newFleet()
		f.startStoreOutage()
		f.now = f.now.Add(time.Second)
		f.failDomain("b")
		// The suspicion has expired, and the engines look idle.
		f.now = f.now.Add(5 * time.Second)
		for range 20 {
			backup := f.picker.ChooseBackup(f.endpoints[0], f.query())
			Expect(backup.Domain()).To(Equal("c"))
			f.picker.Begin(f.endpoints[0], backup, promptTokens)
		}
		f.storeOutage = false
		Expect(f.picker.ChooseBackup(f.endpoints[0], f.query()).Domain()).To(Equal("b"))
	})

	It("are kept at an engine that answers again during the store outage", func() {
		f := newFleet()
		f.startStoreOutage()
		f.now = f.now.Add(time.Second)
		f.failDomain("b")
		f.failDomain("c")
		f.now = f.now.Add(5 * time.Second)
		f.picker.ClearSuspicion(f.endpoints[1])
		Expect(f.picker.ChooseBackup(f.endpoints[0], f.query())).To(Equal(f.endpoints[1]))
	})

	It("are omitted if no other domain is available", func() {
		f := newFleet()
		f.failDomain("b")
		f.failDomain("c")
		Expect(f.picker.ChooseBackup(f.endpoints[0], f.query())).To(BeNil())
	})
})

var _ = Describe("Failures reported by another gateway", func() {
	It("count once, are ignored when old, and are forwarded only by the gateway that detected them", func() {
		f := newFleet()
		failure := savorypinpick.Failure{Age: 100 * time.Millisecond, Domain: "a", Service: "llm"}
		Expect(f.picker.RecordRemoteFailure(failure)).To(BeTrue())
		Expect(f.picker.RecordRemoteFailure(failure)).To(BeFalse())
		Expect(f.picker.RecordRemoteFailure(savorypinpick.Failure{Age: time.Minute, Domain: "b", Service: "llm"})).To(BeFalse())
		Expect(f.picker.Failures()).To(BeEmpty())
		f.failDomain("c")
		Expect(f.picker.Failures()).To(Equal([]savorypinpick.Failure{{Domain: "c", Service: "llm"}}))
	})

	It("of an endpoint make it suspect but are not forwarded", func() {
		f := newFleet()
		f.picker.RecordRemoteSuspect(f.endpoints[0])
		f.picker.MarkFailed(f.endpoints[1])
		Expect(f.picker.Suspects()).To(Equal([]string{f.endpoints[1].ID()}))
		Expect(f.picker.Suspect(f.endpoints[0])).To(BeTrue())
		f.picker.ClearSuspicion(f.endpoints[0])
		Expect(f.picker.Suspect(f.endpoints[0])).To(BeFalse())
	})
})

var _ = Describe("Plain requests", func() {
	plain := func(f *fleet) savorypinpick.Query {
		q := f.query()
		q.Plain = true
		return q
	}

	It("go to the endpoint with the lowest latency", func() {
		f := newFleet()
		for i, e := range f.endpoints {
			for range 50 {
				w := f.picker.Begin(e, nil, 0)
				f.now = f.now.Add(map[bool]time.Duration{true: 10 * time.Millisecond, false: 90 * time.Millisecond}[i == 3])
				w.RecordAnswer(false)
				w.End()
			}
		}
		Expect(f.picker.Choose(plain(f))).To(Equal(f.endpoints[3]))
	})

	It("avoid a fast endpoint that fails", func() {
		f := newFleet()
		for i, e := range f.endpoints {
			for range 50 {
				w := f.picker.Begin(e, nil, 0)
				f.now = f.now.Add(map[bool]time.Duration{true: time.Millisecond, false: 20 * time.Millisecond}[i == 3])
				w.RecordAnswer(i == 3)
				w.End()
			}
		}
		Expect(f.picker.Choose(plain(f))).NotTo(Equal(f.endpoints[3]))
	})
})
