package savorypinclaim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// Limits of what a shard keeps in memory.
const (
	// maxWaitingClaims is the largest number of claims that wait for a group.
	maxWaitingClaims = 4096
	// maxWaitingSettlements is the largest number of settlements that wait for
	// a group.
	maxWaitingSettlements = 4096
)

// Store is the part of the platform's client that shards use.
type Store struct {
	Create func(context.Context, savorypin.Object) (savorypin.Object, error)
	Delete func(ctx context.Context, key savorypin.Key, version int64) error
	// Get returns an error that IsNotFound accepts if there is no object.
	Get func(context.Context, savorypin.Key) (savorypin.Object, error)
	// IsNotFound reports whether an error of Get proves that there is no
	// object.
	IsNotFound func(error) bool
	Update     func(context.Context, savorypin.Object) (savorypin.Object, error)
}

// ShardConfig configures a Shard.
type ShardConfig struct {
	// Alone returns an error unless all other daemons say that they have neither
	// written nor tried to write a segment from next on, and that they would know
	// of one within a time that has passed; nil if there are no others.
	Alone func(ctx context.Context, shard int, next uint64, within time.Duration) error
	// Count adds to a counter.
	Count func(name string, n int64)
	// Interval is the shortest time between two segments.
	Interval time.Duration
	// NewOrder returns a new order id.
	NewOrder func() string
	// Now is the clock. It decides nothing but when keys expire.
	Now func() time.Time
	// Number is the number of the shard.
	Number int
	// Retention is how long a key is kept after it was last written.
	Retention time.Duration
	// Room returns how many new keys the shard may take.
	Room func() int
	// SettleDelay is how long settlements wait for claims to be written with.
	SettleDelay time.Duration
	// Store keeps the segments.
	Store Store
	// Trusted reports whether this daemon commits the shard for the others, so
	// that a key it does not know may be taken as absent during an outage.
	Trusted func() bool
	// Wait returns a channel that receives after a duration.
	Wait func(time.Duration) <-chan time.Time
}

// waiter is a claim that waits for its verdict.
type waiter struct {
	claim Claim
	done  chan decision
}

type decision struct {
	verdict Verdict
	err     error
	// fresh and next say up to where the shard was read: ErrNotClaimed is only true
	// if no other daemon has gone on from there.
	fresh time.Time
	next  uint64
}

// Shard commits the claims of a shard in groups. Any number of daemons may do
// so at once.
type Shard struct {
	cfg  ShardConfig
	keys atomic.Int64
	wake chan struct{}

	alone rounds
	// tried is the number of the last segment that this daemon tried to write.
	tried atomic.Uint64

	// Only Run and Step use these.
	duePages    []duePage
	last        time.Time
	mark        Mark
	markVersion int64
	pages       []pageTime
	separate    []string
	sweep       sweep

	mu         sync.Mutex
	changed    chan struct{}
	committing int
	failing    bool
	// fresh is when the shard was last known to be read to its end, and next the
	// number of the segment after that. Only Run and Step write them.
	fresh       time.Time
	index       *Index
	loaded      bool
	next        uint64
	settlements []Settlement
	// stale says that the shard was not fresh when the platform failed.
	stale   bool
	waiters []*waiter
}

// NewShard returns a shard that has read nothing.
func NewShard(cfg ShardConfig) *Shard {
	return &Shard{
		cfg:     cfg,
		changed: make(chan struct{}),
		index:   NewIndex(),
		last:    cfg.Now(),
		wake:    make(chan struct{}, 1),
	}
}

