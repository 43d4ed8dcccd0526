package savorypinroute

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Sizes of prompts' prefixes.
const (
	// bytesPerToken is the mean length of a token in a prompt.
	bytesPerToken = 4
	// maxPrefixes bounds the prefixes of one prompt.
	maxPrefixes = 64
	// memorySlots is how many prefixes are remembered for an endpoint. It is a
	// power of two.
	memorySlots = 1024
	// affinitySlots is how many prefixes an entry remembers with the endpoint
	// that they were last sent to. It is a power of two.
	affinitySlots = 1 << 14
	// prefixBytes is the length by which the prefixes of a prompt grow.
	prefixBytes = 256
)

// Prefixes returns the hashes of a prompt's prefixes of 256, 512, 768 … bytes.
// Prompts that begin alike have their first hashes in common.
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

// memory remembers the prefixes last sent to an endpoint. A newer prefix
// replaces an older one in its slot, so that it is bounded.
type memory struct {
	slots [memorySlots]atomic.Uint64
}

func (m *memory) add(prefixes []uint64) {
	for _, hash := range prefixes {
		m.slots[hash%memorySlots].Store(hash)
	}
}

func (m *memory) has(hash uint64) bool {
	return m.slots[hash%memorySlots].Load() == hash
}

// cachedTokens returns how many tokens of a prompt an endpoint is expected to
// hold: the longest prefix that was sent there or that its agent reported.
func (e *endpoint) cachedTokens(prefixes, reported []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if e.memory.has(prefixes[i]) || slices.Contains(reported, prefixes[i]) {
			return (i + 1) * prefixBytes / bytesPerToken
		}
	}
	return 0
}

// affinity remembers to which endpoint a prefix was last sent.
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
		if held := slot.Load(); held == nil || held.hash != hash || held.target != t {
			slot.Store(&affinitySlot{hash: hash, target: t})
		}
	}
}

// find returns the target of a group that was last sent the longest prefix, or
// nil.
func (a *affinity) find(prefixes []uint64, key groupKey) *target {
	for i := len(prefixes) - 1; i >= 0; i-- {
		held := a.slots[prefixes[i]%affinitySlots].Load()
		if held != nil && held.hash == prefixes[i] && held.target.key == key {
			return held.target
		}
	}
	return nil
}
