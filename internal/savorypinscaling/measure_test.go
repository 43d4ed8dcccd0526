package savorypinscaling_test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinscaling"
)

// Upper bounds of Control for a daemon at the target size, from the users'
// requirements.
const (
	targetBytesPerSecond = 23_000
	targetInForceSeconds = 18
	targetMembers        = 320
	// targetCallsPerSecond is 1% of the reads per second that the platform can
	// serve.
	targetCallsPerSecond = 20
)

// measuredControl returns the measurement of Control. It is shared by the specs
// because it takes most of a minute.
var measuredControl = sync.OnceValue(func() []savorypinscaling.Row { return savorypinscaling.Control(measuredMembers) })

// measuredLimits returns the measurement of Limit at the target size.
var measuredLimits = sync.OnceValue(func() []savorypinscaling.Row { return savorypinscaling.Limit(targetMembers) })

var _ = Describe("Control", func() {
	It("stays within the target's bounds for bytes, calls and time", func() {
		figures := map[string]float64{}
		for _, row := range measuredControl() {
			figures[row.Name+" "+row.Unit] = row.Value
		}
		Expect(figures["the same, worst daemon B/s"]).To(BeNumerically("<=", targetBytesPerSecond))
		Expect(figures["change in force, slowest s"]).To(BeNumerically("<=", targetInForceSeconds))
		Expect(figures["platform: watch calls/s"]).To(BeNumerically("<=", targetCallsPerSecond))
		Expect(figures["platform: list calls/s"]).To(BeZero())
	})

	It("leaves an entry enough bandwidth to enforce the limits of all organisations", func() {
		control := valueOf(measuredControl(), "the same, worst daemon")
		limits := valueOf(measuredLimits(), "usage and grants")
		// An entry reports to the owners and is an owner itself, so it exchanges
		// the bytes on both sides.
		const sides = 2
		Expect(control + sides*limits).To(BeNumerically("<=", targetBytesPerSecond))
	})

	It("sends less than a tenth of the bytes of the naive version", func() {
		value := func(rows []savorypinscaling.Row) float64 { return rows[0].Value }
		Expect(value(savorypinscaling.Control(40))).To(BeNumerically("<", value(savorypinscaling.Naive(40))/10))
	})
})

// valueOf returns the value of the first row with the given name.
func valueOf(rows []savorypinscaling.Row, name string) float64 {
	for _, row := range rows {
		if row.Name == name {
			return row.Value
		}
	}
	Fail("no row " + name)
	return 0
}

var _ = Describe("Limit", func() {
	It("takes at most half of an entry's bandwidth when all organisations are active", func() {
		limits := valueOf(measuredLimits(), "usage and grants")
		Expect(limits).To(BeNumerically("<=", targetBytesPerSecond/2))
	})
})

var _ = Describe("Relay", func() {
	It("sends a token in at most 60 bytes", func() {
		// The bandwidth between regions is 30 Mbit/s, which is 62,500 tokens of 60
		// bytes per second.
		const maxBytes = 60
		bytes := valueOf(savorypinscaling.Relay(1), "payload")
		Expect(bytes).To(And(BeNumerically(">", 0), BeNumerically("<=", maxBytes)))
	})
})
