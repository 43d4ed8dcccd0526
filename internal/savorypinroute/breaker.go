package savorypinroute

import (
	"sync/atomic"
	"time"
)

// Settings of the circuit breaker.
const (
	// breakerFailures is the number of consecutive failures that eject an endpoint.
	breakerFailures = 3
	// initialEjection is the duration of the first ejection; it doubles with each
	// further one.
	initialEjection = time.Second
	// breakerMaxDoublings is the maximum number of doublings.
	breakerMaxDoublings = 5
	// maxEjectedDivisor divides the number of a group's endpoints to get how many
	// of them may be ejected at a time.
	maxEjectedDivisor = 2
)

// breaker is a circuit breaker that ejects an endpoint that fails. After the
// ejection one request at a time probes the endpoint.
type breaker struct {
	ejections    atomic.Int64
	failures     atomic.Int64
	probing      atomic.Bool
	ejectedUntil atomic.Int64
}

// open reports whether the endpoint is ejected or being probed.
func (b *breaker) open(now time.Time) bool {
	return now.UnixNano() < b.ejectedUntil.Load() || (b.ejections.Load() > 0 && b.probing.Load())
}

// begin records that a request is sent to the endpoint. After an ejection the
// request is a probe.
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
	b.ejectedUntil.Store(0)
}

// failure counts a failure. It ejects the endpoint if too many consecutive
// requests or a probe failed and mayEject allows it, and reports whether it did.
func (b *breaker) failure(now time.Time, mayEject func() bool) bool {
	b.probing.Store(false)
	failures := b.failures.Add(1)
	ejections := b.ejections.Load()
	if failures < breakerFailures && ejections == 0 {
		return false
	}
	if now.UnixNano() < b.ejectedUntil.Load() || !mayEject() {
		return false
	}
	ejection := initialEjection << min(ejections, breakerMaxDoublings)
	b.ejectedUntil.Store(now.Add(ejection).UnixNano())
	b.ejections.Add(1)
	return true
}
