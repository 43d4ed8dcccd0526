package savorypinmove

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Condemnation says that a move's new version was judged bad. It is never
// withdrawn.
type Condemnation struct {
	Move    Key    `msgpack:"k"`
	Reason  string `msgpack:"why"`
	Service string `msgpack:"svc"`
}

// Book holds the condemnations that a daemon knows. Readers take no lock.
type Book struct {
	mu   sync.Mutex
	held atomic.Pointer[map[Key]Condemnation]
}

// NewBook returns a book without condemnations.
func NewBook() *Book {
	b := &Book{}
	b.held.Store(&map[Key]Condemnation{})
	return b
}

// Merge takes over the condemnations that are not held and returns them.
func (b *Book) Merge(condemnations ...Condemnation) []Condemnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := *b.held.Load()
	var added []Condemnation
	next := maps.Clone(held)
	for _, c := range condemnations {
		if _, ok := next[c.Move]; ok {
			continue
		}
		next[c.Move] = c
		added = append(added, c)
	}
	if len(added) > 0 {
		b.held.Store(&next)
	}
	return added
}

// Forget drops the condemnations for which keep reports false.
func (b *Book) Forget(keep func(Condemnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := maps.Clone(*b.held.Load())
	maps.DeleteFunc(next, func(_ Key, c Condemnation) bool { return !keep(c) })
	b.held.Store(&next)
}

// All returns all condemnations.
func (b *Book) All() []Condemnation {
	var all []Condemnation
	for _, c := range *b.held.Load() {
		all = append(all, c)
	}
	return all
}

// Condemned reports whether a move was judged bad.
func (b *Book) Condemned(key Key) bool {
	_, ok := (*b.held.Load())[key]
	return ok
}

// Reason returns why a move was judged bad, if it was.
func (b *Book) Reason(key Key) (string, bool) {
	c, ok := (*b.held.Load())[key]
	return c.Reason, ok
}
