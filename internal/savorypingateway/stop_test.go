package savorypingateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A new stream at a gateway that is shutting down", func() {
	const usual = 6 * time.Second
	for _, c := range []struct {
		name      string
		sinceStop time.Duration
		grace     time.Duration
		accepted  bool
	}{
		{"is accepted while the load balancer still sends new callers", 2 * time.Second, 8 * time.Second, true},
		{"is refused after that, since it would be cut off", 3600 * time.Millisecond, 8 * time.Second, false},
		{"is accepted after that if the grace period is long enough to finish it", 5 * time.Second, time.Minute, true},
		{"is refused near the end of a long grace period", 50 * time.Second, time.Minute, false},
	} {
		It(c.name, func() {
			Expect(acceptsStream(c.sinceStop, c.grace, usual)).To(Equal(c.accepted))
		})
	}
})
