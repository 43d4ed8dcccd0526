package savorypinresume_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
)

const (
	worldLength = 400
	worldLimit  = time.Minute
)

var policies = []savorypin.ResumePolicy{savorypin.ResumeFrugal, savorypin.ResumeLatency}

// newMachine returns a machine for the world.
func newMachine(policy savorypin.ResumePolicy) *savorypinresume.Machine {
	return newSilentMachine(policy, nil)
}

// newSilentMachine returns a machine that is told of silent connections.
func newSilentMachine(policy savorypin.ResumePolicy, silent func(savorypin.AttemptID) bool) *savorypinresume.Machine {
	return savorypinresume.NewMachine(savorypinresume.MachineConfig{
		Deadline: time.Unix(1_000_000, 0).Add(worldLimit),
		Limits:   savorypinresume.DefaultLimits(),
		Object:   "generation",
		Policy:   policy,
		Silent:   silent,
		Term:     1,
	})
}

// newWorld returns a world with four hosts.
func newWorld(d decider, faults ...faultAt) *world {
	slices.SortStableFunc(faults, func(a, b faultAt) int { return cmp.Compare(a.at, b.at) })
	return &world{decider: d, faults: faults, gap: 10 * time.Millisecond, hosts: make([]host, 4), length: worldLength}
}

// stretch returns the longest time without a token that was delivered.
func (w *world) stretch() time.Duration {
	longest := time.Duration(0)
	for i := 1; i < len(w.taken); i++ {
		longest = max(longest, w.taken[i].Sub(w.taken[i-1]))
	}
	return longest
}

// extra returns the tokens computed beyond a clean run.
func (w *world) extra() int {
	return w.computed - w.length
}

// drawFaults returns a schedule of faults that leaves one host without deaths.
func drawFaults(t *rapid.T) []faultAt {
	var faults []faultAt
	for i := range rapid.IntRange(0, 6).Draw(t, "faults") {
		f := faultAt{
			at:       time.Duration(rapid.IntRange(0, 6000).Draw(t, fmt.Sprintf("at%d", i))) * time.Millisecond,
			endpoint: rapid.IntRange(0, 2).Draw(t, fmt.Sprintf("endpoint%d", i)),
			fault: rapid.SampledFrom([]fault{faultBlackhole, faultCut, faultEngine, faultHost, faultPause, faultStall}).
				Draw(t, fmt.Sprintf("fault%d", i)),
			lasts: time.Duration(rapid.IntRange(100, 5000).Draw(t, fmt.Sprintf("lasts%d", i))) * time.Millisecond,
		}
		if f.fault == faultEngine || f.fault == faultHost {
			f.lasts = 0
		}
		faults = append(faults, f)
	}
	return faults
}

// checkWhole checks that the log is what its last attempt has produced, and
// that no token has changed since it was first seen.
func checkWhole(t *rapid.T, w *world, m *savorypinresume.Machine, seen *[]savorypin.Token) {
	tokens := m.Log().Tokens(0)
	if len(tokens) == 0 {
		return
	}
	run := w.find(m.Log().Tail())
	if len(run.tokens) < len(tokens) || !slices.Equal(run.tokens[:len(tokens)], tokens) {
		t.Fatalf("the log is not what attempt %s has produced", run.id)
	}
	if len(tokens) < len(*seen) || !slices.Equal(tokens[:len(*seen)], *seen) {
		t.Fatalf("tokens have changed after %d", len(*seen))
	}
	*seen = tokens
}

// checkRuns checks that no attempt id is used twice.
func checkRuns(t *rapid.T, w *world) {
	ids := map[savorypin.AttemptID]bool{}
	for _, r := range w.runs {
		if ids[r.id] {
			t.Fatalf("attempt %s was made twice", r.id)
		}
		ids[r.id] = true
	}
}

