package savorypingossip

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinpick"
)

var _ = Describe("The echo in a message", func() {
	// The host and the gateway on it restarted three seconds ago.
	const (
		now     = 3 * time.Second
		started = 7
	)
	for _, tc := range []struct {
		name string
		echo Echo
		want time.Duration
	}{
		{"is used if it is for this incarnation", Echo{Sent: 2 * time.Second, Started: started}, 2 * time.Second},
		{"is cleared if it is for an incarnation from before the host's restart", Echo{Sent: time.Hour, Started: started - 1}, 0},
		{"is cleared if it is for an incarnation from before the wall clock was set back", Echo{Sent: time.Second, Started: started + 1}, 0},
		{"is cleared if it was sent in the future", Echo{Sent: now + 1, Started: started}, 0},
		{"stays empty if there is none", Echo{}, 0},
	} {
		It(tc.name, func() {
			var received []Message
			g := New(Config{
				Clock: func() time.Duration { return now }, Copies: func() []CopyStatus { return nil },
				OnMessage: func(m Message) { received = append(received, m) }, History: func() []savorypinpick.Failure { return nil },
				Now: time.Now, Started: started, Table: NewTable(Peer{Address: "self"}, time.Now),
			})
			g.send = func(string, *Message) error { return nil }
			g.handleMessage(Message{Address: "a", Echo: tc.echo, Sent: 1})
			Expect(received).To(HaveLen(1))
			Expect(received[0].Echo.Sent).To(Equal(tc.want))
		})
	}
})
