package savorypinroute

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Sizes of prefixes and of the tables that hold their hashes.
const (
	// bytesPerToken is the mean length of a token in a prompt, in bytes.
	bytesPerToken = 4
	// maxPrefixes is the largest number of prefixes of one prompt.
	maxPrefixes = 64
	// prefixSetSlots is the number of slots of a prefixSet. It is a power of two.
	prefixSetSlots = 1024
	// affinitySlots is the number of slots of an affinity. It is a power of two.
	affinitySlots = 1 << 14
	// prefixBytes is the length by which each prefix of a prompt exceeds the
	// previous one, in bytes.
	prefixBytes = 256
)

// Prefixes returns the hashes of a prompt's prefixes of 256, 512, 768 … bytes,
// shortest first. Prompts with a common prefix have their first hashes in common.
func Prefixes(prompt string) []uint64 {
	n := min(len(prompt)/prefixBytes, maxPrefixes)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, 0, n)
	var d xxhash.Digest
	d.Reset()
	for i := range n {
		_, _ = d.WriteString(prompt[i*prefixBytes : (i+1)*prefixBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// prefixSet holds the hashes of the prefixes last sent to an endpoint. Its size
// is fixed: a new hash replaces the one in its slot.
type prefixSet struct {
	slots [prefixSetSlots]atomic.Uint64
}

func (p *prefixSet) add(prefixes []uint64) {
	for _, hash := range prefixes {
		p.slots[hash%prefixSetSlots].Store(hash)
	}
}

func (p *prefixSet) has(hash uint64) bool {
	return p.slots[hash%prefixSetSlots].Load() == hash
}

// cachedTokens returns the number of tokens of a prompt that an endpoint is
// expected to have cached: those of the longest prefix that was sent there or
// that its agent reported.
func (e *endpoint) cachedTokens(prefixes, reported []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if e.sentPrefixes.has(prefixes[i]) || slices.Contains(reported, prefixes[i]) {
			return (i + 1) * prefixBytes / bytesPerToken
		}
	}
	return 0
}

// affinity maps the hash of a prefix to the target that it was last sent to. Its
// size is fixed: a new hash replaces the one in its slot.
type affinity struct {
	slots [affinitySlots]atomic.Pointer[affinitySlot]
}

type affinitySlot struct {
	hash   uint64
	target *target
}

func (a *affinity) add(prefixes []uint64, t *target) {
	for _, hash := range prefixes {
		slot := &a.slots[hash%affinitySlots]
		if current := slot.Load(); current == nil || current.hash != hash || current.target != t {
			slot.Store(&affinitySlot{hash: hash, target: t})
		}
	}
}

// find returns the target of a group to which the longest known prefix was last
// sent, or nil.
func (a *affinity) find(prefixes []uint64, key groupKey) *target {
	for i := len(prefixes) - 1; i >= 0; i-- {
		slot := a.slots[prefixes[i]%affinitySlots].Load()
		if slot != nil && slot.hash == prefixes[i] && slot.target.key == key {
			return slot.target
		}
	}
	return nil
}
