package savorypinlimit

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Report is what an entry sends to an owner of organisations' limits.
type Report struct {
	// Renewal asks the owner to renew grants; it is nil if none is due.
	Renewal *Renewal
	// Usages are the usages of organisations that are due to be reported.
	Usages []Usage
}

// Renewal asks an owner to renew all its grants to an entry. It doesn't list
// them: both sides know them, so their number and a checksum suffice. Its fields
// are exported for the codecs.
type Renewal struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	// Grants is the number of grants that the entry holds.
	Grants int
	// Sum is the sum of the hashes of the grants.
	Sum uint64
	// Released are the organisations whose grants the entry has given up.
	Released []string
}

// Answer is the answer of an owner to a Report.
type Answer struct {
	// Amounts are the grants, in the order of the usages.
	Amounts []Amount
	// Renewed reports whether the grants are renewed. If the owner knows other
	// grants, they are not, and the entry has to report its usages one by one.
	Renewed bool
	// Stale are the organisations whose usage the entry has to report again.
	Stale []string
	// Contended reports, in the order of the usages, whether the total demand of the
	// organisation exceeds its limits, so that the entry has to report its usage
	// often.
	Contended []bool
}

// add adds a grant to the number and the sum of a renewal.
func (r *Renewal) add(organisation string, a Amount) {
	r.Grants++
	// The sum does not depend on the order, which differs between the two sides.
	r.Sum += grantHash(organisation, a)
}

// grantHash returns a hash of a grant.
func grantHash(organisation string, a Amount) uint64 {
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
