package savorypingossip

import (
	"bytes"
	"io"
	"math"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinmirror"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinrollout"
	"savorypin/internal/savorypinseal"
)

// recorder is a Gossip without a network that records what it passes on.
type recorder struct {
	direct int
	facts  []ReceivedUpdate
	gossip *Gossip
	// panics makes the handler of messages panic.
	panics bool
}

func newRecorder() *recorder {
	h := &recorder{}
	h.gossip = New(Config{
		Address: "10.1.0.1:7020",
		Clock:   func() time.Duration { return time.Hour },
		Copies:  func() []CopyStatus { return nil },
		OnMessage: func(Message) {
			if h.panics {
				panic("handler failed")
			}
			h.direct++
		},
		OnUpdate: func(f ReceivedUpdate) { h.facts = append(h.facts, f) },
		History:  func() []savorypinpick.Failure { return nil },
		Log:      savorypinevent.New(savorypinevent.Config{Logger: log.New(io.Discard)}),
		Now:      time.Now, Sealer: savorypinseal.New(), Started: 1,
		Table: NewTable(Peer{Address: "10.1.0.1:7020"}, time.Now),
	})
	h.gossip.send = func(string, *Message) error { return nil }
	return h
}

func mustEncode(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// messageWith returns an encoded message with an update of another gateway.
func messageWith(part Part, state GatewayState) []byte {
	return mustEncode(Message{
		Address: "10.1.0.2:7020", Sent: 1, Started: 1,
		Updates: []Update{{Body: mustEncode(state), Origin: "10.1.0.3:7020", Part: part, Serial: 1, Started: 1}},
	})
}

var _ = Describe("Validation of a message", func() {
	far := time.Now().Add(100 * 24 * time.Hour).UnixNano()
	for _, tc := range []struct {
		name string
		data []byte
	}{
		{"an incarnation far in the future", mustEncode(Message{Address: "a", Sent: 1, Started: far})},
		{"an origin's incarnation far in the future", mustEncode(Message{Address: "a", Sent: 1, Updates: []Update{{Started: far}}})},
		{"negative versions", mustEncode(Message{Address: "a", Sent: 1, Copies: []CopyStatus{{At: -1}}})},
		{"failures in the future", mustEncode(Message{Address: "a", Sent: 1, History: []savorypinpick.Failure{{Age: -time.Hour}}})},
		{"bytes that are no msgpack", []byte{0xc1}},
		{"a truncated message", messageWith(PartLoad, GatewayState{})[:20]},
	} {
		It("rejects "+tc.name, func() {
			h := newRecorder()
			h.gossip.handleDatagram(tc.data)
			Expect(h.direct).To(BeZero())
			Expect(h.facts).To(BeEmpty())
		})
	}

	for _, tc := range []struct {
		name  string
		part  Part
		state GatewayState
	}{
		{"a budget that is not a number", PartBudget, GatewayState{Budgets: []Budget{{Repeats: math.NaN()}}}},
		{"a negative budget", PartBudget, GatewayState{Budgets: []Budget{{First: -1e9}}}},
		{"a negative load", PartLoad, GatewayState{Loads: []savorypinpick.Load{{Endpoint: "e", Running: -5}}}},
		{"a load above the bound", PartLoad, GatewayState{Loads: []savorypinpick.Load{{Endpoint: "e", Waiting: 1 << 50}}}},
		{"a failure in the future", PartFailure, GatewayState{Failures: []savorypinpick.Failure{{Age: -1}}}},
		{"a roll-out that began in the future", PartRollout, GatewayState{Rollouts: []savorypinrollout.Report{{Age: -1}}}},
		{"an unknown part", "other", GatewayState{Name: "x"}},
	} {
		It("rejects "+tc.name+" and doesn't forward the update", func() {
			h := newRecorder()
			h.gossip.handleDatagram(messageWith(tc.part, tc.state))
			Expect(h.facts).To(BeEmpty())
			Expect(h.gossip.updates.TakeRound(maxRoundBytes)).To(BeEmpty())
		})
	}

	It("rejects a message sealed with another key and a replayed message", func() {
		h := newRecorder()
		h.gossip.cfg.Sealer = savorypinseal.New("a key of the gateways")
		message := messageWith(PartHeartbeat, GatewayState{Name: "a"})
		h.gossip.handleDatagram(message)
		h.gossip.handleDatagram(savorypinseal.New("some other key").Seal(purposeGossip, message))
		Expect(h.direct).To(BeZero())
		h.gossip.handleDatagram(h.gossip.cfg.Sealer.Seal(purposeGossip, message))
		Expect(h.direct).To(Equal(1))
		// The same message again is a replay.
		h.gossip.handleDatagram(h.gossip.cfg.Sealer.Seal(purposeGossip, message))
		Expect(h.direct).To(Equal(1))
	})

	It("accepts a valid update", func() {
		h := newRecorder()
		h.gossip.handleDatagram(messageWith(PartLoad, GatewayState{Loads: []savorypinpick.Load{{Endpoint: "e", Running: 2, Waiting: 8000}}}))
		Expect(h.direct).To(Equal(1))
		Expect(h.facts).To(HaveLen(1))
	})
})

var _ = Describe("A panic while handling a message", func() {
	It("doesn't prevent the next message from being handled", func() {
		h := newRecorder()
		h.panics = true
		h.gossip.cfg.Log.RunRecovered("hear gossip", func() { h.gossip.handleDatagram(messageWith(PartLoad, GatewayState{})) })
		h.panics = false
		h.gossip.handleDatagram(mustEncode(Message{Address: "10.1.0.2:7020", Sent: 2, Started: 1}))
		Expect(h.direct).To(Equal(1))
	})
})

func FuzzDatagram(f *testing.F) {
	f.Add(messageWith(PartHeartbeat, GatewayState{Domain: "d1", Name: "a"}))
	f.Add(messageWith(PartLoad, GatewayState{Loads: []savorypinpick.Load{{Endpoint: "e", Prompts: []string{"p"}, Running: 1}}}))
	f.Add(messageWith(PartFailure, GatewayState{Suspects: []string{"e"}, Failures: []savorypinpick.Failure{{Domain: "d1"}}}))
	f.Add(mustEncode(Message{Address: "a", WantReply: true, Copies: []CopyStatus{{Kind: "config", At: 3}}, Sent: 4}))
	// Lists of four billion entries, as the whole message and as its updates.
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x99, 0xa1, 'a', 0xc2, 0xc0, 0xa0, 0xc0, 0xc0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa1, 'r', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newRecorder()
		h.gossip.handleDatagram(data)
		for _, received := range h.facts {
			if err := received.State.validate(); err != nil {
				t.Fatalf("accepted an update that is out of bounds: %v", err)
			}
		}
	})
}

func FuzzTransfer(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0x80})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var d savorypinmirror.Delta
		// Invalid input must return an error and not panic.
		_ = readFrame(bytes.NewReader(data), savorypinseal.New(), purposeTransfer, &d)
	})
}
