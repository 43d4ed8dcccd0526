// Package savorypinbreaker limits the calls of gateways to a store that fails, so
// that their rate doesn't grow with the number of gateways and kinds of objects.
// The callers pass the time, as a duration on a clock of theirs.
package savorypinbreaker

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Pauses between two attempts of one gateway.
const (
	// initialPause is the pause after the first failure. It doubles with each
	// further one.
	initialPause = 300 * time.Millisecond
	pauseGrowth  = 2
	// maxReaderPause bounds the pause of readers, the gateways that read the store
	// for all others and so detect its recovery.
	maxReaderPause = 600 * time.Millisecond
	// maxPause bounds the pause of the other gateways, which learn of the recovery
	// from the readers. It is as long as the entry of an endpoint takes to expire
	// without heartbeats.
	maxPause = 3 * time.Second
	// pausePerGateway times the number of gateways replaces maxPause if it is
	// longer, so that all gateways together make a few attempts a second, however
	// many they are.
	pausePerGateway = 250 * time.Millisecond
)

// Gate is a circuit breaker for calls to a store. After a failed call it allows one
// call at a time, and only after a pause. While the store answers it allows all
// calls. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	failedAt time.Duration
	failing  bool
	// pause is the time after the last failure during which no call is allowed.
	pause   time.Duration
	backoff *backoff.ExponentialBackOff
	probing bool
}

// New returns a gate that allows all calls until one fails.
func New() *Gate {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialPause
	b.Multiplier = pauseGrowth
	return &Gate{backoff: b}
}

// Allow reports whether a call is allowed. The time confirmed is that of the last
// answer of the store to this gateway or, as far as it knows, to another one;
// reader reports whether this gateway reads for all. RecordSuccess or RecordFailure must be
// called after each allowed call.
func (g *Gate) Allow(now, confirmed time.Duration, reader bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failing && confirmed > g.failedAt {
		g.reset()
	}
	if !g.failing {
		return true
	}
	pause := g.pause
	if reader {
		pause = min(pause, maxReaderPause)
	}
	if g.probing || now < g.failedAt+pause {
		return false
	}
	g.probing = true
	return true
}

// Failing reports whether the last call failed.
func (g *Gate) Failing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failing
}

// RecordFailure records that a call has failed and starts a pause, given the number of
// gateways.
func (g *Gate) RecordFailure(now time.Duration, gateways int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backoff.MaxInterval = max(maxPause, time.Duration(gateways)*pausePerGateway)
	g.pause = g.backoff.NextBackOff()
	g.failing = true
	g.failedAt = now
	g.probing = false
}

// RecordSuccess records that the store has answered a call.
func (g *Gate) RecordSuccess() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reset()
}

// reset clears the failure and the pauses. The caller holds g.mu.
func (g *Gate) reset() {
	g.failing = false
	g.probing = false
	g.backoff.Reset()
}
