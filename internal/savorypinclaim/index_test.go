package savorypinclaim_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"savorypin/internal/savorypinclaim"
)

var _ = Describe("Index", func() {
	It("decides as the reference index does, also after a reload from pages", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const keys, attempts = 4, 6
			index := savorypinclaim.NewIndex()
			reference := referenceIndex{}
			attempt := rapid.Custom(func(t *rapid.T) string {
				return fmt.Sprint("attempt-", rapid.IntRange(0, attempts).Draw(t, "n"))
			})
			var pages []savorypinclaim.Page
			for number := uint64(1); number <= uint64(rapid.IntRange(1, 40).Draw(t, "segments")); number++ {
				segment := savorypinclaim.Segment{Number: number}
				for range rapid.IntRange(0, 3).Draw(t, "settlements") {
					s := savorypinclaim.Settlement{
						Attempt: attempt.Draw(t, "settled"),
						Key:     keyOf(rapid.IntRange(0, keys).Draw(t, "key")),
						Outcome: rapid.SampledFrom([]savorypinclaim.Outcome{
							savorypinclaim.OutcomeDone, savorypinclaim.OutcomeNotRun, savorypinclaim.OutcomeUnknown,
						}).Draw(t, "outcome"),
					}
					reference.settle(s)
					if rapid.Bool().Draw(t, "pending") {
						index.AddPending(s)
					}
					segment.Settlements = append(segment.Settlements, s)
				}
				index.Apply(savorypinclaim.Segment{Number: number, Settlements: segment.Settlements})
				var claims []savorypinclaim.Claim
				for range rapid.IntRange(0, 4).Draw(t, "claims") {
					c := claimOf(keyOf(rapid.IntRange(0, keys).Draw(t, "key")), attempt.Draw(t, "attempt"))
					c.Request = uint64(rapid.IntRange(0, 5).Draw(t, "request") / 5)
					c.Supersedes = rapid.OneOf(rapid.Just(""), attempt).Draw(t, "supersedes")
					claims = append(claims, c)
				}
				verdicts, granted := index.Plan(number, claims, 1000)
				for i, c := range claims {
					if want := reference.claim(c); verdicts[i].Kind != want {
						t.Fatalf("segment %d, claim %d: got %s, want %s", number, i, verdicts[i].Kind, want)
					}
				}
				index.Apply(savorypinclaim.Segment{Claims: granted, Number: number})
				pages = append(pages, index.ClosePage(number, number))
				if rapid.IntRange(0, 9).Draw(t, "reload") == 0 {
					index = savorypinclaim.NewIndex()
					for _, p := range pages {
						index.ApplyPage(p)
					}
				}
			}
		})
	})
})