// Claim decides a claim. If it is granted, it is durable. It returns
// ErrNotClaimed if the platform is out and the key is not known, and
// ErrUnavailable if nothing is known of the key.
func (s *Shard) Claim(ctx context.Context, c Claim) (Verdict, error) {
	w := &waiter{claim: c, done: make(chan decision, 1)}
	s.mu.Lock()
	if len(s.waiters) >= maxWaitingClaims {
		s.mu.Unlock()
		d := s.undecided(c, fmt.Errorf("shard %d: %w: too many claims wait", s.cfg.Number, ErrUnavailable))
		return d.verdict, s.confirm(ctx, d)
	}
	s.waiters = append(s.waiters, w)
	s.mu.Unlock()
	s.signal()
	select {
	case d := <-w.done:
		if d.err != nil {
			return d.verdict, s.confirm(ctx, d)
		}
		return s.withAnswer(ctx, c.Key, d.verdict)
	case <-ctx.Done():
		return Verdict{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}

// Settle takes note of the outcome of an attempt. It is known here at once and
// durable with one of the next segments.
func (s *Shard) Settle(settlement Settlement) {
	s.mu.Lock()
	s.index.Learn(settlement)
	if len(s.settlements) >= maxWaitingSettlements {
		s.index.Forget(s.settlements[0].Key)
		s.settlements = s.settlements[1:]
		s.cfg.Count("dropped", 1)
	}
	s.settlements = append(s.settlements, settlement)
	s.notify()
	s.mu.Unlock()
	s.signal()
}

// Await waits until an attempt no longer holds its key as claimed, or ctx
// ends, and returns what is known of the key then.
func (s *Shard) Await(ctx context.Context, key KeyID, attempt string) (Verdict, error) {
	for {
		s.mu.Lock()
		verdict, ok := s.index.Lookup(key)
		changed := s.changed
		s.mu.Unlock()
		if ok && (verdict.Outcome != OutcomeClaimed || verdict.Attempt.ID != attempt) {
			return s.withAnswer(ctx, key, verdict)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return verdict, nil
		}
	}
}

// Idle reports whether nothing waits to be written that can be written. While
// the platform is out, outcomes need not be waited for: agents know them too.
func (s *Shard) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters)+s.committing > 0 {
		return false
	}
	return s.failing || len(s.settlements) == 0
}

// ShardState is the state of a shard in the state dump.
type ShardState struct {
	// Committer says that this daemon commits the shard for the others.
	Committer bool `json:"committer"`
	Keys      int  `json:"keys"`
	Loaded    bool `json:"loaded"`
	Shard     int  `json:"shard"`
	Waiting   int  `json:"waiting"`
}

// State returns the state of the shard.
func (s *Shard) State() ShardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShardState{
		Committer: s.cfg.Trusted(),
		Keys:      s.index.Len(),
		Loaded:    s.loaded,
		Shard:     s.cfg.Number,
		Waiting:   len(s.waiters) + len(s.settlements) + s.committing,
	}
}

// Run commits groups until ctx ends.
func (s *Shard) Run(ctx context.Context) {
	for s.waitForWork(ctx) {
		s.Step(ctx)
	}
}

// waitForWork waits until a group is due. It reports false when ctx has ended.
func (s *Shard) waitForWork(ctx context.Context) bool {
	for {
		s.unload()
		delay := s.delay()
		if delay <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-s.wake:
		case <-s.cfg.Wait(delay):
		case <-ctx.Done():
			return false
		}
	}
}

// delay returns how long the next group may wait. Without work, the shard is
// refreshed from time to time if others rely on it. The first refresh waits
// too, until the daemon knows the others.
func (s *Shard) delay() time.Duration {
	const refreshInterval = 2 * time.Second
	s.mu.Lock()
	claims, settlements := len(s.waiters), len(s.settlements)
	s.mu.Unlock()
	since := s.cfg.Now().Sub(s.last)
	switch {
	case claims > 0:
		return s.cfg.Interval - since
	case settlements > 0:
		return s.cfg.SettleDelay - since
	case s.cfg.Trusted():
		return refreshInterval - since
	default:
		return refreshInterval
	}
}

