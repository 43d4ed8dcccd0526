package savorypinclaim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// Limits of the queues of a shard.
const (
	// maxWaitingClaims is the maximum number of claims that wait for a group.
	maxWaitingClaims = 4096
	// maxWaitingSettlements is the maximum number of settlements that wait for
	// a group.
	maxWaitingSettlements = 4096
)

// Store is the part of the platform client that shards use.
type Store struct {
	Create func(context.Context, savorypin.Object) (savorypin.Object, error)
	Delete func(ctx context.Context, key savorypin.Key, version int64) error
	// Get returns an error for which IsNotFound is true if the object does not
	// exist.
	Get func(context.Context, savorypin.Key) (savorypin.Object, error)
	// IsNotFound reports whether an error of Get or Delete proves that the
	// object does not exist.
	IsNotFound func(error) bool
	Update     func(context.Context, savorypin.Object) (savorypin.Object, error)
}

// ShardConfig configures a Shard.
type ShardConfig struct {
	// CheckNoOtherWriter returns an error unless all other daemons report that they
	// have neither written nor tried to write segment next or a later one, and that
	// they have been running for at least the duration within: a daemon does not
	// know what it wrote before it restarted. The function may be nil if there are
	// no other daemons.
	CheckNoOtherWriter func(ctx context.Context, shard int, next uint64, within time.Duration) error
	// Count adds n to a named counter.
	Count func(name string, n int64)
	// Interval is the minimum time between two segments.
	Interval time.Duration
	// NewOrder returns a new order id.
	NewOrder func() string
	// Now is the clock. It decides when groups are due, when keys expire and
	// whether the index is recent enough during an outage.
	Now func() time.Time
	// Number is the number of the shard.
	Number int
	// Retention is how long a key is kept after its last write.
	Retention time.Duration
	// FreeKeys returns the number of new keys that the shard may accept.
	FreeKeys func() int
	// SettleDelay is how long settlements wait to be written together with
	// claims.
	SettleDelay time.Duration
	// Store stores the segments.
	Store Store
	// IsCommitter reports whether this daemon commits the shard for the others,
	// so that during an outage of the platform a key that is not in its index
	// counts as not claimed.
	IsCommitter func() bool
	// Wait returns a channel that receives once the duration has passed.
	Wait func(time.Duration) <-chan time.Time
}

// waiter is a claim that waits for its verdict.
type waiter struct {
	claim Claim
	done  chan decision
}

// decision is the result of a claim, which is sent to its waiter.
type decision struct {
	verdict Verdict
	err     error
	// caughtUpAt and nextSegment are the time and the position up to which the
	// shard was read. ErrNotClaimed only holds if no other daemon has written a
	// segment since then.
	caughtUpAt  time.Time
	nextSegment uint64
}

// Shard commits the claims of a shard in groups. Any number of daemons may
// commit to the same shard concurrently.
type Shard struct {
	cfg      ShardConfig
	keyCount atomic.Int64
	wake     chan struct{}

	otherWriterChecks checkGroup
	// lastTried is the number of the last segment that this daemon tried to
	// write; zero if there is none.
	lastTried atomic.Uint64

	// The following fields are used by Run and Step only.
	duePages         []duePage
	lastStep         time.Time
	mark             Mark
	markVersion      int64
	pages            []pageTime
	separateAttempts []string
	sweep            sweep

	mu sync.Mutex
	// changed is closed and replaced by notifyChanged.
	changed chan struct{}
	// committing is the number of claims and settlements of the current commit.
	committing int
	// failing says that the last commit failed.
	failing bool
	// caughtUpAt is when the shard was last read to its end, and nextSegment is
	// the number of the segment after that. Only Run and Step write them.
	caughtUpAt  time.Time
	index       *Index
	loaded      bool
	nextSegment uint64
	settlements []Settlement
	// staleAtFailure says that the index was older than maxIndexAge when the
	// platform failed.
	staleAtFailure bool
	waiters        []*waiter
}

