package savorypinpick_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpick"
)

// Memory of the engines in the specs: three requests of reservedTokens fit.
const (
	memoryTokens   = 30000
	reservedTokens = 9000
)

// limitedQuery returns a query for a request that reserves memory.
func (f *fleet) limitedQuery() savorypinpick.Query {
	q := f.query()
	q.MemoryTokens, q.Rank, q.ReserveTokens = memoryTokens, 1, reservedTokens
	return q
}

// place sends a request to an endpoint, with a copy at backup, which may be nil.
func (f *fleet) place(e, backup *savorypinfleet.Endpoint) *savorypinpick.Work {
	work := f.picker.Begin(e, backup, 0)
	work.Reserve(reservedTokens)
	return work
}

var _ = Describe("Memory reservations", func() {
	// Guards against engines that run out of memory, and preempt requests, while others have some left.
	It("keep a burst from filling an engine while another has memory left", func() {
		f := newFleet()
		for range 3 * len(f.endpoints) {
			e := f.picker.Choose(f.limitedQuery())
			Expect(f.picker.Fits(e, f.limitedQuery())).To(BeTrue())
			f.place(e, nil)
		}
		for _, e := range f.endpoints {
			Expect(f.picker.ReservedTokens(e)).To(Equal(3 * reservedTokens))
			Expect(f.picker.Fits(e, f.limitedQuery())).To(BeFalse())
		}
		Expect(f.picker.Choose(f.limitedQuery())).NotTo(BeNil(), "the engines queue what doesn't fit")
	})

	// Guards against a prompt that waits at a full engine because its queue is the shortest.
	It("prefer an engine with a queue to one without memory", func() {
		f := newFleet()
		for _, e := range f.endpoints[1:] {
			for range 3 {
				f.place(e, nil)
			}
		}
		f.picker.Begin(f.endpoints[0], nil, 2*promptTokens)
		Expect(f.picker.Choose(f.limitedQuery())).To(Equal(f.endpoints[0]))
	})

	// Guards against copies that no gateway counts as memory in use.
	It("count the copies of requests that run elsewhere", func() {
		f := newFleet()
		for range 3 {
			f.place(f.endpoints[0], f.endpoints[1])
		}
		Expect(f.picker.Fits(f.endpoints[1], f.limitedQuery())).To(BeFalse())
	})

	// Guards against a gateway that fills an engine with requests which others have filled with theirs.
	It("include those of other gateways until they end or the gateway is lost", func() {
		one, two := newFleet(), newFleet()
		work := []*savorypinpick.Work{
			one.place(one.endpoints[0], one.endpoints[1]),
			one.place(one.endpoints[0], one.endpoints[1]),
			one.place(one.endpoints[0], one.endpoints[1]),
		}
		two.picker.SetLoads("one", one.picker.Loads())
		for _, e := range two.endpoints[:2] {
			Expect(two.picker.Fits(e, two.limitedQuery())).To(BeFalse())
		}
		work[0].End()
		work[0].End()
		two.picker.SetLoads("one", one.picker.Loads())
		Expect(two.picker.Fits(two.endpoints[0], two.limitedQuery())).To(BeTrue())
		two.picker.RetainGateways(map[string]bool{})
		Expect(two.picker.ReservedTokens(two.endpoints[0])).To(BeZero())
		Expect(two.picker.ReservedTokens(two.endpoints[1])).To(BeZero())
	})

	It("have no effect where the memory is not limited", func() {
		f := newFleet()
		for range 20 {
			f.place(f.endpoints[0], nil)
		}
		Expect(f.picker.Fits(f.endpoints[0], f.query())).To(BeTrue())
	})
})

