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
	var of []string
	for _, p := range gateways {
		of = append(of, p.Address)
	}
	return of
}

// clock is a clock that tests set.
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
		heard  savorypingossip.Hearing
	}{
		{"takes a later message", savorypingossip.Message{Address: "a", Started: 5, Sent: 20}, savorypingossip.HearingKnown},
		{"ignores a message that came out of order", savorypingossip.Message{Address: "a", Started: 5, Sent: 5}, savorypingossip.HearingOld},
		{"ignores a copy", savorypingossip.Message{Address: "a", Started: 5, Sent: 10}, savorypingossip.HearingOld},
		{"takes a new incarnation, whose clock begins anew", savorypingossip.Message{Address: "a", Started: 6, Sent: 1}, savorypingossip.HearingStarted},
		{"ignores an old incarnation", savorypingossip.Message{Address: "a", Started: 4, Sent: 30}, savorypingossip.HearingOld},
		{"ignores a message of its own", savorypingossip.Message{Address: "self", Started: 9, Sent: 9}, savorypingossip.HearingOld},
	} {
		It(tc.name, func() {
			Expect(t.Hear(savorypingossip.Message{Address: "a", Started: 5, Sent: 10})).To(Equal(savorypingossip.HearingStarted))
			Expect(t.Hear(tc.second)).To(Equal(tc.heard))
		})
	}

	It("takes an incarnation that looks older once the one before is silent", func() {
		Expect(t.Hear(savorypingossip.Message{Address: "a", Started: 5, Sent: 10})).To(Equal(savorypingossip.HearingStarted))
		c.now = c.now.Add(t.AliveTime())
		Expect(t.Hear(savorypingossip.Message{Address: "a", Started: 4, Sent: 1})).To(Equal(savorypingossip.HearingStarted))
		Expect(t.Echo("a")).To(Equal(savorypingossip.Echo{Sent: 1, Started: 4}))
	})

	It("takes silent gateways as dead and forgets them later", func() {
		t.Meet([]string{"b", "self"})
		t.Hear(savorypingossip.Message{Address: "a", Sent: 1})
		Expect(addresses(t.Alive())).To(Equal([]string{"a"}))
		Expect(addresses(t.Silent())).To(Equal([]string{"b"}))
		c.now = c.now.Add(4 * time.Second)
		Expect(t.Alive()).To(BeEmpty())
		Expect(addresses(t.Silent())).To(Equal([]string{"a", "b"}))
		c.now = c.now.Add(2 * time.Minute)
		Expect(t.Silent()).To(BeEmpty())
		Expect(t.Len()).To(BeZero())
	})

	It("counts a heartbeat that was passed on by its age", func() {
		Expect(t.HearAlive(savorypingossip.Peer{Address: "a"}, 5, 2*time.Second)).To(Equal(savorypingossip.HearingStarted))
		Expect(t.Alive()).To(HaveLen(1))
		c.now = c.now.Add(t.AliveTime() - 2*time.Second)
		Expect(t.Alive()).To(BeEmpty())
	})

	It("lets all gateways find the same readers, without those that leave", func() {
		const n = 9
		tables := map[string]*savorypingossip.Table{}
		for i := range n {
			address := fmt.Sprint("gateway-", i)
			tables[address] = savorypingossip.NewTable(savorypingossip.Peer{Address: address}, c.read)
		}
		for _, table := range tables {
			for i := range n {
				table.HearAlive(savorypingossip.Peer{Address: fmt.Sprint("gateway-", i), Leaving: i == 4}, 1, 0)
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

var _ = Describe("Changes between gateways", func() {
	It("are fetched from the version on that the asker has", func() {
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
