package savorypinqueue_test

import (
	"fmt"
	"testing"
	"time"

	"savorypin/internal/savorypinqueue"
)

// fullQueue returns a queue with a number of waiting items of two priorities and many sizes.
func fullQueue(b *testing.B, length int) (*savorypinqueue.Queue, *fakeClock) {
	b.Helper()
	q, clock := newQueue(savorypinqueue.Config{MaxLength: 2 * length, MaxWait: time.Hour})
	for i := range length {
		it := item(clock, 2*(i%2), time.Hour+time.Duration(i*7919%length)*time.Millisecond)
		it.Tokens = 1000 + i*7919%14000
		if t, _ := q.Join(it); t == nil {
			b.Fatal("refused")
		}
	}
	return q, clock
}

// BenchmarkDecision measures the decisions with 600 waiting items: one joins and leaves, nothing fits,
// and one starts and another one joins.
func BenchmarkDecision(b *testing.B) {
	for _, length := range []int{10, 600} {
		q, clock := fullQueue(b, length)
		one := item(clock, 0, time.Hour)
		for _, bc := range []struct {
			name string
			run  func()
		}{
			{"join", func() {
				if t, _ := q.Join(one); t != nil {
					t.Leave(savorypinqueue.ReasonCallerLeft)
				}
			}},
			{"none fits", func() { q.Offer(savorypinqueue.OwnNews(), func(savorypinqueue.Item) bool { return false }) }},
			{"start", func() {
				q.Offer(savorypinqueue.OwnNews(), fits)
				_, _ = q.Join(one)
			}},
			{"pass", func() { q.TryPass(one, fits) }},
		} {
			b.Run(fmt.Sprintf("%s/waiting=%d", bc.name, length), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					clock.now = clock.now.Add(time.Microsecond)
					bc.run()
				}
			})
		}
	}
}
