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

// recorder holds a Gossip without a network and records what it passes to its callbacks.
type recorder struct {
	// messages counts the calls of OnMessage.
	messages int
	updates  []ReceivedUpdate
	gossip   *Gossip
	// panics makes OnMessage panic.
	panics bool
}

func newRecorder() *recorder {
	r := &recorder{}
	r.gossip = New(Config{
		Address: "10.1.0.1:7020",
		Clock:   func() time.Duration { return time.Hour },
		Copies:  func() []CopyStatus { return nil },
		OnMessage: func(Message) {
			if r.panics {
				panic("handler failed")
			}
			r.messages++
		},
		OnUpdate: func(u ReceivedUpdate) { r.updates = append(r.updates, u) },
		History:  func() []savorypinpick.Failure { return nil },
		Log:      savorypinevent.New(savorypinevent.Config{Logger: log.New(io.Discard)}),
		Now:      time.Now, Sealer: savorypinseal.New(), Started: 1,
		Table: NewTable(Peer{Address: "10.1.0.1:7020"}, time.Now),
	})
	r.gossip.send = func(string, *Message) error { return nil }
	return r
}

func mustEncode(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// messageWith returns an encoded message that forwards an update of a third gateway.
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
		{"data that is not msgpack", []byte{0xc1}},
		{"a truncated message", messageWith(PartLoad, GatewayState{})[:20]},
	} {
		It("rejects "+tc.name, func() {
			r := newRecorder()
			r.gossip.handleDatagram(tc.data)
			Expect(r.messages).To(BeZero())
			Expect(r.updates).To(BeEmpty())
		})
	}

	for _, tc := range []struct {
		name  string
		part  Part
		state GatewayState
	}{
		{"a send count that is not a number", PartBudget, GatewayState{Budgets: []ServiceSendCounts{{Repeats: math.NaN()}}}},
		{"a negative send count", PartBudget, GatewayState{Budgets: []ServiceSendCounts{{First: -1e9}}}},
		{"a negative load", PartLoad, GatewayState{Loads: []savorypinpick.Load{{Endpoint: "e", Running: -5}}}},
		{"a load above the bound", PartLoad, GatewayState{Loads: []savorypinpick.Load{{Endpoint: "e", Waiting: 1 << 50}}}},
		{"a failure in the future", PartFailure, GatewayState{Failures: []savorypinpick.Failure{{Age: -1}}}},
		{"a rollout that began in the future", PartRollout, GatewayState{Rollouts: []savorypinrollout.Report{{Age: -1}}}},
		{"an unknown part", "other", GatewayState{Name: "x"}},
	} {
		It("rejects "+tc.name+" and doesn't forward the update", func() {
			r := newRecorder()
			r.gossip.handleDatagram(messageWith(tc.part, tc.state))
			Expect(r.updates).To(BeEmpty())
			Expect(r.gossip.updates.TakeRound(maxRoundBytes)).To(BeEmpty())
		})
	}

	It("rejects a message without a tag, one with a tag of another key and a replayed one", func() {
		r := newRecorder()
		r.gossip.cfg.Sealer = savorypinseal.New("a key of the gateways")
		message := messageWith(PartHeartbeat, GatewayState{Name: "a"})
		r.gossip.handleDatagram(message)
		r.gossip.handleDatagram(savorypinseal.New("some other key").Seal(purposeGossip, message))
		Expect(r.messages).To(BeZero())
		r.gossip.handleDatagram(r.gossip.cfg.Sealer.Seal(purposeGossip, message))
		Expect(r.messages).To(Equal(1))
		// A replay of the same message.
		r.gossip.handleDatagram(r.gossip.cfg.Sealer.Seal(purposeGossip, message))
		Expect(r.messages).To(Equal(1))
	})

	It("accepts a valid update", func() {
		r := newRecorder()
		r.gossip.handleDatagram(messageWith(PartLoad, GatewayState{Loads: []savorypinpick.Load{{Endpoint: "e", Running: 2, Waiting: 8000}}}))
		Expect(r.messages).To(Equal(1))
		Expect(r.updates).To(HaveLen(1))
	})
})

var _ = Describe("A panic while handling a message", func() {
	It("doesn't prevent the next message from being handled", func() {
		r := newRecorder()
		r.panics = true
		r.gossip.cfg.Log.RunRecovered("hear gossip", func() { r.gossip.handleDatagram(messageWith(PartLoad, GatewayState{})) })
		r.panics = false
		r.gossip.handleDatagram(mustEncode(Message{Address: "10.1.0.2:7020", Sent: 2, Started: 1}))
		Expect(r.messages).To(Equal(1))
	})
})

func FuzzDatagram(f *testing.F) {
	f.Add(messageWith(PartHeartbeat, GatewayState{Domain: "d1", Name: "a"}))
	f.Add(messageWith(PartLoad, GatewayState{Loads: []savorypinpick.Load{{Endpoint: "e", PromptIDs: []string{"p"}, Running: 1}}}))
	f.Add(messageWith(PartFailure, GatewayState{Suspects: []string{"e"}, Failures: []savorypinpick.Failure{{Domain: "d1"}}}))
	f.Add(mustEncode(Message{Address: "a", WantReply: true, Copies: []CopyStatus{{Kind: "config", At: 3}}, Sent: 4}))
	// Arrays that declare four billion entries, as the whole message and as its updates, with
	// the message as an array and as a map.
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x99, 0xa1, 'a', 0xc2, 0xc0, 0xa0, 0xc0, 0xc0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa1, 'r', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newRecorder()
		r.gossip.handleDatagram(data)
		for _, received := range r.updates {
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
		_ = readFrame(bytes.NewReader(data), savorypinseal.New(), purposeTransfer, maxFrameBytes, &d)
	})
}
