package savorypinclaim

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Errors of an AttemptLog. Each means that the attempt was not passed on.
var (
	// ErrBarred means that the attempt was barred before it arrived.
	ErrBarred = errors.New("attempt was barred before it was passed on")
	// ErrBusy means that the log holds as much as it may.
	ErrBusy = errors.New("too many attempts are kept")
	// ErrLate means that the log no longer remembers the time of the claim.
	ErrLate = errors.New("attempt is too late")
	// ErrRestarted means that the attempt was meant for an earlier incarnation.
	ErrRestarted = errors.New("attempt was meant for an earlier incarnation")
	// ErrSeen means that the attempt was passed on before.
	ErrSeen = errors.New("attempt was passed on before")
)

// Ticket is an attempt with the segment that its claim is in.
type Ticket struct {
	Attempt Attempt `msgpack:"att"`
	Key     KeyID   `msgpack:"key"`
	Segment uint64  `msgpack:"seg"`
}

// AttemptLogConfig configures an AttemptLog.
type AttemptLogConfig struct {
	// Incarnation is the incarnation of the agent.
	Incarnation int64
	// MaxBytes bounds the answers that are kept, in bytes.
	MaxBytes int
	// MaxRecords bounds the attempts that are kept.
	MaxRecords int
	// Now is the clock. It decides nothing but when records are dropped.
	Now func() time.Time
	// Retention is how long an attempt is kept after it ended.
	Retention time.Duration
}

// record is what an agent knows of an attempt.
type record struct {
	answer  *Answer
	at      time.Time
	done    chan struct{}
	id      string
	outcome Outcome
	segment uint64
	shard   int
}

// AttemptLog is what an agent knows of attempts. For each attempt it passes on
// at most one, and it tells the outcome. What it forgets it refuses: each
// shard has a floor, and attempts claimed at or below the floor are too late.
// It is safe for concurrent use.
type AttemptLog struct {
	cfg AttemptLogConfig

	mu      sync.Mutex
	bytes   int
	ended   []*record
	floors  [Shards]uint64
	records map[string]*record
}

// NewAttemptLog returns an empty log.
func NewAttemptLog(cfg AttemptLogConfig) *AttemptLog {
	return &AttemptLog{cfg: cfg, records: map[string]*record{}}
}

// Admit notes that an attempt is about to be passed on. If it returns an
// error, the attempt must not be passed on.
func (l *AttemptLog) Admit(t Ticket) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Attempt.Incarnation != l.cfg.Incarnation {
		return ErrRestarted
	}
	if held, ok := l.records[t.Attempt.ID]; ok {
		if held.outcome == OutcomeNotRun {
			return ErrBarred
		}
		return ErrSeen
	}
	if t.Segment <= l.floors[t.Key.Shard()] {
		return ErrLate
	}
	if !l.makeRoom() {
		return ErrBusy
	}
	l.add(t, OutcomeClaimed)
	return nil
}

// End notes the outcome of an attempt that was admitted.
func (l *AttemptLog) End(id string, outcome Outcome, answer *Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, ok := l.records[id]
	if !ok || held.outcome != OutcomeClaimed {
		return
	}
	held.answer = answer
	if answer != nil {
		l.bytes += len(answer.Body)
	}
	l.end(held, outcome)
	l.makeRoom()
}

// Bar makes sure that an attempt never begins any more and returns its
// outcome. If the attempt is under way, it waits for its end; the outcome is
// claimed if ctx ends first.
func (l *AttemptLog) Bar(ctx context.Context, t Ticket) (Outcome, *Answer) {
	held, outcome := l.bar(t)
	if held == nil {
		return outcome, nil
	}
	select {
	case <-held.done:
	case <-ctx.Done():
		return OutcomeClaimed, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return held.outcome, held.answer
}

func (l *AttemptLog) bar(t Ticket) (*record, Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Attempt.Incarnation != l.cfg.Incarnation {
		return nil, OutcomeUnknown
	}
	if held, ok := l.records[t.Attempt.ID]; ok {
		return held, held.outcome
	}
	shard := t.Key.Shard()
	if t.Segment <= l.floors[shard] {
		return nil, OutcomeUnknown
	}
	if !l.makeRoom() {
		// The floor bars without a record.
		l.floors[shard] = t.Segment
		return nil, OutcomeNotRun
	}
	held := l.add(t, OutcomeClaimed)
	l.end(held, OutcomeNotRun)
	return held, OutcomeNotRun
}

// Idle reports whether no attempt is under way.
func (l *AttemptLog) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) == len(l.ended)
}

// AttemptLogState is the state of a log in the state dump.
type AttemptLogState struct {
	Bytes   int            `json:"bytes"`
	Floors  [Shards]uint64 `json:"floors"`
	Records int            `json:"records"`
	Running int            `json:"running"`
}

// State returns the state of the log.
func (l *AttemptLog) State() AttemptLogState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return AttemptLogState{
		Bytes:   l.bytes,
		Floors:  l.floors,
		Records: len(l.records),
		Running: len(l.records) - len(l.ended),
	}
}

// Sweep forgets what has been kept for long enough.
func (l *AttemptLog) Sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.cfg.Now().Add(-l.cfg.Retention)
	for len(l.ended) > 0 && l.ended[0].at.Before(limit) {
		l.forgetOldest()
	}
}

func (l *AttemptLog) add(t Ticket, outcome Outcome) *record {
	held := &record{
		done:    make(chan struct{}),
		id:      t.Attempt.ID,
		outcome: outcome,
		segment: t.Segment,
		shard:   t.Key.Shard(),
	}
	l.records[held.id] = held
	return held
}

func (l *AttemptLog) end(held *record, outcome Outcome) {
	held.at = l.cfg.Now()
	held.outcome = outcome
	l.ended = append(l.ended, held)
	close(held.done)
}

// makeRoom forgets the oldest records until one more fits. It reports false if
// all that is left is under way.
func (l *AttemptLog) makeRoom() bool {
	for len(l.ended) > 0 && (len(l.records) >= l.cfg.MaxRecords || l.bytes > l.cfg.MaxBytes) {
		l.forgetOldest()
	}
	return len(l.records) < l.cfg.MaxRecords
}

func (l *AttemptLog) forgetOldest() {
	held := l.ended[0]
	l.ended[0] = nil
	l.ended = l.ended[1:]
	if held.answer != nil {
		l.bytes -= len(held.answer.Body)
	}
	delete(l.records, held.id)
	l.floors[held.shard] = max(l.floors[held.shard], held.segment)
}
