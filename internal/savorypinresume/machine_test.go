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
	answerLength = 400
	deadline     = time.Minute
)

var policies = []savorypin.ResumePolicy{savorypin.ResumeFrugal, savorypin.ResumeLatency}

// newMachine returns a machine for a simulation.
func newMachine(policy savorypin.ResumePolicy) *savorypinresume.Machine {
	return newMachineDetectingSilence(policy, nil)
}

// newMachineDetectingSilence returns a machine that detects silent connections by
// isSilent.
func newMachineDetectingSilence(policy savorypin.ResumePolicy, isSilent func(savorypin.AttemptID) bool) *savorypinresume.Machine {
	return savorypinresume.NewMachine(savorypinresume.MachineConfig{
		Deadline: time.Unix(1_000_000, 0).Add(deadline),
		Limits:   savorypinresume.DefaultLimits(),
		Object:   "generation",
		Policy:   policy,
		IsSilent: isSilent,
		Term:     1,
	})
}

// newSimulation returns a simulation with four hosts.
func newSimulation(c controller, faults ...scheduledFault) *simulation {
	slices.SortStableFunc(faults, func(a, b scheduledFault) int { return cmp.Compare(a.at, b.at) })
	return &simulation{controller: c, faults: faults, tokenInterval: 10 * time.Millisecond, hosts: make([]host, 4), length: answerLength}
}

// longestGap returns the longest time between two deliveries of new tokens.
func (sim *simulation) longestGap() time.Duration {
	longest := time.Duration(0)
	for i := 1; i < len(sim.deliveredAt); i++ {
		longest = max(longest, sim.deliveredAt[i].Sub(sim.deliveredAt[i-1]))
	}
	return longest
}

// extraTokens returns the number of tokens computed beyond those of a run without
// faults.
func (sim *simulation) extraTokens() int {
	return sim.computed - sim.length
}

// drawFaults draws a schedule of faults in which at least one host has none.
func drawFaults(t *rapid.T) []scheduledFault {
	var faults []scheduledFault
	for i := range rapid.IntRange(0, 6).Draw(t, "faults") {
		f := scheduledFault{
			at:       time.Duration(rapid.IntRange(0, 6000).Draw(t, fmt.Sprintf("at%d", i))) * time.Millisecond,
			endpoint: rapid.IntRange(0, 2).Draw(t, fmt.Sprintf("endpoint%d", i)),
			fault: rapid.SampledFrom([]fault{faultBlackhole, faultReset, faultEngine, faultHost, faultPause, faultStall}).
				Draw(t, fmt.Sprintf("fault%d", i)),
			duration: time.Duration(rapid.IntRange(100, 5000).Draw(t, fmt.Sprintf("lasts%d", i))) * time.Millisecond,
		}
		if f.fault == faultEngine || f.fault == faultHost {
			f.duration = 0
		}
		faults = append(faults, f)
	}
	return faults
}

// checkLog checks that the log consists of tokens that its last attempt has, and that
// no token has changed since it was first seen.
func checkLog(t *rapid.T, sim *simulation, m *savorypinresume.Machine, seen *[]savorypin.Token) {
	tokens := m.Log().Tokens(0)
	if len(tokens) == 0 {
		return
	}
	last := sim.find(m.Log().Tail())
	if len(last.tokens) < len(tokens) || !slices.Equal(last.tokens[:len(tokens)], tokens) {
		t.Fatalf("the log differs from the tokens of attempt %s", last.id)
	}
	if len(tokens) < len(*seen) || !slices.Equal(tokens[:len(*seen)], *seen) {
		t.Fatalf("some of the first %d tokens have changed", len(*seen))
	}
	*seen = tokens
}

// checkAttemptIDs checks that no attempt id is used twice.
func checkAttemptIDs(t *rapid.T, sim *simulation) {
	ids := map[savorypin.AttemptID]bool{}
	for _, a := range sim.attempts {
		if ids[a.id] {
			t.Fatalf("attempt %s was made twice", a.id)
		}
		ids[a.id] = true
	}
}

