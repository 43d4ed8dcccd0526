package savorypinqueue_test

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinqueue"
)

var _ = Describe("The queue", func() {
	var (
		q     *savorypinqueue.Queue
		clock *fakeClock
	)
	BeforeEach(func() {
		q, clock = newQueue(savorypinqueue.Config{MaxBytes: 1000, MaxLength: 100})
	})

	for _, tc := range []struct {
		name   string
		change func(*savorypinqueue.Item)
		reason savorypinqueue.Reason
	}{
		{"a negative priority", func(i *savorypinqueue.Item) { i.Priority = -1 }, savorypinqueue.ReasonInvalid},
		{"a huge priority", func(i *savorypinqueue.Item) { i.Priority = math.MaxInt }, savorypinqueue.ReasonInvalid},
		{"no latest start", func(i *savorypinqueue.Item) { i.LatestStart = time.Time{} }, savorypinqueue.ReasonInvalid},
		{"negative bytes", func(i *savorypinqueue.Item) { i.Bytes = -1 }, savorypinqueue.ReasonInvalid},
		{"negative tokens", func(i *savorypinqueue.Item) { i.Tokens = math.MinInt }, savorypinqueue.ReasonInvalid},
		{"more bytes than the queue holds", func(i *savorypinqueue.Item) { i.Bytes = math.MaxInt }, savorypinqueue.ReasonBytes},
		{"a latest start that has passed", func(i *savorypinqueue.Item) { i.LatestStart = start }, savorypinqueue.ReasonLate},
	} {
		// Guards against bad input that changes what others get.
		It("refuses an item with "+tc.name, func() {
			other, _ := q.Join(item(clock, 3, time.Second))
			bad := item(clock, 3, time.Second)
			tc.change(&bad)
			t, d := q.Join(bad)
			Expect(t).To(BeNil())
			Expect(d.Outcome).To(Equal(savorypinqueue.OutcomeRefused))
			Expect(d.Reason).To(Equal(tc.reason))
			Expect(d.Err != nil).To(Equal(tc.reason == savorypinqueue.ReasonInvalid))
			Expect(d.RetryAfter == 0).To(Equal(tc.reason == savorypinqueue.ReasonInvalid))
			Expect(q.State().Refusals).To(Equal(map[savorypinqueue.Reason]int64{tc.reason: 1}))
			_, decided := decision(other)
			Expect(decided).To(BeFalse())
			Expect(q.Len()).To(Equal(1))
		})
	}

	// Guards against a wait beyond any use because of a latest start in the far future.
	It("limits the wait of an item whose latest start is far away", func() {
		t, _ := q.Join(item(clock, 0, math.MaxInt64))
		clock.advance(30*time.Second - 1)
		_, decided := decision(t)
		Expect(decided).To(BeFalse())
		clock.advance(1)
		d, _ := decision(t)
		Expect(d.Reason).To(Equal(savorypinqueue.ReasonExpired))
	})

	It("starts items by priority, resumed, returned and time left", func() {
		for i, flags := range []struct {
			priority          int
			resumed, returned bool
			left              time.Duration
		}{
			{2, true, true, 1},
			{1, false, false, 5},
			{1, false, false, 4},
			{1, false, true, 7},
			{1, true, false, 9},
			{1, true, true, 9},
			{0, false, false, 20},
		} {
			i := savorypinqueue.Item{
				LatestStart: clock.now.Add(flags.left * time.Second), Owner: i, Priority: flags.priority, Resumed: flags.resumed, Returned: flags.returned,
			}
			t, _ := q.Join(i)
			Expect(t.Item()).To(Equal(i))
		}
		var order []any
		for {
			started, ok := startOne(q)
			if !ok {
				break
			}
			order = append(order, started.Owner)
		}
		Expect(order).To(Equal([]any{6, 5, 4, 3, 2, 1, 0}))
	})

	// Guards against the cost of asking all endpoints for each of many items that don't fit.
	It("tries no item that needs as much as one that did not fit", func() {
		for i := range 60 {
			it := item(clock, 0, time.Duration(i+1)*time.Second)
			it.Tokens = []int{50, 70, 30}[i%3]
			_, _ = q.Join(it)
		}
		var tried []int
		q.Offer(savorypinqueue.OwnNews(), func(i savorypinqueue.Item) bool {
			tried = append(tried, i.Tokens)
			return false
		})
		Expect(tried).To(Equal([]int{50, 30}))
	})

	// Guards against new streams that pass those that wait.
	It("lets an item start without waiting only if none waits before it", func() {
		passes := func(priority int, left time.Duration) bool { return q.TryPass(item(clock, priority, left), fits) }
		Expect(passes(9, time.Second)).To(BeTrue())
		_, _ = q.Join(item(clock, 5, 2*time.Second))
		Expect(passes(9, time.Second)).To(BeFalse())
		Expect(passes(5, 3*time.Second)).To(BeFalse())
		Expect(passes(-1, time.Second)).To(BeFalse())
		Expect(q.TryPass(item(clock, 4, time.Second), func(savorypinqueue.Item) bool { return false })).To(BeFalse())
		Expect(passes(5, time.Second)).To(BeTrue())
		for range 7 {
			Expect(passes(4, time.Second)).To(BeTrue())
		}
		// The eighth start is kept for the less urgent one.
		Expect(passes(4, time.Second)).To(BeFalse())
		started, _ := startOne(q)
		Expect(started.Priority).To(Equal(5))
	})

	It("bounds the bytes and displaces less urgent items for a body", func() {
		q, clock := newQueue(savorypinqueue.Config{MaxBytes: 1000, MaxLength: 40})
		join := func(priority, bytes int) (*savorypinqueue.Ticket, savorypinqueue.Decision) {
			i := item(clock, priority, time.Second)
			i.Bytes = bytes
			return q.Join(i)
		}
		for range 20 {
			_, _ = join(2, 40)
		}
		Expect(q.State().Bytes).To(Equal(800))
		_, d := join(2, 100)
		Expect(d.Reason).To(Equal(savorypinqueue.ReasonBytes))
		t, _ := join(1, 300)
		Expect(t).NotTo(BeNil())
		Expect(q.State().Bytes).To(Equal(980))
		Expect(q.State().Refusals[savorypinqueue.ReasonDisplaced]).To(BeEquivalentTo(3))
		// It would displace nine, and nobody is refused for one that is refused itself.
		_, d = join(0, 20+9*40)
		Expect(d.Reason).To(Equal(savorypinqueue.ReasonBytes))
		Expect(q.Len()).To(Equal(18))
		t, _ = join(0, 20+8*40)
		Expect(t).NotTo(BeNil())
		Expect(q.Len()).To(Equal(11))
	})

	It("displaces new items for resumed ones of the same priority only", func() {
		for range 100 {
			_, _ = q.Join(item(clock, 1, time.Second))
		}
		Expect(q.Len()).To(Equal(88))
		returned := item(clock, 1, time.Second)
		returned.Returned = true
		_, d := q.Join(returned)
		Expect(d.Reason).To(Equal(savorypinqueue.ReasonFull))
		resumed := item(clock, 1, time.Second)
		resumed.Resumed = true
		t, _ := q.Join(resumed)
		Expect(t).NotTo(BeNil())
		Expect(q.Len()).To(Equal(88))
	})

	// Guards against items that hold a place after their callers have gone, and a timer that fires on.
	It("is empty after everybody has left", func() {
		var tickets []*savorypinqueue.Ticket
		for i := range 50 {
			t, _ := q.Join(item(clock, i%10, time.Duration(i+1)*time.Second))
			tickets = append(tickets, t)
		}
		for _, t := range tickets {
			Expect(t.Leave(savorypinqueue.ReasonCallerLeft)).To(BeTrue())
			Expect(t.Leave(savorypinqueue.ReasonCallerLeft)).To(BeFalse())
		}
		Expect(clock.fire).To(BeNil())
		Expect(q.Offer(savorypinqueue.OwnNews(), fits)).To(BeZero())
		Expect(q.State()).To(Equal(savorypinqueue.State{Refusals: map[savorypinqueue.Reason]int64{savorypinqueue.ReasonCallerLeft: 50}}))
		t, _ := q.Join(item(clock, 0, time.Second))
		Expect(t).NotTo(BeNil())
	})

	It("tells one that leaves too late that it has started", func() {
		t, _ := q.Join(item(clock, 0, time.Second))
		q.Offer(savorypinqueue.OwnNews(), fits)
		Expect(t.Leave(savorypinqueue.ReasonCallerLeft)).To(BeFalse())
		d, _ := decision(t)
		Expect(d.Outcome).To(Equal(savorypinqueue.OutcomeStarted))
	})

	It("refuses those that a change concerns, and no others", func() {
		kept, _ := q.Join(item(clock, 1, time.Second))
		gone, _ := q.Join(item(clock, 2, time.Second))
		Expect(q.Refuse(savorypinqueue.ReasonConfiguration, func(i savorypinqueue.Item) bool { return i.Priority == 2 })).To(Equal(1))
		d, _ := decision(gone)
		Expect(d.Reason).To(Equal(savorypinqueue.ReasonConfiguration))
		_, decided := decision(kept)
		Expect(decided).To(BeFalse())
	})

	// Guards against callers that wait on while no event comes, and against a timer for each of them.
	It("refuses items at their latest start with one timer", func() {
		for i := range 10 {
			_, _ = q.Join(item(clock, 0, time.Duration(10-i)*time.Second))
		}
		for i := range 10 {
			Expect(q.Len()).To(Equal(10 - i))
			clock.advance(time.Second)
		}
		Expect(q.Len()).To(BeZero())
		Expect(clock.fire).To(BeNil())
		Expect(clock.timers).To(BeNumerically("<=", 20))
	})

	for _, tc := range []struct {
		name string
		jump time.Duration
		want int
	}{
		{"forward refuses those whose time has passed", time.Hour, 0},
		{"back keeps them", -time.Hour, 20},
	} {
		// Guards against waits without end, negative times to retry and timers that spin after the clock
		// was set.
		It("after a jump of the clock "+tc.name, func() {
			for range 10 {
				_, _ = q.Join(item(clock, 1, 5*time.Second))
				startOne(q)
				clock.advance(50 * time.Millisecond)
			}
			for range 20 {
				_, _ = q.Join(item(clock, 1, 5*time.Second))
			}
			clock.now = clock.now.Add(tc.jump)
			q.Offer(savorypinqueue.News{}, fits)
			Expect(q.Len()).To(Equal(tc.want))
			for range 50 {
				t, d := q.Join(item(clock, 1, 20*time.Millisecond))
				if t == nil {
					Expect(d.RetryAfter).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<=", 8*time.Second)))
				}
			}
			timers := clock.timers
			clock.advance(2 * time.Second)
			Expect(clock.timers - timers).To(BeNumerically("<=", 3))
			_, started := startOne(q)
			Expect(started).To(Equal(tc.want > 0))
		})
	}

	// Guards against decisions that are lost or made twice, and a start whose owner doesn't learn of it.
	It("decides once on each of many that join, leave and start at the same time", func() {
		q := savorypinqueue.New(savorypinqueue.Config{MaxLength: 50})
		var joined, started, refused, left atomic.Int64
		var tried atomic.Int64
		var group sync.WaitGroup
		for g := range 8 {
			group.Go(func() {
				for i := range 500 {
					t, d := q.Join(savorypinqueue.Item{LatestStart: time.Now().Add(time.Hour), Priority: (g + i) % 3, Tokens: i % 5})
					q.Offer(savorypinqueue.OwnNews(), func(i savorypinqueue.Item) bool {
						if i.Tokens == 4 {
							return false
						}
						tried.Add(1)
						return true
					})
					joined.Add(1)
					switch {
					case t == nil:
						Expect(d.Outcome).To(Equal(savorypinqueue.OutcomeRefused))
						refused.Add(1)
					case t.Leave(savorypinqueue.ReasonCallerLeft):
						left.Add(1)
					default:
						if d := <-t.Ready(); d.Outcome == savorypinqueue.OutcomeStarted {
							started.Add(1)
						} else {
							refused.Add(1)
						}
					}
				}
			})
		}
		group.Wait()
		Expect(joined.Load()).To(Equal(started.Load() + refused.Load() + left.Load()))
		Expect(started.Load()).To(Equal(tried.Load()))
		Expect(q.Len()).To(BeZero())
	})
})
