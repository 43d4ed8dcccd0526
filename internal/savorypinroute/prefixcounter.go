package savorypinroute

import (
	"cmp"
	"slices"
	"sync"
)

// Sizes of PrefixCounter.
const (
	// countedPrefixes is how many prefixes are counted. Those counted once are
	// forgotten when there are more.
	countedPrefixes = 512
	// minUses is how often a prefix must have come to be worth a report.
	minUses = 2
)

// PrefixCounter counts the prefixes of the prompts that an engine was sent, and names
// those that save most. It is safe for concurrent use; its zero value is ready.
type PrefixCounter struct {
	mu       sync.Mutex
	prefixes map[uint64]countedPrefix
}

// countedPrefix is a prefix of a number of blocks that extends its parent.
type countedPrefix struct {
	blocks int
	hash   uint64
	parent uint64
	uses   int
}

// Add counts the prefixes of a prompt.
func (h *PrefixCounter) Add(prefixes []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.prefixes == nil {
		h.prefixes = map[uint64]countedPrefix{}
	}
	parent := uint64(0)
	for i, hash := range prefixes {
		uses := h.prefixes[hash].uses + 1
		h.prefixes[hash] = countedPrefix{blocks: i + 1, hash: hash, parent: parent, uses: uses}
		parent = hash
	}
	if len(h.prefixes) > countedPrefixes {
		h.age()
	}
}

// age halves all counts and forgets the prefixes with none.
func (h *PrefixCounter) age() {
	const half = 2
	for hash, p := range h.prefixes {
		p.uses /= half
		if p.uses == 0 {
			delete(h.prefixes, hash)
			continue
		}
		h.prefixes[hash] = p
	}
}

// Top returns up to n prefixes, none of which extends another, by how many
// blocks they have saved.
func (h *PrefixCounter) Top(n int) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var order []countedPrefix
	for _, p := range h.prefixes {
		if p.uses >= minUses {
			order = append(order, p)
		}
	}
	slices.SortFunc(order, func(a, b countedPrefix) int {
		return cmp.Or(cmp.Compare(b.blocks*b.uses, a.blocks*a.uses), cmp.Compare(a.hash, b.hash))
	})
	var top []uint64
	for _, p := range order {
		if len(top) == n {
			break
		}
		if !slices.ContainsFunc(top, func(t uint64) bool { return h.extends(p.hash, t) || h.extends(t, p.hash) }) {
			top = append(top, p.hash)
		}
	}
	return top
}

// extends reports whether a prefix begins with another one.
func (h *PrefixCounter) extends(hash, other uint64) bool {
	for hash != 0 {
		if hash == other {
			return true
		}
		hash = h.prefixes[hash].parent
	}
	return false
}
