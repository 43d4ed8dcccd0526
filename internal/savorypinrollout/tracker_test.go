package savorypinrollout_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinrollout"
)

const (
	service       = "ledger"
	share         = 0.1
	slack         = 50
	rolloutTime   = 12 * time.Second
	usualAnswer   = 60 * time.Millisecond
	usualFailures = 0.02
)

// version says how a version behaves at a time after the order.
type version func(r *rand.Rand, route string, after time.Duration) (failed bool, took time.Duration)

func good(r *rand.Rand, _ string, _ time.Duration) (bool, time.Duration) {
	return r.Float64() < usualFailures, time.Duration((0.5 + r.Float64()) * float64(usualAnswer))
}

// fleet is some gateways that tell each other what they see.
type fleet struct {
	now      time.Time
	rollout  savorypinfleet.Rollout
	trackers []*savorypinrollout.Tracker
	// newRequests and requests count what was sent since the order.
	newRequests int
	requests    int
	// afterBad counts requests to the new version long after its 50th failure.
	afterBad int
	bad      int
	badAt    time.Time
}

func newFleet(gateways int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rollout: savorypinfleet.Rollout{Duration: rolloutTime, Service: service, Version: "v2"}}
	for range gateways {
		f.trackers = append(f.trackers, savorypinrollout.New(savorypinrollout.Config{
			Gateways: func() int { return gateways }, Now: func() time.Time { return f.now }, Share: share, Slack: slack,
		}))
	}
	f.update()
	return f
}

func (f *fleet) update() {
	for _, t := range f.trackers {
		t.Update([]savorypinfleet.Rollout{f.rollout}, f.rollout.Era)
	}
}

// play serves some requests a second until after the deadline and returns the
// last state.
func (f *fleet) play(r *rand.Rand, perSecond int, behave version) savorypinfleet.RolloutState {
	start := f.now
	for f.now.Sub(start) < rolloutTime+time.Second {
		f.now = f.now.Add(time.Second / time.Duration(perSecond))
		f.request(r, behave, f.now.Sub(start))
		if f.requests%20 == 0 {
			f.gossip()
		}
		for _, due := range f.trackers[0].Due() {
			f.rollout.State = due.State
			f.update()
		}
	}
	return f.rollout.State
}

func (f *fleet) request(r *rand.Rand, behave version, after time.Duration) {
	t := f.trackers[r.IntN(len(f.trackers))]
	route := fmt.Sprint("route-", r.IntN(3))
	side, _ := t.Choose(service)
	name, answer := "v1", version(good)
	if side == savorypinrollout.SideNew {
		name, answer = "v2", behave
	}
	t.Sent(service, name)
	failed, took := answer(r, route, after)
	t.Answered(service, route, name, failed, took)
	if after > rolloutTime {
		return
	}
	f.requests++
	if name == "v1" {
		return
	}
	f.newRequests++
	if f.bad >= 50 && f.now.Sub(f.badAt) > 5*time.Second {
		f.afterBad++
	}
	if failed || took > 3*usualAnswer {
		f.bad++
		if f.bad == 50 {
			f.badAt = f.now
		}
	}
}

func (f *fleet) gossip() {
	for i, from := range f.trackers {
		for j, to := range f.trackers {
			if i != j {
				to.Hear(fmt.Sprint(i), from.Reports())
			}
		}
	}
}

