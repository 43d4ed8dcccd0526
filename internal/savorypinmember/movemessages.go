package savorypinmember

import "savorypin/internal/savorypinmove"

// Kinds of messages about moves of traffic, in sorted order.
const (
	// FrameEvidence reports evidence. Entries send it to the evaluators of a service.
	FrameEvidence FrameKind = "evidence"
	// FrameVerdicts exchanges bad verdicts between any two daemons.
	FrameVerdicts FrameKind = "verdicts"
)

// Evidence is the evidence that one entry has gathered since its previous report. The evidence
// in a lost report isn't sent again. A duplicate is recognised by its sequence.
type Evidence struct {
	Incarnation int64                    `msgpack:"inc"`
	Moves       []savorypinmove.Evidence `msgpack:"mov"`
	Sequence    uint64                   `msgpack:"seq"`
}

// Verdicts contains the bad verdicts that the sender knows. The answer contains those that the
// receiver knows.
type Verdicts struct {
	Rejected []savorypinmove.Rejection `msgpack:"bad"`
}
