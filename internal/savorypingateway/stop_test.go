package savorypingateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A stream that comes to a gateway that stops", func() {
	const usual = 6 * time.Second
	for _, c := range []struct {
		name  string
		since time.Duration
		grace time.Duration
		taken bool
	}{
		{"is taken while the balancer still sends callers", 2 * time.Second, 8 * time.Second, true},
		{"is refused later, since it would be cut", 3600 * time.Millisecond, 8 * time.Second, false},
		{"is taken later if the grace is long enough to finish it", 5 * time.Second, time.Minute, true},
		{"is refused near the end of a long grace", 50 * time.Second, time.Minute, false},
	} {
		It(c.name, func() {
			Expect(takesStream(c.since, c.grace, usual)).To(Equal(c.taken))
		})
	}
})