// Step commits one group and does what else is due.
func (s *Shard) Step(ctx context.Context) {
	waiters, settlements := s.take()
	claims := make([]Claim, len(waiters))
	for i, w := range waiters {
		claims[i] = w.claim
	}
	verdicts, err := s.commit(ctx, claims, settlements)
	s.last = s.cfg.Now()
	s.finish(settlements, err)
	for i, w := range waiters {
		if err != nil {
			w.done <- s.undecided(w.claim, err)
			continue
		}
		w.done <- decision{verdict: verdicts[i]}
	}
	if err == nil {
		s.keepHouse(ctx)
	}
}

func (s *Shard) take() ([]*waiter, []Settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.waiters), maxGroup)
	m := min(len(s.settlements), maxGroup)
	waiters, settlements := s.waiters[:n:n], s.settlements[:m:m]
	s.waiters = s.waiters[n:]
	s.settlements = s.settlements[m:]
	s.committing = n + m
	return waiters, settlements
}

// finish puts settlements back that could not be written.
func (s *Shard) finish(settlements []Settlement, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committing = 0
	if err != nil && !s.failing {
		s.stale = s.last.Sub(s.fresh) > maxStaleness
	}
	s.failing = err != nil
	if s.failing {
		s.settlements = append(settlements, s.settlements...)
	}
	s.notify()
}

// commit decides claims and writes what has to be durable.
func (s *Shard) commit(ctx context.Context, claims []Claim, settlements []Settlement) ([]Verdict, error) {
	if err := s.ready(ctx, len(claims)+len(settlements) == 0); err != nil {
		return nil, err
	}
	settlements, err := s.separateAnswers(ctx, settlements)
	if err != nil {
		return nil, err
	}
	for {
		s.mu.Lock()
		verdicts, granted := s.index.Plan(s.next, claims, s.cfg.Room())
		news := s.index.News(settlements)
		s.mu.Unlock()
		if len(granted)+len(news) == 0 {
			return verdicts, nil
		}
		segment := Segment{At: s.cfg.Now(), Claims: granted, Number: s.next, Settlements: news}
		won, err := s.append(ctx, segment)
		if err != nil {
			return nil, err
		}
		if won {
			s.cfg.Count("claims", int64(len(granted)))
			s.cfg.Count("settlements", int64(len(news)))
			return verdicts, nil
		}
		s.cfg.Count("races", 1)
	}
}

// append writes a segment. It reports false if another daemon has written a
// segment of the number; that one is applied then.
func (s *Shard) append(ctx context.Context, segment Segment) (bool, error) {
	o, err := newObject(segmentKey(s.cfg.Number, segment.Number), s.cfg.NewOrder(), segment.At, segment)
	if err != nil {
		return false, err
	}
	s.cfg.Count("segments", 1)
	s.tried.Store(segment.Number)
	won := true
	if _, err := s.cfg.Store.Create(ctx, o); err != nil {
		// The answer of the write may be lost; the order id tells whose it is.
		held, readErr := s.cfg.Store.Get(ctx, o.Key)
		if readErr != nil {
			return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		won = held.Order == o.Order
		if segment, err = decodeObject[Segment](held); err != nil {
			return false, err
		}
	}
	current, err := s.checkMark(ctx, segment.Number)
	if err != nil || !current {
		return false, err
	}
	s.apply(segment)
	if won {
		s.refreshed()
		return true, nil
	}
	return false, s.catchUp(ctx)
}

func (s *Shard) apply(segment Segment) {
	s.mu.Lock()
	s.index.Apply(segment)
	s.keys.Store(int64(s.index.Len()))
	s.next = segment.Number + 1
	s.notify()
	s.mu.Unlock()
	for _, settlement := range segment.Settlements {
		if settlement.Answer != nil && settlement.Answer.Separate {
			s.separate = append(s.separate, settlement.Attempt)
		}
	}
	if segment.Number%pageSegments == 0 {
		s.closePage(segment)
	}
}

// refreshed takes note that the shard is read to its end.
func (s *Shard) refreshed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh = s.cfg.Now()
}

// notify wakes those that await an outcome. The caller holds s.mu.
func (s *Shard) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
