package savorypinmember

import (
	"savorypin/internal/savorypinlimit"
)

// FrameUsage reports usage to the entry that owns the limits.
const FrameUsage FrameKind = "usage"

// Usage is the report of an entry to the owner of the limits of organisations.
type Usage struct {
	Organisations []savorypinlimit.Usage  `msgpack:"org"`
	Renewal       *savorypinlimit.Renewal `msgpack:"ren,omitempty"`
}

// Report returns the report that the message contains.
func (u Usage) Report() savorypinlimit.Report {
	return savorypinlimit.Report{Renewal: u.Renewal, Usages: u.Organisations}
}

// Grants is the owner's answer to Usage. Its amounts are in the order of Usage.Organisations.
type Grants struct {
	Amounts []savorypinlimit.Amount `msgpack:"amt"`
	// Renewed says that all other grants of the entry stay valid.
	Renewed bool `msgpack:"ren,omitempty"`
	// Stale are the organisations whose usage has to be reported again.
	Stale []string `msgpack:"stl,omitempty"`
	// Contended reports, in the same order, whether the total demand of the organisation
	// exceeds its limits, so that its usage has to be reported often.
	Contended []bool `msgpack:"tgt,omitempty"`
}

// NewGrants returns the message that contains an answer.
func NewGrants(a savorypinlimit.Answer) Grants {
	return Grants{Amounts: a.Amounts, Renewed: a.Renewed, Stale: a.Stale, Contended: a.Contended}
}

// Answer returns the answer that the message contains.
func (g Grants) Answer() savorypinlimit.Answer {
	return savorypinlimit.Answer{Amounts: g.Amounts, Renewed: g.Renewed, Stale: g.Stale, Contended: g.Contended}
}
