package savorypinslopes_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
	"savorypin/internal/savorypinslopes"
)

// inForceLimit is the users' bound on a change of configuration.
const inForceLimit = 18 * time.Second

// rounds returns the time of a number of ticks.
func rounds(n int) time.Duration {
	return time.Duration(n) * savorypinmembership.TickInterval
}

// newFleet returns a fleet that has settled with one object.
func newFleet(members int, seed uint64) (*savorypinslopes.Fleet, savorypin.Object) {
	f := savorypinslopes.NewFleet(savorypinslopes.FleetConfig{
		Endpoints:  1,
		EntryEvery: 7,
		Members:    members,
		Seed:       seed,
	})
	o := f.Write(savorypin.KindOrganisation, "shops", false)
	f.Run(10 * time.Second)
	return f, o
}

// inForce reports whether all daemons but some hold a version.
func inForce(f *savorypinslopes.Fleet, o savorypin.Object, but ...*savorypinslopes.Node) bool {
	for _, n := range f.Nodes() {
		skip := false
		for _, b := range but {
			skip = skip || b == n
		}
		if !skip && !n.Config().Holds(o.Key, o.Version) {
			return false
		}
	}
	return true
}

// usableAt counts the daemons that would give n new work.
func usableAt(f *savorypinslopes.Fleet, n *savorypinslopes.Node) int {
	count := 0
	for _, other := range f.Nodes() {
		if m, ok := other.Members().Get(n.Name()); ok && other != n && m.Usable() {
			count++
		}
	}
	return count
}

