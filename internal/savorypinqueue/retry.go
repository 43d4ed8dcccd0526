package savorypinqueue

import "time"

const (
	// defaultRetryStep is the time between two callers that come back while the rate of starts is
	// unknown.
	defaultRetryStep = 20 * time.Millisecond
	// retrySpread is the part of a Retry-After that is random.
	retrySpread = 0.25
)

// retryTimes gives refused callers times to come back, one after the other at the rate of the
// starts, so that they don't return together.
type retryTimes struct {
	least, longest time.Duration
	random         func() float64
	// latest is the latest time given to a caller of each priority.
	latest [priorities]time.Time
}

// next returns the Retry-After of a caller: the expected wait, after the callers of its priority and
// of more urgent ones that were refused before, at steps of the time between two starts.
func (r *retryTimes) next(priority int, wait, step time.Duration, now time.Time) time.Duration {
	if step <= 0 {
		step = defaultRetryStep
	}
	at := now.Add(max(wait, r.least))
	for _, latest := range r.latest[:priority+1] {
		if latest.After(at) {
			at = latest
		}
	}
	at = at.Add(step)
	if bound := now.Add(r.longest); at.After(bound) {
		// Also after the clock was set back.
		at = bound
	}
	r.latest[priority] = at
	after := at.Sub(now)
	if after == r.longest {
		// Those beyond the bound would all come back at it.
		return max(r.least, r.longest/2+time.Duration(r.random()*float64(r.longest-r.longest/2)))
	}
	return min(r.longest, after+time.Duration(r.random()*retrySpread*float64(after)))
}
