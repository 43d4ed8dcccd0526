package savorypinmove

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Rejection says that a move's new version was judged bad. It is never
// withdrawn.
type Rejection struct {
	Move    Key    `msgpack:"k"`
	Reason  string `msgpack:"why"`
	Service string `msgpack:"svc"`
}

// Book holds the rejections that a daemon knows. Readers take no lock.
type Book struct {
	mu   sync.Mutex
	held atomic.Pointer[map[Key]Rejection]
}

// NewBook returns a book without rejections.
func NewBook() *Book {
	b := &Book{}
	b.held.Store(&map[Key]Rejection{})
	return b
}

// Merge takes over the rejections that are not held and returns them.
func (b *Book) Merge(rejections ...Rejection) []Rejection {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := *b.held.Load()
	var added []Rejection
	next := maps.Clone(held)
	for _, c := range rejections {
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

// Forget drops the rejections for which keep reports false.
func (b *Book) Forget(keep func(Rejection) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := maps.Clone(*b.held.Load())
	maps.DeleteFunc(next, func(_ Key, c Rejection) bool { return !keep(c) })
	b.held.Store(&next)
}

// All returns all rejections.
func (b *Book) All() []Rejection {
	var all []Rejection
	for _, c := range *b.held.Load() {
		all = append(all, c)
	}
	return all
}

// Rejected reports whether a move was judged bad.
func (b *Book) Rejected(key Key) bool {
	_, ok := (*b.held.Load())[key]
	return ok
}

// Reason returns why a move was judged bad, if it was.
func (b *Book) Reason(key Key) (string, bool) {
	c, ok := (*b.held.Load())[key]
	return c.Reason, ok
}
