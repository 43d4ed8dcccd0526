package savorypinclaim

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// maxStaleness is how long before the platform failed a shard must have been
// fresh for its absent keys to be taken as not run. It is several refreshes.
const maxStaleness = 10 * time.Second

// undecided returns what can be said of a claim that could not be committed.
// The index of a daemon that others rely on is refreshed while the platform
// answers, so that a key that it does not know has not been claimed through it;
// confirm asks the others.
func (s *Shard) undecided(c Claim, err error) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdicts, _ := s.index.Plan(s.next, []Claim{c}, s.cfg.Room()); verdicts[0].Kind != VerdictGranted {
		return decision{verdict: verdicts[0]}
	}
	if !s.loaded || s.stale || !s.cfg.Trusted() || errors.Is(err, context.Canceled) {
		return decision{err: err}
	}
	return decision{
		err: fmt.Errorf("%w: %w", ErrNotClaimed, err), fresh: s.fresh, next: s.next,
	}
}

// confirm returns the error of a decision. That a key is not claimed is only true
// if no other daemon has claimed it since this one has read the shard: one that
// could not reach this daemon commits by itself.
func (s *Shard) confirm(ctx context.Context, d decision) error {
	if s.cfg.Alone == nil || !errors.Is(d.err, ErrNotClaimed) {
		return d.err
	}
	err := s.alone.ask(func() error {
		return s.cfg.Alone(context.WithoutCancel(ctx), s.cfg.Number, d.next, s.cfg.Now().Sub(d.fresh))
	})
	if err != nil {
		return fmt.Errorf("shard %d: %w: %w", s.cfg.Number, ErrUnavailable, err)
	}
	return d.err
}

// Tried returns the number of the last segment that this daemon has tried to
// write; zero if it has tried none.
func (s *Shard) Tried() uint64 {
	return s.tried.Load()
}
