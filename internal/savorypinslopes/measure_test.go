package savorypinslopes_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinslopes"
)

// Bounds of control for a daemon at the target size, from the users' letter.
const (
	targetBytesPerSecond = 23_000
	targetInForceSeconds = 18
	targetMembers        = 320
	// targetCallsPerSecond is a hundredth of the reads that the platform
	// takes.
	targetCallsPerSecond = 20
)

var _ = Describe("Control", func() {
	It("stays within the bytes, the calls and the time of the target", func() {
		figures := map[string]float64{}
		for _, row := range savorypinslopes.Control(targetMembers) {
			figures[row.Name+" "+row.Unit] = row.Value
		}
		Expect(figures["the same, worst daemon B/s"]).To(BeNumerically("<=", targetBytesPerSecond))
		Expect(figures["change in force, slowest s"]).To(BeNumerically("<=", targetInForceSeconds))
		Expect(figures["platform: watch calls/s"]).To(BeNumerically("<=", targetCallsPerSecond))
		Expect(figures["platform: list calls/s"]).To(BeZero())
	})

	It("is far below its naive twin", func() {
		value := func(rows []savorypinslopes.Row) float64 { return rows[0].Value }
		Expect(value(savorypinslopes.Control(40))).To(BeNumerically("<", value(savorypinslopes.Naive(40))/10))
	})
})
