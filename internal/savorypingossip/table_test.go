package savorypingossip_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinmirror"
	"savorypin/internal/savorypinseal"
)

func addresses(gateways []savorypingossip.Peer) []string {
	var result []string
	for _, p := range gateways {
		result = append(result, p.Address)
	}
	return result
}

// clock is a manually set clock.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

var _ = Describe("The table of gateways", func() {
	var c *clock
	var t *savorypingossip.Table
	BeforeEach(func() {
		c = &clock{now: time.Unix(1000, 0)}
		t = savorypingossip.NewTable(savorypingossip.Peer{Address: "self"}, c.read)
	})

	for _, tc := range []struct {
		name   string
		second savorypingossip.Message
		want   savorypingossip.Observation
	}{
		{"accepts a later message", savorypingossip.Message{Address: "a", Started: 5, Sent: 20}, savorypingossip.ObservationKnown},
		{"ignores a message that arrived out of order", savorypingossip.Message{Address: "a", Started: 5, Sent: 5}, savorypingossip.ObservationStale},
		{"ignores a duplicate", savorypingossip.Message{Address: "a", Started: 5, Sent: 10}, savorypingossip.ObservationStale},
		{"accepts a new incarnation, whose clock has restarted", savorypingossip.Message{Address: "a", Started: 6, Sent: 1}, savorypingossip.ObservationStarted},
		{"ignores an earlier incarnation", savorypingossip.Message{Address: "a", Started: 4, Sent: 30}, savorypingossip.ObservationStale},
		{"ignores this gateway's own message", savorypingossip.Message{Address: "self", Started: 9, Sent: 9}, savorypingossip.ObservationStale},
	} {
		It(tc.name, func() {
			Expect(t.ObserveMessage(savorypingossip.Message{Address: "a", Started: 5, Sent: 10})).To(Equal(savorypingossip.ObservationStarted))
			Expect(t.ObserveMessage(tc.second)).To(Equal(tc.want))
		})
	}

	It("accepts an incarnation with an earlier start once the previous one has timed out", func() {
		Expect(t.ObserveMessage(savorypingossip.Message{Address: "a", Started: 5, Sent: 10})).To(Equal(savorypingossip.ObservationStarted))
		c.now = c.now.Add(t.LivenessTimeout())
		Expect(t.ObserveMessage(savorypingossip.Message{Address: "a", Started: 4, Sent: 1})).To(Equal(savorypingossip.ObservationStarted))
		Expect(t.Echo("a")).To(Equal(savorypingossip.Echo{Sent: 1, Started: 4}))
	})

	It("counts gateways that send nothing as unresponsive and removes them after a timeout", func() {
		t.AddAddresses([]string{"b", "self"})
		t.ObserveMessage(savorypingossip.Message{Address: "a", Sent: 1})
		Expect(addresses(t.Live())).To(Equal([]string{"a"}))
		Expect(addresses(t.Unresponsive())).To(Equal([]string{"b"}))
		c.now = c.now.Add(4 * time.Second)
		Expect(t.Live()).To(BeEmpty())
		Expect(addresses(t.Unresponsive())).To(Equal([]string{"a", "b"}))
		c.now = c.now.Add(2 * time.Minute)
		Expect(t.Unresponsive()).To(BeEmpty())
		Expect(t.Len()).To(BeZero())
	})

	It("counts the liveness timeout from when a forwarded heartbeat was sent", func() {
		Expect(t.ObserveHeartbeat(savorypingossip.Peer{Address: "a"}, 5, 2*time.Second)).To(Equal(savorypingossip.ObservationStarted))
		Expect(t.Live()).To(HaveLen(1))
		c.now = c.now.Add(t.LivenessTimeout() - 2*time.Second)
		Expect(t.Live()).To(BeEmpty())
	})

	It("selects the same readers on all gateways, none of which is leaving", func() {
		const n = 9
		tables := map[string]*savorypingossip.Table{}
		for i := range n {
			address := fmt.Sprint("gateway-", i)
			tables[address] = savorypingossip.NewTable(savorypingossip.Peer{Address: address}, c.read)
		}
		for _, table := range tables {
			for i := range n {
				table.ObserveHeartbeat(savorypingossip.Peer{Address: fmt.Sprint("gateway-", i), Leaving: i == 4}, 1, 0)
			}
		}
		readers := tables["gateway-0"].Readers()
		Expect(readers).To(HaveLen(2))
		Expect(readers).NotTo(ContainElement("gateway-4"))
		for address, table := range tables {
			if address != "gateway-4" {
				Expect(table.Readers()).To(Equal(readers))
			}
		}
	})
})

var _ = Describe("Fetching changes from another gateway", func() {
	It("returns the changes since a version and fails for an unknown kind or another key", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		l.Close()
		m := savorypinmirror.New()
		m.Apply(savorypin.Object{Key: savorypin.Key{Name: "a"}, Version: 1, Spec: []byte(`{"x":1}`)})
		m.Apply(savorypin.Object{Key: savorypin.Key{Name: "b"}, Version: 2})
		m.Apply(savorypin.Object{Key: savorypin.Key{Name: "c"}, Version: 3, Deleted: true})
		key := savorypinseal.New("a key of the gateways")
		logs := savorypinevent.New(savorypinevent.Config{Logger: log.New(io.Discard)})
		m.Confirm(time.Second, 0)
		clock := func() time.Duration { return 3 * time.Second }
		server := &savorypingossip.SyncServer{Address: address, Clock: clock, Log: logs, Sealer: key, Mirrors: map[savorypin.Kind]*savorypinmirror.Mirror{"k": m}}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- server.Run(ctx) }()
		var t savorypingossip.Transfer
		Eventually(func() (err error) {
			t, err = savorypingossip.Fetch(ctx, key, address, "k", 1, 0)
			return err
		}, "5s").Should(Succeed())
		Expect(time.Duration(t.Age)).To(Equal(2 * time.Second))
		d := t.Delta
		Expect(d.Objects).To(HaveLen(1))
		Expect(d.Objects[0].Name).To(Equal("b"))
		Expect(d.Removed).To(Equal([]savorypinmirror.Removal{{Name: "c", Version: 3}}))
		_, err = savorypingossip.Fetch(ctx, key, address, "unknown", 0, 0)
		Expect(err).To(MatchError(ContainSubstring("read changes")))
		_, err = savorypingossip.Fetch(ctx, savorypinseal.New("some other key"), address, "k", 1, 0)
		Expect(err).To(HaveOccurred())
		cancel()
		Expect(<-done).To(MatchError(context.Canceled))
	})
})
