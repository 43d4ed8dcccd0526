package savorypinclaim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"savorypin/internal/savorypin"
)

// maxConcurrentReads is the maximum number of concurrent reads of one load.
const maxConcurrentReads = 16

// errAbsent means that an object does not exist.
var errAbsent = errors.New("claim object does not exist")

func isAbsent(err error) bool {
	return errors.Is(err, errAbsent)
}

// get reads and decodes an object. It returns errAbsent if the object does not
// exist, and ErrUnavailable if it can't be read.
func get[T any](ctx context.Context, store Store, key savorypin.Key) (T, error) {
	var zero T
	o, err := store.Get(ctx, key)
	switch {
	case err == nil:
		return decodeObject[T](o)
	case store.IsNotFound(err):
		return zero, fmt.Errorf("%s: %w", key, errAbsent)
	default:
		return zero, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}

// getSequence reads the objects with the keys key(first) to key(last) and calls
// handle for each in order, until an object does not exist. It reads ahead in
// parallel, in windows that double up to maxConcurrentReads.
func getSequence[T any](
	ctx context.Context,
	store Store,
	key func(uint64) savorypin.Key,
	first, last uint64,
	handle func(uint64, T),
) error {
	window := uint64(1)
	for first <= last {
		n := min(window, last-first+1)
		values := make([]T, n)
		errs := make([]error, n)
		var group errgroup.Group
		for i := range n {
			group.Go(func() error {
				values[i], errs[i] = get[T](ctx, store, key(first+i))
				return nil
			})
		}
		_ = group.Wait()
		for i := range n {
			if isAbsent(errs[i]) {
				return nil
			}
			if errs[i] != nil {
				return errs[i]
			}
			handle(first+i, values[i])
		}
		first += n
		window = min(window*2, maxConcurrentReads)
	}
	return nil
}

// prepare loads the shard if it is not loaded, or else refreshes it if refresh is
// set.
func (s *Shard) prepare(ctx context.Context, refresh bool) error {
	s.mu.Lock()
	loaded := s.loaded
	s.mu.Unlock()
	if !loaded {
		return s.load(ctx)
	}
	if refresh {
		return s.catchUp(ctx)
	}
	return nil
}

// load reads the pages of the shard and the segments after them.
func (s *Shard) load(ctx context.Context) error {
	mark, version, err := s.readMark(ctx)
	if err != nil {
		return err
	}
	s.reset(mark, version)
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	current, err := s.checkMark(ctx, s.nextSegment)
	if err != nil {
		return err
	}
	if !current {
		return fmt.Errorf("%w: shard %d expired while it was read", ErrUnavailable, s.cfg.Number)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = true
	s.cfg.Count("loads", 1)
	return nil
}

// reset drops the index. The settlements that still wait to be written are added
// to the new index once the segments have been read.
func (s *Shard) reset(mark Mark, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = false
	s.index = NewIndex()
	s.keyCount.Store(0)
	s.mark = mark
	s.markVersion = version
	s.nextSegment = mark.first()
	s.duePages = nil
	s.pages = nil
	s.separateAttempts = nil
	s.sweep = sweep{}
}

// unload drops the index of a shard that another daemon commits and that was not
// used for unloadAfter.
func (s *Shard) unload() {
	const unloadAfter = time.Minute
	s.mu.Lock()
	inUse := !s.loaded || len(s.waiters)+len(s.settlements) > 0
	s.mu.Unlock()
	if inUse || s.cfg.IsCommitter() || s.cfg.Now().Sub(s.lastStep) < unloadAfter {
		return
	}
	s.reset(Mark{}, 0)
}

// catchUp applies the pages and segments that other daemons have written.
func (s *Shard) catchUp(ctx context.Context) error {
	for {
		before := s.nextSegment
		if before%segmentsPerPage == 1 {
			if err := s.catchUpPages(ctx); err != nil {
				return err
			}
		}
		if err := s.catchUpSegments(ctx); err != nil {
			return err
		}
		if s.nextSegment == before || s.nextSegment%segmentsPerPage != 1 {
			s.markCaughtUp()
			s.restorePending()
			return nil
		}
	}
}

func (s *Shard) catchUpPages(ctx context.Context) error {
	const unbounded = 1 << 40
	key := func(page uint64) savorypin.Key { return pageKey(s.cfg.Number, page) }
	first := (s.nextSegment-1)/segmentsPerPage + 1
	return getSequence(ctx, s.cfg.Store, key, first, unbounded, func(number uint64, page Page) {
		s.mu.Lock()
		s.index.ApplyPage(page)
		s.keyCount.Store(int64(s.index.Len()))
		s.nextSegment = number*segmentsPerPage + 1
		s.notifyChanged()
		s.mu.Unlock()
		s.pages = append(s.pages, pageTime{at: page.At, number: number})
		s.separateAttempts = nil
	})
}

// catchUpSegments applies segments up to the end of the current page.
func (s *Shard) catchUpSegments(ctx context.Context) error {
	key := func(number uint64) savorypin.Key { return segmentKey(s.cfg.Number, number) }
	last := ((s.nextSegment-1)/segmentsPerPage + 1) * segmentsPerPage
	return getSequence(ctx, s.cfg.Store, key, s.nextSegment, last, func(_ uint64, segment Segment) { s.apply(segment) })
}

// restorePending adds the settlements that still wait to be written to the index.
func (s *Shard) restorePending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, settlement := range s.settlements {
		s.index.AddPending(settlement)
	}
}

// checkMark reports whether a segment has not expired; if it has, the shard is
// loaded again. Without this check, a daemon that was paused while its next
// segment expired could create that segment again after its deletion, and no
// other daemon would read it.
func (s *Shard) checkMark(ctx context.Context, number uint64) (bool, error) {
	mark, version, err := s.readMark(ctx)
	if err != nil {
		return false, err
	}
	if mark.first() <= number {
		s.applyMark(mark, version)
		return true, nil
	}
	s.cfg.Count("expired", 1)
	s.mu.Lock()
	s.loaded = false
	s.mu.Unlock()
	if err := s.load(ctx); err != nil {
		return false, err
	}
	return false, nil
}

func (s *Shard) readMark(ctx context.Context) (Mark, int64, error) {
	key := markKey(s.cfg.Number)
	o, err := s.cfg.Store.Get(ctx, key)
	switch {
	case err == nil:
		mark, err := decodeObject[Mark](o)
		return mark, o.Version, err
	case s.cfg.Store.IsNotFound(err):
		return Mark{}, 0, nil
	default:
		return Mark{}, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}
