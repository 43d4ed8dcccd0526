package savorypinadmission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinadmission"
	"savorypin/internal/savorypinfleet"
)

const (
	drainDelay = 2500 * time.Millisecond
	lapseTime  = 3600 * time.Millisecond
)

// fixture is a Registry whose clock and random numbers are set by the spec.
type fixture struct {
	random   float64
	now      time.Time
	register *savorypinadmission.Registry
}

func newFixture() *fixture {
	w := &fixture{now: time.Unix(1000, 0)}
	w.register = savorypinadmission.New(savorypinadmission.Config{
		Random: func() float64 { return w.random }, DrainDelay: drainDelay, EntryTimeout: lapseTime,
		Now: func() time.Time { return w.now },
	})
	return w
}

func newEndpoint(id string, started int64, state savorypinfleet.EndpointState) *savorypinfleet.Endpoint {
	return savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{
		Address: id + ":80", ID: id, Service: "s", Started: time.UnixMilli(started), State: state,
	})
}

func readyEndpoint(id string) *savorypinfleet.Endpoint {
	return newEndpoint(id, 1, savorypinfleet.EndpointReady)
}

func directory(endpoints ...*savorypinfleet.Endpoint) *savorypinfleet.Directory {
	return savorypinfleet.NewDirectory(endpoints)
}

var _ = Describe("An endpoint that announces that it is stopping", func() {
	for _, c := range []struct {
		name  string
		after time.Duration
		want  savorypinadmission.State
	}{
		{"is a last resort at first", 0, savorypinadmission.StateLastResort},
		{"is closed well before the end of the drain delay", drainDelay * 6 / 10, savorypinadmission.StateClosed},
		{"is closed long after", time.Hour, savorypinadmission.StateClosed},
	} {
		It(c.name, func() {
			w := newFixture()
			Expect(w.register.MarkStopping(readyEndpoint("a"))).To(BeTrue())
			Expect(w.register.MarkStopping(readyEndpoint("a"))).To(BeFalse())
			w.now = w.now.Add(c.after)
			Expect(w.register.State(readyEndpoint("a"))).To(Equal(c.want))
			Expect(w.register.State(readyEndpoint("b"))).To(Equal(savorypinadmission.StateOpen))
		})
	}

	It("is open again only as another incarnation, even if it is listed as ready", func() {
		w := newFixture()
		w.register.MarkStopping(readyEndpoint("a"))
		w.now = w.now.Add(time.Minute)
		w.register.UpdateList(directory(), directory(readyEndpoint("a")), 1)
		Expect(w.register.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateClosed))
		Expect(w.register.State(newEndpoint("a", 2, savorypinfleet.EndpointReady))).To(Equal(savorypinadmission.StateOpen))
	})
})

var _ = Describe("An endpoint that asks for a pause", func() {
	It("is closed until the end of the pause and then gets a growing share of the requests", func() {
		w := newFixture()
		Expect(w.register.Pause(readyEndpoint("a"), 4*time.Second)).To(BeTrue())
		Expect(w.register.Pause(readyEndpoint("a"), time.Second)).To(BeFalse())
		w.now = w.now.Add(4*time.Second - 1)
		Expect(w.register.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateClosed))
		Expect(w.register.Paused(readyEndpoint("a"))).To(BeTrue())
		w.now = w.now.Add(501 * time.Millisecond)
		w.random = 0.3
		Expect(w.register.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateLastResort))
		w.random = 0.2
		Expect(w.register.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateOpen))
		w.now = w.now.Add(2 * time.Second)
		w.random = 0.99
		Expect(w.register.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateOpen))
	})

	It("gives callers a retry time that is spread after the end of the shortest pause", func() {
		w := newFixture()
		all := []*savorypinfleet.Endpoint{readyEndpoint("a"), readyEndpoint("b")}
		w.register.Pause(readyEndpoint("a"), 8*time.Second)
		_, ok := w.register.RetryAfter(all)
		Expect(ok).To(BeFalse())
		w.register.Pause(readyEndpoint("b"), 4*time.Second)
		soonest, ok := w.register.RetryAfter(all)
		Expect(ok).To(BeTrue())
		Expect(soonest).To(Equal(4 * time.Second))
		w.random = 1
		latest, _ := w.register.RetryAfter(all)
		Expect(latest).To(Equal(5 * time.Second))
		_, ok = w.register.RetryAfter(nil)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("An endpoint that had left before the store was restored in a new era", func() {
	draining := newEndpoint("a", 1, savorypinfleet.EndpointDraining)

	It("stays closed if it was draining, although it is listed as ready", func() {
		w := newFixture()
		w.register.UpdateList(directory(readyEndpoint("a")), directory(draining), 1)
		w.now = w.now.Add(drainDelay)
		w.register.UpdateList(directory(draining), directory(readyEndpoint("a")), 2)
		Expect(w.register.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateClosed))
		w.now = w.now.Add(lapseTime)
		Expect(w.register.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateClosed))
	})

	It("is closed until its entry would have lapsed if it was not listed before", func() {
		w := newFixture()
		w.register.UpdateList(directory(readyEndpoint("a")), directory(), 1)
		w.register.UpdateList(directory(), directory(readyEndpoint("a")), 2)
		w.now = w.now.Add(lapseTime - 1)
		Expect(w.register.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateClosed))
		w.now = w.now.Add(1)
		Expect(w.register.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateOpen))
	})

	It("is open at once if it lapsed and returned within one era", func() {
		w := newFixture()
		w.register.UpdateList(directory(), directory(readyEndpoint("a")), 1)
		w.register.UpdateList(directory(readyEndpoint("a")), directory(), 1)
		w.register.UpdateList(directory(), directory(readyEndpoint("a")), 1)
		Expect(w.register.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateOpen))
	})
})
