package savorypinroute

import (
	"sync/atomic"
	"time"
)

// Settings of the breaker.
const (
	// breakerFailures is how many failures in a row eject an endpoint.
	breakerFailures = 3
	// breakerPause is the first ejection; it doubles with each further one.
	breakerPause = time.Second
	// breakerMaxDoublings bounds the ejection.
	breakerMaxDoublings = 5
	// ejectedShareInverse is the inverse of the share of a group's endpoints
	// that may be ejected at one time.
	ejectedShareInverse = 2
)

// breaker keeps new work away from an endpoint that fails. After a pause one
// piece of work at a time tries the endpoint again.
type breaker struct {
	ejections atomic.Int64
	failures  atomic.Int64
	probing   atomic.Bool
	until     atomic.Int64
}

// open reports whether the endpoint is ejected.
func (b *breaker) open(now time.Time) bool {
	return now.UnixNano() < b.until.Load() || (b.ejections.Load() > 0 && b.probing.Load())
}

// begin notes that work is given to the endpoint.
func (b *breaker) begin() {
	if b.ejections.Load() > 0 {
		b.probing.Store(true)
	}
}

// success closes the breaker.
func (b *breaker) success() {
	b.ejections.Store(0)
	b.failures.Store(0)
	b.probing.Store(false)
	b.until.Store(0)
}

// failure counts a failure. It ejects the endpoint if there were too many in a
// row and mayEject agrees, and reports whether it did.
func (b *breaker) failure(now time.Time, mayEject func() bool) bool {
	b.probing.Store(false)
	failures := b.failures.Add(1)
	ejections := b.ejections.Load()
	if failures < breakerFailures && ejections == 0 {
		return false
	}
	if now.UnixNano() < b.until.Load() || !mayEject() {
		return false
	}
	pause := breakerPause << min(ejections, breakerMaxDoublings)
	b.until.Store(now.Add(pause).UnixNano())
	b.ejections.Add(1)
	return true
}
