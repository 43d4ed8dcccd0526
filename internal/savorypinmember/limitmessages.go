package savorypinmember

import (
	"savorypin/internal/savorypinlimit"
)

// FrameUsage reports usage to the entry that owns the limits.
const FrameUsage FrameKind = "usage"

// Usage is what an entry reports to the owner of organisations' limits.
type Usage struct {
	Organisations []savorypinlimit.Usage `msgpack:"org"`
}

// Grants are the owner's answer, in the order of the organisations.
type Grants struct {
	Amounts []savorypinlimit.Amount `msgpack:"amt"`
}
