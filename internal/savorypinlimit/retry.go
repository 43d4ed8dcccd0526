package savorypinlimit

import "sync/atomic"

// Settings of the retry budget, in thousandths of a retry.
const (
	retryCost = 1000
	// retryEarn is what a first attempt earns: one retry for ten.
	retryEarn = 100
	// retryIdleEarn is what an exchange interval earns: one retry a second.
	retryIdleEarn = 250
	// retrySaved is what can be saved up.
	retrySaved = 20 * retryCost
)

// RetryBudget bounds retries to a tenth of the first attempts, so that retries
// cannot multiply the work of a system that is overloaded or broken. Resumes
// are not charged. It is safe for concurrent use.
type RetryBudget struct {
	spent atomic.Int64
}

// Earn takes note of a first attempt.
func (b *RetryBudget) Earn() {
	b.earn(retryEarn)
}

// EarnIdle takes note of an exchange interval, so that an entry with little
// traffic can retry too.
func (b *RetryBudget) EarnIdle() {
	b.earn(retryIdleEarn)
}

func (b *RetryBudget) earn(n int64) {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-n)) {
			return
		}
	}
}

// Left reports whether there is a retry left.
func (b *RetryBudget) Left() bool {
	return b.Saved() > 0
}

// Saved returns how many retries are left, rounded down.
func (b *RetryBudget) Saved() int64 {
	return max(0, retrySaved-b.spent.Load()) / retryCost
}

// Spend takes one retry. It may leave a debt.
func (b *RetryBudget) Spend() {
	b.spent.Add(retryCost)
}
