// Package savorypinbreaker limits the calls of gateways to a store that fails, so
// that their rate doesn't grow with the number of gateways and kinds of objects.
// The callers pass the time as a duration on their own clock.
package savorypinbreaker

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Pauses between two attempts of one gateway. Each pause is randomized by up to half of
// its length.
const (
	// initialPause is the pause after the first failure. It grows by the factor
	// pauseMultiplier with each further failure.
	initialPause    = 300 * time.Millisecond
	pauseMultiplier = 2
	// maxReaderPause bounds the randomized pause of readers, the gateways that read
	// the store for all others and so detect its recovery.
	maxReaderPause = 600 * time.Millisecond
	// maxPause bounds the pause of the other gateways before randomization. They
	// learn of the recovery from the readers. It is as long as the entry of an
	// endpoint takes to expire without heartbeats.
	maxPause = 3 * time.Second
	// pausePerGateway times the number of gateways is used instead of maxPause if it
	// is longer, so that all gateways together make only a few attempts a second,
	// regardless of their number.
	pausePerGateway = 250 * time.Millisecond
)

// Breaker is a circuit breaker for calls to a store. After a failed call it allows one
// call at a time, and only after a pause. While the store answers it allows all
// calls. It is safe for concurrent use.
type Breaker struct {
	mu       sync.Mutex
	failedAt time.Duration
	failing  bool
	// pause is the time after the last failure during which no call is allowed.
	pause   time.Duration
	backoff *backoff.ExponentialBackOff
	probing bool
}

// New returns a breaker that allows all calls until one fails.
func New() *Breaker {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialPause
	b.Multiplier = pauseMultiplier
	return &Breaker{backoff: b}
}

// Allow reports whether a call is allowed at the time now. answeredAt is the time of the
// store's last answer to this gateway or, as far as this one knows, to another one; reader
// is true if this gateway reads the store for all others. RecordSuccess or RecordFailure
// must be called after each allowed call.
func (b *Breaker) Allow(now, answeredAt time.Duration, reader bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failing && answeredAt > b.failedAt {
		b.reset()
	}
	if !b.failing {
		return true
	}
	pause := b.pause
	if reader {
		pause = min(pause, maxReaderPause)
	}
	if b.probing || now < b.failedAt+pause {
		return false
	}
	b.probing = true
	return true
}

// Failing reports whether the last call failed.
func (b *Breaker) Failing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failing
}

// RecordFailure records that a call failed at the time now and starts a pause, whose
// maximum depends on the number of gateways.
func (b *Breaker) RecordFailure(now time.Duration, gateways int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoff.MaxInterval = max(maxPause, time.Duration(gateways)*pausePerGateway)
	b.pause = b.backoff.NextBackOff()
	b.failing = true
	b.failedAt = now
	b.probing = false
}

// RecordSuccess records that the store has answered a call.
func (b *Breaker) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reset()
}

// reset clears the failure and the pauses. The caller holds b.mu.
func (b *Breaker) reset() {
	b.failing = false
	b.probing = false
	b.backoff.Reset()
}
