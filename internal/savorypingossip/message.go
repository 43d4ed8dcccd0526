// Package savorypingossip exchanges soft state between gateways: which failure domains and
// endpoints fail, how much load each gateway has placed, and how fresh its configuration is. A
// later message makes up for a lost one, and nothing durable depends on the exchange.
//
// Each gateway sends a few messages a round. A message carries updates, which each receiver
// forwards once, so that an update reaches all gateways in a few rounds while the traffic of
// each gateway hardly grows with their number. Between regions only a few relays of each
// region send messages.
//
// Messages are msgpack in UDP datagrams. Unlike a connection, a datagram socket can't stall
// unnoticed.
package savorypingossip

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlimit"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinquarantine"
	"savorypin/internal/savorypinrollout"
)

// Message is a message from one gateway to another. Its fields are exported for the codec.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to leave the names out
	// Address is the UDP address at which the sender receives messages.
	Address string `msgpack:"a"`
	// WantReply asks the receiver to reply at once.
	WantReply bool `msgpack:"q,omitempty"`
	// Copies are the versions and ages of the sender's copies of the store's objects.
	Copies []CopyStatus `msgpack:"k,omitempty"`
	// Domain is the sender's failure domain.
	Domain string `msgpack:"d"`
	// Echo identifies the last message that the sender received from the receiver.
	Echo Echo `msgpack:"e"`
	// History contains the older failures that the sender has stored.
	History []savorypinpick.Failure `msgpack:"h,omitempty"`
	// Updates were published by the sender or by other gateways.
	Updates []Update `msgpack:"r,omitempty"`
	// Sent is when the message was sent, by the sender's boot-time clock.
	Sent time.Duration `msgpack:"s"`
	// Started identifies the incarnation of the sender.
	Started int64 `msgpack:"b"`
}

// Part is a part of a gateway's state that is published on its own.
type Part string

// The parts, sorted by value.
const (
	// PartHeartbeat is the heartbeat with the gateway's name and failure domain.
	PartHeartbeat Part = "alive"
	// PartBudget is the gateway's use of the shared retry budgets.
	PartBudget Part = "budget"
	// PartFailure is the recent failures that the gateway itself has detected, and its
	// suspects.
	PartFailure Part = "failure"
	// PartLimit is the limits on requests that the gateway itself has seen endpoints name.
	PartLimit Part = "limit"
	// PartQuarantine is the crashes of endpoints that the gateway itself has observed, and its
	// verdicts on parts of prompts.
	PartQuarantine Part = "quarantine"
	// PartRollout is the gateway's observations of the versions in rollouts.
	PartRollout Part = "rollout"
	// PartLoad is the load that the gateway has placed on all endpoints.
	PartLoad Part = "work"
)

// parts are all parts in order of priority. If a message can't hold all updates, those of low
// priority are sent in later messages.
var parts = []Part{PartFailure, PartQuarantine, PartLimit, PartHeartbeat, PartLoad, PartRollout, PartBudget}

// Update is one part of the state of a gateway, as published by that gateway. Receivers
// forward it unchanged except for its age.
type Update struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to leave the names out
	// Age is the time since it was published, without the time spent on the network.
	Age Age `msgpack:"a"`
	// Body is the encoded GatewayState.
	Body msgpack.RawMessage `msgpack:"n"`
	// Origin is the address of the gateway that published it.
	Origin string `msgpack:"o"`
	Part   Part   `msgpack:"p"`
	// Serial orders the updates of a part of one incarnation.
	Serial uint64 `msgpack:"i"`
	// Started identifies the incarnation of the origin.
	Started int64 `msgpack:"b"`
}

// GatewayState is the state that a gateway publishes about itself. Each part uses some of the fields.
type GatewayState struct {
	Budgets []ServiceSendCounts `msgpack:"b,omitempty"`
	// Configuration is the operator's version of the configuration in force.
	Configuration int64 `msgpack:"c,omitempty"`
	// Domain is the gateway's failure domain.
	Domain string `msgpack:"d,omitempty"`
	// Failures are the domain failures that the gateway itself has detected recently.
	Failures []savorypinpick.Failure `msgpack:"f,omitempty"`
	// Leaving says that the gateway accepts no new callers.
	Leaving bool                        `msgpack:"l,omitempty"`
	Limits  []savorypinlimit.NamedLimit `msgpack:"t,omitempty"`
	Loads   []savorypinpick.Load        `msgpack:"w,omitempty"`
	Name    string                      `msgpack:"n,omitempty"`
	// Quarantine is nil if there is nothing to report.
	Quarantine *savorypinquarantine.Report `msgpack:"q,omitempty"`
	Rollouts   []savorypinrollout.Report   `msgpack:"r,omitempty"`
	// Suspects are the endpoints that the gateway itself has found to fail.
	Suspects []string `msgpack:"u,omitempty"`
	// Waiting are the services for which streams wait at the gateway.
	Waiting []ServiceWaiting `msgpack:"v,omitempty"`
}

// ServiceWaiting says that streams of a service wait at a gateway for an endpoint with room.
type ServiceWaiting struct {
	// Priority is that of the most urgent one; 0 is the most urgent priority.
	Priority uint8  `msgpack:"p,omitempty"`
	Service  string `msgpack:"s"`
}

// ReceivedUpdate is a decoded update that was not received before.
type ReceivedUpdate struct {
	Age    time.Duration
	State  GatewayState
	Origin string
	Part   Part
}

// Echo identifies a message by the time at which it was sent and the incarnation of its
// sender. The boot-time clock restarts with the host, so the time alone could match a message
// of an earlier incarnation.
type Echo struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to leave the names out
	// Sent is when the message was sent, by the clock of its sender.
	Sent time.Duration `msgpack:"s"`
	// Started identifies the incarnation of the sender.
	Started int64 `msgpack:"b"`
}

// CopyStatus describes how current a gateway's copy of the objects of a kind is.
type CopyStatus struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to leave the names out
	// Age is the time since the copy was confirmed; negative for never.
	Age Age `msgpack:"g"`
	// At is the version of the store up to which changes were read.
	At int64 `msgpack:"a"`
	// Changed is the version of the newest change.
	Changed int64 `msgpack:"c"`
	// Floor is the version since which all deletions are known.
	Floor int64          `msgpack:"f"`
	Kind  savorypin.Kind `msgpack:"k"`
	// Era is the era of the store to which the versions belong.
	Era int64 `msgpack:"e"`
}

// ServiceSendCounts contains the numbers of requests that a gateway has sent to a service within
// the window of the retry budget: first attempts and repeats.
type ServiceSendCounts struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // tells the codec to leave the names out

	First   float64 `msgpack:"f"`
	Repeats float64 `msgpack:"r"`
	Service string  `msgpack:"s"`
}
