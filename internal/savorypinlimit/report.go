package savorypinlimit

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Report is what an entry tells the owner of organisations' limits.
type Report struct {
	// Renewal asks for grants to stay valid; nil for none.
	Renewal *Renewal
	// Usages are what changed.
	Usages []Usage
}

// Renewal asks an owner to keep valid what an entry holds of it, without naming
// it: both sides know it, so that its number and its sum suffice. Its fields are
// exported for the codecs.
type Renewal struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	// Grants is the number of grants that the entry holds.
	Grants int
	// Sum is the sum of the grants, by grantSum.
	Sum uint64
	// Released are the organisations whose grants the entry gives back.
	Released []string
}

// Answer is what an owner answers to a Report.
type Answer struct {
	// Amounts are the grants, in the order of the usages.
	Amounts []Amount
	// Renewed says that the grants stay valid. If they don't, the entry has to
	// report them one by one, because the owner knows others.
	Renewed bool
	// Stale are the organisations whose usage the owner needs anew.
	Stale []string
	// Tight says, in the order of the usages, of which organisations all entries
	// together ask for more than there is, so that their usage is reported often.
	Tight []bool
}

// add adds a grant to what a renewal names.
func (r *Renewal) add(organisation string, a Amount) {
	r.Grants++
	// The sum does not depend on the order.
	r.Sum += grantSum(organisation, a)
}

// grantSum returns a hash of a grant.
func grantSum(organisation string, a Amount) uint64 {
	var amounts [16]byte
	binary.LittleEndian.PutUint32(amounts[0:], math.Float32bits(a.Tokens))
	binary.LittleEndian.PutUint32(amounts[4:], math.Float32bits(a.Requests))
	binary.LittleEndian.PutUint64(amounts[8:], uint64(a.Concurrency))
	d := xxhash.New()
	// Writes to the digest can't fail.
	_, _ = d.WriteString(organisation)
	_, _ = d.Write(amounts[:])
	return d.Sum64()
}
