package savorypinclaim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"savorypin/internal/savorypin"
)

// maxReads is the largest number of reads that a load has under way.
const maxReads = 16

// errAbsent means that there is no such object.
var errAbsent = errors.New("claim object does not exist")

func isAbsent(err error) bool {
	return errors.Is(err, errAbsent)
}

// get reads an object. It returns errAbsent if there is none.
func get[T any](ctx context.Context, store Store, key savorypin.Key) (T, error) {
	var none T
	o, err := store.Get(ctx, key)
	switch {
	case err == nil:
		return decodeObject[T](o)
	case store.IsNotFound(err):
		return none, fmt.Errorf("%s: %w", key, errAbsent)
	default:
		return none, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}

// getRun reads the objects that key names from a number on, and hands them
// over in order until one is absent or last has been read.
func getRun[T any](
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
		window = min(window*2, maxReads)
	}
	return nil
}

// ready loads the shard, or refreshes it on request.
func (s *Shard) ready(ctx context.Context, refresh bool) error {
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
	current, err := s.checkMark(ctx, s.next)
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

// reset forgets what was read. What was learned here and still waits to be
// written is learned again when the segments are known.
func (s *Shard) reset(mark Mark, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = false
	s.index = NewIndex()
	s.keys.Store(0)
	s.mark = mark
	s.markVersion = version
	s.next = mark.first()
	s.duePages = nil
	s.pages = nil
	s.separate = nil
	s.sweep = sweep{}
}

// unload forgets what was read of a shard that others commit and that was not
// needed for a while.
func (s *Shard) unload() {
	const unloadAfter = time.Minute
	s.mu.Lock()
	needed := !s.loaded || len(s.waiters)+len(s.settlements) > 0
	s.mu.Unlock()
	if needed || s.cfg.Trusted() || s.cfg.Now().Sub(s.last) < unloadAfter {
		return
	}
	s.reset(Mark{}, 0)
}

// catchUp applies what others have written.
func (s *Shard) catchUp(ctx context.Context) error {
	for {
		before := s.next
		if before%pageSegments == 1 {
			if err := s.catchUpPages(ctx); err != nil {
				return err
			}
		}
		if err := s.catchUpSegments(ctx); err != nil {
			return err
		}
		if s.next == before || s.next%pageSegments != 1 {
			s.refreshed()
			s.relearn()
			return nil
		}
	}
}

func (s *Shard) catchUpPages(ctx context.Context) error {
	const unbounded = 1 << 40
	key := func(page uint64) savorypin.Key { return pageKey(s.cfg.Number, page) }
	first := (s.next-1)/pageSegments + 1
	return getRun(ctx, s.cfg.Store, key, first, unbounded, func(number uint64, page Page) {
		s.mu.Lock()
		s.index.ApplyPage(page)
		s.keys.Store(int64(s.index.Len()))
		s.next = number*pageSegments + 1
		s.notify()
		s.mu.Unlock()
		s.pages = append(s.pages, pageTime{at: page.At, number: number})
		s.separate = nil
	})
}

// catchUpSegments reads up to the end of the page.
func (s *Shard) catchUpSegments(ctx context.Context) error {
	key := func(number uint64) savorypin.Key { return segmentKey(s.cfg.Number, number) }
	last := ((s.next-1)/pageSegments + 1) * pageSegments
	return getRun(ctx, s.cfg.Store, key, s.next, last, func(_ uint64, segment Segment) { s.apply(segment) })
}

// relearn learns the settlements that still wait to be written.
func (s *Shard) relearn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, settlement := range s.settlements {
		s.index.Learn(settlement)
	}
}

// checkMark reports whether a segment is not before the beginning of the
// shard. A daemon that was paused while its position expired could otherwise
// create a segment that was deleted, which no other daemon would read.
func (s *Shard) checkMark(ctx context.Context, number uint64) (bool, error) {
	mark, version, err := s.readMark(ctx)
	if err != nil {
		return false, err
	}
	if mark.first() <= number {
		s.advance(mark, version)
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
