// Package savorypinbuffer decides which streams may buffer events for callers that read slowly: one
// budget of bytes for the process, and an order in which streams give way when it is used up. It holds
// no data and uses no network.
package savorypinbuffer

import (
	"cmp"
	"slices"
	"sync"
)

// equalFactor is how many times as much as another stream of the same priority a stream has to hold
// to give way to it. With a lower factor, streams of about the same size would abort each other.
const equalFactor = 2

// Budget is the memory of all buffers together. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu sync.Mutex
	// holders are the streams that hold memory.
	holders map[*Holder]struct{}
	used    int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[*Holder]struct{}{}}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// HolderConfig configures a Holder.
type HolderConfig struct {
	// Priority is the priority of the stream; 0 is the most urgent.
	Priority int
	// Yield is called when the stream has lost the bytes that it held to another one, by the goroutine of
	// that one. It must discard what is buffered and end the stream, without waiting for other streams.
	Yield func(held int64)
}

// Holder is the part of a budget that one stream holds. It costs the budget nothing until the first
// reservation.
type Holder struct {
	budget *Budget
	cfg    HolderConfig
	// held, yielded and the bytes lost by that are guarded by the mutex of the budget.
	held, lost int64
	yielded    bool
}

// NewHolder returns the holder of a stream.
func (b *Budget) NewHolder(cfg HolderConfig) *Holder {
	return &Holder{budget: b, cfg: cfg}
}

// Held returns the number of bytes that the stream holds.
func (h *Holder) Held() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.held
}

// Reserve reserves n bytes, which may make other streams give way. It returns false if the budget is
// used up by streams that don't, or if this stream has given way itself.
func (h *Holder) Reserve(n int64) bool {
	yielding, ok := h.budget.reserve(h, n)
	for _, other := range yielding {
		other.cfg.Yield(other.lost)
	}
	return ok
}

// Release returns n bytes to the budget. It has no effect once the stream has given way.
func (h *Holder) Release(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.releaseLocked(h, min(n, h.held))
}

// reserve reserves n bytes for a stream. It returns the streams that have to give way, whose memory is
// already released.
func (b *Budget) reserve(h *Holder, n int64) ([]*Holder, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.yielded {
		return nil, false
	}
	yielding, ok := b.yieldingLocked(h, n)
	if !ok {
		return nil, false
	}
	for _, other := range yielding {
		other.yielded, other.lost = true, other.held
		b.releaseLocked(other, other.held)
	}
	b.used += n
	h.held += n
	b.holders[h] = struct{}{}
	return yielding, true
}

// releaseLocked returns n bytes of a stream to the budget. The caller holds b.mu.
func (b *Budget) releaseLocked(h *Holder, n int64) {
	b.used -= n
	h.held -= n
	if h.held == 0 {
		delete(b.holders, h)
	}
}

// yieldingLocked returns the streams that have to give way so that a stream can hold n more bytes. If
// they would not free enough, none gives way and it returns false. The caller holds b.mu.
func (b *Budget) yieldingLocked(h *Holder, n int64) ([]*Holder, bool) {
	missing := b.used + n - b.limit
	if missing <= 0 {
		return nil, true
	}
	var yielding []*Holder
	for other := range b.holders {
		if other != h && other.yieldsTo(h, n) {
			yielding = append(yielding, other)
		}
	}
	slices.SortFunc(yielding, func(a, b *Holder) int {
		return cmp.Or(cmp.Compare(b.cfg.Priority, a.cfg.Priority), cmp.Compare(b.held, a.held))
	})
	for i, other := range yielding {
		missing -= other.held
		if missing <= 0 {
			return yielding[:i+1], true
		}
	}
	return nil, false
}

// yieldsTo reports whether a stream gives way to another one that needs n more bytes.
func (h *Holder) yieldsTo(other *Holder, n int64) bool {
	if h.cfg.Priority != other.cfg.Priority {
		return h.cfg.Priority > other.cfg.Priority
	}
	return h.held > equalFactor*(other.held+n)
}
