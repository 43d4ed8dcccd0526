package savorypinbuffer_test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinbuffer"
)

var _ = Describe("A budget of buffers", func() {
	const limit = 100

	// stream is a stream that holds memory when the budget is used up.
	type stream struct {
		name     string
		priority int
		held     int64
	}
	for _, c := range []struct {
		name    string
		holders []stream
		// priority, held and needed are those of the stream that asks for more.
		priority     int
		held, needed int64
		reserved     bool
		yielded      []string
	}{
		{"that has room makes nobody give way", []stream{{"a", 9, 50}}, 0, 0, 50, true, nil},
		{"makes the least urgent stream give way first", []stream{{"a", 2, 60}, {"b", 5, 40}}, 0, 0, 10, true, []string{"b"}},
		{"makes the one that holds most give way among equals", []stream{{"a", 2, 40}, {"b", 2, 60}}, 0, 0, 10, true, []string{"b"}},
		{"makes no more give way than needed", []stream{{"a", 3, 50}, {"b", 2, 25}, {"c", 1, 25}}, 0, 0, 60, true, []string{"a", "b"}},
		{"never makes a more urgent stream give way", []stream{{"a", 1, 99}}, 2, 1, 10, false, nil},
		{"makes nobody give way if that would not be enough", []stream{{"a", 2, 30}, {"b", 0, 70}}, 1, 0, 40, false, nil},
		{"makes an equal give way that holds much more", []stream{{"a", 1, 90}}, 1, 10, 10, true, []string{"a"}},
		{"keeps equals that hold about as much", []stream{{"a", 1, 30}, {"b", 1, 30}, {"c", 1, 25}}, 1, 15, 5, false, nil},
		{"refuses more than its limit", nil, 0, 0, limit + 1, false, nil},
		{"holds for priorities of any size", []stream{{"a", 1 << 62, 50}, {"b", -1 << 62, 50}}, 0, 0, 50, true, []string{"a"}},
	} {
		// Guards against a slow caller of low priority that takes the memory of a more urgent one, and
		// against streams that are aborted in vain.
		It(c.name, func() {
			b := savorypinbuffer.New(limit)
			var yielded []string
			asking := b.NewHolder(savorypinbuffer.HolderConfig{Priority: c.priority, Yield: func(int64) { Fail("the asking stream gave way") }})
			if c.held > 0 {
				Expect(asking.Reserve(c.held)).To(BeTrue())
			}
			for _, s := range c.holders {
				h := b.NewHolder(savorypinbuffer.HolderConfig{Priority: s.priority, Yield: func(int64) { yielded = append(yielded, s.name) }})
				Expect(h.Reserve(s.held)).To(BeTrue())
			}
			Expect(asking.Reserve(c.needed)).To(Equal(c.reserved))
			Expect(yielded).To(Equal(c.yielded))
			Expect(b.Used()).To(BeNumerically("<=", limit))
		})
	}

	// Guards against memory that is returned twice, after which the buffers exceed the budget.
	It("takes nothing back from a stream that has given way, and gives it nothing more", func() {
		b := savorypinbuffer.New(limit)
		low := b.NewHolder(savorypinbuffer.HolderConfig{Priority: 2, Yield: func(int64) {}})
		Expect(low.Reserve(limit)).To(BeTrue())
		urgent := b.NewHolder(savorypinbuffer.HolderConfig{Yield: func(int64) {}})
		Expect(urgent.Reserve(limit)).To(BeTrue())
		low.Release(limit)
		Expect(low.Held()).To(BeZero())
		Expect(b.Used()).To(Equal(int64(limit)))
		urgent.Release(limit)
		Expect(low.Reserve(1)).To(BeFalse())
		Expect(b.Used()).To(BeZero())
	})

	// Guards against a sum of buffers beyond the budget at any time under a burst of slow callers.
	It("is never exceeded by many streams at once, and empty in the end", func() {
		b := savorypinbuffer.New(limit)
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				defer GinkgoRecover()
				h := b.NewHolder(savorypinbuffer.HolderConfig{Priority: i % 3, Yield: func(int64) {}})
				for n := range 200 {
					h.Reserve(int64(n%40 + 1))
					Expect(b.Used()).To(BeNumerically("<=", limit))
					if n%3 == 0 {
						h.Release(h.Held())
					}
				}
				h.Release(h.Held())
			})
		}
		wg.Wait()
		Expect(b.Used()).To(BeZero())
	})
})
