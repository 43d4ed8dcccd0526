package savorypinlimit

import (
	"sync"
	"time"
)

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 10

// WindowConfig configures a WindowBudget.
type WindowConfig struct {
	// Now is the clock, such as time.Now. Only the Unix time of its result is used, so it
	// need not be monotonic. If it steps forward, sends leave the window early: a step
	// of the length of the window removes them all, and the slack can be used again. If
	// it steps back, sends stay in the window longer, by the length of the step.
	Now func() time.Time
	// Ratio is the number of repeats that each first send allows.
	Ratio float64
	// Slack is the number of repeats in a window that are allowed without first
	// sends.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// WindowBudget bounds the number of repeated sends in a sliding window by the
// number of first sends. The bound applies to the total of this process and its
// peers, which share the budget and exchange their counts. It is safe for
// concurrent use.
type WindowBudget struct {
	cfg WindowConfig

	mu          sync.Mutex
	first       [windowSlots]float64
	peers       map[string]SendCounts
	currentSlot int64
	repeats     [windowSlots]float64
	// slackRatio is the fraction of the slack that this process and the peers may
	// use together.
	slackRatio float64
}

// SendCounts holds the numbers of first and repeated sends within a window.
type SendCounts struct {
	First   float64
	Repeats float64
}

// NewWindowBudget returns a budget with empty counts.
func NewWindowBudget(cfg WindowConfig) *WindowBudget {
	return &WindowBudget{cfg: cfg, peers: map[string]SendCounts{}, slackRatio: 1}
}

// RecordFirst counts a first send.
func (b *WindowBudget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first[b.advance()]++
}

// TryRepeat reports whether the budget allows a repeat, and counts it if so.
func (b *WindowBudget) TryRepeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance()
	if !b.allowsLocked() {
		return false
	}
	b.repeats[i]++
	return true
}

// MayRepeat reports whether the budget allows a repeat now, without counting one.
func (b *WindowBudget) MayRepeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.allowsLocked()
}

// allowsLocked reports whether the budget allows a repeat. The caller holds b.mu.
func (b *WindowBudget) allowsLocked() bool {
	total := b.windowCounts()
	for _, o := range b.peers {
		total.First += o.First
		total.Repeats += o.Repeats
	}
	return total.Repeats+1 <= b.cfg.Ratio*total.First+b.cfg.Slack*b.slackRatio
}

// Counts returns what this process has sent within the window, without its peers.
func (b *WindowBudget) Counts() SendCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.windowCounts()
}

// SetPeers sets what the peers have sent, by peer. The slackRatio is the fraction
// of the slack that they and this process may use together; it is less than one
// if some peers can't be reached.
func (b *WindowBudget) SetPeers(peers map[string]SendCounts, slackRatio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers = peers
	b.slackRatio = slackRatio
}

// windowCounts returns the sums over the window. The caller holds b.mu.
func (b *WindowBudget) windowCounts() SendCounts {
	var s SendCounts
	for j := range windowSlots {
		s.First += b.first[j]
		s.Repeats += b.repeats[j]
	}
	return s
}

// advance clears the slots that are older than the window and returns the index
// of the current one. The caller holds b.mu.
func (b *WindowBudget) advance() int {
	slot := b.cfg.Now().UnixNano() / int64(b.cfg.Window/windowSlots)
	for n := max(b.currentSlot+1, slot-windowSlots+1); n <= slot; n++ {
		b.first[n%windowSlots] = 0
		b.repeats[n%windowSlots] = 0
	}
	b.currentSlot = max(b.currentSlot, slot)
	return int(b.currentSlot % windowSlots)
}
