package savorypinlimit

import "sync/atomic"

// Costs and credits of the retry budget, in thousandths of a retry.
const (
	retryCost = 1000
	// firstAttemptCredit is the credit of a first attempt: one retry for ten of them.
	firstAttemptCredit = 100
	// idleCredit is the credit of an exchange interval: one retry per second.
	idleCredit = 250
	// maxRetryCredit is the largest credit that the budget accumulates.
	maxRetryCredit = 20 * retryCost
)

// RetryBudget bounds retries to a tenth of the first attempts plus one per second,
// with a burst of twenty, so that retries cannot multiply the load of a system
// that is overloaded or broken. Resumes are not charged. Its zero value is a full
// budget. It is safe for concurrent use.
type RetryBudget struct {
	spent atomic.Int64
}

// Earn adds the credit of a first attempt.
func (b *RetryBudget) Earn() {
	b.earn(firstAttemptCredit)
}

// EarnIdle adds the credit of an exchange interval, so that an entry with little
// traffic can retry too.
func (b *RetryBudget) EarnIdle() {
	b.earn(idleCredit)
}

func (b *RetryBudget) earn(n int64) {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-n)) {
			return
		}
	}
}

// Available reports whether the budget allows a retry.
func (b *RetryBudget) Available() bool {
	return b.Remaining() > 0
}

// Remaining returns how many retries are left, rounded down.
func (b *RetryBudget) Remaining() int64 {
	return max(0, maxRetryCredit-b.spent.Load()) / retryCost
}

// Spend takes one retry. The credit may become negative.
func (b *RetryBudget) Spend() {
	b.spent.Add(retryCost)
}
