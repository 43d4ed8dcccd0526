package savorypinrank_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinrank"
	"savorypin/internal/savorypintest"
)

func Test(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinrank")
}

func ExampleNames() {
	fromAscending := savorypinrank.Names("shard-3", []string{"entry-1", "entry-2", "entry-3"})
	fromDescending := savorypinrank.Names("shard-3", []string{"entry-3", "entry-2", "entry-1"})
	fmt.Println(slices.Equal(fromAscending, fromDescending))
	// Output: true
}

func members(n int) []savorypin.MemberState {
	var all []savorypin.MemberState
	for i := range n {
		all = append(all, savorypin.MemberState{Domain: fmt.Sprint("d", i%3), Name: fmt.Sprint("m", i)})
	}
	return all
}

var _ = Describe("Names", func() {
	It("keeps the order of the remaining names when one is removed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 20, rapid.ID).Draw(t, "names")
			key := rapid.String().Draw(t, "key")
			lost := rapid.SampledFrom(names).Draw(t, "lost")
			isLost := func(name string) bool { return name == lost }
			want := slices.DeleteFunc(savorypinrank.Names(key, names), isLost)
			got := savorypinrank.Names(key, slices.DeleteFunc(slices.Clone(names), isLost))
			if !slices.Equal(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		})
	})

	It("spreads keys evenly", func() {
		const keys, names = 6000, 6
		firstCounts := map[string]int{}
		for i := range keys {
			firstCounts[savorypinrank.Names(fmt.Sprint(i), []string{"a", "b", "c", "d", "e", "f"})[0]]++
		}
		for _, n := range firstCounts {
			Expect(n).To(BeNumerically("~", keys/names, keys/names/5))
		}
	})
})

var _ = Describe("Spread", func() {
	for _, tc := range []struct{ members, n, domains int }{
		{9, 3, 3},
		{9, 2, 2},
		{2, 5, 2},
		{0, 3, 0},
	} {
		It(fmt.Sprintf("returns up to %d of %d members from different failure domains", tc.n, tc.members), func() {
			chosen := savorypinrank.Spread("key", members(tc.members), tc.n)
			Expect(chosen).To(HaveLen(min(tc.n, tc.members)))
			domains := map[string]bool{}
			for _, m := range chosen {
				domains[m.Domain] = true
			}
			Expect(domains).To(HaveLen(tc.domains))
		})
	}
})
