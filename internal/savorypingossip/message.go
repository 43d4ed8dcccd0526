// Package savorypingossip lets gateways tell each other what they have seen:
// which failure domains and endpoints fail, how much work they have placed, and
// how fresh their configuration is. What is told is soft state: a lost message
// is made good by the next one, and nothing that must last depends on it.
//
// Messages are msgpack in UDP datagrams. Unlike a connection, a datagram socket
// can't go silent unnoticed.
package savorypingossip

import (
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinrollout"
)

// Message is what a gateway tells another one. Its fields are exported for the
// codec.
type Message struct {
	// Budgets are what the sender has spent of the shared retry budgets.
	Budgets []Budget `msgpack:"b2,omitempty"`
	// Address is where the sender receives messages.
	Address string `msgpack:"a"`
	// Copies say how far the sender's copies of the store's objects are.
	Copies []Copy `msgpack:"k,omitempty"`
	// Domain is the sender's failure domain.
	Domain string `msgpack:"d"`
	// Echo names the last message that the sender had from the receiver.
	Echo Echo `msgpack:"e"`
	// Failures are the domain failures that the sender has seen lately.
	Failures []savorypinpick.Failure `msgpack:"f,omitempty"`
	// History are the older failures that the sender remembers.
	History []savorypinpick.Failure `msgpack:"h,omitempty"`
	// Leaving says that the sender takes no new callers.
	Leaving bool `msgpack:"l,omitempty"`
	// Loads are the sender's work at endpoints.
	Loads []savorypinpick.Load `msgpack:"w,omitempty"`
	// Name names the sender.
	Name string `msgpack:"n"`
	// Peers are addresses of gateways that the sender knows.
	Peers []string `msgpack:"p,omitempty"`
	// Prompts say which engines run the sender's streams.
	Prompts []savorypinpick.Prompt `msgpack:"q,omitempty"`
	// Rollouts are what the sender has seen of versions that are rolled out.
	Rollouts []savorypinrollout.Report `msgpack:"r,omitempty"`
	// Sent is when the message was sent, by the sender's boot-time clock.
	Sent time.Duration `msgpack:"s"`
	// Started tells incarnations of the sender apart.
	Started int64 `msgpack:"b"`
	// Suspects are the endpoints that the sender takes as failed.
	Suspects []string `msgpack:"u,omitempty"`
}

// Echo names a message. Clocks of one host begin anew when it starts again, so
// that a time alone may be that of an earlier incarnation.
type Echo struct {
	// Sent is when the message was sent, by the clock of its sender.
	Sent time.Duration `msgpack:"s"`
	// Started is the incarnation of its sender.
	Started int64 `msgpack:"b"`
}

// Copy says how far a copy of a kind is.
type Copy struct {
	// Age is how long ago the copy was confirmed; negative for never.
	Age time.Duration `msgpack:"g"`
	// At is the store's version up to which changes were read.
	At int64 `msgpack:"a"`
	// Changed is the version of the newest change.
	Changed int64          `msgpack:"c"`
	Kind    savorypin.Kind `msgpack:"k"`
}

// Budget is what a gateway has sent to a service within the window of the retry
// budget.
type Budget struct {
	First   float64 `msgpack:"f"`
	Repeats float64 `msgpack:"r"`
	Service string  `msgpack:"s"`
}