// NewShard returns a shard that is not loaded yet.
func NewShard(cfg ShardConfig) *Shard {
	return &Shard{
		cfg:      cfg,
		changed:  make(chan struct{}),
		index:    NewIndex(),
		lastStep: cfg.Now(),
		wake:     make(chan struct{}, 1),
	}
}

// Claim decides a claim. A granted claim is durable. Claim returns
// ErrNotClaimed if the platform is unavailable and the key has not run, and
// ErrUnavailable if the state of the key is unknown.
func (s *Shard) Claim(ctx context.Context, c Claim) (Verdict, error) {
	w := &waiter{claim: c, done: make(chan decision, 1)}
	s.mu.Lock()
	if len(s.waiters) >= maxWaitingClaims {
		s.mu.Unlock()
		d := s.decideUncommitted(c, fmt.Errorf("shard %d: %w: too many claims wait", s.cfg.Number, ErrUnavailable))
		return d.verdict, s.confirmNotClaimed(ctx, d)
	}
	s.waiters = append(s.waiters, w)
	s.mu.Unlock()
	s.wakeRun()
	select {
	case d := <-w.done:
		if d.err != nil {
			return d.verdict, s.confirmNotClaimed(ctx, d)
		}
		return s.withAnswer(ctx, c.Key, d.verdict)
	case <-ctx.Done():
		return Verdict{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}

// Settle records the outcome of an attempt. This daemon uses the outcome at
// once; it becomes durable with one of the next segments.
func (s *Shard) Settle(settlement Settlement) {
	s.mu.Lock()
	s.index.AddPending(settlement)
	if len(s.settlements) >= maxWaitingSettlements {
		s.index.DropPending(s.settlements[0].Key)
		s.settlements = s.settlements[1:]
		s.cfg.Count("dropped", 1)
	}
	s.settlements = append(s.settlements, settlement)
	s.notifyChanged()
	s.mu.Unlock()
	s.wakeRun()
}

// Await waits until an attempt has an outcome or another attempt holds the key, or
// until ctx ends, and returns the verdict on the key at that time.
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

// Idle reports whether no claims or settlements wait to be written. While the
// platform is unavailable, waiting settlements don't count: agents keep the
// outcomes too.
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
	// Committer says whether this daemon commits the shard for the others.
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
		Committer: s.cfg.IsCommitter(),
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

// waitForWork waits until a group is due. It returns false once ctx has ended.
func (s *Shard) waitForWork(ctx context.Context) bool {
	for {
		s.unload()
		delay := s.nextStepDelay()
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

// nextStepDelay returns the time until the next step is due. If nothing waits to
// be written, the committer of the shard refreshes its index at a fixed
// interval. The first refresh waits for that interval too, so that the daemon
// has discovered the others by then.
func (s *Shard) nextStepDelay() time.Duration {
	const refreshInterval = 2 * time.Second
	s.mu.Lock()
	claims, settlements := len(s.waiters), len(s.settlements)
	s.mu.Unlock()
	since := s.cfg.Now().Sub(s.lastStep)
	switch {
	case claims > 0:
		return s.cfg.Interval - since
	case settlements > 0:
		return s.cfg.SettleDelay - since
	case s.cfg.IsCommitter():
		return refreshInterval - since
	default:
		return refreshInterval
	}
}

// Step commits one group and then runs the maintenance of the shard, unless the
// commit failed.
func (s *Shard) Step(ctx context.Context) {
	waiters, settlements := s.takeGroup()
	claims := make([]Claim, len(waiters))
	for i, w := range waiters {
		claims[i] = w.claim
	}
	verdicts, err := s.commit(ctx, claims, settlements)
	s.lastStep = s.cfg.Now()
	s.finishCommit(settlements, err)
	for i, w := range waiters {
		if err != nil {
			w.done <- s.decideUncommitted(w.claim, err)
			continue
		}
		w.done <- decision{verdict: verdicts[i]}
	}
	if err == nil {
		s.maintain(ctx)
	}
}

// takeGroup removes the next group from the queues.
func (s *Shard) takeGroup() ([]*waiter, []Settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.waiters), maxGroupSize)
	m := min(len(s.settlements), maxGroupSize)
	waiters, settlements := s.waiters[:n:n], s.settlements[:m:m]
	s.waiters = s.waiters[n:]
	s.settlements = s.settlements[m:]
	s.committing = n + m
	return waiters, settlements
}

// finishCommit records whether a commit failed. The settlements of a failed
// commit go back to the head of the queue.
func (s *Shard) finishCommit(settlements []Settlement, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committing = 0
	if err != nil && !s.failing {
		s.staleAtFailure = s.lastStep.Sub(s.caughtUpAt) > maxIndexAge
	}
	s.failing = err != nil
	if s.failing {
		s.settlements = append(settlements, s.settlements...)
	}
	s.notifyChanged()
}

// commit decides claims and writes the granted claims and the new settlements
// as one segment.
func (s *Shard) commit(ctx context.Context, claims []Claim, settlements []Settlement) ([]Verdict, error) {
	if err := s.prepare(ctx, len(claims)+len(settlements) == 0); err != nil {
		return nil, err
	}
	settlements, err := s.storeLargeAnswers(ctx, settlements)
	if err != nil {
		return nil, err
	}
	for {
		s.mu.Lock()
		verdicts, granted := s.index.Plan(s.nextSegment, claims, s.cfg.FreeKeys())
		added := s.index.FilterNew(settlements)
		s.mu.Unlock()
		if len(granted)+len(added) == 0 {
			return verdicts, nil
		}
		segment := Segment{At: s.cfg.Now(), Claims: granted, Number: s.nextSegment, Settlements: added}
		written, err := s.appendSegment(ctx, segment)
		if err != nil {
			return nil, err
		}
		if written {
			s.cfg.Count("claims", int64(len(granted)))
			s.cfg.Count("settlements", int64(len(added)))
			return verdicts, nil
		}
		s.cfg.Count("races", 1)
	}
}

// appendSegment writes a segment. If another daemon has already written a
// segment with the same number, it applies that one and returns false. It also
// returns false if segments of that number have expired.
func (s *Shard) appendSegment(ctx context.Context, segment Segment) (bool, error) {
	o, err := newObject(segmentKey(s.cfg.Number, segment.Number), s.cfg.NewOrder(), segment.At, segment)
	if err != nil {
		return false, err
	}
	s.cfg.Count("segments", 1)
	s.lastTried.Store(segment.Number)
	written := true
	if _, err := s.cfg.Store.Create(ctx, o); err != nil {
		// The create may have succeeded although its answer was lost. The order
		// id shows which daemon wrote the object.
		existing, readErr := s.cfg.Store.Get(ctx, o.Key)
		if readErr != nil {
			return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		written = existing.Order == o.Order
		if segment, err = decodeObject[Segment](existing); err != nil {
			return false, err
		}
	}
	current, err := s.checkMark(ctx, segment.Number)
	if err != nil || !current {
		return false, err
	}
	s.apply(segment)
	if written {
		s.markCaughtUp()
		return true, nil
	}
	return false, s.catchUp(ctx)
}

// apply applies a durable segment.
func (s *Shard) apply(segment Segment) {
	s.mu.Lock()
	s.index.Apply(segment)
	s.keyCount.Store(int64(s.index.Len()))
	s.nextSegment = segment.Number + 1
	s.notifyChanged()
	s.mu.Unlock()
	for _, settlement := range segment.Settlements {
		if settlement.Answer != nil && settlement.Answer.Separate {
			s.separateAttempts = append(s.separateAttempts, settlement.Attempt)
		}
	}
	if segment.Number%segmentsPerPage == 0 {
		s.closePage(segment)
	}
}

// markCaughtUp records that the shard is read to its end.
func (s *Shard) markCaughtUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caughtUpAt = s.cfg.Now()
}

// notifyChanged wakes the calls of Await. The caller holds s.mu.
func (s *Shard) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wakeRun makes Run recompute when the next group is due.
func (s *Shard) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
