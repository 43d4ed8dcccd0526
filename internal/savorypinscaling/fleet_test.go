package savorypinscaling_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
	"savorypin/internal/savorypinscaling"
)

// inForceLimit is the time within which the users require a change of
// configuration to be in force everywhere.
const inForceLimit = 18 * time.Second

// ticks returns the duration of n ticks of the membership.
func ticks(n int) time.Duration {
	return time.Duration(n) * savorypinmembership.TickInterval
}

// newFleet returns a fleet with one configuration object after 10 s, when its
// daemons have found each other.
func newFleet(members int, seed uint64) (*savorypinscaling.Fleet, savorypin.Object) {
	f := savorypinscaling.NewFleet(savorypinscaling.FleetConfig{
		Endpoints:  1,
		EntryEvery: 7,
		Members:    members,
		Seed:       seed,
	})
	o := f.Write(savorypin.KindOrganisation, "shops", false)
	f.Run(10 * time.Second)
	return f, o
}

// inForce reports whether all daemons, except the given ones, have the version of
// an object in force.
func inForce(f *savorypinscaling.Fleet, o savorypin.Object, except ...*savorypinscaling.Node) bool {
	for _, n := range f.Nodes() {
		skip := false
		for _, excluded := range except {
			skip = skip || excluded == n
		}
		if !skip && !n.Config().HasVersion(o.Key, o.Version) {
			return false
		}
	}
	return true
}

// countUsable returns the number of daemons that would send n new work.
func countUsable(f *savorypinscaling.Fleet, n *savorypinscaling.Node) int {
	count := 0
	for _, other := range f.Nodes() {
		if m, ok := other.Members().Get(n.Name()); ok && other != n && m.Usable() {
			count++
		}
	}
	return count
}

var _ = Describe("Fleet", func() {
	It("never goes back to an older version, and converges, under losses, duplicates, pauses and restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f, _ := newFleet(rapid.IntRange(3, 12).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"))
			f.SetFaults(rapid.Float64Range(0, 0.3).Draw(t, "loss"), rapid.Float64Range(0, 0.3).Draw(t, "duplicates"))
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

	It("declares no member dead because of a single cut link", func() {
		f, _ := newFleet(30, 3)
		for _, a := range f.Nodes()[1:8] {
			b := f.Nodes()[0]
			f.SetCut(func(from, to *savorypinscaling.Node) bool {
				return (from == a && to == b) || (from == b && to == a)
			})
			f.RunUntil(8*time.Second, func() bool {
				for _, n := range f.Nodes() {
					for _, m := range n.Members().All() {
						// An entry that an agent's reports don't reach may consider
						// the agent unusable, but not dead.
						if m.Health() == savorypinmembership.HealthDead {
							Fail(fmt.Sprintf("%s has declared %s dead", n.Name(), m.State().Name))
						}
					}
				}
				Expect(countUsable(f, b)).To(BeNumerically(">=", len(f.Nodes())-2))
				return false
			})
		}
	})

	for _, tc := range []struct {
		name   string
		change func(*savorypinscaling.Node)
		limit  time.Duration
	}{
		{"it has announced that it leaves", (*savorypinscaling.Node).Drain, ticks(2)},
		{"it was killed", (*savorypinscaling.Node).Kill, ticks(11)},
		{"its daemon is paused", func(n *savorypinscaling.Node) { n.Pause(time.Hour) }, ticks(11)},
	} {
		It("gives a member no new work after "+tc.name, func() {
			f, _ := newFleet(40, 5)
			n := f.Nodes()[8]
			Expect(countUsable(f, n)).To(Equal(39))
			tc.change(n)
			Expect(f.RunUntil(time.Minute, func() bool { return countUsable(f, n) == 0 })).To(BeNumerically("<=", tc.limit))
		})
	}

	It("considers all members live after a pause of its own, and is considered live again itself", func() {
		f, _ := newFleet(40, 7)
		// Node 7 is an entry, which also misses the reports of all others.
		paused := f.Nodes()[7]
		paused.Pause(time.Minute)
		f.Run(30 * time.Second)
		drained := f.Nodes()[9]
		drained.Drain()
		o := f.Write(savorypin.KindOrganisation, "shops", false)
		f.Run(30*time.Second - time.Millisecond)
		f.RunUntil(3*time.Second, func() bool {
			for _, m := range paused.Members().All() {
				Expect(m.Health()).To(Equal(savorypinmembership.HealthLive), m.State().Name)
			}
			return false
		})
		Expect(countUsable(f, paused)).To(Equal(39))
		Expect(countUsable(f, drained)).To(Equal(0))
		Expect(inForce(f, o)).To(BeTrue())
	})

	It("keeps all members during a long partition between regions, and catches up within the limit on bytes", func() {
		f, _ := newFleet(28, 9)
		f.SetCut(func(from, to *savorypinscaling.Node) bool { return (from.Region() == "b") != (to.Region() == "b") })
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
				if countUsable(f, n) != 27 {
					return false
				}
			}
			return inForce(f, o)
		})
		Expect(inForce(f, o)).To(BeTrue())
		Expect(countUsable(f, f.Nodes()[1])).To(Equal(27))
		f.Run(healTime)
		Expect(2 * f.Counts().Bytes / 28).To(BeNumerically("<", 23_000*healTime.Seconds()))
	})

	It("keeps the configuration when every daemon is restarted during an outage of the platform", func() {
		f, _ := newFleet(10, 11)
		o := f.Write(savorypin.KindOrganisation, "shops", false)
		f.Run(5 * time.Second)
		f.SetOutage(true)
		for _, n := range f.Nodes() {
			n.Restart()
			Expect(f.RunUntil(time.Minute, n.Synced)).To(BeNumerically("<=", ticks(24)))
			Expect(n.Config().HasVersion(o.Key, o.Version)).To(BeTrue())
		}
	})

	It("does not become ready while it reaches neither the platform nor peers", func() {
		f, _ := newFleet(5, 13)
		f.SetOutage(true)
		f.SetCut(func(from, to *savorypinscaling.Node) bool {
			return from.Name() == "host-003" || to.Name() == "host-003"
		})
		n := f.Nodes()[3]
		n.Restart()
		f.Run(time.Minute)
		Expect(n.Synced()).To(BeFalse())
		f.SetCut(nil)
		Expect(f.RunUntil(time.Minute, n.Synced)).To(BeNumerically("<=", ticks(24)))
	})

	It("replaces stalled watches, even if all have stalled", func() {
		f, _ := newFleet(20, 15)
		f.StallWatches()
		o := f.Write(savorypin.KindOrganisation, "shops", false)
		Expect(f.RunUntil(time.Minute, func() bool { return inForce(f, o) })).To(BeNumerically("<=", inForceLimit))
	})

	It("spreads a change within 8 ticks when one reader in each failure domain is paused", func() {
		f, _ := newFleet(40, 17)
		var paused []*savorypinscaling.Node
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
		Expect(took).To(BeNumerically("<=", ticks(8)))
	})
})