var _ = Describe("Machine", func() {
	for _, policy := range policies {
		It("never mixes, loses or repeats tokens with policy "+string(policy), func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				var w *world
				m := newSilentMachine(policy, func(id savorypin.AttemptID) bool { return w.silent(id) })
				w = newWorld(machineDecider(m), drawFaults(t)...)
				w.mixable = true
				w.noise = 0.05
				w.rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "noise"), 1))
				var seen []savorypin.Token
				w.run(2*worldLimit, func() { checkWhole(t, w, m, &seen) })
				checkRuns(t, w)
				if m.End() == nil {
					t.Fatalf("not ended after %d tokens", m.Log().Len())
				}
				if m.End().Err == nil && m.Log().Len() != worldLength {
					t.Fatalf("ended well after %d tokens", m.Log().Len())
				}
				if savorypin.KindOf(m.End().Err) == savorypin.KindNotRun && m.End().Err != nil && w.computed > 0 {
					t.Fatalf("said not run although %d tokens were computed", w.computed)
				}
			})
		})

		It("gives the same answer as the naive twin with policy "+string(policy), func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				faults := drawFaults(t)
				m := newMachine(policy)
				w := newWorld(machineDecider(m), faults...)
				w.run(worldLimit, func() {})
				twin := &naive{}
				v := newWorld(twin.decider(), faults...)
				v.run(worldLimit, func() {})
				if m.End() == nil || m.End().Err != nil || twin.ended == nil {
					t.Skip("one of them gave up")
				}
				if !slices.Equal(m.Log().Tokens(0), twin.tokens) {
					t.Fatalf("%d tokens differ from the twin's %d", m.Log().Len(), len(twin.tokens))
				}
			})
		})
	}

	for _, tc := range []struct {
		fault fault
		// extra is the largest number of tokens computed beyond a clean run,
		// by policy.
		frugal, latency int
		lasts           time.Duration
		stretch         time.Duration
	}{
		{faultBlackhole, 0, 0, time.Minute, 2 * time.Second},
		{faultCut, 0, 0, time.Minute, time.Second},
		{faultEngine, worldLength, worldLength, 0, time.Second},
		{faultHost, worldLength, worldLength, 0, 2 * time.Second},
		{faultPause, worldLength, worldLength, time.Minute, 2 * time.Second},
		{faultStall, worldLength, worldLength, time.Minute, 4 * time.Second},
	} {
		for _, policy := range policies {
			It(fmt.Sprintf("goes on in time after %s with policy %s", tc.fault, policy), func() {
				var w *world
				m := newSilentMachine(policy, func(id savorypin.AttemptID) bool { return w.silent(id) })
				w = newWorld(machineDecider(m), faultAt{at: 2 * time.Second, endpoint: -1, fault: tc.fault, lasts: tc.lasts})
				w.run(worldLimit, func() {})
				Expect(m.End()).NotTo(BeNil())
				Expect(m.End().Err).NotTo(HaveOccurred())
				// Time is virtual, so that this verdict is always the same.
				Expect(w.stretch()).To(BeNumerically("<=", tc.stretch))
				extra := map[savorypin.ResumePolicy]int{savorypin.ResumeFrugal: tc.frugal, savorypin.ResumeLatency: tc.latency}
				Expect(w.extra()).To(BeNumerically("<=", extra[policy]))
			})
		}
	}

	for _, policy := range policies {
		It("goes on in time although the next engine hangs, with policy "+string(policy), func() {
			m := newMachine(policy)
			w := newWorld(machineDecider(m), faultAt{at: 2 * time.Second, endpoint: -1, fault: faultEngine})
			w.hosts[1].stalled = true
			w.run(worldLimit, func() {})
			Expect(m.End()).NotTo(BeNil())
			Expect(m.End().Err).NotTo(HaveOccurred())
			Expect(w.stretch()).To(BeNumerically("<=", 4*time.Second))
		})
	}

	It("does not give a request that kills engines to all of them", func() {
		m := newMachine(savorypin.ResumeFrugal)
		w := newWorld(machineDecider(m))
		w.hosts = make([]host, 20)
		w.run(worldLimit, func() {
			for _, r := range w.runs {
				w.hosts[r.host].engineDead = len(r.tokens) > r.base
			}
		})
		Expect(savorypin.KindOf(m.End().Err)).To(Equal(savorypin.KindIncomplete))
		Expect(len(w.runs)).To(Equal(savorypinresume.DefaultLimits().Failures))
	})

	It("says not run only if nothing ran", func() {
		m := newMachine(savorypin.ResumeFrugal)
		w := newWorld(machineDecider(m))
		for i := range w.hosts {
			w.hosts[i].dead = true
		}
		w.run(worldLimit, func() {})
		Expect(savorypin.KindOf(m.End().Err)).To(Equal(savorypin.KindNotRun))
		Expect(w.computed).To(BeZero())
	})

	It("waits for a replica and then fails plainly", func() {
		m := newMachine(savorypin.ResumeFrugal)
		w := newWorld(machineDecider(m))
		w.run(2*worldLimit, func() {
			if m.Log().Len() > 100 {
				for i := range w.hosts {
					w.hosts[i].dead = true
				}
			}
		})
		Expect(savorypin.KindOf(m.End().Err)).To(Equal(savorypin.KindIncomplete))
		Expect(w.now.Sub(w.started)).To(BeNumerically("~", worldLimit, 2*worldStep))
	})

	It("blames a stall on the attempt that a second one has overtaken", func() {
		now := time.Unix(0, 0)
		m := newMachine(savorypin.ResumeLatency)
		m.Begin()
		slow, _ := m.Placed(now, "a", time.Second)
		m.Tokens(now, slow, 0, answer(5))
		now = m.Wake()
		Expect(m.Tick(now)).To(ConsistOf(HaveField("Purpose", savorypin.PurposeHedge)))
		second, _ := m.Placed(now, "b", time.Second)
		_, actions := m.Tokens(now, second, 5, answer(6)[5:])
		Expect(actions).To(ConsistOf(savorypinresume.Action{
			Attempt: slow, Cause: savorypinresume.CauseStalled, Kind: savorypinresume.ActionCancel,
		}))
	})

	It("judges nothing by the time in which it was paused itself", func() {
		now := time.Unix(0, 0)
		m := newMachine(savorypin.ResumeLatency)
		m.Begin()
		id, _ := m.Placed(now, "a", time.Second)
		m.Tokens(now, id, 0, answer(5))
		Expect(m.Tick(now.Add(time.Minute / 2))).To(BeEmpty())
		Expect(m.Holds(id)).To(BeTrue())
	})

	It("ends when another entry has taken over", func() {
		m := newMachine(savorypin.ResumeLatency)
		m.Begin()
		id, _ := m.Placed(time.Unix(0, 0), "a", time.Second)
		m.Failed(time.Unix(0, 0), id, savorypinresume.CauseSuperseded, nil)
		Expect(savorypin.KindOf(m.End().Err)).To(Equal(savorypin.KindConflict))
	})
})

func BenchmarkResume(b *testing.B) {
	faults := []fault{faultBlackhole, faultCut, faultEngine, faultHost, faultPause, faultStall}
	for _, f := range faults {
		at := faultAt{at: 2 * time.Second, endpoint: -1, fault: f, lasts: time.Minute}
		b.Run(string(f), func(b *testing.B) {
			for b.Loop() {
				twin := newWorld((&naive{}).decider(), at)
				twin.run(worldLimit, func() {})
				for _, policy := range policies {
					var w *world
					m := newSilentMachine(policy, func(id savorypin.AttemptID) bool { return w.silent(id) })
					w = newWorld(machineDecider(m), at)
					w.run(worldLimit, func() {})
					b.ReportMetric(float64(w.stretch().Milliseconds()), string(policy)+"-ms")
					b.ReportMetric(float64(w.extra()), string(policy)+"-extra-tokens")
				}
				b.ReportMetric(float64(twin.stretch().Milliseconds()), "naive-ms")
				b.ReportMetric(float64(twin.extra()), "naive-extra-tokens")
			}
		})
	}
}
