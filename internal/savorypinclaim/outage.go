package savorypinclaim

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// maxIndexAge is the maximum age of the index, at the time the platform fails, for
// which keys that are not in the index count as not claimed. It is several
// refresh intervals.
const maxIndexAge = 10 * time.Second

// decideUncommitted decides a claim that could not be committed. The committer of
// a shard refreshes its index while the platform answers, so a key that is not in
// the index has not been claimed through this daemon; confirmNotClaimed checks
// the others.
func (s *Shard) decideUncommitted(c Claim, err error) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdicts, _ := s.index.Plan(s.nextSegment, []Claim{c}, s.cfg.FreeKeys()); verdicts[0].Kind != VerdictGranted {
		return decision{verdict: verdicts[0]}
	}
	if !s.loaded || s.staleAtFailure || !s.cfg.IsCommitter() || errors.Is(err, context.Canceled) {
		return decision{err: err}
	}
	return decision{
		err: fmt.Errorf("%w: %w", ErrNotClaimed, err), caughtUpAt: s.caughtUpAt, nextSegment: s.nextSegment,
	}
}

// confirmNotClaimed returns the error of a decision. It replaces ErrNotClaimed by
// ErrUnavailable if another daemon may have claimed the key since this daemon
// last read the shard: a daemon that can't reach the committer commits on its
// own.
func (s *Shard) confirmNotClaimed(ctx context.Context, d decision) error {
	if s.cfg.CheckNoOtherWriter == nil || !errors.Is(d.err, ErrNotClaimed) {
		return d.err
	}
	err := s.otherWriterChecks.wait(func() error {
		return s.cfg.CheckNoOtherWriter(context.WithoutCancel(ctx), s.cfg.Number, d.nextSegment, s.cfg.Now().Sub(d.caughtUpAt))
	})
	if err != nil {
		return fmt.Errorf("shard %d: %w: %w", s.cfg.Number, ErrUnavailable, err)
	}
	return d.err
}

// LastTriedSegment returns the number of the last segment that this daemon has
// tried to write, or zero if there is none.
func (s *Shard) LastTriedSegment() uint64 {
	return s.lastTried.Load()
}
