package savorypinlease_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlease"
	"savorypin/internal/savorypinplatform"
)

const duration = 15 * time.Second

// store is a fake of the platform that holds one object.
type store struct {
	loseAnswer bool
	now        *time.Time
	object     savorypin.Object
	out        bool
	// slow is the time that the next read takes.
	slow    time.Duration
	version int64
}

func (s *store) get(context.Context, savorypin.Key) (savorypin.Object, error) {
	object := s.object
	*s.now = s.now.Add(s.slow)
	s.slow = 0
	if s.out {
		return savorypin.Object{}, savorypinplatform.ErrUnavailable
	}
	if s.version == 0 {
		return savorypin.Object{}, savorypinplatform.ErrNotFound
	}
	return object, nil
}

func (s *store) update(_ context.Context, o savorypin.Object) (savorypin.Object, error) {
	if s.out {
		return o, savorypinplatform.ErrUnavailable
	}
	if o.Version != s.version {
		return o, savorypinplatform.ErrConflict
	}
	s.version++
	o.Version = s.version
	s.object = o
	if s.loseAnswer {
		s.loseAnswer = false
		return savorypin.Object{}, savorypinplatform.ErrUnavailable
	}
	return o, nil
}

// contender is a daemon that wants the lease. Its clock has an offset to the
// true time.
type contender struct {
	lease  *savorypinlease.Lease
	offset time.Duration
}

func newContender(s *store, now *time.Time, name string, offset time.Duration) *contender {
	c := &contender{offset: offset}
	c.lease = savorypinlease.New(savorypinlease.Config{
		Create:      s.update,
		Duration:    duration,
		Get:         s.get,
		Holder:      name,
		Incarnation: 1,
		Name:        "controller-assistant",
		Now:         func() time.Time { return now.Add(offset) },
		Update:      s.update,
	})
	return c
}

var _ = Describe("Lease", func() {
	It("has one holder at a time, with a growing fencing number, whatever fails", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ctx := context.Background()
			now := time.Unix(1000, 0)
			s := &store{now: &now}
			var contenders []*contender
			for i := range 3 {
				offset := time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second
				contenders = append(contenders, newContender(s, &now, fmt.Sprint(i), offset))
			}
			var highest int64
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause")) * time.Millisecond)
				c := rapid.SampledFrom(contenders).Draw(t, "contender")
				switch rapid.IntRange(0, 9).Draw(t, "event") {
				case 0:
					s.out = !s.out
				case 1:
					s.loseAnswer = true
				case 2:
					s.slow = time.Duration(rapid.IntRange(0, 20_000).Draw(t, "slow")) * time.Millisecond
				case 3:
					_ = c.lease.GiveUp(ctx)
				default:
					_ = c.lease.Step(ctx)
				}
				highest = checkHolders(t, contenders, highest)
			}
		})
	})

	It("is taken over when its holder is paused, and the holder knows", func() {
		ctx := context.Background()
		now := time.Unix(1000, 0)
		s := &store{now: &now}
		first := newContender(s, &now, "first", 0)
		second := newContender(s, &now, "second", time.Hour)
		Expect(first.lease.Step(ctx)).To(Succeed())
		Expect(second.lease.Step(ctx)).To(Succeed())
		_, held := second.lease.Held()
		Expect(held).To(BeFalse())
		now = now.Add(duration + time.Second)
		_, held = first.lease.Held()
		Expect(held).To(BeFalse())
		Expect(second.lease.Step(ctx)).To(Succeed())
		fence, held := second.lease.Held()
		Expect(held).To(BeTrue())
		Expect(fence).To(Equal(int64(2)))
		Expect(first.lease.Step(ctx)).To(Succeed())
		_, held = first.lease.Held()
		Expect(held).To(BeFalse())
	})

	It("is held on by its holder after the answer of a write was lost", func() {
		ctx := context.Background()
		now := time.Unix(1000, 0)
		s := &store{loseAnswer: true, now: &now}
		c := newContender(s, &now, "first", 0)
		Expect(c.lease.Step(ctx)).NotTo(Succeed())
		_, held := c.lease.Held()
		Expect(held).To(BeFalse())
		Expect(c.lease.Step(ctx)).To(Succeed())
		fence, held := c.lease.Held()
		Expect(held).To(BeTrue())
		Expect(fence).To(Equal(int64(1)))
	})
})

// checkHolders checks that at most one contender holds the lease and that the
// fencing number does not shrink. It returns the highest number so far.
func checkHolders(t *rapid.T, contenders []*contender, highest int64) int64 {
	holders := 0
	for _, c := range contenders {
		fence, held := c.lease.Held()
		if !held {
			continue
		}
		holders++
		if fence < highest {
			t.Fatalf("fencing number %d after %d", fence, highest)
		}
		highest = fence
	}
	if holders > 1 {
		t.Fatalf("%d holders", holders)
	}
	return highest
}
