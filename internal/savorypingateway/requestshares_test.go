package savorypingateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypingossip"
)

func sends(first float64) []savorypingossip.ServiceSendCounts {
	return []savorypingossip.ServiceSendCounts{{Service: "ledger", First: first}}
}

var _ = Describe("The gateways' parts of the requests", func() {
	var (
		now    time.Time
		shares *requestShares
	)
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		shares = newRequestShares(requestSharesConfig{
			Address: "b", GatewayCount: func() int { return 2 },
			HeartbeatInterval: func() time.Duration { return time.Second },
			Now:               func() time.Time { return now },
		})
	})
	// report reports counts twice, a heartbeat apart, so that the others have heard of them.
	report := func(first float64) {
		for range 2 {
			now = now.Add(time.Second)
			shares.recordReport(sends(first))
		}
	}

	It("are equal until something is known", func() {
		Expect(shares.share("ledger")).To(Equal(0.5))
	})

	It("follow the requests, once the others have heard of them", func() {
		shares.setPeer("a", sends(10))
		shares.recordReport(sends(90))
		Expect(shares.share("ledger")).To(BeNumerically("<", 0.5))
		report(90)
		Expect(shares.share("ledger")).To(BeNumerically(">", 0.7))
		Expect(shares.busiest("ledger")).To(BeTrue())
	})

	It("name one busiest gateway if several have as many requests", func() {
		report(10)
		shares.setPeer("a", sends(10))
		Expect(shares.busiest("ledger")).To(BeFalse())
		shares.retainPeers(map[string]bool{})
		shares.setPeer("c", sends(10))
		Expect(shares.busiest("ledger")).To(BeTrue())
	})
})
