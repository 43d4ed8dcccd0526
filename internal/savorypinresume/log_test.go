package savorypinresume_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
)

// answer returns an answer in which the token at each index is its index.
func answer(n int) []savorypin.Token {
	tokens := make([]savorypin.Token, n)
	for i := range tokens {
		tokens[i].ID = int32(i)
	}
	return tokens
}

var _ = Describe("Log", func() {
	It("holds a prefix of the answer whatever is lost, repeated or crossed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			whole := answer(rapid.IntRange(0, 60).Draw(t, "length"))
			var log savorypinresume.Log
			log.Begin(1)
			for range rapid.IntRange(0, 40).Draw(t, "frames") {
				first := rapid.IntRange(0, len(whole)).Draw(t, "first")
				last := rapid.IntRange(first, len(whole)).Draw(t, "last")
				attempt := rapid.IntRange(0, 2).Draw(t, "attempt")
				batch := whole[first:last]
				if attempt != log.Attempt() {
					batch = []savorypin.Token{{ID: -1}}
				}
				before := log.Len()
				taken, err := log.Offer(attempt, first, batch)
				if err != nil && taken != 0 {
					t.Fatalf("took %d tokens after a gap", taken)
				}
				if log.Len() != before+taken {
					t.Fatalf("length %d after %d and %d", log.Len(), before, taken)
				}
			}
			for i, token := range log.Tokens(0) {
				if token.ID != int32(i) {
					t.Fatalf("token %d is %d", i, token.ID)
				}
			}
		})
	})

	It("reports a gap", func() {
		var log savorypinresume.Log
		log.Begin(1)
		_, err := log.Offer(1, 1, answer(1))
		Expect(err).To(MatchError(savorypinresume.ErrGap))
	})
})
