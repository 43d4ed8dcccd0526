package savorypingateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypinfleet"
)

const (
	// abandonedRetention is the time after which an attempt that was given up is no longer
	// suspected of crashing its endpoint, which may go on with it for a while.
	abandonedRetention = 2 * time.Second
	// abandonedLookDelay is the time after which an endpoint is looked for at which an attempt was
	// given up. One look serves all attempts in this time.
	abandonedLookDelay = time.Second
	// maxAbandoned is the number of attempts that are kept.
	maxAbandoned = 256
)

// abandonedAttempt is an attempt whose connection this gateway closed before the response, so that
// it doesn't see whether the endpoint crashes.
type abandonedAttempt struct {
	crash
	at time.Time
}

// abandonedAttempts holds the latest abandoned attempts. It is safe for concurrent use.
type abandonedAttempts struct {
	mu sync.Mutex
	// attempts are in the order of their times.
	attempts []abandonedAttempt
}

// add adds an attempt. It drops those that are too old, and the oldest ones if there are too many. It
// reports whether it is the only one at its endpoint.
func (s *abandonedAttempts) add(c crash, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation := c.endpoint.IncarnationHash()
	known := slices.ContainsFunc(s.attempts, func(a abandonedAttempt) bool { return a.endpoint.IncarnationHash() == incarnation })
	s.attempts = append(s.attempts, abandonedAttempt{crash: c, at: now})
	drop := max(0, len(s.attempts)-maxAbandoned)
	for now.Sub(s.attempts[drop].at) > abandonedRetention {
		drop++
	}
	s.attempts = append(s.attempts[:0], s.attempts[drop:]...)
	return !known
}

// empty reports whether there are none.
func (s *abandonedAttempts) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts) == 0
}

// take removes and returns the attempts at an incarnation that may have crashed it.
func (s *abandonedAttempts) take(incarnation uint64, now time.Time) []crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []crash
	var kept []abandonedAttempt
	for _, a := range s.attempts {
		switch {
		case a.endpoint.IncarnationHash() != incarnation:
			kept = append(kept, a)
		case now.Sub(a.at) <= abandonedRetention:
			taken = append(taken, a.crash)
		}
	}
	s.attempts = kept
	return taken
}

// abandon keeps an attempt that was given up, and looks for its endpoint after a while, in case no
// other request is sent there.
func (g *Gateway) abandon(c crash) {
	if !g.abandoned.add(c, time.Now()) {
		return
	}
	time.AfterFunc(abandonedLookDelay, func() {
		g.log.RunRecovered("look for endpoint", func() { g.lookForCrash(c.endpoint) })
	})
}

// lookForCrash opens a connection to an endpoint to find out whether its process has ended. Another
// failure says little: the network may be slow, which is why attempts are given up.
func (g *Gateway) lookForCrash(e *savorypinfleet.Endpoint) {
	conn, err := g.pool.Open(context.Background(), e.Address(), g.connectTimeout(e))
	switch {
	case err == nil:
		g.pool.Put(conn, 0)
	case processEnded(err):
		g.recordAbandoned(e)
		g.markEndpointFailed(e, "process ended")
	default:
		g.log.Debug("looking for an endpoint failed", "endpoint", e.ID(), "err", err)
	}
}

// recordAbandoned records the crash of an endpoint for the attempts there that were abandoned.
func (g *Gateway) recordAbandoned(e *savorypinfleet.Endpoint) {
	for _, c := range g.abandoned.take(e.IncarnationHash(), time.Now()) {
		g.recordCrash(c)
	}
}
