// Package savorypingossip lets gateways tell each other what they have seen:
// which failure domains and endpoints fail, how much work they have placed, and
// how fresh their configuration is. What is told is soft state: a lost message
// is made good by a later one, and nothing that must last depends on it.
//
// Each gateway sends a few messages a round. A message carries rumors, which
// those who hear them pass on once, so that news reach all gateways in a few
// rounds while what each of them sends and receives hardly grows with their
// number. Between regions only a few relays of each region send messages.
//
// Messages are msgpack in UDP datagrams. Unlike a connection, a datagram socket
// can't go silent unnoticed.
package savorypingossip

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinrollout"
)

// Message is what a gateway sends to another one. Its fields are exported for
// the codec.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to leave the names out
	// Address is where the sender receives messages.
	Address string `msgpack:"a"`
	// Ask asks for an answer at once.
	Ask bool `msgpack:"q,omitempty"`
	// Copies say how far the sender's copies of the store's objects are.
	Copies []Copy `msgpack:"k,omitempty"`
	// Domain is the sender's failure domain.
	Domain string `msgpack:"d"`
	// Echo names the last message that the sender had from the receiver.
	Echo Echo `msgpack:"e"`
	// History are the older failures that the sender remembers.
	History []savorypinpick.Failure `msgpack:"h,omitempty"`
	// Rumors are news of any gateways.
	Rumors []Rumor `msgpack:"r,omitempty"`
	// Sent is when the message was sent, by the sender's boot-time clock.
	Sent time.Duration `msgpack:"s"`
	// Started tells incarnations of the sender apart.
	Started int64 `msgpack:"b"`
}

// Part is a part of what a gateway tells of itself.
type Part string

// The parts, in sorted order.
const (
	// PartAlive is that the gateway lives, and where.
	PartAlive Part = "alive"
	// PartBudget is what it has spent of the shared retry budgets.
	PartBudget Part = "budget"
	// PartFailure is which failures it has seen lately.
	PartFailure Part = "failure"
	// PartRollout is what it has seen of versions that are rolled out.
	PartRollout Part = "rollout"
	// PartWork is its streams at all endpoints.
	PartWork Part = "work"
)

// parts are all parts, the most important one first: if a message can't hold all
// rumors, the others wait for the next one.
var parts = []Part{PartFailure, PartAlive, PartWork, PartRollout, PartBudget}

// Rumor is the newest that is known of one part of what a gateway tells. It is
// passed on as it was heard, but for its age.
type Rumor struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to leave the names out
	// Age is how long ago it was told, without the time on the way.
	Age Age `msgpack:"a"`
	// Body is the encoded News.
	Body msgpack.RawMessage `msgpack:"n"`
	// Origin is where the gateway that tells it receives messages.
	Origin string `msgpack:"o"`
	Part   Part   `msgpack:"p"`
	// Serial orders the rumors of a part of one incarnation.
	Serial uint64 `msgpack:"i"`
	// Started tells incarnations of the origin apart.
	Started int64 `msgpack:"b"`
}

// News is what a gateway tells of itself; a part uses some of the fields.
type News struct {
	Budgets []Budget `msgpack:"b,omitempty"`
	// Configuration is the operator's version of the configuration in force.
	Configuration int64 `msgpack:"c,omitempty"`
	// Domain is the gateway's failure domain.
	Domain string `msgpack:"d,omitempty"`
	// Failures are the domain failures that the gateway itself has found lately.
	Failures []savorypinpick.Failure `msgpack:"f,omitempty"`
	// Leaving says that the gateway takes no new callers.
	Leaving  bool                      `msgpack:"l,omitempty"`
	Loads    []savorypinpick.Load      `msgpack:"w,omitempty"`
	Name     string                    `msgpack:"n,omitempty"`
	Rollouts []savorypinrollout.Report `msgpack:"r,omitempty"`
	// Suspects are the endpoints that the gateway itself found failed.
	Suspects []string `msgpack:"u,omitempty"`
}

// Fact is a rumor that was heard for the first time.
type Fact struct {
	Age    time.Duration
	News   News
	Origin string
	Part   Part
}

// Echo names a message. Clocks of one host begin anew when it starts again, so
// that a time alone may be that of an earlier incarnation.
type Echo struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to leave the names out
	// Sent is when the message was sent, by the clock of its sender.
	Sent time.Duration `msgpack:"s"`
	// Started is the incarnation of its sender.
	Started int64 `msgpack:"b"`
}

// Copy says how far a copy of a kind is.
type Copy struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to leave the names out
	// Age is how long ago the copy was confirmed; negative for never.
	Age Age `msgpack:"g"`
	// At is the store's version up to which changes were read.
	At int64 `msgpack:"a"`
	// Changed is the version of the newest change.
	Changed int64 `msgpack:"c"`
	// Floor is the version since which all deletions are known.
	Floor int64          `msgpack:"f"`
	Kind  savorypin.Kind `msgpack:"k"`
	// Era is the era of the store to which the versions belong.
	Era int64 `msgpack:"e"`
}

// Budget is what a gateway has sent to a service within the window of the retry
// budget.
type Budget struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to leave the names out

	First   float64 `msgpack:"f"`
	Repeats float64 `msgpack:"r"`
	Service string  `msgpack:"s"`
}
