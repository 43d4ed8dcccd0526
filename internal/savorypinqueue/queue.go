// Package savorypinqueue holds the streams of one service that fit no endpoint until capacity
// becomes free. It decides who waits, who starts next and who is refused, without network access
// and with the clock, the timer and the random source of its configuration.
package savorypinqueue

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of a Config.
const (
	defaultMaxBlock      = 2 * time.Second
	defaultMaxBytes      = 32 << 20
	defaultMaxLength     = 600
	defaultMaxPasses     = 16
	defaultMaxRetryAfter = 8 * time.Second
	defaultMaxWait       = 30 * time.Second
	defaultMinRetryAfter = 100 * time.Millisecond
	defaultShareInterval = 8
	// minShareInterval leaves the most urgent priority at least every other start.
	minShareInterval = 2
)

// Config configures a Queue. Fields that are zero or negative have the defaults.
type Config struct {
	// AfterFunc calls a function after a duration, in a goroutine of its own, unless it is stopped
	// before; nil means time.AfterFunc.
	AfterFunc func(time.Duration, func()) (stop func() bool)
	// MaxBlock is how long an item that others have passed MaxPasses times keeps those behind it
	// from starting.
	MaxBlock time.Duration
	// MaxBytes limits the sum of the items' bytes, and MaxLength their number.
	MaxBytes, MaxLength int
	// MaxPasses is how often others may start before an item that does not fit.
	MaxPasses int
	// MaxWait limits the time for which an item waits.
	MaxWait time.Duration
	// MinRetryAfter and MaxRetryAfter limit the Retry-After of refusals.
	MinRetryAfter, MaxRetryAfter time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Random returns a random number from 0 to 1, without 1; nil means rand.Float64.
	Random func() float64
	// ShareInterval is the number of starts of which one is kept for priorities that are less
	// urgent than the most urgent waiting one. They keep the same share of the length and of the
	// bytes.
	ShareInterval int
}

// withDefaults returns the configuration with its missing fields set.
func (c Config) withDefaults() Config {
	if c.AfterFunc == nil {
		c.AfterFunc = func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	setDefault(&c.MaxBlock, defaultMaxBlock)
	setDefault(&c.MaxBytes, defaultMaxBytes)
	setDefault(&c.MaxLength, defaultMaxLength)
	setDefault(&c.MaxPasses, defaultMaxPasses)
	setDefault(&c.MaxRetryAfter, defaultMaxRetryAfter)
	setDefault(&c.MaxWait, defaultMaxWait)
	setDefault(&c.MinRetryAfter, min(defaultMinRetryAfter, c.MaxRetryAfter))
	setDefault(&c.ShareInterval, defaultShareInterval)
	c.ShareInterval = max(minShareInterval, c.ShareInterval)
	return c
}

func setDefault[T int | time.Duration](value *T, otherwise T) {
	if *value <= 0 {
		*value = otherwise
	}
}

// Queue is the waiting queue of one service. It is safe for concurrent use.
type Queue struct {
	cfg Config

	mu sync.Mutex
	// credit is the part of a start that earlier news left over; see limit.
	credit float64
	line   line
	probes [priorities]int
	rates  startRates
	retry  retryTimes
	share  minimumShare
	// joined is the number of tickets issued, which orders those that are equal otherwise.
	joined   uint64
	refusals map[Reason]int64
	// stopTimer stops the timer for the earliest latest start, timerAt; it is zero if there is none.
	stopTimer func() bool
	timerAt   time.Time
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{cfg: cfg, refusals: map[Reason]int64{}}
	q.credit = cfg.Random()
	q.share.interval = cfg.ShareInterval
	q.retry = retryTimes{least: cfg.MinRetryAfter, longest: cfg.MaxRetryAfter, random: cfg.Random}
	return q
}

// Join adds an item, or refuses it. A ticket is returned only if the item waits.
func (q *Queue) Join(item Item) (*Ticket, Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := item.validate(); err != nil {
		q.refusals[ReasonInvalid]++
		return nil, Decision{Err: err, Outcome: OutcomeRefused, Reason: ReasonInvalid}
	}
	now := q.cfg.Now()
	q.expire(now)
	t := q.newTicket(item, now)
	if reason := q.admit(t, now); reason != "" {
		return nil, q.refusal(t, reason, now)
	}
	q.rates.advance(now, &q.line)
	q.line.insert(t)
	q.setTimer(now)
	return t, Decision{Outcome: OutcomeWaiting}
}

// admit returns why a ticket can't wait, or "" if it can. It displaces less urgent ones if needed.
func (q *Queue) admit(t *Ticket, now time.Time) Reason {
	if !t.latest.After(now) {
		return ReasonLate
	}
	displaced, reason := q.makeRoom(t)
	if reason != "" {
		return reason
	}
	if wait, known := q.expectedWait(t, now); known && now.Add(wait).After(t.latest) && !q.probe(t.item.Priority) {
		return ReasonWait
	}
	for _, other := range displaced {
		q.remove(other, now)
		other.decide(q.refusal(other, ReasonDisplaced, now))
	}
	return ""
}

// expectedWait returns the time in which a ticket is expected to start. It returns false if too few
// others have started lately.
func (q *Queue) expectedWait(t *Ticket, now time.Time) (time.Duration, bool) {
	q.rates.advance(now, &q.line)
	return q.rates.wait(t.item, q.line.before(t))
}

// probeInterval is the number of items that an expected wait refuses of which one waits in spite of
// it.
const probeInterval = 20

// probe reports whether an item waits although its expected wait is too long. While others of its
// priority wait, their starts correct the estimate; otherwise nothing would.
func (q *Queue) probe(priority int) bool {
	if q.line.byPriority[priority].length > 0 {
		return false
	}
	q.probes[priority]++
	if q.probes[priority] < probeInterval {
		return false
	}
	q.probes[priority] = 0
	return true
}

// TryPass starts an item without waiting, if nothing that waits comes before it, the next start isn't
// kept for less urgent items, and tryStart starts it. It reports whether it has started. tryStart must
// not call the queue.
func (q *Queue) TryPass(item Item, tryStart func(Item) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	q.expire(now)
	if item.validate() != nil || !q.mayPass(item, now) || !tryStart(item) {
		return false
	}
	if q.line.length > 0 {
		q.rates.advance(now, &q.line)
		q.rates.recordPass(item.Priority, &q.line)
		q.share.recordStart(item.Priority, &q.line)
	}
	return true
}

// mayPass reports whether an item may start before those that wait.
func (q *Queue) mayPass(item Item, now time.Time) bool {
	if q.share.due() && q.line.hasLessUrgent(item.Priority) {
		return false
	}
	return q.line.before(q.newTicket(item, now)).all == 0
}

// Refuse refuses the waiting items that match, for a reason that is not the queue's own, such as a
// change of the configuration. It returns their number.
func (q *Queue) Refuse(reason Reason, match func(Item) bool) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	var matching []*Ticket
	for t := range q.line.all() {
		if match(t.item) {
			matching = append(matching, t)
		}
	}
	for _, t := range matching {
		q.remove(t, now)
		t.decide(q.refusal(t, reason, now))
	}
	q.setTimer(now)
	return len(matching)
}

