package savorypinqueue_test

import (
	"cmp"
	"slices"
	"time"

	"savorypin/internal/savorypinqueue"
)

// naiveTicket is a waiting item of a naiveQueue.
type naiveTicket struct {
	blockingSince time.Time
	item          savorypinqueue.Item
	latest        time.Time
	number        int
	blocks        int
	passes        int
}

// naiveQueue follows the rules of a Queue with a sorted slice, and no estimates of waits.
type naiveQueue struct {
	cfg savorypinqueue.Config
	// decided holds the reasons of those refused since the last call, by owner.
	decided map[any]savorypinqueue.Reason
	joined  int
	last    [10]int
	passed  int
	starts  int
	waiting []*naiveTicket
}

func flag(b bool) int {
	if b {
		return 0
	}
	return 1
}

func compareNaive(a, b *naiveTicket) int {
	return cmp.Or(
		cmp.Compare(a.item.Priority, b.item.Priority),
		cmp.Compare(flag(a.item.Resumed), flag(b.item.Resumed)),
		cmp.Compare(flag(a.item.Returned), flag(b.item.Returned)),
		a.latest.Compare(b.latest),
		cmp.Compare(a.number, b.number),
	)
}

func (q *naiveQueue) expire(now time.Time) {
	q.refuse(savorypinqueue.ReasonExpired, func(t *naiveTicket) bool { return !t.latest.After(now) })
}

func (q *naiveQueue) refuse(reason savorypinqueue.Reason, match func(*naiveTicket) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, func(t *naiveTicket) bool {
		if !match(t) {
			return false
		}
		if q.decided == nil {
			q.decided = map[any]savorypinqueue.Reason{}
		}
		q.decided[t.item.Owner] = reason
		return true
	})
}

// join returns why an item is refused, or "" if it waits.
func (q *naiveQueue) join(i savorypinqueue.Item, now time.Time) savorypinqueue.Reason {
	q.expire(now)
	q.joined++
	t := &naiveTicket{item: i, latest: i.LatestStart, number: q.joined}
	if longest := now.Add(q.cfg.MaxWait); longest.Before(t.latest) {
		t.latest = longest
	}
	if !t.latest.After(now) {
		return savorypinqueue.ReasonLate
	}
	left, reason := slices.Clone(q.waiting), savorypinqueue.Reason("")
	for displaced := 0; ; displaced++ {
		if reason = q.lacks(left, i); reason == "" {
			break
		}
		victim := q.victim(left, i)
		if victim == nil || displaced == 8 {
			return q.lacks(left, i)
		}
		left = slices.DeleteFunc(left, func(t *naiveTicket) bool { return t == victim })
	}
	q.refuse(savorypinqueue.ReasonDisplaced, func(t *naiveTicket) bool { return !slices.Contains(left, t) })
	q.waiting = append(q.waiting, t)
	slices.SortFunc(q.waiting, compareNaive)
	return ""
}

// lacks returns which limit an item exceeds beside others.
func (q *naiveQueue) lacks(others []*naiveTicket, i savorypinqueue.Item) savorypinqueue.Reason {
	length, bytes := len(others)+1, i.Bytes
	ownLength, ownBytes, mostUrgent := 1, i.Bytes, true
	for _, t := range others {
		bytes += t.item.Bytes
		if t.item.Priority == i.Priority {
			ownLength++
			ownBytes += t.item.Bytes
		}
		mostUrgent = mostUrgent && i.Priority <= t.item.Priority
	}
	maxOwnLength, maxOwnBytes := q.cfg.MaxLength, q.cfg.MaxBytes
	if mostUrgent {
		maxOwnLength -= q.cfg.MaxLength / q.cfg.ShareInterval
		maxOwnBytes -= q.cfg.MaxBytes / q.cfg.ShareInterval
	}
	switch {
	case length > q.cfg.MaxLength || ownLength > maxOwnLength:
		return savorypinqueue.ReasonFull
	case bytes > q.cfg.MaxBytes || ownBytes > maxOwnBytes:
		return savorypinqueue.ReasonBytes
	default:
		return ""
	}
}

