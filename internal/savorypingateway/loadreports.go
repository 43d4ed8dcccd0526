package savorypingateway

import (
	"maps"
	"sync"
	"time"
)

// loadReports records when the other gateways reported their loads. It is safe for concurrent use.
type loadReports struct {
	now func() time.Time

	mu sync.Mutex
	// at is when a report was composed, by the address of the gateway.
	at map[string]time.Time
}

func newLoadReports(now func() time.Time) *loadReports {
	return &loadReports{now: now, at: map[string]time.Time{}}
}

// record records a report that a gateway composed some time ago.
func (r *loadReports) record(gateway string, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[gateway] = r.now().Add(-age)
}

// retain drops the reports of gateways that are not live.
func (r *loadReports) retain(live map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.at, func(gateway string, _ time.Time) bool { return !live[gateway] })
}

// age returns the age of the last report of a gateway. It returns false if there is none.
func (r *loadReports) age(gateway string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.at[gateway]
	return r.now().Sub(at), ok
}
