package savorypinqueue_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"savorypin/internal/savorypinqueue"
)

// twins are a queue and the naive one that follows the same rules.
type twins struct {
	clock   *fakeClock
	naive   *naiveQueue
	owners  int
	queue   *savorypinqueue.Queue
	starts  int
	t       *rapid.T
	tickets map[any]*savorypinqueue.Ticket
}

func newTwins(t *rapid.T) *twins {
	cfg := savorypinqueue.Config{
		MaxBlock: time.Second, MaxBytes: 100, MaxLength: rapid.IntRange(1, 20).Draw(t, "length"), MaxPasses: 3, MaxWait: 5 * time.Second,
		ShareInterval: rapid.IntRange(2, 9).Draw(t, "interval"),
	}
	queue, clock := newQueue(cfg)
	return &twins{clock: clock, naive: &naiveQueue{cfg: cfg}, queue: queue, t: t, tickets: map[any]*savorypinqueue.Ticket{}}
}

func (w *twins) join(t *rapid.T) {
	w.owners++
	i := savorypinqueue.Item{
		Bytes: rapid.IntRange(0, 60).Draw(t, "bytes"), LatestStart: w.clock.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "left")) * time.Millisecond),
		Owner: w.owners, Priority: rapid.SampledFrom([]int{0, 1, 2, 9}).Draw(t, "priority"), Resumed: rapid.Bool().Draw(t, "resumed"),
		Returned: rapid.Bool().Draw(t, "returned"), Tokens: rapid.IntRange(0, 10).Draw(t, "tokens"),
	}
	ticket, d := w.queue.Join(i)
	if d.Reason == savorypinqueue.ReasonWait {
		// The twin has no estimates.
		if w.starts < 4 {
			t.Fatalf("an expected wait is known after %d starts", w.starts)
		}
		w.naive.expire(w.clock.now)
		return
	}
	if want := w.naive.join(i, w.clock.now); want != d.Reason {
		t.Fatalf("item %+v: refused for %q, the twin for %q", i, d.Reason, want)
	}
	if (d.Outcome == savorypinqueue.OutcomeRefused) != (ticket == nil) {
		t.Fatalf("decision %+v with ticket %v", d, ticket)
	}
	if ticket != nil {
		w.tickets[i.Owner] = ticket
	}
}

func (w *twins) offer(t *rapid.T) {
	free := rapid.IntRange(0, 10).Draw(t, "free")
	var got *savorypinqueue.Item
	w.queue.Offer(savorypinqueue.OwnNews(), func(i savorypinqueue.Item) bool {
		if i.Tokens > free {
			return false
		}
		got = &i
		return true
	})
	want := w.naive.offer(free, w.clock.now)
	if (got == nil) != (want == nil) || got != nil && *got != *want {
		t.Fatalf("started %+v, the twin %+v", got, want)
	}
	if got == nil {
		return
	}
	w.starts++
	if d, ok := decision(w.tickets[got.Owner]); !ok || d.Outcome != savorypinqueue.OutcomeStarted {
		t.Fatalf("decision on a started item: %+v", d)
	}
	delete(w.tickets, got.Owner)
}

func (w *twins) leave(t *rapid.T) {
	if len(w.naive.waiting) == 0 {
		return
	}
	gone := rapid.SampledFrom(w.naive.waiting).Draw(t, "ticket")
	w.naive.refuse("", func(t *naiveTicket) bool { return t == gone })
	delete(w.naive.decided, gone.item.Owner)
	if !w.tickets[gone.item.Owner].Leave(savorypinqueue.ReasonCallerLeft) {
		t.Fatalf("item %v doesn't wait", gone.item)
	}
	delete(w.tickets, gone.item.Owner)
}

func (w *twins) refuse(t *rapid.T) {
	priority := rapid.IntRange(0, 9).Draw(t, "priority")
	w.naive.refuse(savorypinqueue.ReasonConfiguration, func(t *naiveTicket) bool { return t.item.Priority == priority })
	w.queue.Refuse(savorypinqueue.ReasonConfiguration, func(i savorypinqueue.Item) bool { return i.Priority == priority })
}

func (w *twins) pass(t *rapid.T) {
	w.clock.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	w.naive.expire(w.clock.now)
}

// check compares the decisions and the sums.
func (w *twins) check(t *rapid.T) {
	for owner, ticket := range w.tickets {
		d, ok := decision(ticket)
		reason, decided := w.naive.decided[owner]
		if ok != decided || d.Reason != reason {
			t.Fatalf("item %v: %+v, the twin %q", ticket.Item(), d, reason)
		}
		if ok {
			if d.RetryAfter < 100*time.Millisecond || d.RetryAfter > 8*time.Second {
				t.Fatalf("retry after %s", d.RetryAfter)
			}
			delete(w.tickets, owner)
		}
	}
	w.naive.decided = nil
	bytes, lengths := 0, map[int]int{}
	for _, t := range w.naive.waiting {
		bytes += t.item.Bytes
		lengths[t.item.Priority]++
	}
	state := w.queue.State()
	for _, p := range state.Priorities {
		if p.Length != lengths[p.Priority] {
			t.Fatalf("state %+v, the twin %v", state, lengths)
		}
	}
	if got, want := fmt.Sprint(state.Bytes, w.queue.Len()), fmt.Sprint(bytes, len(w.naive.waiting)); got != want {
		t.Fatalf("bytes and length %s, the twin %s", got, want)
	}
}

var _ = Describe("The queue and its naive twin", func() {
	It("decide alike", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newTwins(t)
			t.Repeat(map[string]func(*rapid.T){
				"join": w.join, "join more": w.join, "leave": w.leave, "offer": w.offer, "offer more": w.offer, "pass": w.pass, "refuse": w.refuse, "": w.check,
			})
		})
	})
})