// victim returns the last ticket that an item may displace and whose end helps it; nil if there is none.
func (q *naiveQueue) victim(others []*naiveTicket, i savorypinqueue.Item) *naiveTicket {
	lessUrgent := 0
	for _, t := range others {
		if t.item.Priority > i.Priority {
			lessUrgent++
		}
	}
	for _, t := range slices.Backward(others) {
		allowed := t.item.Priority > i.Priority && lessUrgent > q.cfg.MaxLength/q.cfg.ShareInterval ||
			t.item.Priority == i.Priority && i.Resumed && !t.item.Resumed
		if allowed && q.helps(others, t, i) {
			return t
		}
	}
	return nil
}

// helps reports whether the end of a ticket reduces an excess.
func (q *naiveQueue) helps(others []*naiveTicket, t *naiveTicket, i savorypinqueue.Item) bool {
	total, own := 0, 0
	bytes, ownBytes := i.Bytes, i.Bytes
	mostUrgent := true
	for _, o := range others {
		total++
		bytes += o.item.Bytes
		if o.item.Priority == i.Priority {
			own++
			ownBytes += o.item.Bytes
		}
		mostUrgent = mostUrgent && i.Priority <= o.item.Priority
	}
	if total+1 > q.cfg.MaxLength || bytes > q.cfg.MaxBytes && t.item.Bytes > 0 {
		return true
	}
	if !mostUrgent || t.item.Priority != i.Priority {
		return false
	}
	return own+1 > q.cfg.MaxLength-q.cfg.MaxLength/q.cfg.ShareInterval ||
		ownBytes > q.cfg.MaxBytes-q.cfg.MaxBytes/q.cfg.ShareInterval && t.item.Bytes > 0
}

// offer starts the first item that fits into free tokens, and returns it; nil if there is none.
func (q *naiveQueue) offer(free int, now time.Time) *savorypinqueue.Item {
	q.expire(now)
	var passed []*naiveTicket
	for _, t := range q.turn() {
		if t.item.Tokens <= free {
			for _, p := range passed {
				p.passes++
			}
			q.start(t)
			return &t.item
		}
		if q.blocks(t, now) {
			return nil
		}
		passed = append(passed, t)
	}
	return nil
}

func (q *naiveQueue) blocks(t *naiveTicket, now time.Time) bool {
	allowed := q.cfg.MaxPasses
	for range t.blocks {
		allowed *= 2
	}
	if t.passes < allowed {
		return false
	}
	if t.blockingSince.IsZero() {
		t.blockingSince = now
	}
	if now.Sub(t.blockingSince) < q.cfg.MaxBlock {
		return true
	}
	t.blocks++
	t.blockingSince, t.passes = time.Time{}, 0
	return false
}

// turn returns the tickets in the order in which they are tried.
func (q *naiveQueue) turn() []*naiveTicket {
	if q.passed < q.cfg.ShareInterval-1 || len(q.waiting) == 0 {
		return q.waiting
	}
	kept := -1
	for _, t := range q.waiting {
		p := t.item.Priority
		if p > q.waiting[0].item.Priority && (kept < 0 || q.last[p] < q.last[kept]) {
			kept = p
		}
	}
	order := slices.Clone(q.waiting)
	slices.SortStableFunc(order, func(a, b *naiveTicket) int {
		return cmp.Compare(flag(a.item.Priority == kept), flag(b.item.Priority == kept))
	})
	return order
}

func (q *naiveQueue) start(t *naiveTicket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *naiveTicket) bool { return o == t })
	q.starts++
	p := t.item.Priority
	q.last[p] = q.starts
	lessUrgent := slices.ContainsFunc(q.waiting, func(o *naiveTicket) bool { return o.item.Priority > p })
	moreUrgent := slices.ContainsFunc(q.waiting, func(o *naiveTicket) bool { return o.item.Priority < p })
	q.passed++
	if moreUrgent || !lessUrgent {
		q.passed = 0
	}
}