// leave removes a ticket whose owner leaves. It reports whether it was still waiting.
func (q *Queue) leave(t *Ticket, reason Reason) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.decided {
		return false
	}
	now := q.cfg.Now()
	q.remove(t, now)
	t.decided = true
	q.refusals[reason]++
	q.setTimer(now)
	return true
}

// refusal returns the refusal of a ticket that is not in the line, and counts it.
func (q *Queue) refusal(t *Ticket, reason Reason, now time.Time) Decision {
	q.refusals[reason]++
	wait, known := q.expectedWait(t, now)
	if !known {
		wait = 0
	}
	step, _ := q.rates.wait(t.item, counts{})
	return Decision{Outcome: OutcomeRefused, Reason: reason, RetryAfter: q.retry.next(t.item.Priority, wait, step, now)}
}

func (q *Queue) remove(t *Ticket, now time.Time) {
	q.rates.advance(now, &q.line)
	q.line.remove(t)
}

// expire refuses the items whose latest start has passed.
func (q *Queue) expire(now time.Time) {
	for {
		t := q.line.earliest()
		if t == nil || t.latest.After(now) {
			return
		}
		q.remove(t, now)
		t.decide(q.refusal(t, ReasonExpired, now))
	}
}

// minTimerDelay keeps the timer from firing again and again while the clock stands still.
const minTimerDelay = time.Millisecond

// setTimer sets the timer to the earliest latest start.
func (q *Queue) setTimer(now time.Time) {
	next := time.Time{}
	if t := q.line.earliest(); t != nil {
		next = t.latest
	}
	if next.Equal(q.timerAt) {
		return
	}
	if q.stopTimer != nil {
		q.stopTimer()
		q.stopTimer = nil
	}
	q.timerAt = next
	if !next.IsZero() {
		q.stopTimer = q.cfg.AfterFunc(max(minTimerDelay, next.Sub(now)), q.handleTimer)
	}
}

func (q *Queue) handleTimer() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	if q.stopTimer != nil {
		// A timer that could no longer be stopped comes while the next one is set.
		q.stopTimer()
	}
	q.timerAt, q.stopTimer = time.Time{}, nil
	q.expire(now)
	q.setTimer(now)
}
