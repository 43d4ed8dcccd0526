package savorypinlimit

import (
	"slices"

	"savorypin/internal/savorypinrank"
)

// Owners finds the owner of each organisation's limits: the live entry that ranks
// first by rendezvous hashing. It caches the owners until the entries change. It
// is not safe for concurrent use.
type Owners struct {
	entries []string
	cached  map[string]string
}

// SetEntries sets the names of the live entries, which must be sorted. It returns
// the previous names and reports whether they have changed.
func (o *Owners) SetEntries(entries []string) (before []string, changed bool) {
	if slices.Equal(entries, o.entries) {
		return o.entries, false
	}
	before = o.entries
	o.entries = slices.Clone(entries)
	o.cached = map[string]string{}
	return before, true
}

// Of returns the owner of an organisation's limits. At least one entry must be
// set.
func (o *Owners) Of(organisation string) string {
	owner, ok := o.cached[organisation]
	if !ok {
		owner = savorypinrank.Names(organisation, o.entries)[0]
		o.cached[organisation] = owner
	}
	return owner
}