var _ = Describe("Machine", func() {
	for _, policy := range policies {
		It("never mixes, loses or repeats tokens with policy "+string(policy), func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				var sim *simulation
				m := newMachineDetectingSilence(policy, func(id savorypin.AttemptID) bool { return sim.isSilent(id) })
				sim = newSimulation(machineController(m), drawFaults(t)...)
				sim.distinctTokens = true
				sim.noise = 0.05
				sim.rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "noise"), 1))
				var seen []savorypin.Token
				sim.run(2*deadline, func() { checkLog(t, sim, m, &seen) })
				checkAttemptIDs(t, sim)
				if m.End() == nil {
					t.Fatalf("not ended after %d tokens", m.Log().Len())
				}
				if m.End().Err == nil && m.Log().Len() != answerLength {
					t.Fatalf("ended without an error after %d tokens", m.Log().Len())
				}
				if savorypin.KindOf(m.End().Err) == savorypin.KindNotRun && m.End().Err != nil && sim.computed > 0 {
					t.Fatalf("ended as not run although %d tokens were computed", sim.computed)
				}
			})
		})

		It("gives the same answer as the naive baseline with policy "+string(policy), func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				faults := drawFaults(t)
				m := newMachine(policy)
				sim := newSimulation(machineController(m), faults...)
				sim.run(deadline, func() {})
				baseline := &naive{}
				baselineSim := newSimulation(baseline.controller(), faults...)
				baselineSim.run(deadline, func() {})
				if m.End() == nil || m.End().Err != nil || baseline.ended == nil {
					t.Skip("the machine or the baseline gave up")
				}
				if !slices.Equal(m.Log().Tokens(0), baseline.tokens) {
					t.Fatalf("%d tokens differ from the %d of the baseline", m.Log().Len(), len(baseline.tokens))
				}
			})
		})
	}

	for _, tc := range []struct {
		fault fault
		// frugal and latency are the maximum numbers of extra tokens by policy.
		frugal, latency int
		duration        time.Duration
		maxGap          time.Duration
	}{
		{faultBlackhole, 0, 0, time.Minute, 2 * time.Second},
		{faultReset, 0, 0, time.Minute, time.Second},
		{faultEngine, answerLength, answerLength, 0, time.Second},
		{faultHost, answerLength, answerLength, 0, 2 * time.Second},
		{faultPause, answerLength, answerLength, time.Minute, 2 * time.Second},
		{faultStall, answerLength, answerLength, time.Minute, 4 * time.Second},
	} {
		for _, policy := range policies {
			It(fmt.Sprintf("continues in time after %s with policy %s", tc.fault, policy), func() {
				var sim *simulation
				m := newMachineDetectingSilence(policy, func(id savorypin.AttemptID) bool { return sim.isSilent(id) })
				sim = newSimulation(machineController(m), scheduledFault{at: 2 * time.Second, endpoint: -1, fault: tc.fault, duration: tc.duration})
				sim.run(deadline, func() {})
				Expect(m.End()).NotTo(BeNil())
				Expect(m.End().Err).NotTo(HaveOccurred())
				// Time is virtual, so the longest gap is deterministic.
				Expect(sim.longestGap()).To(BeNumerically("<=", tc.maxGap))
				extra := map[savorypin.ResumePolicy]int{savorypin.ResumeFrugal: tc.frugal, savorypin.ResumeLatency: tc.latency}
				Expect(sim.extraTokens()).To(BeNumerically("<=", extra[policy]))
			})
		}
	}

	for _, policy := range policies {
		It("continues in time although the next engine stalls, with policy "+string(policy), func() {
			m := newMachine(policy)
			sim := newSimulation(machineController(m), scheduledFault{at: 2 * time.Second, endpoint: -1, fault: faultEngine})
			sim.hosts[1].stalled = true
			sim.run(deadline, func() {})
			Expect(m.End()).NotTo(BeNil())
			Expect(m.End().Err).NotTo(HaveOccurred())
			Expect(sim.longestGap()).To(BeNumerically("<=", 4*time.Second))
		})
	}

	It("limits the number of engines that a request can crash", func() {
		m := newMachine(savorypin.ResumeFrugal)
		sim := newSimulation(machineController(m))
		sim.hosts = make([]host, 20)
		sim.run(deadline, func() {
			for _, a := range sim.attempts {
				sim.hosts[a.host].engineCrashed = len(a.tokens) > a.base
			}
		})
		Expect(savorypin.KindOf(m.End().Err)).To(Equal(savorypin.KindIncomplete))
		Expect(len(sim.attempts)).To(Equal(savorypinresume.DefaultLimits().MaxFailures))
	})

	It("ends as not run if no endpoint starts the generation", func() {
		m := newMachine(savorypin.ResumeFrugal)
		sim := newSimulation(machineController(m))
		for i := range sim.hosts {
			sim.hosts[i].crashed = true
		}
		sim.run(deadline, func() {})
		Expect(savorypin.KindOf(m.End().Err)).To(Equal(savorypin.KindNotRun))
		Expect(sim.computed).To(BeZero())
	})

	It("waits for an endpoint until the deadline and then ends as incomplete", func() {
		m := newMachine(savorypin.ResumeFrugal)
		sim := newSimulation(machineController(m))
		sim.run(2*deadline, func() {
			if m.Log().Len() > 100 {
				for i := range sim.hosts {
					sim.hosts[i].crashed = true
				}
			}
		})
		Expect(savorypin.KindOf(m.End().Err)).To(Equal(savorypin.KindIncomplete))
		Expect(sim.now.Sub(sim.started)).To(BeNumerically("~", deadline, 2*simStep))
	})

	It("cancels a suspected attempt as stalled once a second one extends the log", func() {
		now := time.Unix(0, 0)
		m := newMachine(savorypin.ResumeLatency)
		m.Begin()
		slow, _ := m.Placed(now, "a", time.Second)
		m.Tokens(now, slow, 0, answer(5))
		now = m.NextTick()
		Expect(m.Tick(now)).To(ConsistOf(HaveField("Purpose", savorypin.PurposeHedge)))
		second, _ := m.Placed(now, "b", time.Second)
		_, actions := m.Tokens(now, second, 5, answer(6)[5:])
		Expect(actions).To(ConsistOf(savorypinresume.Action{
			Attempt: slow, Cause: savorypinresume.CauseStalled, Kind: savorypinresume.ActionCancel,
		}))
	})

	It("does not suspect attempts for the time in which the daemon was paused", func() {
		now := time.Unix(0, 0)
		m := newMachine(savorypin.ResumeLatency)
		m.Begin()
		id, _ := m.Placed(now, "a", time.Second)
		m.Tokens(now, id, 0, answer(5))
		Expect(m.Tick(now.Add(time.Minute / 2))).To(BeEmpty())
		Expect(m.IsOpen(id)).To(BeTrue())
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
	faults := []fault{faultBlackhole, faultReset, faultEngine, faultHost, faultPause, faultStall}
	for _, f := range faults {
		scheduled := scheduledFault{at: 2 * time.Second, endpoint: -1, fault: f, duration: time.Minute}
		b.Run(string(f), func(b *testing.B) {
			for b.Loop() {
				baselineSim := newSimulation((&naive{}).controller(), scheduled)
				baselineSim.run(deadline, func() {})
				for _, policy := range policies {
					var sim *simulation
					m := newMachineDetectingSilence(policy, func(id savorypin.AttemptID) bool { return sim.isSilent(id) })
					sim = newSimulation(machineController(m), scheduled)
					sim.run(deadline, func() {})
					b.ReportMetric(float64(sim.longestGap().Milliseconds()), string(policy)+"-ms")
					b.ReportMetric(float64(sim.extraTokens()), string(policy)+"-extra-tokens")
				}
				b.ReportMetric(float64(baselineSim.longestGap().Milliseconds()), "naive-ms")
				b.ReportMetric(float64(baselineSim.extraTokens()), "naive-extra-tokens")
			}
		})
	}
}
