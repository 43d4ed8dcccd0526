// Package savorypinrank orders members for a key by rendezvous hashing. All
// daemons that know the same members agree on the order without a message, and
// the loss of a member changes the order of no others.
package savorypinrank

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypin"
)

// Names returns names in their order for a key.
func Names(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return compare(key, a, b) })
	return ranked
}

// Spread returns the first n members in their order for a key, no two of one
// failure domain while other domains are left.
func Spread(key string, members []savorypin.MemberState, n int) []savorypin.MemberState {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b savorypin.MemberState) int { return compare(key, a.Name, b.Name) })
	var chosen, rest []savorypin.MemberState
	seen := map[string]bool{}
	for _, m := range ranked {
		if seen[m.Domain] {
			rest = append(rest, m)
			continue
		}
		seen[m.Domain] = true
		chosen = append(chosen, m)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(n, len(chosen))]
}

func compare(key, a, b string) int {
	weightA, weightB := weight(key, a), weight(key, b)
	switch {
	case weightA > weightB:
		return -1
	case weightA < weightB:
		return 1
	default:
		return strings.Compare(a, b)
	}
}

func weight(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
