package savorypinslopes_test

import (
	"sync"

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

// measuredControl is the control of a fleet, which takes most of a minute to
// measure.
var measuredControl = sync.OnceValue(func() []savorypinslopes.Row { return savorypinslopes.Control(measuredMembers) })

// measuredLimits are the limits of the target size.
var measuredLimits = sync.OnceValue(func() []savorypinslopes.Row { return savorypinslopes.Limit(targetMembers) })

var _ = Describe("Control", func() {
	It("stays within the bytes, the calls and the time of the target", func() {
		figures := map[string]float64{}
		for _, row := range measuredControl() {
			figures[row.Name+" "+row.Unit] = row.Value
		}
		Expect(figures["the same, worst daemon B/s"]).To(BeNumerically("<=", targetBytesPerSecond))
		Expect(figures["change in force, slowest s"]).To(BeNumerically("<=", targetInForceSeconds))
		Expect(figures["platform: watch calls/s"]).To(BeNumerically("<=", targetCallsPerSecond))
		Expect(figures["platform: list calls/s"]).To(BeZero())
	})

	It("leaves an entry room for the limits of all organisations", func() {
		control := valueOf(measuredControl(), "the same, worst daemon")
		limits := valueOf(measuredLimits(), "usage and grants")
		// An entry reports to the owners, and is an owner itself.
		const sides = 2
		Expect(control + sides*limits).To(BeNumerically("<=", targetBytesPerSecond))
	})

	It("is far below its naive twin", func() {
		value := func(rows []savorypinslopes.Row) float64 { return rows[0].Value }
		Expect(value(savorypinslopes.Control(40))).To(BeNumerically("<", value(savorypinslopes.Naive(40))/10))
	})
})

// valueOf returns the figure of a name.
func valueOf(rows []savorypinslopes.Row, name string) float64 {
	for _, row := range rows {
		if row.Name == name {
			return row.Value
		}
	}
	Fail("no figure " + name)
	return 0
}

var _ = Describe("Limit", func() {
	It("costs an entry with all organisations less than half of its bytes", func() {
		limits := valueOf(measuredLimits(), "usage and grants")
		Expect(limits).To(BeNumerically("<=", targetBytesPerSecond/2))
	})
})

var _ = Describe("Relay", func() {
	It("carries a token in few bytes", func() {
		// The link between regions carries 30 Mbit/s.
		const maxBytes = 60
		bytes := valueOf(savorypinslopes.Relay(1), "payload")
		Expect(bytes).To(And(BeNumerically(">", 0), BeNumerically("<=", maxBytes)))
	})
})
