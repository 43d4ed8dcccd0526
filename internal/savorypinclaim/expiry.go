package savorypinclaim

import (
	"context"
	"time"

	"savorypin/internal/savorypin"
)

// maxDeletesPerStep limits the expired objects that are deleted after each group,
// so that deletes don't crowd out the writes of groups on the platform.
const maxDeletesPerStep = 2

// pageTime is the number and time of a page that has not expired.
type pageTime struct {
	at     time.Time
	number uint64
}

// sweep holds the objects of an expired page that are still to be deleted.
type sweep struct {
	keys []savorypin.Key
	page uint64
}

// closePage builds the page that ends with segment last and queues it for writing.
func (s *Shard) closePage(last Segment) {
	s.mu.Lock()
	page := s.index.ClosePage(last.Number-segmentsPerPage+1, last.Number)
	s.mu.Unlock()
	page.At = last.At
	page.Separate = s.separateAttempts
	s.separateAttempts = nil
	number := last.Number / segmentsPerPage
	s.duePages = append(s.duePages, duePage{number: number, page: page})
	s.pages = append(s.pages, pageTime{at: last.At, number: number})
}

// duePage is a page that has to be written.
type duePage struct {
	number uint64
	page   Page
}

// maintain writes pages, expires keys and deletes expired objects. What fails is
// retried after the next group.
func (s *Shard) maintain(ctx context.Context) {
	s.writePages(ctx)
	if len(s.duePages) > 0 {
		return
	}
	s.expire(ctx)
	for range maxDeletesPerStep {
		if !s.deleteNext(ctx) {
			return
		}
	}
}

// writePages writes the pages that are due. All daemons write identical pages, so
// a page that another daemon has already written counts as written.
func (s *Shard) writePages(ctx context.Context) {
	for len(s.duePages) > 0 {
		due := s.duePages[0]
		key := pageKey(s.cfg.Number, due.number)
		o, err := newObject(key, s.cfg.NewOrder(), due.page.At, due.page)
		if err != nil {
			return
		}
		if _, err := s.cfg.Store.Create(ctx, o); err != nil {
			if _, err := s.cfg.Store.Get(ctx, key); err != nil {
				return
			}
		}
		s.cfg.Count("pages", 1)
		s.duePages = s.duePages[1:]
	}
}

// expire advances the mark past the pages that are older than the retention.
func (s *Shard) expire(ctx context.Context) {
	limit := s.cfg.Now().Add(-s.cfg.Retention)
	mark := s.mark
	for _, p := range s.pages {
		if !p.at.Before(limit) {
			break
		}
		mark.Page = max(mark.Page, p.number)
	}
	if mark.Page > s.mark.Page {
		s.writeMark(ctx, mark)
	}
}

// applyMark adopts a mark and removes the keys that expired with it.
func (s *Shard) applyMark(mark Mark, version int64) {
	expired := mark.Page > s.mark.Page
	s.mark, s.markVersion = mark, version
	if !expired {
		return
	}
	s.mu.Lock()
	s.index.Expire(mark.first())
	s.keyCount.Store(int64(s.index.Len()))
	s.mu.Unlock()
	for len(s.pages) > 0 && s.pages[0].number <= mark.Page {
		s.pages = s.pages[1:]
	}
}

// writeMark replaces the mark and reports whether it succeeded. The write fails
// if another daemon has changed the mark, which a later step reads.
func (s *Shard) writeMark(ctx context.Context, mark Mark) bool {
	o, err := newObject(markKey(s.cfg.Number), s.cfg.NewOrder(), s.cfg.Now(), mark)
	if err != nil {
		return false
	}
	write := s.cfg.Store.Create
	if s.markVersion != 0 {
		write = s.cfg.Store.Update
		o.Version = s.markVersion
	}
	written, err := write(ctx, o)
	if err != nil {
		return false
	}
	s.applyMark(mark, written.Version)
	return true
}

// deleteNext deletes one expired object. It returns false if none is left or a
// platform call failed.
func (s *Shard) deleteNext(ctx context.Context) bool {
	if len(s.sweep.keys) == 0 && !s.startSweep(ctx) {
		return false
	}
	err := s.cfg.Store.Delete(ctx, s.sweep.keys[0], 0)
	if err != nil && !s.cfg.Store.IsNotFound(err) {
		return false
	}
	s.cfg.Count("deletes", 1)
	s.sweep.keys = s.sweep.keys[1:]
	if len(s.sweep.keys) == 0 {
		mark := s.mark
		mark.Deleted = max(mark.Deleted, s.sweep.page)
		return s.writeMark(ctx, mark)
	}
	return true
}

// startSweep lists the objects of the first expired page that is not deleted. The
// page itself is deleted last, because it lists the separate answers. It returns
// false if there is no such page or the page can't be read.
func (s *Shard) startSweep(ctx context.Context) bool {
	if s.mark.Deleted >= s.mark.Page {
		return false
	}
	number := s.mark.Deleted + 1
	page, err := get[Page](ctx, s.cfg.Store, pageKey(s.cfg.Number, number))
	if err != nil && !isAbsent(err) {
		return false
	}
	keys := make([]savorypin.Key, 0, segmentsPerPage+len(page.Separate)+1)
	for _, attempt := range page.Separate {
		keys = append(keys, answerKey(attempt))
	}
	for i := range uint64(segmentsPerPage) {
		keys = append(keys, segmentKey(s.cfg.Number, (number-1)*segmentsPerPage+i+1))
	}
	s.sweep = sweep{keys: append(keys, pageKey(s.cfg.Number, number)), page: number}
	return true
}
