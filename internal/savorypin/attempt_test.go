package savorypin_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
)

func ExampleLineage_CanResumeAt() {
	first := savorypin.AttemptID{Number: 1, Term: 5}
	second := savorypin.AttemptID{Number: 2, Term: 5}
	resumed := savorypin.Lineage{{Attempt: first}, {Attempt: second, First: 80}}
	fmt.Println(resumed.CanResumeAt(savorypin.NewEventID("g", 60, first)))
	fmt.Println(resumed.CanResumeAt(savorypin.NewEventID("g", 100, first)))
	// Output:
	// true
	// false
}

// branch is an attempt that resumes another one after some of its tokens. The text of
// each token names the attempt that produced it.
type branch struct {
	id      savorypin.AttemptID
	lineage savorypin.Lineage
	tokens  []string
}

func drawBranches(t *rapid.T) []branch {
	branches := []branch{{}}
	for i := range rapid.IntRange(1, 8).Draw(t, "attempts") {
		parent := branches[rapid.IntRange(0, len(branches)-1).Draw(t, fmt.Sprintf("parent%d", i))]
		base := rapid.IntRange(0, len(parent.tokens)).Draw(t, fmt.Sprintf("base%d", i))
		// Two entries may use the same numbers in different terms.
		b := branch{id: savorypin.AttemptID{
			Number: rapid.IntRange(1, 3).Draw(t, fmt.Sprintf("number%d", i)),
			Term:   savorypin.NextTerm(uint64(i) << 32),
		}}
		for _, s := range parent.lineage {
			if s.First < base {
				b.lineage = append(b.lineage, s)
			}
		}
		b.tokens = slices.Clone(parent.tokens[:base])
		n := rapid.IntRange(0, 20).Draw(t, fmt.Sprintf("length%d", i))
		for j := range n {
			b.tokens = append(b.tokens, fmt.Sprintf("%s:%d", b.id, base+j))
		}
		if n > 0 {
			b.lineage = append(b.lineage, savorypin.Segment{Attempt: b.id, First: base})
		}
		branches = append(branches, b)
	}
	return branches
}

var _ = Describe("Lineage", func() {
	It("resumes an answer only after exactly the tokens that the caller has", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			branches := drawBranches(t)
			// received is the branch whose tokens the caller has up to the position.
			received := rapid.SampledFrom(branches).Draw(t, "received")
			next := rapid.IntRange(0, len(received.tokens)).Draw(t, "next")
			position := savorypin.NewEventID("g", next, received.lineage.At(next-1))
			for _, other := range branches {
				if next > len(other.tokens) || !other.lineage.CanResumeAt(position) {
					continue
				}
				if !slices.Equal(other.tokens[:next], received.tokens[:next]) {
					t.Fatalf("attempt %s would resume after tokens %v, which it does not share", other.id, received.tokens[:next])
				}
			}
			if !received.lineage.CanResumeAt(position) {
				t.Fatalf("attempt %s does not resume after its own tokens", received.id)
			}
		})
	})

	It("gives entries that take over at the same time different, higher terms", func() {
		seen := map[uint64]bool{}
		for range 100 {
			term := savorypin.NextTerm(7 << 32)
			Expect(term).To(BeNumerically(">", uint64(7<<32)))
			Expect(seen).NotTo(HaveKey(term))
			seen[term] = true
		}
	})

	It("keeps the attempt when an event id is formatted and parsed", func() {
		position := savorypin.NewEventID("g.agent-1", 17, savorypin.AttemptID{Number: 3, Term: savorypin.NextTerm(0)})
		Expect(savorypin.ParseEventID(position.String())).To(Equal(position))
	})
})