var _ = Describe("Fleet", func() {
	It("never reverts and converges under losses, duplicates, pauses and restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f, _ := newFleet(rapid.IntRange(3, 12).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"))
			f.SetFaults(rapid.Float64Range(0, 0.3).Draw(t, "loss"), rapid.Float64Range(0, 0.3).Draw(t, "twice"))
			seen := map[string]int64{}
			var last savorypin.Object
			for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
				last = f.Write(savorypin.KindOrganisation, "shops", rapid.Bool().Draw(t, "deleted"))
				n := rapid.SampledFrom(f.Nodes()).Draw(t, "daemon")
				switch rapid.SampledFrom([]string{"none", "outage", "pause", "restart"}).Draw(t, "fault") {
				case "outage":
					f.SetOutage(i%2 == 0)
				case "pause":
					n.Pause(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
				case "restart":
					n.Restart()
					delete(seen, n.Name())
				}
				f.RunUntil(2*time.Second, func() bool {
					for _, n := range f.Nodes() {
						o, _ := n.Config().Object(last.Key)
						if o.Version < seen[n.Name()] {
							t.Fatalf("%s went back from version %d to %d", n.Name(), seen[n.Name()], o.Version)
						}
						seen[n.Name()] = o.Version
					}
					return false
				})
			}
			f.SetOutage(false)
			f.SetFaults(0, 0)
			f.Run(8 * time.Second)
			if took := f.RunUntil(time.Minute, func() bool { return inForce(f, last) }); took > inForceLimit {
				t.Fatalf("version %d was not in force everywhere after %s", last.Version, took)
			}
		})
	})

	It("takes nobody for dead because of one cut link or of one slow link", func() {
		f, _ := newFleet(30, 3)
		for _, a := range f.Nodes()[1:8] {
			b := f.Nodes()[0]
			f.SetCut(func(from, to *savorypinslopes.Node) bool {
				return (from == a && to == b) || (from == b && to == a)
			})
			f.RunUntil(8*time.Second, func() bool {
				for _, n := range f.Nodes() {
					for _, m := range n.Members().All() {
						// An entry may not use an agent whose reports it misses.
						if m.Health() == savorypinmembership.HealthDead {
							Fail(fmt.Sprintf("%s takes %s for dead", n.Name(), m.State().Name))
						}
					}
				}
				Expect(usableAt(f, b)).To(BeNumerically(">=", len(f.Nodes())-2))
				return false
			})
		}
	})

	for _, tc := range []struct {
		name   string
		change func(*savorypinslopes.Node)
		limit  time.Duration
	}{
		{"it has said that it leaves", (*savorypinslopes.Node).Drain, rounds(2)},
		{"its host has died", (*savorypinslopes.Node).Kill, rounds(11)},
		{"its daemon is paused", func(n *savorypinslopes.Node) { n.Pause(time.Hour) }, rounds(11)},
	} {
		It("gives a member no new work after "+tc.name, func() {
			f, _ := newFleet(40, 5)
			n := f.Nodes()[8]
			Expect(usableAt(f, n)).To(Equal(39))
			tc.change(n)
			Expect(f.RunUntil(time.Minute, func() bool { return usableAt(f, n) == 0 })).To(BeNumerically("<=", tc.limit))
		})
	}

	It("judges nobody after a pause of its own, and is live again itself", func() {
		f, _ := newFleet(40, 7)
		// An entry, which misses the reports of all others too.
		paused := f.Nodes()[7]
		paused.Pause(time.Minute)
		f.Run(30 * time.Second)
		left := f.Nodes()[9]
		left.Drain()
		o := f.Write(savorypin.KindOrganisation, "shops", false)
		f.Run(30*time.Second - time.Millisecond)
		f.RunUntil(3*time.Second, func() bool {
			for _, m := range paused.Members().All() {
				Expect(m.Health()).To(Equal(savorypinmembership.HealthLive), m.State().Name)
			}
			return false
		})
		Expect(usableAt(f, paused)).To(Equal(39))
		Expect(usableAt(f, left)).To(Equal(0))
		Expect(inForce(f, o)).To(BeTrue())
	})

	It("keeps members across a long cut between regions and catches up without a storm", func() {
		f, _ := newFleet(28, 9)
		f.SetCut(func(from, to *savorypinslopes.Node) bool { return (from.Region() == "b") != (to.Region() == "b") })
		f.Run(4 * time.Minute)
		for _, n := range f.Nodes() {
			Expect(n.Members().All()).To(HaveLen(28))
		}
		o := f.Write(savorypin.KindOrganisation, "shops", false)
		f.SetCut(nil)
		f.Counts()
		const healTime = 20 * time.Second
		f.RunUntil(healTime, func() bool {
			for _, n := range f.Nodes() {
				if usableAt(f, n) != 27 {
					return false
				}
			}
			return inForce(f, o)
		})
		Expect(inForce(f, o)).To(BeTrue())
		Expect(usableAt(f, f.Nodes()[1])).To(Equal(27))
		f.Run(healTime)
		Expect(2 * f.Counts().Bytes / 28).To(BeNumerically("<", 23_000*healTime.Seconds()))
	})

	It("keeps the configuration though every daemon is restarted while the platform is out", func() {
		f, _ := newFleet(10, 11)
		o := f.Write(savorypin.KindOrganisation, "shops", false)
		f.Run(5 * time.Second)
		f.SetOutage(true)
		for _, n := range f.Nodes() {
			n.Restart()
			Expect(f.RunUntil(time.Minute, n.Synced)).To(BeNumerically("<=", rounds(24)))
			Expect(n.Config().Holds(o.Key, o.Version)).To(BeTrue())
		}
	})

	It("is not ready with neither platform nor peers", func() {
		f, _ := newFleet(5, 13)
		f.SetOutage(true)
		f.SetCut(func(from, to *savorypinslopes.Node) bool { return from.Name() == "host-003" || to.Name() == "host-003" })
		n := f.Nodes()[3]
		n.Restart()
		f.Run(time.Minute)
		Expect(n.Synced()).To(BeFalse())
		f.SetCut(nil)
		Expect(f.RunUntil(time.Minute, n.Synced)).To(BeNumerically("<=", rounds(24)))
	})

	It("finds silent watches, also when all of them are", func() {
		f, _ := newFleet(20, 15)
		f.Silence()
		o := f.Write(savorypin.KindOrganisation, "shops", false)
		Expect(f.RunUntil(time.Minute, func() bool { return inForce(f, o) })).To(BeNumerically("<=", inForceLimit))
	})

	It("is not held up by paused readers", func() {
		f, _ := newFleet(40, 17)
		var paused []*savorypinslopes.Node
		domains := map[string]bool{}
		for _, n := range f.Nodes() {
			if n.Reads() && !domains[n.Domain()] {
				domains[n.Domain()] = true
				n.Pause(time.Hour)
				paused = append(paused, n)
			}
		}
		Expect(paused).To(HaveLen(7))
		o := f.Write(savorypin.KindOrganisation, "shops", false)
		took := f.RunUntil(time.Minute, func() bool { return inForce(f, o, paused...) })
		Expect(took).To(BeNumerically("<=", rounds(8)))
	})
})
