package savorypingateway

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The limits on connections", func() {
	for _, tc := range []struct {
		memoryMB, descriptors int
		callers, internal     int
	}{
		{184, 4100, 1472, 33},
		{536, 8192, 3996, 33},
		{96, 300, 112, 12},
		{1, 10, 8, 8},
	} {
		It(fmt.Sprintf("follow from %d MB and %d descriptors", tc.memoryMB, tc.descriptors), func() {
			limits := newConnectionLimits(&Settings{MaxDescriptors: tc.descriptors, MemoryBytes: int64(tc.memoryMB) << 20})
			Expect(limits.callers).To(Equal(tc.callers))
			Expect(limits.internal).To(Equal(tc.internal))
		})
	}

	It("follow from the process without settings", func() {
		Expect(newConnectionLimits(&Settings{}).callers).To(BeNumerically(">=", minConnections))
	})
})
