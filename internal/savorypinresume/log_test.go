package savorypinresume_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
)

// answer returns n tokens whose ids are their indexes.
func answer(n int) []savorypin.Token {
	tokens := make([]savorypin.Token, n)
	for i := range tokens {
		tokens[i].ID = int32(i)
	}
	return tokens
}

// attempt returns the id of an attempt of term 1.
func attempt(number int) savorypin.AttemptID {
	return savorypin.AttemptID{Number: number, Term: 1}
}

var _ = Describe("Log", func() {
	It("holds a prefix of the answer when frames are lost, repeated or reordered", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			whole := answer(rapid.IntRange(0, 60).Draw(t, "length"))
			var log savorypinresume.Log
			log.Begin(attempt(1))
			for range rapid.IntRange(0, 40).Draw(t, "frames") {
				first := rapid.IntRange(0, len(whole)).Draw(t, "first")
				last := rapid.IntRange(first, len(whole)).Draw(t, "last")
				from := attempt(rapid.IntRange(0, 2).Draw(t, "attempt"))
				batch := whole[first:last]
				if from != attempt(1) {
					batch = []savorypin.Token{{ID: -1}}
				}
				before := log.Len()
				taken, err := log.Offer(from, first, batch)
				if err != nil && taken != 0 {
					t.Fatalf("took %d tokens although some before them are missing", taken)
				}
				if log.Len() != before+taken {
					t.Fatalf("length is %d after %d tokens and %d new ones", log.Len(), before, taken)
				}
			}
			for i, token := range log.Tokens(0) {
				if token.ID != int32(i) {
					t.Fatalf("token %d is %d", i, token.ID)
				}
			}
		})
	})

	It("reports missing tokens", func() {
		var log savorypinresume.Log
		log.Begin(attempt(1))
		_, err := log.Offer(attempt(1), 1, answer(1))
		Expect(err).To(MatchError(savorypinresume.ErrMissingTokens))
	})

	It("continues with the first of two attempts that extends it", func() {
		var log savorypinresume.Log
		log.Begin(attempt(1))
		Expect(log.Offer(attempt(1), 0, answer(2))).To(Equal(2))
		log.Begin(attempt(2))
		Expect(log.Offer(attempt(2), 2, []savorypin.Token{{ID: 20}})).To(Equal(1))
		Expect(log.Offer(attempt(1), 2, answer(5)[2:])).To(BeZero())
		Expect(log.Lineage()).To(Equal(savorypin.Lineage{{Attempt: attempt(1)}, {Attempt: attempt(2), First: 2}}))
		Expect(log.Tokens(0)).To(Equal([]savorypin.Token{{ID: 0}, {ID: 1}, {ID: 20}}))
	})

	It("stores tokens and returns any part of them", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			texts := rapid.SliceOf(rapid.String()).Draw(t, "texts")
			var want []savorypin.Token
			var tokens savorypinresume.Tokens
			for i, text := range texts {
				want = append(want, savorypin.Token{ID: int32(i), Text: text})
				tokens.Append(want[i:])
			}
			first := rapid.IntRange(0, len(want)).Draw(t, "first")
			last := rapid.IntRange(first, len(want)).Draw(t, "last")
			got := tokens.Slice(first, last)
			if len(got) != last-first {
				t.Fatalf("got %d tokens", len(got))
			}
			for i, token := range got {
				if token != want[first+i] {
					t.Fatalf("token %d is %v", first+i, token)
				}
			}
		})
	})
})
