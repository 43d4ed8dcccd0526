package savorypinlimit

import (
	"slices"

	"savorypin/internal/savorypinrank"
)

// Owners finds the owner of each organisation's limits: the first of the live
// entries by rendezvous. It remembers what it has found until the entries change.
// It is not safe for concurrent use.
type Owners struct {
	entries []string
	found   map[string]string
}

// SetEntries takes over the names of the live entries, sorted. It returns those
// before and reports whether they have changed.
func (o *Owners) SetEntries(entries []string) (before []string, changed bool) {
	if slices.Equal(entries, o.entries) {
		return o.entries, false
	}
	before = o.entries
	o.entries = slices.Clone(entries)
	o.found = map[string]string{}
	return before, true
}

// Of returns the owner of an organisation's limits. There must be an entry.
func (o *Owners) Of(organisation string) string {
	owner, ok := o.found[organisation]
	if !ok {
		owner = savorypinrank.Names(organisation, o.entries)[0]
		o.found[organisation] = owner
	}
	return owner
}
