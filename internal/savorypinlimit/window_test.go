package savorypinlimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypinlimit"
)

var _ = Describe("WindowBudget", func() {
	It("allows the slack plus a fraction of the first sends", func() {
		now := time.Unix(1000, 0)
		b := savorypinlimit.NewWindowBudget(savorypinlimit.WindowConfig{
			Now: func() time.Time { return now }, Ratio: 0.5, Slack: 3, Window: 10 * time.Second,
		})
		for range 4 {
			b.RecordFirst()
		}
		repeats := 0
		for b.MayRepeat() {
			Expect(b.TryRepeat()).To(BeTrue())
			repeats++
		}
		Expect(repeats).To(Equal(5))
		Expect(b.TryRepeat()).To(BeFalse())
		now = now.Add(20 * time.Second)
		Expect(b.TryRepeat()).To(BeTrue())
	})

	It("counts the sends of the peers", func() {
		now := time.Unix(1000, 0)
		b := savorypinlimit.NewWindowBudget(savorypinlimit.WindowConfig{
			Now: func() time.Time { return now }, Ratio: 0.5, Slack: 3, Window: 10 * time.Second,
		})
		b.SetPeers(map[string]savorypinlimit.SendCounts{"a": {First: 4, Repeats: 2}, "b": {First: 2, Repeats: 3}}, 1)
		Expect(b.TryRepeat()).To(BeTrue())
		Expect(b.TryRepeat()).To(BeFalse())
		Expect(b.Counts()).To(Equal(savorypinlimit.SendCounts{Repeats: 1}))
		b.SetPeers(nil, 1)
		Expect(b.TryRepeat()).To(BeTrue())
		b.SetPeers(nil, 1.0/3)
		Expect(b.TryRepeat()).To(BeFalse())
	})

	It("bounds the repeats in every interval that is one slot shorter than the window", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			const ratio, slack = 0.8, 10
			window := 10 * time.Second
			now := time.Unix(1000, 0)
			b := savorypinlimit.NewWindowBudget(savorypinlimit.WindowConfig{
				Now: func() time.Time { return now }, Ratio: ratio, Slack: slack, Window: window,
			})
			var first, repeats []time.Time
			for range 400 {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
				if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
					b.RecordFirst()
					first = append(first, now)
				} else if b.TryRepeat() {
					repeats = append(repeats, now)
				}
			}
			for _, end := range repeats {
				begin := end.Add(-window * 9 / 10)
				allowed := ratio*float64(count(first, end.Add(-window), end)) + slack
				if got := float64(count(repeats, begin, end)); got > allowed {
					t.Fatalf("%g repeats in an interval, want at most %g", got, allowed)
				}
			}
		})
	})
})

// count returns how many of the times are after begin and not after end.
func count(times []time.Time, begin, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(begin) && !at.After(end) {
			n++
		}
	}
	return n
}
