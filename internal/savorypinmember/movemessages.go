package savorypinmember

import "savorypin/internal/savorypinmove"

// Kinds of messages about moves of traffic, in sorted order.
const (
	// FrameEvidence reports evidence. Entries send it to the evaluators of a service.
	FrameEvidence FrameKind = "evidence"
	// FrameRejections exchanges rejections between any two daemons.
	FrameRejections FrameKind = "verdicts"
)

// Evidence is the evidence that one entry has gathered since its previous report. The evidence
// in a lost report isn't sent again. A duplicate is recognised by its sequence.
type Evidence struct {
	Incarnation int64                    `msgpack:"inc"`
	Moves       []savorypinmove.Evidence `msgpack:"mov"`
	Sequence    uint64                   `msgpack:"seq"`
}

// Rejections contains rejections that the sender knows. The answer contains those that the
// receiver knows.
type Rejections struct {
	Rejected []savorypinmove.Rejection `msgpack:"bad"`
}