var _ = Describe("Backups where memory is limited", func() {
	// Guards against copies that take the memory of requests during a burst, although nothing fails.
	It("are omitted under load while no domain is expected to fail", func() {
		f := newFleet()
		q := f.limitedQuery()
		q.MemoryTokens = 10 * reservedTokens
		Expect(f.picker.ChooseBackup(f.endpoints[0], q)).NotTo(BeNil())
		for _, e := range f.endpoints {
			for range 3 {
				f.place(e, nil)
			}
		}
		Expect(f.picker.ChooseBackup(f.endpoints[0], q)).To(BeNil())
	})

	// Guards against streams that lose their domain under load without a copy: those in the domain that
	// is expected to fail next get more of the memory.
	It("are kept under load for requests in a domain that is likely to fail", func() {
		f := newFleet()
		for _, domain := range []string{"a", "b", "c", "a", "b", "c"} {
			f.failDomain(domain)
			f.now = f.now.Add(7 * time.Second)
		}
		f.now = f.now.Add(-2 * time.Second)
		for _, e := range f.endpoints {
			f.picker.ClearSuspicion(e)
		}
		q := f.limitedQuery()
		q.MemoryTokens = 10 * reservedTokens
		for _, e := range f.endpoints {
			for range 4 {
				f.place(e, nil)
			}
		}
		copies := map[string]int{}
		for _, primary := range f.endpoints[:3] {
			for {
				backup := f.picker.ChooseBackup(primary, q)
				if backup == nil {
					break
				}
				copies[primary.Domain()]++
				f.place(primary, backup)
			}
		}
		Expect(copies["a"]).To(BeNumerically(">", 0))
		Expect(copies["a"]).To(BeNumerically(">=", copies["b"]+copies["c"]))
	})

	// Guards against urgent streams that lose their caches, while memory is kept for others.
	It("are kept under load for the most urgent requests", func() {
		f := newFleet()
		q := f.limitedQuery()
		q.MemoryTokens, q.Rank = 10*reservedTokens, 0
		for _, e := range f.endpoints {
			for range 6 {
				f.place(e, nil)
			}
		}
		Expect(f.picker.ChooseBackup(f.endpoints[0], q)).NotTo(BeNil())
		q.Rank = 1
		Expect(f.picker.ChooseBackup(f.endpoints[0], q)).To(BeNil())
	})

	// Guards against all gateways choosing the one idle engine before they hear of each other.
	It("are spread by gateways that don't know each other's yet", func() {
		counts := map[string]int{}
		for gateway := range 24 {
			f := newFleetOfGateways(24)
			for i := len(f.endpoints); i < 60; i++ {
				f.endpoints = append(f.endpoints, f.endpoint(i, 0))
			}
			for _, e := range f.endpoints[2:] {
				f.picker.Begin(e, nil, 0)
			}
			q := f.limitedQuery()
			q.PromptID = fmt.Sprint("prompt ", gateway)
			counts[f.picker.ChooseBackup(f.endpoints[0], q).ID()]++
		}
		Expect(len(counts)).To(BeNumerically(">", 1))
		for id, n := range counts {
			Expect(n).To(BeNumerically("<=", 8), id)
		}
	})
})

var _ = Describe("Endpoints that are suspect", func() {
	// Guards against all streams going to the few endpoints that a gateway without a sound network doesn't
	// suspect: they run out of memory, while the others are idle.
	It("are used where memory is limited if most are suspect and the others are full", func() {
		f := newFleet()
		for _, e := range f.endpoints[1:] {
			f.picker.RecordRemoteSuspect(e)
		}
		used := map[string]int{}
		for range 12 {
			e := f.picker.Choose(f.limitedQuery())
			used[e.ID()]++
			f.place(e, nil)
		}
		Expect(used[f.endpoints[0].ID()]).To(BeNumerically("<=", 3))
	})

	// Guards against streams that are sent to a failed domain because the others have a queue.
	It("are left alone where memory is limited while most are not suspect", func() {
		f := newFleet()
		f.picker.RecordRemoteSuspect(f.endpoints[0])
		for range 12 {
			e := f.picker.Choose(f.limitedQuery())
			Expect(e).NotTo(Equal(f.endpoints[0]))
			f.place(e, nil)
		}
	})
})
