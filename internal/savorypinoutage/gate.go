// Package savorypinoutage bounds the calls that gateways make to a store that
// fails, so that they don't grow with gateways and kinds of objects. It uses no
// clock of its own.
package savorypinoutage

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Pauses between two tries of one gateway.
const (
	// firstPause is the pause after a first failure; it doubles with each further
	// one.
	firstPause  = 300 * time.Millisecond
	pauseGrowth = 2
	// readerPauseMost bounds it for gateways that read for all, which notice that
	// the store is back.
	readerPauseMost = 600 * time.Millisecond
	// otherPauseMost bounds it for the others, which hear from those. It is as long
	// as an entry of an endpoint takes to lapse.
	otherPauseMost = 3 * time.Second
	// gatewayPause is what each gateway adds to that bound, so that all together
	// try a few times a second however many they are.
	gatewayPause = 250 * time.Millisecond
)

// Gate lets one call at a time through to a store whose last call failed, and
// that after a pause. While the store answers it lets all calls through. It is
// safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	failedAt time.Duration
	failing  bool
	// pause is the time after the last failure in which no call is made.
	pause   time.Duration
	pauses  *backoff.ExponentialBackOff
	probing bool
}

// New returns a gate to a store of which nothing is known yet.
func New() *Gate {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.Multiplier = pauseGrowth
	return &Gate{pauses: pauses}
}

// Enter reports whether a call may be made. Confirmed is when this gateway last
// knew, by itself or from others, that the store answered, and reader says that
// it reads for all. A call that may be made must be followed by Succeeded or
// Failed.
func (g *Gate) Enter(now, confirmed time.Duration, reader bool) bool {
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
		pause = min(pause, readerPauseMost)
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

// Failed takes note of a call that failed. Gateways is the number of gateways.
func (g *Gate) Failed(now time.Duration, gateways int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauses.MaxInterval = max(otherPauseMost, time.Duration(gateways)*gatewayPause)
	g.pause = g.pauses.NextBackOff()
	g.failing = true
	g.failedAt = now
	g.probing = false
}

// Succeeded takes note of a call that the store answered.
func (g *Gate) Succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reset()
}

// reset forgets the failures. The caller holds g.mu.
func (g *Gate) reset() {
	g.failing = false
	g.probing = false
	g.pauses.Reset()
}
