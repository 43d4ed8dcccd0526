package savorypinmove

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Rejection is the final verdict that a move's new version is bad.
type Rejection struct {
	Move    Key    `msgpack:"k"`
	Reason  string `msgpack:"why"`
	Service string `msgpack:"svc"`
}

// RejectionSet holds the rejections that a daemon knows. It is safe for concurrent
// use, and readers take no lock.
type RejectionSet struct {
	mu         sync.Mutex
	rejections atomic.Pointer[map[Key]Rejection]
}

// NewRejectionSet returns an empty set.
func NewRejectionSet() *RejectionSet {
	s := &RejectionSet{}
	s.rejections.Store(&map[Key]Rejection{})
	return s
}

// Merge adds the rejections whose move is not yet in the set and returns those added.
func (s *RejectionSet) Merge(rejections ...Rejection) []Rejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := *s.rejections.Load()
	var added []Rejection
	next := maps.Clone(current)
	for _, rejection := range rejections {
		if _, ok := next[rejection.Move]; ok {
			continue
		}
		next[rejection.Move] = rejection
		added = append(added, rejection)
	}
	if len(added) > 0 {
		s.rejections.Store(&next)
	}
	return added
}

// Forget deletes the rejections for which keep returns false.
func (s *RejectionSet) Forget(keep func(Rejection) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(*s.rejections.Load())
	maps.DeleteFunc(next, func(_ Key, rejection Rejection) bool { return !keep(rejection) })
	s.rejections.Store(&next)
}

// All returns all rejections in no particular order.
func (s *RejectionSet) All() []Rejection {
	var all []Rejection
	for _, rejection := range *s.rejections.Load() {
		all = append(all, rejection)
	}
	return all
}

// Rejected reports whether a move's new version was rejected.
func (s *RejectionSet) Rejected(key Key) bool {
	_, ok := (*s.rejections.Load())[key]
	return ok
}

// Reason returns why a move's new version was rejected, and whether it was.
func (s *RejectionSet) Reason(key Key) (string, bool) {
	rejection, ok := (*s.rejections.Load())[key]
	return rejection.Reason, ok
}
