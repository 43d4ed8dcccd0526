package savorypinlimit

import (
	"sync"
	"time"
)

// windowParts is the number of parts of a window that are counted apart.
const windowParts = 10

// WindowConfig configures a WindowBudget.
type WindowConfig struct {
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Ratio is the number of repeats that a first send allows.
	Ratio float64
	// Slack returns the number of repeats that are always allowed in a window.
	Slack func() float64
	// Window is the time over which sends are counted.
	Window time.Duration
}

// WindowBudget bounds the repeated sends in every sliding window against the
// first ones. It is safe for concurrent use.
type WindowBudget struct {
	cfg WindowConfig

	mu      sync.Mutex
	first   [windowParts]float64
	part    int64
	repeats [windowParts]float64
}

// NewWindowBudget returns a budget of which nothing is spent.
func NewWindowBudget(cfg WindowConfig) *WindowBudget {
	return &WindowBudget{cfg: cfg}
}

// Earn takes note of a first send.
func (b *WindowBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first[b.advance()]++
}

// Spend takes a repeat and reports whether the budget allows it.
func (b *WindowBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance()
	var first, repeats float64
	for j := range windowParts {
		first += b.first[j]
		repeats += b.repeats[j]
	}
	if repeats+1 > b.cfg.Ratio*first+b.cfg.Slack() {
		return false
	}
	b.repeats[i]++
	return true
}

// advance drops the parts that are older than the window and returns the index
// of the present one. The caller holds b.mu.
func (b *WindowBudget) advance() int {
	part := b.cfg.Now().UnixNano() / int64(b.cfg.Window/windowParts)
	for n := max(b.part+1, part-windowParts+1); n <= part; n++ {
		b.first[n%windowParts] = 0
		b.repeats[n%windowParts] = 0
	}
	b.part = max(b.part, part)
	return int(b.part % windowParts)
}
