package savorypingateway

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The silence of a stream", func() {
	const gap = 700 * time.Millisecond
	for _, tc := range []struct {
		name    string
		stuck   int
		longest time.Duration
		// tolerated is a silence that must not end the attempt, and ended one that must.
		tolerated, ended time.Duration
	}{
		{"ends an attempt before the caller's pause is late", 0, 40 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond},
		{"is borne from an endpoint that is slow but sound", 0, 600 * time.Millisecond, 1100 * time.Millisecond, 3 * time.Second},
		{"is borne for longer where one endpoint was given up", 1, 0, 800 * time.Millisecond, 1200 * time.Millisecond},
		{"ends an attempt in the end, wherever all are slow", 20, 0, 5 * time.Second, time.Minute},
	} {
		It(tc.name, func() {
			b := silenceBounds(gap, tc.stuck, tc.longest)
			Expect(b.limit).To(BeNumerically(">", tc.tolerated))
			Expect(b.limit).To(BeNumerically("<", tc.ended))
			Expect(b.check).To(BeNumerically("<=", b.limit))
		})
	}
})

var _ = Describe("An event", func() {
	for _, tc := range []struct {
		name, text string
		want       bool
	}{
		{"after the last one goes on", "id: 4\ndata: x\n\n", true},
		{"without a number goes on", "data: x\n\n", true},
		{"that the caller has does not", "id: 3\ndata: x\n\n", false},
		{"of comments only does not", ": ping\n:\n\n", false},
		{"of nothing does not", "\n", false},
	} {
		It(tc.name, func() {
			e, err := newEventReader(strings.NewReader(tc.text)).next()
			Expect(err).NotTo(HaveOccurred())
			Expect(e.advances(3)).To(Equal(tc.want))
		})
	}
})

var _ = Describe("A stream that is checked since its failure domain was lost", func() {
	for _, c := range []struct {
		name     string
		reported bool
		sent     time.Duration
		want     bool
	}{
		{"is not given up right after it was sent, as the engine's report is older", false, 20 * time.Millisecond, false},
		{"is given up if the engine long should know it", false, time.Second, true},
		{"goes on at an engine that knows it", true, time.Second, false},
	} {
		It(c.name, func() {
			Expect(missing(c.reported, c.sent)).To(Equal(c.want))
		})
	}
})
