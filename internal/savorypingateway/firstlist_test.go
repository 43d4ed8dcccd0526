package savorypingateway

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("When all gateways start at once after a power loss, the endpoints", func() {
	for _, tc := range []struct{ fleet, minListers, maxListers int }{
		{5, 5, 5},
		{68, 68, 68},
		{320, 20, 20},
		{1000, 62, 62},
	} {
		It(fmt.Sprintf("are listed by %d of %d gateways", tc.maxListers, tc.fleet), func() {
			var fleet []string
			for i := range tc.fleet {
				fleet = append(fleet, fmt.Sprintf("10.1.%d.%d:7020", i/250, i%250))
			}
			listers := 0
			for i, self := range fleet {
				if listsFromStore(self, slices.Concat(fleet[:i], fleet[i+1:])) {
					listers++
				}
			}
			Expect(listers).To(And(BeNumerically(">=", tc.minListers), BeNumerically("<=", tc.maxListers)))
		})
	}
})
