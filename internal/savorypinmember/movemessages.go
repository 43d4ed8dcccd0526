package savorypinmember

import "savorypin/internal/savorypinmove"

// Kinds of messages about moves of traffic, in sorted order.
const (
	// FrameEvidence reports evidence: entry to the evaluators of a service.
	FrameEvidence FrameKind = "evidence"
	// FrameVerdicts exchanges bad verdicts between any two daemons.
	FrameVerdicts FrameKind = "verdicts"
)

// Evidence is what one entry has gathered since its report before. A report
// that is lost costs evidence; one that comes twice is known by its sequence.
type Evidence struct {
	Incarnation int64                    `msgpack:"inc"`
	Moves       []savorypinmove.Evidence `msgpack:"mov"`
	Sequence    uint64                   `msgpack:"seq"`
}

// Verdicts are the bad verdicts that the sender knows. The answer has those
// that the receiver knows.
type Verdicts struct {
	Rejected []savorypinmove.Rejection `msgpack:"bad"`
}
