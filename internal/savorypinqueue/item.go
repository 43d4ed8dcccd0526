package savorypinqueue

import (
	"errors"
	"fmt"
	"time"
)

// MaxPriority is the least urgent priority; 0 is the most urgent one. priorities is their number.
const (
	MaxPriority = 9
	priorities  = MaxPriority + 1
)

// errInvalid is the error of items that can't be ordered or counted.
var errInvalid = errors.New("invalid item")

// Item is a stream that waits.
type Item struct {
	// Bytes is the memory that the stream holds while it waits.
	Bytes int
	// LatestStart is the time after which a start is of no use.
	LatestStart time.Time
	// Owner identifies the stream to its owner.
	Owner any
	// Priority is from 0, the most urgent one, to MaxPriority.
	Priority int
	// Resumed is true if the stream has begun before, and Returned if its caller was refused before.
	Resumed, Returned bool
	// Tokens is the engine memory that the stream needs; zero if it is unknown.
	Tokens int
}

// validate returns an error if the item is invalid.
func (i Item) validate() error {
	switch {
	case i.Priority < 0 || i.Priority >= priorities:
		return fmt.Errorf("%w: priority %d is not from 0 to %d", errInvalid, i.Priority, MaxPriority)
	case i.LatestStart.IsZero():
		return fmt.Errorf("%w: the latest start is missing", errInvalid)
	case i.Bytes < 0:
		return fmt.Errorf("%w: %d bytes", errInvalid, i.Bytes)
	case i.Tokens < 0:
		return fmt.Errorf("%w: %d tokens", errInvalid, i.Tokens)
	default:
		return nil
	}
}

// Outcome is the outcome of a decision.
type Outcome string

// The outcomes.
const (
	OutcomeRefused Outcome = "refused"
	OutcomeStarted Outcome = "started"
	OutcomeWaiting Outcome = "waiting"
)

// Reason is why an item was refused or left.
type Reason string

// The reasons.
const (
	// ReasonBytes and ReasonFull refuse an item because of the limits of the queue.
	ReasonBytes Reason = "bodies"
	ReasonFull  Reason = "full"
	// ReasonCallerLeft is that of a caller that has disconnected.
	ReasonCallerLeft Reason = "caller left"
	// ReasonConfiguration and ReasonStopping refuse an item because its gateway has changed.
	ReasonConfiguration Reason = "configuration changed"
	ReasonStopping      Reason = "gateway stops"
	// ReasonDisplaced refuses a waiting item in favour of a more urgent one.
	ReasonDisplaced Reason = "displaced"
	// ReasonExpired refuses a waiting item whose latest start has passed, and ReasonLate one that
	// comes after it.
	ReasonExpired Reason = "expired"
	ReasonLate    Reason = "late"
	// ReasonInvalid refuses an item that is invalid.
	ReasonInvalid Reason = "invalid"
	// ReasonWait refuses an item that is expected to start after its latest start.
	ReasonWait Reason = "expected wait"
)

// Decision is what the queue decides on an item.
type Decision struct {
	// Err says what is invalid.
	Err     error
	Outcome Outcome
	// Reason is why the item was refused.
	Reason Reason
	// RetryAfter is when capacity is expected for the caller; zero if it has no use to come back.
	RetryAfter time.Duration
}

// Ticket is the place of a waiting item.
type Ticket struct {
	// blockingSince is since when the ticket keeps those behind it from starting; zero if it doesn't.
	blockingSince time.Time
	decided       bool
	item          Item
	joinedAt      time.Time
	// latest is the item's latest start, limited by the longest wait.
	latest time.Time
	number uint64
	// blocks is how often it has kept others from starting in vain, and passes how often others have
	// started before it since as it did not fit.
	blocks, passes int
	queue          *Queue
	ready          chan Decision
}

// newTicket returns a ticket that is not in the line yet.
func (q *Queue) newTicket(item Item, now time.Time) *Ticket {
	q.joined++
	latest := item.LatestStart
	if longest := now.Add(q.cfg.MaxWait); longest.Before(latest) {
		latest = longest
	}
	return &Ticket{item: item, joinedAt: now, latest: latest, number: q.joined, queue: q, ready: make(chan Decision, 1)}
}

// Item returns the item.
func (t *Ticket) Item() Item { return t.item }

// Ready returns a channel that receives the decision: the item has started or was refused. It
// receives nothing if the item has left before.
func (t *Ticket) Ready() <-chan Decision { return t.ready }

// Leave removes the item from the queue. It returns false if the decision was already made: Ready
// then has it, and an item that has started has to be ended by its owner.
func (t *Ticket) Leave(reason Reason) bool { return t.queue.leave(t, reason) }

// decide sends the decision to the owner. The queue's lock is held.
func (t *Ticket) decide(d Decision) {
	t.decided = true
	t.ready <- d
}
