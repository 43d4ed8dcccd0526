package savorypinroute

import (
	"cmp"
	"slices"
	"sync"
)

// Sizes of PrefixCounter.
const (
	// maxCountedPrefixes is the number of prefixes above which all counts are
	// halved and prefixes counted once are dropped.
	maxCountedPrefixes = 512
	// minUses is the least count of a prefix that Top returns.
	minUses = 2
)

// PrefixCounter counts the prefixes of the prompts sent to an engine and finds
// those whose cache saves the most prefill. It is safe for concurrent use; its
// zero value is ready.
type PrefixCounter struct {
	mu       sync.Mutex
	prefixes map[uint64]countedPrefix
}

// countedPrefix is a prefix with its length in blocks of prefixBytes. Its parent
// is the hash of the prefix that is one block shorter, or 0.
type countedPrefix struct {
	blocks int
	hash   uint64
	parent uint64
	uses   int
}

// Add counts the prefixes of a prompt.
func (c *PrefixCounter) Add(prefixes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prefixes == nil {
		c.prefixes = map[uint64]countedPrefix{}
	}
	parent := uint64(0)
	for i, hash := range prefixes {
		uses := c.prefixes[hash].uses + 1
		c.prefixes[hash] = countedPrefix{blocks: i + 1, hash: hash, parent: parent, uses: uses}
		parent = hash
	}
	if len(c.prefixes) > maxCountedPrefixes {
		c.halveCounts()
	}
}

// halveCounts halves all counts and removes the prefixes whose count becomes 0.
func (c *PrefixCounter) halveCounts() {
	const half = 2
	for hash, p := range c.prefixes {
		p.uses /= half
		if p.uses == 0 {
			delete(c.prefixes, hash)
			continue
		}
		c.prefixes[hash] = p
	}
}

// Top returns up to n prefixes, none of which extends another, in descending order
// of their length in blocks times their count.
func (c *PrefixCounter) Top(n int) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var order []countedPrefix
	for _, p := range c.prefixes {
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
		if !slices.ContainsFunc(top, func(t uint64) bool { return c.extends(p.hash, t) || c.extends(t, p.hash) }) {
			top = append(top, p.hash)
		}
	}
	return top
}

// extends reports whether a prefix begins with another one or equals it.
func (c *PrefixCounter) extends(hash, other uint64) bool {
	for hash != 0 {
		if hash == other {
			return true
		}
		hash = c.prefixes[hash].parent
	}
	return false
}
