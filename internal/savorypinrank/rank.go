// Package savorypinrank orders members for a key by rendezvous hashing. All daemons
// with the same list of members compute the same order without communication, and the
// loss of a member does not change the order of the others.
package savorypinrank

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypin"
)

// Names returns names sorted by descending rendezvous weight for a key.
func Names(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return compareWeights(key, a, b) })
	return ranked
}

// Spread returns the first n members in the order for a key. A second member of a
// failure domain follows only after the first member of each domain.
func Spread(key string, members []savorypin.MemberState, n int) []savorypin.MemberState {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b savorypin.MemberState) int { return compareWeights(key, a.Name, b.Name) })
	var chosen, rest []savorypin.MemberState
	usedDomains := map[string]bool{}
	for _, m := range ranked {
		if usedDomains[m.Domain] {
			rest = append(rest, m)
			continue
		}
		usedDomains[m.Domain] = true
		chosen = append(chosen, m)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(n, len(chosen))]
}

func compareWeights(key, a, b string) int {
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
