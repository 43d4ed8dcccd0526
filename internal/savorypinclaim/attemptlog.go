package savorypinclaim

import (
	"context"
	"errors"
	"sync"
	"time"
)

// The errors of AttemptLog.Admit. The attempt must not be forwarded.
var (
	// ErrBarred means that the attempt was barred before it arrived, see Bar, or
	// that it arrived before and ended with outcome not run.
	ErrBarred = errors.New("attempt was barred before it was passed on")
	// ErrLogFull means that the log holds MaxRecords attempts that are running.
	ErrLogFull = errors.New("too many attempts are kept")
	// ErrBelowFloor means that the claim of the attempt is in a segment at or
	// below the floor of its shard, so that the log may have dropped its record
	// or barred it without one.
	ErrBelowFloor = errors.New("attempt is too late")
	// ErrWrongIncarnation means that the attempt was meant for another incarnation
	// of the agent, usually the one before its restart.
	ErrWrongIncarnation = errors.New("attempt was meant for an earlier incarnation")
	// ErrAlreadyForwarded means that the attempt was already forwarded.
	ErrAlreadyForwarded = errors.New("attempt was passed on before")
)

// ClaimedAttempt is a claimed attempt, with the number of the segment of its claim.
type ClaimedAttempt struct {
	Attempt Attempt `msgpack:"att"`
	Key     KeyID   `msgpack:"key"`
	Segment uint64  `msgpack:"seg"`
}

// AttemptLogConfig configures an AttemptLog.
type AttemptLogConfig struct {
	// Incarnation is the incarnation of the agent.
	Incarnation int64
	// MaxBytes is the maximum size of all answers that are kept, in bytes.
	MaxBytes int
	// MaxRecords is the maximum number of attempts that are kept.
	MaxRecords int
	// Now is the clock. It only decides when records are dropped.
	Now func() time.Time
	// Retention is how long an attempt is kept after its end.
	Retention time.Duration
}

// record is what the log keeps of one attempt. The channel done is closed when the
// attempt has ended or is barred.
type record struct {
	answer  *Answer
	endedAt time.Time
	done    chan struct{}
	id      string
	outcome Outcome
	segment uint64
	shard   int
}

// AttemptLog records the attempts of an agent and their outcomes, so that the
// agent forwards each attempt at most once. When it drops a record, it raises
// the floor of the shard, which is a segment number, to the segment of the
// attempt's claim. It refuses all attempts of the shard whose claims are in a
// segment at or below the floor. It is safe for concurrent use.
type AttemptLog struct {
	cfg AttemptLogConfig

	mu    sync.Mutex
	bytes int
	// ended holds the records of the attempts that have ended, oldest first.
	ended   []*record
	floors  [Shards]uint64
	records map[string]*record
}

// NewAttemptLog returns an empty log.
func NewAttemptLog(cfg AttemptLogConfig) *AttemptLog {
	return &AttemptLog{cfg: cfg, records: map[string]*record{}}
}

// Admit records that an attempt is about to be forwarded. If it returns an error,
// the attempt must not be forwarded.
func (l *AttemptLog) Admit(claimed ClaimedAttempt) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if claimed.Attempt.Incarnation != l.cfg.Incarnation {
		return ErrWrongIncarnation
	}
	if rec, ok := l.records[claimed.Attempt.ID]; ok {
		if rec.outcome == OutcomeNotRun {
			return ErrBarred
		}
		return ErrAlreadyForwarded
	}
	if claimed.Segment <= l.floors[claimed.Key.Shard()] {
		return ErrBelowFloor
	}
	if !l.evictToFit() {
		return ErrLogFull
	}
	l.add(claimed, OutcomeClaimed)
	return nil
}

// End records the outcome of an attempt that was admitted.
func (l *AttemptLog) End(id string, outcome Outcome, answer *Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec, ok := l.records[id]
	if !ok || rec.outcome != OutcomeClaimed {
		return
	}
	rec.answer = answer
	if answer != nil {
		l.bytes += len(answer.Body)
	}
	l.end(rec, outcome)
	l.evictToFit()
}

// Bar prevents an attempt from being forwarded later and returns its outcome. If
// the attempt is running, Bar waits for its end; if ctx ends first, the outcome
// is claimed. The outcome is unknown if the attempt was meant for another
// incarnation or if its record may have been dropped.
func (l *AttemptLog) Bar(ctx context.Context, claimed ClaimedAttempt) (Outcome, *Answer) {
	rec, outcome := l.bar(claimed)
	if rec == nil {
		return outcome, nil
	}
	select {
	case <-rec.done:
	case <-ctx.Done():
		return OutcomeClaimed, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return rec.outcome, rec.answer
}

func (l *AttemptLog) bar(claimed ClaimedAttempt) (*record, Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if claimed.Attempt.Incarnation != l.cfg.Incarnation {
		return nil, OutcomeUnknown
	}
	if rec, ok := l.records[claimed.Attempt.ID]; ok {
		return rec, rec.outcome
	}
	shard := claimed.Key.Shard()
	if claimed.Segment <= l.floors[shard] {
		return nil, OutcomeUnknown
	}
	if !l.evictToFit() {
		// Without space for a record, the floor bars the attempt.
		l.floors[shard] = claimed.Segment
		return nil, OutcomeNotRun
	}
	rec := l.add(claimed, OutcomeClaimed)
	l.end(rec, OutcomeNotRun)
	return rec, OutcomeNotRun
}

// Idle reports whether no attempt is running.
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

// Sweep drops the records of attempts that ended longer ago than the retention.
func (l *AttemptLog) Sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.cfg.Now().Add(-l.cfg.Retention)
	for len(l.ended) > 0 && l.ended[0].endedAt.Before(limit) {
		l.evictOldest()
	}
}

func (l *AttemptLog) add(claimed ClaimedAttempt, outcome Outcome) *record {
	rec := &record{
		done:    make(chan struct{}),
		id:      claimed.Attempt.ID,
		outcome: outcome,
		segment: claimed.Segment,
		shard:   claimed.Key.Shard(),
	}
	l.records[rec.id] = rec
	return rec
}

func (l *AttemptLog) end(rec *record, outcome Outcome) {
	rec.endedAt = l.cfg.Now()
	rec.outcome = outcome
	l.ended = append(l.ended, rec)
	close(rec.done)
}

// evictToFit drops the oldest ended records until one more record fits. It returns
// false if none fits because all remaining attempts are running.
func (l *AttemptLog) evictToFit() bool {
	for len(l.ended) > 0 && (len(l.records) >= l.cfg.MaxRecords || l.bytes > l.cfg.MaxBytes) {
		l.evictOldest()
	}
	return len(l.records) < l.cfg.MaxRecords
}

// evictOldest drops the oldest ended record and raises the floor of its shard.
func (l *AttemptLog) evictOldest() {
	rec := l.ended[0]
	l.ended[0] = nil
	l.ended = l.ended[1:]
	if rec.answer != nil {
		l.bytes -= len(rec.answer.Body)
	}
	delete(l.records, rec.id)
	l.floors[rec.shard] = max(l.floors[rec.shard], rec.segment)
}
