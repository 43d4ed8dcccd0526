package savorypingateway

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The timeouts between two events of a stream", func() {
	const targetGap = 700 * time.Millisecond
	for _, tc := range []struct {
		name    string
		stalled int
		longest time.Duration
		// tolerated is a pause that must not end the attempt, and ended is one that must.
		tolerated, ended time.Duration
	}{
		{"end an attempt before the caller's pause reaches the target gap", 0, 40 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond},
		{"tolerate the pauses of an endpoint that is slow but works", 0, 600 * time.Millisecond, 1100 * time.Millisecond, 3 * time.Second},
		{"are longer after another attempt has stalled", 1, 0, 800 * time.Millisecond, 1200 * time.Millisecond},
		{"end an attempt eventually, even if all endpoints are slow", 20, 0, 5 * time.Second, time.Minute},
	} {
		It(tc.name, func() {
			timeouts := eventTimeouts(targetGap, tc.stalled, tc.longest)
			Expect(timeouts.limit).To(BeNumerically(">", tc.tolerated))
			Expect(timeouts.limit).To(BeNumerically("<", tc.ended))
			Expect(timeouts.check).To(BeNumerically("<=", timeouts.limit))
		})
	}
})

var _ = Describe("An event", func() {
	for _, tc := range []struct {
		name, text string
		want       bool
	}{
		{"after the last one is new", "id: 4\ndata: x\n\n", true},
		{"without a number is new", "data: x\n\n", true},
		{"that the caller has is not new", "id: 3\ndata: x\n\n", false},
		{"of comments only is not new", ": ping\n:\n\n", false},
		{"without fields is not new", "\n", false},
	} {
		It(tc.name, func() {
			e, err := newEventReader(strings.NewReader(tc.text)).next()
			Expect(err).NotTo(HaveOccurred())
			Expect(e.advances(3)).To(Equal(tc.want))
		})
	}
})

var _ = Describe("A stream that is checked because its failure domain failed", func() {
	for _, c := range []struct {
		name      string
		reported  bool
		sinceSent time.Duration
		want      bool
	}{
		{"is not abandoned right after it was sent, since the engine's report may be older", false, 20 * time.Millisecond, false},
		{"is abandoned if the engine's report should include it by now", false, time.Second, true},
		{"continues if the engine's report includes it", true, time.Second, false},
	} {
		It(c.name, func() {
			Expect(isMissing(c.reported, c.sinceSent)).To(Equal(c.want))
		})
	}
})
