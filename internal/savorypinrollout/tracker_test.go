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
	service         = "ledger"
	exposureShare   = 0.1
	exposureSlack   = 50
	rolloutDuration = 12 * time.Second
	meanLatency     = 60 * time.Millisecond
	failureRatio    = 0.02
)

// behavior returns the outcome and latency of an answer, given the time since the order.
type behavior func(r *rand.Rand, route string, after time.Duration) (failed bool, took time.Duration)

func healthy(r *rand.Rand, _ string, _ time.Duration) (bool, time.Duration) {
	return r.Float64() < failureRatio, time.Duration((0.5 + r.Float64()) * float64(meanLatency))
}

// fleet simulates gateways that exchange reports.
type fleet struct {
	now      time.Time
	rollout  savorypinfleet.Rollout
	trackers []*savorypinrollout.Tracker
	// newRequests and requests count the requests sent to the new version and in
	// total until the deadline.
	newRequests int
	requests    int
	// lateNewRequests counts requests to the new version more than 5 s after its 50th
	// failure.
	lateNewRequests int
	// newFailures counts failed and slow answers of the new version.
	newFailures       int
	fiftiethFailureAt time.Time
}

func newFleet(gateways int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rollout: savorypinfleet.Rollout{Duration: rolloutDuration, Service: service, Version: "v2"}}
	for range gateways {
		f.trackers = append(f.trackers, savorypinrollout.New(savorypinrollout.Config{
			Gateways: func() int { return gateways }, Now: func() time.Time { return f.now }, ExposureShare: exposureShare, ExposureSlack: exposureSlack,
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

// run sends perSecond requests a second until one second after the deadline and
// returns the last state of the rollout.
func (f *fleet) run(r *rand.Rand, perSecond int, behave behavior) savorypinfleet.RolloutState {
	start := f.now
	for f.now.Sub(start) < rolloutDuration+time.Second {
		f.now = f.now.Add(time.Second / time.Duration(perSecond))
		f.sendRequest(r, behave, f.now.Sub(start))
		if f.requests%20 == 0 {
			f.exchangeReports()
		}
		for _, due := range f.trackers[0].PendingUpdates() {
			f.rollout.State = due.State
			f.update()
		}
	}
	return f.rollout.State
}

func (f *fleet) sendRequest(r *rand.Rand, behave behavior, after time.Duration) {
	t := f.trackers[r.IntN(len(f.trackers))]
	route := fmt.Sprint("route-", r.IntN(3))
	side, _ := t.Choose(service)
	version, answer := "v1", behavior(healthy)
	if side == savorypinrollout.SideNew {
		version, answer = "v2", behave
	}
	t.CountSent(service, version)
	failed, took := answer(r, route, after)
	t.RecordAnswer(service, route, version, failed, took)
	if after > rolloutDuration {
		return
	}
	f.requests++
	if version == "v1" {
		return
	}
	f.newRequests++
	if f.newFailures >= 50 && f.now.Sub(f.fiftiethFailureAt) > 5*time.Second {
		f.lateNewRequests++
	}
	if failed || took > 3*meanLatency {
		f.newFailures++
		if f.newFailures == 50 {
			f.fiftiethFailureAt = f.now
		}
	}
}

func (f *fleet) exchangeReports() {
	for i, from := range f.trackers {
		for j, to := range f.trackers {
			if i != j {
				to.ApplyReports(fmt.Sprint(i), from.Reports())
			}
		}
	}
}

var _ = Describe("Tracker", func() {
	for _, c := range []struct {
		name   string
		behave behavior
		want   savorypinfleet.RolloutState
	}{
		{"good", healthy, savorypinfleet.RolloutCompleted},
		{"failing immediately", func(r *rand.Rand, _ string, _ time.Duration) (bool, time.Duration) {
			return r.Float64() < 0.4, meanLatency
		}, savorypinfleet.RolloutRolledBack},
		{"failing later", func(r *rand.Rand, route string, after time.Duration) (bool, time.Duration) {
			if after < 6*time.Second {
				return healthy(r, route, after)
			}
			return r.Float64() < 0.6, meanLatency
		}, savorypinfleet.RolloutRolledBack},
		{"failing on one route", func(r *rand.Rand, route string, after time.Duration) (bool, time.Duration) {
			if route != "route-1" {
				return healthy(r, route, after)
			}
			return r.Float64() < 0.7, meanLatency
		}, savorypinfleet.RolloutRolledBack},
		{"several times slower", func(*rand.Rand, string, time.Duration) (bool, time.Duration) {
			return false, 6 * meanLatency
		}, savorypinfleet.RolloutRolledBack},
	} {
		It("handles a version that is "+c.name+" within the exposure limit", func() {
			for seed := range uint64(30) {
				f := newFleet(5)
				state := f.run(rand.New(rand.NewPCG(seed, 1)), 100, c.behave)
				Expect(state).To(Equal(c.want), fmt.Sprint("seed ", seed))
				if c.want == savorypinfleet.RolloutRolledBack {
					Expect(float64(f.newRequests)).To(BeNumerically("<=", exposureShare*float64(f.requests)+exposureSlack))
					Expect(f.lateNewRequests).To(BeZero())
				}
			}
		})
	}

	// Guards against the rejection of a good version because of delays by the scheduler or the
	// network, which are several times the mean of a service that answers within a millisecond.
	for _, c := range []struct {
		name     string
		old, new time.Duration
		want     savorypinrollout.Side
	}{
		{"allows a version that answers within half a millisecond where the old one takes 0.1 ms", 100 * time.Microsecond, 500 * time.Microsecond, savorypinrollout.SideNew},
		{"rejects a version that takes several times as long as 0.1 ms and is noticeably slower", 100 * time.Microsecond, 30 * time.Millisecond, savorypinrollout.SideOld},
		{"rejects a version that takes five times as long as 15 ms", 15 * time.Millisecond, 75 * time.Millisecond, savorypinrollout.SideOld},
	} {
		It(c.name, func() {
			f := newFleet(1)
			for range 100 {
				f.trackers[0].RecordAnswer(service, "r", "v1", false, c.old)
			}
			for range 10 {
				f.trackers[0].RecordAnswer(service, "r", "v2", false, c.new)
			}
			side, _ := f.trackers[0].Choose(service)
			Expect(side).To(Equal(c.want))
		})
	}

	It("applies the rejection of another gateway and keeps it when the order's state changes", func() {
		f := newFleet(2)
		f.trackers[0].Update([]savorypinfleet.Rollout{f.rollout}, f.rollout.Era)
		for range 20 {
			f.trackers[0].RecordAnswer(service, "r", "v2", true, meanLatency)
		}
		Expect(f.trackers[1].ApplyReports("0", f.trackers[0].Reports())).To(BeTrue())
		f.rollout.State = savorypinfleet.RolloutRunning
		f.update()
		for _, t := range f.trackers {
			side, version := t.Choose(service)
			Expect(side).To(Equal(savorypinrollout.SideOld))
			Expect(version).To(Equal("v2"))
		}
	})

	It("takes the deadline from other gateways' reports after a restart", func() {
		f := newFleet(2)
		// The rollout is due to be completed 250 ms before its deadline; 200 ms are left.
		f.now = f.now.Add(11800 * time.Millisecond)
		f.trackers[1] = savorypinrollout.New(savorypinrollout.Config{
			Gateways: func() int { return 2 }, Now: func() time.Time { return f.now }, ExposureShare: exposureShare, ExposureSlack: exposureSlack,
		})
		f.trackers[1].Update([]savorypinfleet.Rollout{f.rollout}, f.rollout.Era)
		Expect(f.trackers[1].PendingUpdates()[0].State).To(Equal(savorypinfleet.RolloutRunning))
		f.exchangeReports()
		Expect(f.trackers[1].PendingUpdates()[0].State).To(Equal(savorypinfleet.RolloutCompleted))
	})

	for _, c := range []struct {
		name string
		// before is the state that the store loses when its era changes.
		before savorypinfleet.RolloutState
		reject bool
		want   savorypinrollout.Side
		due    savorypinfleet.RolloutState
	}{
		{"keeps a rejection and writes it again", savorypinfleet.RolloutRolledBack, true, savorypinrollout.SideOld, savorypinfleet.RolloutRolledBack},
		{"keeps a rejection that was not yet written", savorypinfleet.RolloutRunning, true, savorypinrollout.SideOld, savorypinfleet.RolloutRolledBack},
		{"keeps a completion and writes it again", savorypinfleet.RolloutCompleted, false, savorypinrollout.SideNew, savorypinfleet.RolloutCompleted},
	} {
		It(c.name+" after the store lost the state in a change of era", func() {
			f := newFleet(1)
			t := f.trackers[0]
			for range 20 {
				t.RecordAnswer(service, "r", "v2", c.reject, meanLatency)
			}
			f.rollout.State = c.before
			f.update()
			f.rollout.Era, f.rollout.State = 1, savorypinfleet.RolloutRunning
			f.update()
			side, _ := t.Choose(service)
			Expect(side).To(Equal(c.want))
			Expect(t.PendingUpdates()[0].State).To(Equal(c.due))
			Expect(t.PendingUpdates()[0].Era).To(Equal(int64(1)))
		})
	}

	It("keeps an order that the store lost in a change of era until the operator writes it again", func() {
		f := newFleet(1)
		t := f.trackers[0]
		for range 20 {
			t.RecordAnswer(service, "r", "v2", true, meanLatency)
		}
		t.Update(nil, 1)
		t.Update(nil, 1)
		side, _ := t.Choose(service)
		Expect(side).To(Equal(savorypinrollout.SideOld))
		Expect(t.PendingUpdates()).To(BeEmpty(), "the store has no object to update")
		f.rollout.Era = 1
		f.update()
		side, _ = t.Choose(service)
		Expect(side).To(Equal(savorypinrollout.SideOld))
		t.Update(nil, 1)
		side, _ = t.Choose(service)
		Expect(side).To(Equal(savorypinrollout.SideAny), "the operator deleted the order")
	})

	It("allows any version without a rollout, and only the new one after completion", func() {
		f := newFleet(1)
		side, _ := f.trackers[0].Choose("other")
		Expect(side).To(Equal(savorypinrollout.SideAny))
		f.rollout.State = savorypinfleet.RolloutCompleted
		f.update()
		side, _ = f.trackers[0].Choose(service)
		Expect(side).To(Equal(savorypinrollout.SideNew))
		Expect(f.trackers[0].PendingUpdates()).To(BeEmpty())
	})
})
