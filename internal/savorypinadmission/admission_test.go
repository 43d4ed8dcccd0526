package savorypinadmission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinadmission"
	"savorypin/internal/savorypinfleet"
)

const (
	drainDelay   = 2500 * time.Millisecond
	entryTimeout = 3600 * time.Millisecond
)

// fixture is a Registry whose clock and random numbers are set by the spec.
type fixture struct {
	random   float64
	now      time.Time
	registry *savorypinadmission.Registry
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.registry = savorypinadmission.New(savorypinadmission.Config{
		Random: func() float64 { return f.random }, DrainDelay: drainDelay, EntryTimeout: entryTimeout,
		Now: func() time.Time { return f.now },
	})
	return f
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
			f := newFixture()
			Expect(f.registry.MarkStopping(readyEndpoint("a"))).To(BeTrue())
			Expect(f.registry.MarkStopping(readyEndpoint("a"))).To(BeFalse())
			f.now = f.now.Add(c.after)
			Expect(f.registry.State(readyEndpoint("a"))).To(Equal(c.want))
			Expect(f.registry.State(readyEndpoint("b"))).To(Equal(savorypinadmission.StateOpen))
		})
	}

	It("is open again only as another incarnation, even if it is listed as ready", func() {
		f := newFixture()
		f.registry.MarkStopping(readyEndpoint("a"))
		f.now = f.now.Add(time.Minute)
		f.registry.UpdateList(directory(), directory(readyEndpoint("a")), 1)
		Expect(f.registry.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateClosed))
		Expect(f.registry.State(newEndpoint("a", 2, savorypinfleet.EndpointReady))).To(Equal(savorypinadmission.StateOpen))
	})
})

var _ = Describe("An endpoint that asks for a pause", func() {
	It("is closed until the end of the pause and then gets a growing share of the requests", func() {
		f := newFixture()
		Expect(f.registry.Pause(readyEndpoint("a"), 4*time.Second)).To(BeTrue())
		Expect(f.registry.Pause(readyEndpoint("a"), time.Second)).To(BeFalse())
		f.now = f.now.Add(4*time.Second - 1)
		Expect(f.registry.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateClosed))
		Expect(f.registry.Paused(readyEndpoint("a"))).To(BeTrue())
		f.now = f.now.Add(501 * time.Millisecond)
		f.random = 0.3
		Expect(f.registry.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateLastResort))
		f.random = 0.2
		Expect(f.registry.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateOpen))
		f.now = f.now.Add(2 * time.Second)
		f.random = 0.99
		Expect(f.registry.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateOpen))
	})

	It("gives callers a retry time that is spread after the end of the shortest pause", func() {
		f := newFixture()
		all := []*savorypinfleet.Endpoint{readyEndpoint("a"), readyEndpoint("b")}
		f.registry.Pause(readyEndpoint("a"), 8*time.Second)
		_, ok := f.registry.RetryAfter(all)
		Expect(ok).To(BeFalse())
		f.registry.Pause(readyEndpoint("b"), 4*time.Second)
		soonest, ok := f.registry.RetryAfter(all)
		Expect(ok).To(BeTrue())
		Expect(soonest).To(Equal(4 * time.Second))
		f.random = 1
		latest, _ := f.registry.RetryAfter(all)
		Expect(latest).To(Equal(5 * time.Second))
		_, ok = f.registry.RetryAfter(nil)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("An endpoint that had left before the store was restored in a new era", func() {
	draining := newEndpoint("a", 1, savorypinfleet.EndpointDraining)

	It("stays closed if it was draining, although it is listed as ready", func() {
		f := newFixture()
		f.registry.UpdateList(directory(readyEndpoint("a")), directory(draining), 1)
		f.now = f.now.Add(drainDelay)
		f.registry.UpdateList(directory(draining), directory(readyEndpoint("a")), 2)
		Expect(f.registry.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateClosed))
		f.now = f.now.Add(entryTimeout)
		Expect(f.registry.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateClosed))
	})

	It("is closed until its entry would have lapsed again if it was no longer listed", func() {
		f := newFixture()
		f.registry.UpdateList(directory(readyEndpoint("a")), directory(), 1)
		f.registry.UpdateList(directory(), directory(readyEndpoint("a")), 2)
		f.now = f.now.Add(entryTimeout - 1)
		Expect(f.registry.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateClosed))
		f.now = f.now.Add(1)
		Expect(f.registry.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateOpen))
	})

	It("is open at once if it lapsed and returned within one era", func() {
		f := newFixture()
		f.registry.UpdateList(directory(), directory(readyEndpoint("a")), 1)
		f.registry.UpdateList(directory(readyEndpoint("a")), directory(), 1)
		f.registry.UpdateList(directory(), directory(readyEndpoint("a")), 1)
		Expect(f.registry.State(readyEndpoint("a"))).To(Equal(savorypinadmission.StateOpen))
	})
})
