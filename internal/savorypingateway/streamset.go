package savorypingateway

import (
	"sync"

	"savorypin/internal/savorypinfleet"
)

// streamSet holds the watchdogs of all running streams, so that the streams in a failed domain
// can be checked at once. It is safe for concurrent use.
type streamSet struct {
	mu        sync.Mutex
	watchdogs map[*watchdog]struct{}
}

func (s *streamSet) add(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchdogs == nil {
		s.watchdogs = map[*watchdog]struct{}{}
	}
	s.watchdogs[w] = struct{}{}
}

func (s *streamSet) remove(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchdogs, w)
}

func (s *streamSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchdogs)
}

// abandon ends the attempts of streams that have a subject, unless their answers have begun or they
// are probes.
func (s *streamSet) abandon(subject savorypinfleet.Subject) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchdogs {
		if !w.begun.Load() && !w.probe && w.req.has(subject) {
			w.confined.Store(true)
			w.conn.Close()
		}
	}
}

// checkDomain makes the watchdogs of a service's streams in a failure domain check their
// endpoints at once.
func (s *streamSet) checkDomain(domain, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchdogs {
		if w.endpoint.Domain() == domain && w.endpoint.Service() == service {
			w.checkNow()
		}
	}
}
