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
	// Slack is the number of repeats that are always allowed in a window.
	Slack float64
	// Window is the time over which sends are counted.
	Window time.Duration
}

// WindowBudget bounds the repeated sends in every sliding window against the
// first ones, over all holders of the budget that tell each other what they have
// sent. It is safe for concurrent use.
type WindowBudget struct {
	cfg WindowConfig

	mu      sync.Mutex
	first   [windowParts]float64
	others  map[string]Spent
	part    int64
	repeats [windowParts]float64
	// slackPart is the part of the slack that this holder and the others use.
	slackPart float64
}

// Spent is what was sent within a window.
type Spent struct {
	First   float64
	Repeats float64
}

// NewWindowBudget returns a budget of which nothing is spent.
func NewWindowBudget(cfg WindowConfig) *WindowBudget {
	return &WindowBudget{cfg: cfg, others: map[string]Spent{}, slackPart: 1}
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
	spent := b.spent()
	for _, o := range b.others {
		spent.First += o.First
		spent.Repeats += o.Repeats
	}
	if spent.Repeats+1 > b.cfg.Ratio*spent.First+b.cfg.Slack*b.slackPart {
		return false
	}
	b.repeats[i]++
	return true
}

// Spent returns what this holder has sent within the window.
func (b *WindowBudget) Spent() Spent {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.spent()
}

// SetOthers takes note of what the other holders of the budget have sent. Part is
// the part of the slack that these and this one may use, less than one if there
// are holders that can't be heard.
func (b *WindowBudget) SetOthers(others map[string]Spent, part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = others
	b.slackPart = part
}

// spent sums up the window. The caller holds b.mu.
func (b *WindowBudget) spent() Spent {
	var s Spent
	for j := range windowParts {
		s.First += b.first[j]
		s.Repeats += b.repeats[j]
	}
	return s
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
