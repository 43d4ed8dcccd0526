package savorypinqueue_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinqueue"
)

var _ = Describe("Under load the queue", func() {
	// Guards against low-priority callers that take the places of high-priority ones, and against
	// callers that wait in vain.
	It("with more callers than capacity of two priorities starts the urgent ones", func() {
		s := newSimulation(savorypinqueue.Config{})
		s.run(time.Minute, 10, arrivals{5, 0, 4 * time.Second}, arrivals{20, 2, 10 * time.Second})
		Expect(s.started[0]).To(BeNumerically(">=", 298))
		Expect(s.refused[0]).To(BeZero())
		Expect(slices.Max(s.waits[0])).To(BeNumerically("<", 500*time.Millisecond))
		Expect(s.started[2]).To(BeNumerically(">=", 290))
		Expect(s.late).To(BeZero())
		// Those who can't be served in time learn it at once; few wait for nothing.
		Expect(s.reasons[savorypinqueue.ReasonWait]).To(BeNumerically(">", 500))
		Expect(s.reasons[savorypinqueue.ReasonExpired]).To(BeNumerically("<", s.started[2]/4))
	})

	for _, tc := range []struct {
		name      string
		load      []arrivals
		priority  int
		wantShare float64
	}{
		{"of the lowest priority", []arrivals{{30, 0, 4 * time.Second}, {10, 2, 10 * time.Second}}, 2, 1.0 / 8},
		{"of the lowest of three", []arrivals{{30, 0, 4 * time.Second}, {10, 1, 8 * time.Second}, {10, 9, 10 * time.Second}}, 9, 1.0 / 16},
		{"of the middle of three", []arrivals{{30, 0, 4 * time.Second}, {10, 1, 8 * time.Second}, {10, 9, 10 * time.Second}}, 1, 1.0 / 16},
	} {
		// Guards against starvation where the urgent ones alone exceed the capacity.
		It("with more urgent callers than capacity keeps the share "+tc.name, func() {
			s := newSimulation(savorypinqueue.Config{})
			s.run(time.Minute, 10, tc.load...)
			Expect(float64(s.started[tc.priority]) / 600).To(BeNumerically("~", tc.wantShare, 0.02))
			Expect(s.late).To(BeZero())
		})
	}

	// Guards against urgent callers that are refused as less urgent ones have filled the queue, and
	// against less urgent ones that lose all of their places.
	It("with a burst of urgent callers on top of a full queue displaces the less urgent", func() {
		q, clock := newQueue(savorypinqueue.Config{MaxLength: 80, MaxRetryAfter: time.Minute})
		var low []*savorypinqueue.Ticket
		for i := range 100 {
			t, d := q.Join(item(clock, 2, 10*time.Second+time.Duration(i)*time.Millisecond))
			if t == nil {
				Expect(d.Reason).To(Equal(savorypinqueue.ReasonFull))
				continue
			}
			low = append(low, t)
		}
		Expect(low).To(HaveLen(70))
		urgent := 0
		for range 100 {
			if t, _ := q.Join(item(clock, 0, 4*time.Second)); t != nil {
				urgent++
			}
		}
		Expect(urgent).To(Equal(70))
		var retries []time.Duration
		for i, t := range low {
			d, decided := decision(t)
			Expect(decided).To(Equal(i >= 10), "ticket %d", i)
			if decided {
				Expect(d.Outcome).To(Equal(savorypinqueue.OutcomeRefused))
				Expect(d.Reason).To(Equal(savorypinqueue.ReasonDisplaced))
				retries = append(retries, d.RetryAfter)
			}
		}
		slices.Sort(retries)
		Expect(slices.Compact(retries)).To(HaveLen(60))
		// The first start is for an urgent one, whoever came first.
		first, _ := startOne(q)
		Expect(first.Priority).To(Equal(0))
	})

	// Guards against callers that return together, and against those that are refused each time.
	It("with callers that return after a refusal spreads them and starts them before new ones", func() {
		s := newSimulation(savorypinqueue.Config{})
		s.run(time.Minute, 10, arrivals{15, 1, 3 * time.Second})
		Expect(s.returns).NotTo(BeEmpty())
		Expect(busiest(s.returns, time.Second)).To(BeNumerically("<=", 40))
		Expect(s.started[1]).To(BeNumerically(">=", 590))
		Expect(s.startedLater[1]).To(BeNumerically(">", 100))
		Expect(s.late).To(BeZero())
	})

	// Guards against a crowd that is refused at one moment and returns as one.
	It("spreads those that it refuses at one moment at the rate of the starts", func() {
		s := newSimulation(savorypinqueue.Config{MaxRetryAfter: time.Minute})
		s.run(5*time.Second, 20, arrivals{20.5, 1, 3 * time.Second})
		var returns []time.Time
		for range 200 {
			if t, d := s.queue.Join(item(s.clock, 1, 10*time.Millisecond)); t == nil {
				returns = append(returns, s.clock.now.Add(d.RetryAfter))
			}
		}
		Expect(len(returns)).To(BeNumerically(">", 180))
		Expect(slices.MaxFunc(returns, time.Time.Compare).Sub(s.clock.now)).To(BeNumerically("~", 11*time.Second, 3*time.Second))
		Expect(busiest(returns, time.Second)).To(BeNumerically("<", 40))
	})

	// Guards against a large item that blocks the small ones, and against one that never fits.
	It("with one very large item among small ones starts both", func() {
		q, clock := newQueue(savorypinqueue.Config{MaxPasses: 5, MaxLength: 1000})
		large, _ := q.Join(savorypinqueue.Item{LatestStart: clock.now.Add(20 * time.Second), Tokens: 8})
		running := []time.Time{}
		free := 2
		startedBefore, largeStarted := 0, false
		tryStart := func(i savorypinqueue.Item) bool {
			if i.Tokens > free {
				return false
			}
			free -= i.Tokens
			largeStarted = largeStarted || i.Tokens == 8
			if !largeStarted {
				startedBefore++
			}
			running = append(running, clock.now.Add(500*time.Millisecond))
			return true
		}
		// Ten places, eight of which were taken before; small ones arrive faster than they end.
		for i := range 8 {
			running = append(running, clock.now.Add(time.Duration(i)*60*time.Millisecond))
		}
		for range 60 {
			_, _ = q.Join(item(clock, 0, 30*time.Second))
			for len(running) > 0 && !running[0].After(clock.now) {
				running, free = running[1:], free+1
				q.Offer(savorypinqueue.OwnNews(), tryStart)
			}
			q.Offer(savorypinqueue.OwnNews(), tryStart)
			clock.advance(20 * time.Millisecond)
		}
		Expect(largeStarted).To(BeTrue())
		Expect(startedBefore).To(Equal(5))
		d, _ := decision(large)
		Expect(d.Outcome).To(Equal(savorypinqueue.OutcomeStarted))
	})

	// Guards against a queue that stands still as an item that fits nowhere is at its head.
	It("with one item that never fits goes on with the others", func() {
		q, clock := newQueue(savorypinqueue.Config{MaxPasses: 5, MaxBlock: time.Second})
		_, _ = q.Join(savorypinqueue.Item{LatestStart: clock.now.Add(15 * time.Second), Tokens: 1 << 40})
		started := 0
		for range 1000 {
			_, _ = q.Join(item(clock, 0, 25*time.Second))
			started += q.Offer(savorypinqueue.OwnNews(), func(i savorypinqueue.Item) bool { return i.Tokens < 10 })
			clock.advance(10 * time.Millisecond)
		}
		// In ten seconds it blocks for a second after 5, 10, 20, 40, 80 and 160 starts.
		Expect(started).To(BeNumerically("~", 400, 10))
		Expect(q.State().OldestWait).To(Equal(10 * time.Second))
	})

	// Guards against an estimate that refuses everybody and that nothing corrects.
	It("with no starts for a while lets some wait, and then all", func() {
		s := newSimulation(savorypinqueue.Config{})
		s.run(10*time.Second, 10, arrivals{30, 1, 2 * time.Second})
		Expect(s.reasons[savorypinqueue.ReasonWait]).To(BeNumerically(">", 50))
		waiting := func() int {
			n := 0
			for range 100 {
				if t, _ := s.queue.Join(item(s.clock, 1, 100*time.Millisecond)); t != nil {
					t.Leave(savorypinqueue.ReasonCallerLeft)
					n++
				}
			}
			return n
		}
		s.clock.advance(3 * time.Second)
		// Twenty more wait at once.
		for range 20 {
			_, _ = s.queue.Join(item(s.clock, 0, time.Minute))
		}
		Expect(waiting()).To(Equal(5))
		s.clock.advance(15 * time.Second)
		Expect(waiting()).To(Equal(100))
	})

	// Guards against gateways that all start a stream on the same free place.
	It("of 40 gateways starts about one item for one free place", func() {
		random := rand.New(rand.NewPCG(3, 4))
		var gateways []*savorypinqueue.Queue
		for range 40 {
			q, clock := newQueue(savorypinqueue.Config{Random: random.Float64, MaxWait: time.Hour})
			for range 30 {
				_, _ = q.Join(item(clock, 1, time.Hour))
			}
			gateways = append(gateways, q)
		}
		var starts []int
		total := 0
		for range 400 {
			n := 0
			for _, q := range gateways {
				n += q.Offer(savorypinqueue.News{Gateways: 40, Places: 1}, fits)
			}
			starts = append(starts, n)
			total += n
		}
		Expect(total).To(Equal(400))
		Expect(slices.Max(starts)).To(BeNumerically("<=", 5))
		// Each of them had its part.
		for _, q := range gateways {
			Expect(q.Len()).To(Equal(20))
		}
	})
})
