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

// fakeStore is a fake of the platform's store that holds one object.
type fakeStore struct {
	loseResponse bool
	now          *time.Time
	object       savorypin.Object
	unavailable  bool
	// readDelay is the simulated time that the next read takes.
	readDelay time.Duration
	version   int64
}

func (s *fakeStore) get(context.Context, savorypin.Key) (savorypin.Object, error) {
	object := s.object
	*s.now = s.now.Add(s.readDelay)
	s.readDelay = 0
	if s.unavailable {
		return savorypin.Object{}, savorypinplatform.ErrUnavailable
	}
	if s.version == 0 {
		return savorypin.Object{}, savorypinplatform.ErrNotFound
	}
	return object, nil
}

func (s *fakeStore) update(_ context.Context, o savorypin.Object) (savorypin.Object, error) {
	if s.unavailable {
		return o, savorypinplatform.ErrUnavailable
	}
	if o.Version != s.version {
		return o, savorypinplatform.ErrConflict
	}
	s.version++
	o.Version = s.version
	s.object = o
	if s.loseResponse {
		s.loseResponse = false
		return savorypin.Object{}, savorypinplatform.ErrUnavailable
	}
	return o, nil
}

// candidate is a daemon that tries to acquire the lease. Its clock has an offset from the
// simulated time.
type candidate struct {
	lease  *savorypinlease.Lease
	offset time.Duration
}

func newCandidate(s *fakeStore, now *time.Time, name string, offset time.Duration) *candidate {
	c := &candidate{offset: offset}
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
	It("has at most one holder at a time, with an increasing fencing number, under random faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ctx := context.Background()
			now := time.Unix(1000, 0)
			s := &fakeStore{now: &now}
			var candidates []*candidate
			for i := range 3 {
				offset := time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second
				candidates = append(candidates, newCandidate(s, &now, fmt.Sprint(i), offset))
			}
			var highest int64
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause")) * time.Millisecond)
				c := rapid.SampledFrom(candidates).Draw(t, "candidate")
				switch rapid.IntRange(0, 9).Draw(t, "event") {
				case 0:
					s.unavailable = !s.unavailable
				case 1:
					s.loseResponse = true
				case 2:
					s.readDelay = time.Duration(rapid.IntRange(0, 20_000).Draw(t, "read delay")) * time.Millisecond
				case 3:
					_ = c.lease.Release(ctx)
				default:
					_ = c.lease.TryAcquireOrRenew(ctx)
				}
				highest = checkHolders(t, candidates, highest)
			}
		})
	})

	It("is taken over when its holder is paused, and expires for the holder", func() {
		ctx := context.Background()
		now := time.Unix(1000, 0)
		s := &fakeStore{now: &now}
		first := newCandidate(s, &now, "first", 0)
		second := newCandidate(s, &now, "second", time.Hour)
		Expect(first.lease.TryAcquireOrRenew(ctx)).To(Succeed())
		Expect(second.lease.TryAcquireOrRenew(ctx)).To(Succeed())
		_, held := second.lease.Held()
		Expect(held).To(BeFalse())
		now = now.Add(duration + time.Second)
		_, held = first.lease.Held()
		Expect(held).To(BeFalse())
		Expect(second.lease.TryAcquireOrRenew(ctx)).To(Succeed())
		fence, held := second.lease.Held()
		Expect(held).To(BeTrue())
		Expect(fence).To(Equal(int64(2)))
		Expect(first.lease.TryAcquireOrRenew(ctx)).To(Succeed())
		_, held = first.lease.Held()
		Expect(held).To(BeFalse())
	})

	It("is held after a retry if the response to the write that acquired it was lost", func() {
		ctx := context.Background()
		now := time.Unix(1000, 0)
		s := &fakeStore{loseResponse: true, now: &now}
		c := newCandidate(s, &now, "first", 0)
		Expect(c.lease.TryAcquireOrRenew(ctx)).NotTo(Succeed())
		_, held := c.lease.Held()
		Expect(held).To(BeFalse())
		Expect(c.lease.TryAcquireOrRenew(ctx)).To(Succeed())
		fence, held := c.lease.Held()
		Expect(held).To(BeTrue())
		Expect(fence).To(Equal(int64(1)))
	})
})

// checkHolders checks that at most one candidate holds the lease and that the fencing number
// never decreases. It returns the highest fencing number so far.
func checkHolders(t *rapid.T, candidates []*candidate, highest int64) int64 {
	holders := 0
	for _, c := range candidates {
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
		t.Fatalf("%d candidates hold the lease", holders)
	}
	return highest
}
