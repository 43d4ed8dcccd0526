package savorypinintake_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinintake"
)

const (
	drainDelay = 2500 * time.Millisecond
	lapseTime  = 3600 * time.Millisecond
)

// world is a register with a clock and a chance that the spec sets.
type world struct {
	chance   float64
	now      time.Time
	register *savorypinintake.Register
}

func newWorld() *world {
	w := &world{now: time.Unix(1000, 0)}
	w.register = savorypinintake.New(savorypinintake.Config{
		Chance: func() float64 { return w.chance }, DrainDelay: drainDelay, LapseTime: lapseTime,
		Now: func() time.Time { return w.now },
	})
	return w
}

func endpoint(id string, started int64, state savorypinfleet.EndpointState) *savorypinfleet.Endpoint {
	return savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{
		Address: id + ":80", ID: id, Service: "s", Started: time.UnixMilli(started), State: state,
	})
}

func ready(id string) *savorypinfleet.Endpoint {
	return endpoint(id, 1, savorypinfleet.EndpointReady)
}

func directory(endpoints ...*savorypinfleet.Endpoint) *savorypinfleet.Directory {
	return savorypinfleet.NewDirectory(endpoints)
}

var _ = Describe("An endpoint that says that it leaves", func() {
	for _, c := range []struct {
		name  string
		after time.Duration
		want  savorypinintake.State
	}{
		{"is a last resort at first", 0, savorypinintake.StateLastResort},
		{"gets nothing well before the drain delay is over", drainDelay * 6 / 10, savorypinintake.StateClosed},
		{"gets nothing long after", time.Hour, savorypinintake.StateClosed},
	} {
		It(c.name, func() {
			w := newWorld()
			Expect(w.register.Leaves(ready("a"))).To(BeTrue())
			Expect(w.register.Leaves(ready("a"))).To(BeFalse())
			w.now = w.now.Add(c.after)
			Expect(w.register.State(ready("a"))).To(Equal(c.want))
			Expect(w.register.State(ready("b"))).To(Equal(savorypinintake.StateOpen))
		})
	}

	It("takes requests again as another incarnation only, whatever the list says", func() {
		w := newWorld()
		w.register.Leaves(ready("a"))
		w.now = w.now.Add(time.Minute)
		w.register.Listed(directory(), directory(ready("a")), 1)
		Expect(w.register.State(ready("a"))).To(Equal(savorypinintake.StateClosed))
		Expect(w.register.State(endpoint("a", 2, savorypinfleet.EndpointReady))).To(Equal(savorypinintake.StateOpen))
	})
})

var _ = Describe("An endpoint that asks for a pause", func() {
	It("gets nothing until its end, and then a share that grows", func() {
		w := newWorld()
		Expect(w.register.Pause(ready("a"), 4*time.Second)).To(BeTrue())
		Expect(w.register.Pause(ready("a"), time.Second)).To(BeFalse())
		w.now = w.now.Add(4*time.Second - 1)
		Expect(w.register.State(ready("a"))).To(Equal(savorypinintake.StateClosed))
		Expect(w.register.Paused(ready("a"))).To(BeTrue())
		w.now = w.now.Add(501 * time.Millisecond)
		w.chance = 0.3
		Expect(w.register.State(ready("a"))).To(Equal(savorypinintake.StateLastResort))
		w.chance = 0.2
		Expect(w.register.State(ready("a"))).To(Equal(savorypinintake.StateOpen))
		w.now = w.now.Add(2 * time.Second)
		w.chance = 0.99
		Expect(w.register.State(ready("a"))).To(Equal(savorypinintake.StateOpen))
	})

	It("lets callers return after the first of the pauses, spread over a while", func() {
		w := newWorld()
		all := []*savorypinfleet.Endpoint{ready("a"), ready("b")}
		w.register.Pause(ready("a"), 8*time.Second)
		_, ok := w.register.Reopens(all)
		Expect(ok).To(BeFalse())
		w.register.Pause(ready("b"), 4*time.Second)
		soonest, ok := w.register.Reopens(all)
		Expect(ok).To(BeTrue())
		Expect(soonest).To(Equal(4 * time.Second))
		w.chance = 1
		latest, _ := w.register.Reopens(all)
		Expect(latest).To(Equal(5 * time.Second))
		_, ok = w.register.Reopens(nil)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("An endpoint that had left before the store came back in another era", func() {
	draining := endpoint("a", 1, savorypinfleet.EndpointDraining)

	It("takes nothing again if it was draining, though it is listed as ready", func() {
		w := newWorld()
		w.register.Listed(directory(ready("a")), directory(draining), 1)
		w.now = w.now.Add(drainDelay)
		w.register.Listed(directory(draining), directory(ready("a")), 2)
		Expect(w.register.State(ready("a"))).To(Equal(savorypinintake.StateClosed))
		w.now = w.now.Add(lapseTime)
		Expect(w.register.State(ready("a"))).To(Equal(savorypinintake.StateClosed))
	})

	It("takes nothing until its entry would have lapsed if it was gone", func() {
		w := newWorld()
		w.register.Listed(directory(ready("a")), directory(), 1)
		w.register.Listed(directory(), directory(ready("a")), 2)
		w.now = w.now.Add(lapseTime - 1)
		Expect(w.register.State(ready("a"))).To(Equal(savorypinintake.StateClosed))
		w.now = w.now.Add(1)
		Expect(w.register.State(ready("a"))).To(Equal(savorypinintake.StateOpen))
	})

	It("takes requests at once if it only lapsed within the era", func() {
		w := newWorld()
		w.register.Listed(directory(), directory(ready("a")), 1)
		w.register.Listed(directory(ready("a")), directory(), 1)
		w.register.Listed(directory(), directory(ready("a")), 1)
		Expect(w.register.State(ready("a"))).To(Equal(savorypinintake.StateOpen))
	})
})
