package savorypinlimit_test

import (
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// naive is a limiter with one lock and a token bucket of floats.
type naive struct {
	mu            sync.Mutex
	organisations map[string]*naiveOrganisation
}

type naiveOrganisation struct {
	at      time.Time
	level   float64
	running int
	spec    savorypin.OrganisationSpec
}

func newNaive(specs map[string]savorypin.OrganisationSpec) *naive {
	l := &naive{organisations: map[string]*naiveOrganisation{}}
	for name, spec := range specs {
		l.organisations[name] = &naiveOrganisation{at: time.Now(), level: spec.TokensPerSecond, spec: spec}
	}
	return l
}

func (l *naive) admit(name string, tokens float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, now := l.organisations[name], time.Now()
	o.level = min(o.spec.TokensPerSecond, o.level+o.spec.TokensPerSecond*now.Sub(o.at).Seconds())
	o.at = now
	if o.level <= 0 || o.running >= o.spec.Concurrency {
		return false
	}
	o.level -= tokens
	o.running++
	return true
}

func (l *naive) release(name string, estimate, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.organisations[name]
	o.level += estimate - tokens
	o.running--
}
