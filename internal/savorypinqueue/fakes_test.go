package savorypinqueue_test

import (
	"math/rand/v2"
	"time"

	"savorypin/internal/savorypinqueue"
)

// start is when the tests begin.
var start = time.Unix(1_000_000, 0)

// fakeClock is the clock and the timer of a queue.
type fakeClock struct {
	now time.Time
	// fire and at are the function and the time of the timer; fire is nil if none is set.
	fire func()
	at   time.Time
	// timers is the number of timers set so far.
	timers int
}

func (c *fakeClock) afterFunc(d time.Duration, f func()) func() bool {
	c.fire, c.at = f, c.now.Add(d)
	c.timers++
	set := c.timers
	return func() bool {
		if c.timers == set {
			c.fire = nil
		}
		return true
	}
}

// advance moves the clock and runs the timer when it is due.
func (c *fakeClock) advance(d time.Duration) {
	end := c.now.Add(d)
	for c.fire != nil && !c.at.After(end) {
		fire := c.fire
		c.now, c.fire = c.at, nil
		fire()
	}
	c.now = end
}

// newQueue returns a queue with a fake clock and repeatable random numbers.
func newQueue(cfg savorypinqueue.Config) (*savorypinqueue.Queue, *fakeClock) {
	clock := &fakeClock{now: start}
	cfg.AfterFunc = clock.afterFunc
	cfg.Now = func() time.Time { return clock.now }
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(1, 2)).Float64
	}
	return savorypinqueue.New(cfg), clock
}

// item returns an item of a priority that may wait for a time.
func item(c *fakeClock, priority int, left time.Duration) savorypinqueue.Item {
	return savorypinqueue.Item{Bytes: 1, LatestStart: c.now.Add(left), Priority: priority, Tokens: 1}
}

// fits starts any item.
func fits(savorypinqueue.Item) bool { return true }

// startOne starts one item, if it can, and returns it.
func startOne(q *savorypinqueue.Queue) (savorypinqueue.Item, bool) {
	var started savorypinqueue.Item
	n := q.Offer(savorypinqueue.OwnNews(), func(i savorypinqueue.Item) bool {
		started = i
		return true
	})
	return started, n == 1
}

// decision returns the decision on a ticket, if there is one.
func decision(t *savorypinqueue.Ticket) (savorypinqueue.Decision, bool) {
	select {
	case d := <-t.Ready():
		return d, true
	default:
		return savorypinqueue.Decision{}, false
	}
}

// caller is a caller of a simulation. It comes back up to two times after a refusal.
type caller struct {
	item     savorypinqueue.Item
	left     time.Duration
	returnAt time.Time
	ticket   *savorypinqueue.Ticket
	visits   int
}

// simulation serves callers at a fixed rate of places.
type simulation struct {
	clock *fakeClock
	queue *savorypinqueue.Queue
	// late is the number of starts after the latest start.
	late int
	// returns holds the times at which refused callers come back.
	returns []time.Time
	// returned and waiting are the callers outside and inside.
	returned, waiting []*caller
	// refused and started count callers by priority; refused those that give up.
	refused, started [10]int
	// startedLater counts those that were refused before.
	startedLater [10]int
	// reasons counts refusals.
	reasons map[savorypinqueue.Reason]int
	// waits holds the waits of those started, by priority.
	waits [10][]time.Duration
}

func newSimulation(cfg savorypinqueue.Config) *simulation {
	q, clock := newQueue(cfg)
	return &simulation{clock: clock, queue: q, reasons: map[savorypinqueue.Reason]int{}}
}

// step is the resolution of simulations.
const step = 10 * time.Millisecond

// arrivals are the callers of one priority in each second.
type arrivals struct {
	perSecond float64
	priority  int
	left      time.Duration
}

// run serves load for a duration; perSecond is the number of places that become free in a second.
func (s *simulation) run(d time.Duration, perSecond float64, load ...arrivals) {
	places := 0.0
	due := make([]float64, len(load))
	for end := s.clock.now.Add(d); s.clock.now.Before(end); s.clock.advance(step) {
		for i, a := range load {
			for due[i] += a.perSecond * step.Seconds(); due[i] >= 1; due[i]-- {
				s.join(&caller{item: item(s.clock, a.priority, a.left), left: a.left})
			}
		}
		s.comeBack()
		for places += perSecond * step.Seconds(); places >= 1; places-- {
			startOne(s.queue)
		}
		s.settle()
	}
}

func (s *simulation) join(c *caller) {
	c.visits++
	c.item.Returned = c.visits > 1
	c.item.LatestStart = s.clock.now.Add(c.left)
	t, d := s.queue.Join(c.item)
	if t == nil {
		s.refuse(c, d)
		return
	}
	c.ticket = t
	s.waiting = append(s.waiting, c)
}

func (s *simulation) refuse(c *caller, d savorypinqueue.Decision) {
	s.reasons[d.Reason]++
	if c.visits == 3 {
		s.refused[c.item.Priority]++
		return
	}
	c.returnAt = s.clock.now.Add(d.RetryAfter)
	s.returns = append(s.returns, c.returnAt)
	s.returned = append(s.returned, c)
}

func (s *simulation) comeBack() {
	outside := s.returned
	s.returned = nil
	for _, c := range outside {
		if c.returnAt.After(s.clock.now) {
			s.returned = append(s.returned, c)
			continue
		}
		s.join(c)
	}
}

// settle handles the decisions on those that wait.
func (s *simulation) settle() {
	inside := s.waiting
	s.waiting = nil
	for _, c := range inside {
		d, ok := decision(c.ticket)
		p := c.item.Priority
		switch {
		case !ok:
			s.waiting = append(s.waiting, c)
		case d.Outcome == savorypinqueue.OutcomeRefused:
			s.refuse(c, d)
		default:
			s.started[p]++
			s.waits[p] = append(s.waits[p], c.left-c.item.LatestStart.Sub(s.clock.now))
			if c.visits > 1 {
				s.startedLater[p]++
			}
			if s.clock.now.After(c.item.LatestStart) {
				s.late++
			}
		}
	}
}

// busiest returns the most times within a duration.
func busiest(times []time.Time, d time.Duration) int {
	most := 0
	for _, from := range times {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(d)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
