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

// Report returns the content of the message.
func (u Usage) Report() savorypinlimit.Report {
	return savorypinlimit.Report{Renewal: u.Renewal, Usages: u.Organisations}
}

// Grants is the owner's answer to Usage. Its amounts are in the order of the organisations
// there.
type Grants struct {
	Amounts []savorypinlimit.Amount `msgpack:"amt"`
	// Renewed says that all other grants of the entry stay valid.
	Renewed bool `msgpack:"ren,omitempty"`
	// Stale are the organisations whose usage the owner needs again.
	Stale []string `msgpack:"stl,omitempty"`
	// Tight marks the organisations whose usage has to be reported often.
	Tight []bool `msgpack:"tgt,omitempty"`
}

// NewGrants returns the message for an answer.
func NewGrants(a savorypinlimit.Answer) Grants {
	return Grants{Amounts: a.Amounts, Renewed: a.Renewed, Stale: a.Stale, Tight: a.Contended}
}

// Answer returns the content of the message.
func (g Grants) Answer() savorypinlimit.Answer {
	return savorypinlimit.Answer{Amounts: g.Amounts, Renewed: g.Renewed, Stale: g.Stale, Contended: g.Tight}
}
