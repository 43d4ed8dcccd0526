package savorypinlimit

import (
	"sync/atomic"
	"time"
)

// Admission is a request that was admitted. It must be ended by Release or
// Cancel; only the first call counts.
type Admission struct {
	ended        atomic.Bool
	estimate     int64
	limiter      *Limiter
	maxTokens    int
	organisation *organisation
	started      time.Time
}

// Release ends a request that has generated the given number of tokens. The
// difference between them and the charged estimate is refunded or charged.
func (a *Admission) Release(tokens int) {
	if a.ended.Swap(true) {
		return
	}
	a.organisation.running.Add(-1)
	a.organisation.recordCompletion(tokens, a.maxTokens, a.limiter.cfg.Now().Sub(a.started))
	a.organisation.tokens.correct(float64(int64(tokens) - a.estimate))
}

// Cancel ends a request that was not run and refunds its whole charge.
func (a *Admission) Cancel() {
	if a.ended.Swap(true) {
		return
	}
	a.organisation.running.Add(-1)
	a.organisation.admitted.add(-max(1, a.estimate))
	a.organisation.requests.correct(-1)
	a.organisation.tokens.correct(-float64(a.estimate))
}
