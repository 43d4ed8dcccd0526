package savorypinqueue

import (
	"math"
	"time"
)

// News says that capacity may have become free.
type News struct {
	// Gateways is the number of gateways with waiting items that have the same news, with this one.
	Gateways int
	// Places is the number of items that may fit now, at all gateways together.
	Places int
}

// OwnNews is the news that one place has become free that only this gateway knows of yet.
func OwnNews() News { return News{Gateways: 1, Places: 1} }

// limit returns the number of items that this gateway starts for news: its part of the places. What
// is left over of a start is added to the next news. As the first one is random, the gateways together
// start about as many items as there are places, and not all of them at the same news.
func (q *Queue) limit(n News) int {
	if n.Places <= 0 {
		return 0
	}
	q.credit += float64(n.Places) / float64(max(1, n.Gateways))
	whole := math.Floor(q.credit)
	q.credit -= whole
	return int(min(whole, float64(q.line.length)))
}

// Offer starts waiting items in their order as far as capacity suffices, and returns how many.
// tryStart starts an item if it fits and reports whether it has; it must not call the queue. Items
// that need as much memory as one that did not fit are not tried.
func (q *Queue) Offer(news News, tryStart func(Item) bool) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	q.expire(now)
	defer q.setTimer(now)
	if q.line.length == 0 {
		return 0
	}
	started := 0
	limit := q.limit(news)
	// smallest is the least memory that did not fit; less of it becomes free meanwhile.
	smallest := math.MaxInt
	for started < limit {
		t := q.startNext(tryStart, &smallest, now)
		if t == nil {
			break
		}
		started++
		q.rates.advance(now, &q.line)
		q.rates.recordStart(t.item)
		q.line.remove(t)
		q.share.recordStart(t.item.Priority, &q.line)
		t.decide(Decision{Outcome: OutcomeStarted})
	}
	return started
}

// startNext starts the first item that fits, and returns its ticket; nil if there is none.
func (q *Queue) startNext(tryStart func(Item) bool, smallest *int, now time.Time) *Ticket {
	tickets := q.line.all()
	if kept, ok := q.share.priority(&q.line); ok {
		tickets = q.line.allStartingWith(kept)
	}
	skipped := 0
	for t := range tickets {
		if t.item.Tokens < *smallest {
			if tryStart(t.item) {
				q.recordPasses(tickets, skipped)
				return t
			}
			*smallest = t.item.Tokens
		}
		if q.blocks(t, now) {
			return nil
		}
		skipped++
	}
	return nil
}

// recordPasses records that another item has started before the first n tickets.
func (q *Queue) recordPasses(tickets func(func(*Ticket) bool), n int) {
	if n == 0 {
		return
	}
	for t := range tickets {
		t.passes++
		n--
		if n == 0 {
			return
		}
	}
}

// maxBlocks limits the factor by which the passes before a block grow.
const maxBlocks = 10

// blocks reports whether a ticket that does not fit keeps those behind it from starting, so that the
// memory that it needs can become free. It does so for a time after others have passed it too often;
// then they pass it again, twice as often as before, since it may fit nowhere.
func (q *Queue) blocks(t *Ticket, now time.Time) bool {
	if t.passes < q.cfg.MaxPasses<<min(t.blocks, maxBlocks) {
		return false
	}
	if t.blockingSince.IsZero() || now.Before(t.blockingSince) {
		t.blockingSince = now
	}
	if now.Sub(t.blockingSince) < q.cfg.MaxBlock {
		return true
	}
	t.blockingSince = time.Time{}
	t.blocks++
	t.passes = 0
	return false
}
