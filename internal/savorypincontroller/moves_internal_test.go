package savorypincontroller

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Moves", func() {
	It("takes each report of an entry over once, and none that is late", func() {
		c := &Moves{seen: map[string]mark{}}
		for _, tc := range []struct {
			from string
			mark mark
			want bool
		}{
			{"entry-1", mark{incarnation: 1, sequence: 1}, true},
			{"entry-1", mark{incarnation: 1, sequence: 1}, false},
			{"entry-1", mark{incarnation: 1, sequence: 3}, true},
			{"entry-1", mark{incarnation: 1, sequence: 2}, false},
			{"entry-2", mark{incarnation: 1, sequence: 1}, true},
			{"entry-1", mark{incarnation: 2, sequence: 1}, true},
			{"entry-1", mark{incarnation: 1, sequence: 9}, false},
		} {
			Expect(c.isNew(tc.from, tc.mark)).To(Equal(tc.want), "%v", tc)
		}
	})
})

var _ = Describe("fleet", func() {
	It("names failure domains where there are several, else endpoints", func() {
		f := &fleet{places: map[string][]place{
			"near": {{domain: "d1", endpoint: "e1"}, {domain: "d1", endpoint: "e2"}},
			"wide": {{domain: "d1", endpoint: "e1"}, {domain: "d1", endpoint: "e2"}, {domain: "d2", endpoint: "e3"}},
		}}
		Expect(f.units("near")).To(Equal([]string{"endpoint e1", "endpoint e2"}))
		Expect(f.units("wide")).To(Equal([]string{"domain d1", "domain d2"}))
		Expect(f.units("none")).To(BeEmpty())
		Expect(f.serves("none")).To(BeFalse())
	})
})
