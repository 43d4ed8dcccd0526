package savorypinmembership

import "savorypin/internal/savorypin"

// Message is a heartbeat or its answer. All fields but From are optional. They are exported
// for the codecs.
type Message struct {
	// Responsive names a member that has answered the sender's probe. The receiver had asked for
	// the probe.
	Responsive string `msgpack:"al,omitempty"`
	// Applied is the digest of the configuration in force at the sender.
	Applied savorypin.Digest `msgpack:"app"`
	// Buckets are hashes of the sender's records, one of each bucket. They request summaries of
	// the records in the buckets that differ.
	Buckets []uint32 `msgpack:"bkt,omitempty"`
	// Bulk says that the updates come from a comparison. The receiver applies them but does
	// not forward them.
	Bulk bool `msgpack:"blk,omitempty"`
	// From is the name of the sender.
	From string `msgpack:"f"`
	// Probe names a member that the sender asks the receiver to probe.
	Probe string `msgpack:"pr,omitempty"`
	// Regions is the time since each other region was last seen, in milliseconds.
	Regions map[string]int64 `msgpack:"reg,omitempty"`
	// Synced says that the sender has the complete configuration.
	Synced bool `msgpack:"syn,omitempty"`
	// Table is a hash of all the sender's records.
	Table uint32 `msgpack:"tab"`
	// Updates are records or summaries that the receiver may not have.
	Updates []Update `msgpack:"up,omitempty"`
	// Want names the members whose states the sender requests.
	Want []string `msgpack:"want,omitempty"`
}

// Update is the sender's information on one member.
type Update struct {
	// Health is the health of the member at this incarnation and sequence.
	Health Health `msgpack:"h"`
	// Incarnation is the incarnation of the member.
	Incarnation int64 `msgpack:"inc"`
	// Name is the name of the member.
	Name string `msgpack:"n"`
	// Sequence is the sequence of the member.
	Sequence uint64 `msgpack:"seq"`
	// State is the state of the member; nil in summaries and if only the health has changed.
	State *savorypin.MemberState `msgpack:"st,omitempty"`
}

// Envelope is a message with its receiver. The answer has to be passed to Gossip.HandleAnswer.
type Envelope struct {
	// Address is the address of the receiver.
	Address string
	// Message is the message to send.
	Message Message
	// Name is the name of the receiver; empty if it is not known.
	Name string
}

// Report is the load of a member. Members send it directly to entries and without an answer,
// because it changes too often for gossip.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	// Applied is the digest of the configuration in force.
	Applied savorypin.Digest
	// Endpoints are the loads of the member's endpoints.
	Endpoints []EndpointLoad
	// From is the name of the sender.
	From string
	// Incarnation is the incarnation of the sender.
	Incarnation int64
	// Number increases with every report of an incarnation.
	Number uint64
}

// EndpointLoad is the part of an endpoint's state that changes often.
type EndpointLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	// Name is the name of the endpoint.
	Name string
	// Healthy says that the endpoint answers.
	Healthy bool
	// Running is the number of requests that the endpoint is running.
	Running int
	// Waiting is the number of requests that are queued at the endpoint.
	Waiting int
	// CachedPrefixes are hashes of prompt prefixes, the most useful first; nil if the report
	// leaves them out and the last reported ones stay valid.
	CachedPrefixes []uint64
}

// ReportEnvelope is a report with its receiver.
type ReportEnvelope struct {
	// Address is the address of the receiver.
	Address string
	// Report is the report to send.
	Report Report
}

// severity orders healths, the worst last. Of two updates of the same incarnation and sequence,
// the one of worse health is newer.
func (h Health) severity() int {
	switch h {
	case HealthDead:
		return 2
	case HealthSuspect:
		return 1
	default:
		return 0
	}
}
