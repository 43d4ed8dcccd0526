package savorypinpick_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpick"
)

// Sizes of prompts in the specs.
const (
	shortPrompt = 200
	longPrompt  = 14000
)

// sizedQuery returns a query for a stream with a prompt of a size, where memory is limited but plenty.
func (f *fleet) sizedQuery(tokens int) savorypinpick.Query {
	q := f.query()
	q.MemoryTokens, q.PromptTokens, q.Rank, q.ReserveTokens = 1_000_000, tokens, 1, tokens
	return q
}

// send places a stream with a prompt of a size and returns its endpoint and its work.
func (f *fleet) send(tokens int) (*savorypinfleet.Endpoint, *savorypinpick.Work) {
	e := f.picker.Choose(f.sizedQuery(tokens))
	return e, f.picker.Begin(e, nil, tokens)
}

var _ = Describe("Prompts of different sizes", func() {
	// Guards against a long prompt that stops the responses of many streams, while another engine has few.
	It("go where they delay least: long ones beside few streams, short ones before few waiting tokens", func() {
		f := newFleet()
		crowded, queued := f.endpoints[0], f.endpoints[1]
		for _, e := range f.endpoints[2:] {
			f.picker.Begin(e, nil, 100*longPrompt)
		}
		for range 8 {
			f.picker.Begin(crowded, nil, 0)
		}
		f.picker.Begin(queued, nil, 4000)
		Expect(f.picker.Choose(f.sizedQuery(longPrompt))).To(Equal(queued))
		Expect(f.picker.Choose(f.sizedQuery(shortPrompt))).To(Equal(crowded))
	})

	for _, c := range []struct {
		name  string
		sizes []int
	}{
		{"all short", []int{shortPrompt}},
		{"all long", []int{longPrompt}},
		{"that drift from short to long", []int{shortPrompt, 1000, 4000, 8000, longPrompt}},
	} {
		// Guards against sizes that concentrate a load on some engines.
		It("are spread evenly if they are "+c.name, func() {
			f := newFleet()
			n := map[string]int{}
			for _, size := range c.sizes {
				for range 2 * len(f.endpoints) {
					e, _ := f.send(size)
					n[e.Domain()]++
				}
			}
			// The engines of the two domains in the region get the same, the farther ones no more.
			Expect(n["a"]).To(BeNumerically("~", n["b"], 2))
			Expect(n["c"]).To(BeNumerically("<=", n["a"]+2))
		})
	}

	// Guards against short prompts that wait behind a burst of long ones.
	It("keep engines free of long ones for the short ones while there are more engines than long prompts", func() {
		f := newFleet()
		long := map[string]bool{}
		for range 3 {
			e, _ := f.send(longPrompt)
			Expect(long).NotTo(HaveKey(e.ID()))
			long[e.ID()] = true
		}
		for range 12 {
			e, work := f.send(shortPrompt)
			Expect(long).NotTo(HaveKey(e.ID()))
			work.RecordPrefill()
		}
	})

	// Guards against long prompts that are starved: no engine is closed to them.
	It("of both kinds are served by the one engine that is left", func() {
		f := newFleet()
		q := f.sizedQuery(longPrompt)
		q.Candidates = f.endpoints[:1]
		for range 10 {
			f.picker.Begin(f.endpoints[0], nil, shortPrompt)
		}
		Expect(f.picker.Choose(q)).To(Equal(f.endpoints[0]))
		q.PromptTokens = shortPrompt
		Expect(f.picker.Choose(q)).To(Equal(f.endpoints[0]))
	})

	// Guards against all gateways sending their long prompts to one engine before they hear of each other.
	It("of 24 gateways that receive nothing from each other are spread", func() {
		n := map[string]int{}
		for gateway := range 24 {
			f := newFleetOfGateways(24)
			for i := len(f.endpoints); i < 60; i++ {
				f.endpoints = append(f.endpoints, f.endpoint(i, 0))
			}
			q := f.sizedQuery(longPrompt)
			q.Candidates, q.PromptID = f.endpoints, fmt.Sprint("prompt ", gateway)
			n[f.picker.Choose(q).ID()]++
		}
		for id, count := range n {
			Expect(count).To(BeNumerically("<=", 4), id)
		}
	})

	It("have no effect where memory is not limited", func() {
		f := newFleet()
		for range 8 {
			f.picker.Begin(f.endpoints[0], nil, 0)
		}
		for _, e := range f.endpoints[1:] {
			f.picker.Begin(e, nil, 4000)
		}
		for _, tokens := range []int{shortPrompt, longPrompt} {
			q := f.sizedQuery(tokens)
			q.MemoryTokens = 0
			Expect(f.picker.Choose(q)).To(Equal(f.endpoints[0]))
		}
	})
})