var _ = Describe("A version that is rolled out", func() {
	for _, c := range []struct {
		name   string
		behave version
		want   savorypinfleet.RolloutState
	}{
		{"good", good, savorypinfleet.RolloutCompleted},
		{"failing at once", func(r *rand.Rand, _ string, _ time.Duration) (bool, time.Duration) {
			return r.Float64() < 0.4, usualAnswer
		}, savorypinfleet.RolloutRolledBack},
		{"failing later", func(r *rand.Rand, route string, after time.Duration) (bool, time.Duration) {
			if after < 6*time.Second {
				return good(r, route, after)
			}
			return r.Float64() < 0.6, usualAnswer
		}, savorypinfleet.RolloutRolledBack},
		{"failing on one route", func(r *rand.Rand, route string, after time.Duration) (bool, time.Duration) {
			if route != "route-1" {
				return good(r, route, after)
			}
			return r.Float64() < 0.7, usualAnswer
		}, savorypinfleet.RolloutRolledBack},
		{"several times slower", func(*rand.Rand, string, time.Duration) (bool, time.Duration) {
			return false, 6 * usualAnswer
		}, savorypinfleet.RolloutRolledBack},
	} {
		It("and is "+c.name+" gets no more than its exposure", func() {
			for seed := range uint64(30) {
				f := newFleet(5)
				state := f.play(rand.New(rand.NewPCG(seed, 1)), 100, c.behave)
				Expect(state).To(Equal(c.want), fmt.Sprint("seed ", seed))
				if c.want == savorypinfleet.RolloutRolledBack {
					Expect(float64(f.newRequests)).To(BeNumerically("<=", share*float64(f.requests)+slack))
					Expect(f.afterBad).To(BeZero())
				}
			}
		})
	}

	It("stays rejected for gateways that hear of it, and in a later state of the order", func() {
		f := newFleet(2)
		f.trackers[0].Update([]savorypinfleet.Rollout{f.rollout}, f.rollout.Era)
		for range 20 {
			f.trackers[0].Answered(service, "r", "v2", true, usualAnswer)
		}
		Expect(f.trackers[1].Hear("0", f.trackers[0].Reports())).To(BeTrue())
		f.rollout.State = savorypinfleet.RolloutRunning
		f.update()
		for _, t := range f.trackers {
			side, version := t.Choose(service)
			Expect(side).To(Equal(savorypinrollout.SideOld))
			Expect(version).To(Equal("v2"))
		}
	})

	It("is as old for a gateway that has restarted as for the others", func() {
		f := newFleet(2)
		f.now = f.now.Add(11800 * time.Millisecond)
		f.trackers[1] = savorypinrollout.New(savorypinrollout.Config{
			Gateways: func() int { return 2 }, Now: func() time.Time { return f.now }, Share: share, Slack: slack,
		})
		f.trackers[1].Update([]savorypinfleet.Rollout{f.rollout}, f.rollout.Era)
		Expect(f.trackers[1].Due()[0].State).To(Equal(savorypinfleet.RolloutRunning))
		f.gossip()
		Expect(f.trackers[1].Due()[0].State).To(Equal(savorypinfleet.RolloutCompleted))
	})

	for _, c := range []struct {
		name string
		// before is the state that the store loses with its era.
		before savorypinfleet.RolloutState
		reject bool
		want   savorypinrollout.Side
		due    savorypinfleet.RolloutState
	}{
		{"found bad stays so, and is written again", savorypinfleet.RolloutRolledBack, true, savorypinrollout.SideOld, savorypinfleet.RolloutRolledBack},
		{"found bad, but not yet written, stays so", savorypinfleet.RolloutRunning, true, savorypinrollout.SideOld, savorypinfleet.RolloutRolledBack},
		{"completed stays so, and is written again", savorypinfleet.RolloutCompleted, false, savorypinrollout.SideNew, savorypinfleet.RolloutCompleted},
	} {
		It(c.name+" in another era of the store that has lost the state", func() {
			f := newFleet(1)
			t := f.trackers[0]
			for range 20 {
				t.Answered(service, "r", "v2", c.reject, usualAnswer)
			}
			f.rollout.State = c.before
			f.update()
			f.rollout.Era, f.rollout.State = 1, savorypinfleet.RolloutRunning
			f.update()
			side, _ := t.Choose(service)
			Expect(side).To(Equal(c.want))
			Expect(t.Due()[0].State).To(Equal(c.due))
			Expect(t.Due()[0].Era).To(Equal(int64(1)))
		})
	}

	It("stays known in another era that lacks the order, until the operator writes it again", func() {
		f := newFleet(1)
		t := f.trackers[0]
		for range 20 {
			t.Answered(service, "r", "v2", true, usualAnswer)
		}
		t.Update(nil, 1)
		t.Update(nil, 1)
		side, _ := t.Choose(service)
		Expect(side).To(Equal(savorypinrollout.SideOld))
		Expect(t.Due()).To(BeEmpty(), "there is no entry to write to")
		f.rollout.Era = 1
		f.update()
		side, _ = t.Choose(service)
		Expect(side).To(Equal(savorypinrollout.SideOld))
		t.Update(nil, 1)
		side, _ = t.Choose(service)
		Expect(side).To(Equal(savorypinrollout.SideAny), "the operator took the order away")
	})

	It("does not matter where no roll-out is ordered, and gets all once it is completed", func() {
		f := newFleet(1)
		side, _ := f.trackers[0].Choose("other")
		Expect(side).To(Equal(savorypinrollout.SideAny))
		f.rollout.State = savorypinfleet.RolloutCompleted
		f.update()
		side, _ = f.trackers[0].Choose(service)
		Expect(side).To(Equal(savorypinrollout.SideNew))
		Expect(f.trackers[0].Due()).To(BeEmpty())
	})
})
