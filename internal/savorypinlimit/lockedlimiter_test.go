package savorypinlimit_test

import (
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// lockedLimiter is the baseline of benchmarks: a limiter with a single lock and
// token buckets with floating-point levels.
type lockedLimiter struct {
	mu            sync.Mutex
	organisations map[string]*lockedOrganisation
}

type lockedOrganisation struct {
	updatedAt time.Time
	level     float64
	running   int
	spec      savorypin.OrganisationSpec
}

func newLockedLimiter(specs map[string]savorypin.OrganisationSpec) *lockedLimiter {
	l := &lockedLimiter{organisations: map[string]*lockedOrganisation{}}
	for name, spec := range specs {
		l.organisations[name] = &lockedOrganisation{updatedAt: time.Now(), level: spec.TokensPerSecond, spec: spec}
	}
	return l
}

func (l *lockedLimiter) admit(name string, tokens float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, now := l.organisations[name], time.Now()
	o.level = min(o.spec.TokensPerSecond, o.level+o.spec.TokensPerSecond*now.Sub(o.updatedAt).Seconds())
	o.updatedAt = now
	if o.level <= 0 || o.running >= o.spec.Concurrency {
		return false
	}
	o.level -= tokens
	o.running++
	return true
}

func (l *lockedLimiter) release(name string, estimate, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.organisations[name]
	o.level += estimate - tokens
	o.running--
}
