package savorypinqueue

import (
	"maps"
	"time"
)

// PriorityState is the state of one priority.
type PriorityState struct {
	Length   int `json:"length"`
	Priority int `json:"priority"`
	// Starts is the number of starts while others waited, with those that passed.
	Starts uint64 `json:"starts"`
}

// State is the state of a queue for operators.
type State struct {
	Bytes int `json:"bytes"`
	// OldestWait is how long the item that joined first has waited.
	OldestWait time.Duration `json:"oldestWaitNanos"`
	// Priorities holds those that have waited or started, the most urgent one first.
	Priorities []PriorityState `json:"priorities"`
	// Refusals holds the numbers of refusals, and of items that left, by reason.
	Refusals map[Reason]int64 `json:"refusals"`
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.line.length
}

// State returns the state of the queue.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := State{Bytes: q.line.bytes, Refusals: maps.Clone(q.refusals)}
	now := q.cfg.Now()
	for t := range q.line.all() {
		s.OldestWait = max(s.OldestWait, now.Sub(t.joinedAt))
	}
	for p, sums := range q.line.byPriority {
		if sums.length > 0 || q.share.starts[p] > 0 {
			s.Priorities = append(s.Priorities, PriorityState{Length: sums.length, Priority: p, Starts: q.share.starts[p]})
		}
	}
	return s
}

// MostUrgent returns the most urgent priority that waits. It returns false if nothing waits.
func (q *Queue) MostUrgent() (int, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.line.mostUrgent(), q.line.length > 0
}

// Smallest returns the waiting item that needs the least memory. It returns false if nothing waits.
func (q *Queue) Smallest() (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var smallest *Ticket
	for t := range q.line.all() {
		if smallest == nil || t.item.Tokens < smallest.item.Tokens {
			smallest = t
		}
	}
	if smallest == nil {
		return Item{}, false
	}
	return smallest.item, true
}
