package savorypingateway

import "sync"

// streamSet holds the streams that run, so that those of a failed domain can be
// checked at once. It is safe for concurrent use.
type streamSet struct {
	mu      sync.Mutex
	watches map[*watch]struct{}
}

func (s *streamSet) add(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches == nil {
		s.watches = map[*watch]struct{}{}
	}
	s.watches[w] = struct{}{}
}

func (s *streamSet) remove(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, w)
}

func (s *streamSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watches)
}

// check lets the streams of a service in a failure domain check their endpoints.
func (s *streamSet) check(domain, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		if w.endpoint.Domain() == domain && w.endpoint.Service() == service {
			w.checkNow()
		}
	}
}
