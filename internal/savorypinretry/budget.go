// Package savorypinretry decides whether an idempotent call may be tried again
// or hedged. A budget bounds the extra load, so that retries cannot turn a
// slow service into an overloaded one.
package savorypinretry

import (
	"math"
	"sync"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Burst is the largest number of retries that can be saved up.
	Burst float64
	// Ratio is the number of retries that each call adds.
	Ratio float64
}

// Budget is a token bucket that calls fill and retries drain. Over any number
// of calls, there are at most Burst + Ratio × calls retries. It is safe for
// concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// Deposit takes note of a call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Ratio)
}

// Refund puts back a retry that was withdrawn and not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Burst, b.tokens+1)
}

// Tokens returns how many retries are left, rounded down.
func (b *Budget) Tokens() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(math.Floor(b.tokens))
}

// Withdraw takes one retry from the budget. It reports false if none is left.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
