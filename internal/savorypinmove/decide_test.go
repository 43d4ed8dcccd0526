package savorypinmove_test

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinmove"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// moveAt returns a move from version a to b, begun at noon, with its deadline an hour
// later.
func moveAt(name string, state savorypin.MoveState, epoch int64, share float64) savorypinconfig.Move {
	return savorypinconfig.Move{
		Name: name,
		Spec: savorypin.MoveSpec{By: noon.Add(time.Hour), From: "a", Service: "s", To: "b"},
		Status: savorypin.MoveStatus{
			At: noon, Begun: noon, Epoch: epoch, Share: share, State: state,
		},
		Version: 9,
	}
}

func modified(m savorypinconfig.Move, change func(*savorypinconfig.Move)) savorypinconfig.Move {
	change(&m)
	return m
}

// snapshotOf returns a snapshot with the service s on version a, and the moves.
func snapshotOf(moves ...savorypinconfig.Move) *savorypinconfig.Snapshot {
	store := savorypinconfig.NewStore()
	put := func(kind savorypin.Kind, name string, spec, status any) {
		specData, _ := json.Marshal(spec)
		statusData, _ := json.Marshal(status)
		store.Apply(savorypin.Object{Key: savorypin.Key{Kind: kind, Name: name}, Spec: specData, Status: statusData, Version: 1})
	}
	put(savorypin.KindService, "s", savorypin.ServiceSpec{Version: "a"}, nil)
	for _, m := range moves {
		put(savorypin.KindMove, m.Name, m.Spec, m.Status)
	}
	return store.Snapshot()
}

var _ = Describe("TrafficWithRejections", func() {
	moveBack := modified(moveAt("m2", savorypin.MoveDone, 5, 1), func(m *savorypinconfig.Move) { m.Spec.From, m.Spec.To = "b", "a" })
	firstMove := modified(moveAt("m1", savorypin.MoveDone, 3, 1), func(m *savorypinconfig.Move) { m.Spec.By = noon.Add(9 * time.Hour) })
	for _, tc := range []struct {
		name     string
		moves    []savorypinconfig.Move
		rejected bool
		current  string
		share    float64
	}{
		{"a done move", []savorypinconfig.Move{moveAt("m", savorypin.MoveDone, 3, 1)}, false, "b", 1},
		{"a done move that is rejected", []savorypinconfig.Move{moveAt("m", savorypin.MoveDone, 3, 1)}, true, "a", 0},
		{"a move and a later one back, by epoch rather than deadline", []savorypinconfig.Move{moveBack, firstMove}, false, "a", 1},
		{"a move rolled back after the service's spec was set to its new version", []savorypinconfig.Move{modified(moveAt("m", savorypin.MoveRolledBack, 3, 0), func(m *savorypinconfig.Move) { m.Spec.From, m.Spec.To = "b", "a" })}, false, "b", 0},
		{"a pending move", []savorypinconfig.Move{moveAt("m", savorypin.MovePending, 0, 0)}, false, "a", 0},
		{"a running move", []savorypinconfig.Move{moveAt("m", savorypin.MoveRunning, 3, 0.2)}, false, "a", 0.2},
		{"a running move that is rejected", []savorypinconfig.Move{moveAt("m", savorypin.MoveRunning, 3, 0.2)}, true, "a", 0},
		{"no move", nil, false, "a", 0},
	} {
		It("applies "+tc.name, func() {
			t := savorypinmove.TrafficWithRejections(snapshotOf(tc.moves...), "s", func(savorypinmove.Key) bool { return tc.rejected })
			Expect(t.Current()).To(Equal(tc.current))
			Expect(t.Share()).To(Equal(tc.share))
		})
	}
})

var _ = Describe("Traffic", func() {
	It("keeps the old version of a done move until the service's spec names the new one", func() {
		done := moveAt("m", savorypin.MoveDone, 3, 1)
		Expect(savorypinmove.TrafficOf(snapshotOf(done), "s").Versions()).To(ConsistOf("a", "b"))
		done.Spec.From, done.Spec.To = "b", "a"
		Expect(savorypinmove.TrafficOf(snapshotOf(done), "s").Versions()).To(ConsistOf("a"))
	})
})

var _ = Describe("Decide", func() {
	hold := func(m *savorypinconfig.Move) { m.Spec.Action = savorypin.MoveHold }
	rollback := func(m *savorypinconfig.Move) { m.Spec.Action = savorypin.MoveRollback }
	running := moveAt("m", savorypin.MoveRunning, 3, 0.1)
	done := moveAt("m", savorypin.MoveDone, 3, 1)
	pending := moveAt("m", "", 0, 0)
	for _, tc := range []struct {
		name     string
		moves    []savorypinconfig.Move
		now      time.Duration
		finding  savorypinmove.Finding
		attempts int
		state    savorypin.MoveState
		share    float64
		reason   string
	}{
		{"a bad version", []savorypinconfig.Move{running}, time.Minute, savorypinmove.FindingBad, 20, savorypin.MoveRolledBack, 0, "worse"},
		{"a bad version after done", []savorypinconfig.Move{done}, time.Minute, savorypinmove.FindingBad, 20, savorypin.MoveRolledBack, 0, "after the move was done"},
		{"a conflict", []savorypinconfig.Move{modified(pending, func(m *savorypinconfig.Move) { m.Spec.From = "c" })}, 0, savorypinmove.FindingFine, 0, savorypin.MovePending, 0, "conflict"},
		{"a version that may be worse", []savorypinconfig.Move{running}, 50 * time.Minute, savorypinmove.FindingCaution, 900, savorypin.MoveRunning, 0.1, "share kept"},
		{"a held move", []savorypinconfig.Move{modified(running, hold)}, 50 * time.Minute, savorypinmove.FindingFine, 900, savorypin.MovePaused, 0.1, "held"},
		{"a held move whose version is bad", []savorypinconfig.Move{modified(running, hold)}, 50 * time.Minute, savorypinmove.FindingBad, 900, savorypin.MoveRolledBack, 0, "worse"},
		{"a move near its deadline", []savorypinconfig.Move{modified(running, func(m *savorypinconfig.Move) { m.Status.Share = 0.7 })}, 55 * time.Minute, savorypinmove.FindingFine, 900, savorypin.MoveDone, 1, "all traffic"},
		{"a move at its deadline with few attempts", []savorypinconfig.Move{running}, time.Hour, savorypinmove.FindingFine, 30, savorypin.MoveDone, 1, "30 attempts only"},
		{"a move at its deadline with too few attempts", []savorypinconfig.Move{running}, time.Hour, savorypinmove.FindingFine, 3, savorypin.MoveRunning, 0.1, "too little traffic"},
		{"a move with few attempts", []savorypinconfig.Move{running}, 50 * time.Minute, savorypinmove.FindingFine, 30, savorypin.MoveRunning, 0.2, "limited by the number"},
		{"a move without new attempts since its share changed", []savorypinconfig.Move{modified(running, func(m *savorypinconfig.Move) { m.Status.Requests = 890 })}, 50 * time.Minute, savorypinmove.FindingFine, 900, savorypin.MoveRunning, 0.1, "limited by the number"},
		{"a move whose new evaluator counts from 0", []savorypinconfig.Move{modified(running, func(m *savorypinconfig.Move) { m.Status.Requests = 9000 })}, 50 * time.Minute, savorypinmove.FindingFine, 900, savorypin.MoveRunning, 0.2, ""},
		{"a move that is sped up", []savorypinconfig.Move{modified(running, func(m *savorypinconfig.Move) { m.Spec.MinShare = 0.5 })}, 0, savorypinmove.FindingFine, 0, savorypin.MoveRunning, 0.5, ""},
		{"a move whose new version no endpoint serves", []savorypinconfig.Move{modified(running, func(m *savorypinconfig.Move) { m.Spec.To = "gone" })}, time.Hour, savorypinmove.FindingFine, 900, savorypin.MoveRunning, 0.1, "no endpoint"},
		{"a new move", []savorypinconfig.Move{pending}, 0, savorypinmove.FindingFine, 0, savorypin.MoveRunning, 0.01, "first requests"},
		{"a rollback", []savorypinconfig.Move{modified(running, rollback)}, 0, savorypinmove.FindingFine, 0, savorypin.MoveRolledBack, 0, "operator"},
		{"a rollback after done", []savorypinconfig.Move{modified(done, rollback)}, time.Minute, savorypinmove.FindingFine, 0, savorypin.MoveRolledBack, 0, "operator"},
		{"a rollback long after done", []savorypinconfig.Move{modified(done, rollback)}, time.Hour, savorypinmove.FindingFine, 0, savorypin.MoveDone, 1, ""},
		{"a second move", []savorypinconfig.Move{pending, modified(running, func(m *savorypinconfig.Move) { m.Name = "other" })}, 0, savorypinmove.FindingFine, 0, savorypin.MovePending, 0, "waits for move other"},
		{"evidence from a single failure domain", []savorypinconfig.Move{running}, 50 * time.Minute, savorypinmove.FindingSuspect, 900, savorypin.MoveRunning, 0.01, "single"},
		{"a move that was rolled back", []savorypinconfig.Move{moveAt("m", savorypin.MoveRolledBack, 3, 0)}, time.Hour, savorypinmove.FindingFine, 900, savorypin.MoveRolledBack, 0, ""},
	} {
		It("decides on "+tc.name, func() {
			status := tc.moves[0].Status
			for _, c := range savorypinmove.Decide(savorypinmove.Input{
				Rejected: func(savorypinmove.Key) (string, bool) { return "", false },
				Judge: func(savorypinmove.Key, bool) savorypinmove.Verdict {
					return savorypinmove.Verdict{Finding: tc.finding, New: tc.attempts}
				},
				Moves:   tc.moves,
				Now:     noon.Add(tc.now),
				Serves:  func(version string) bool { return version != "gone" },
				Version: "a",
			}) {
				if c.Move.Name == "m" {
					status = c.Status
				}
			}
			Expect(status.State).To(Equal(tc.state))
			Expect(status.Share).To(Equal(tc.share))
			Expect(status.Reason).To(ContainSubstring(tc.reason))
		})
	}
})

var _ = Describe("SettledVersion", func() {
	done := moveAt("m", savorypin.MoveDone, 3, 1)
	running := moveAt("n", savorypin.MoveRunning, 9, 0.5)
	for _, tc := range []struct {
		name  string
		moves []savorypinconfig.Move
		after time.Duration
		want  string
		ok    bool
	}{
		{"a done move that is no longer watched", []savorypinconfig.Move{done}, time.Hour, "b", true},
		{"a done move that is still watched", []savorypinconfig.Move{done}, time.Minute, "b", false},
		{"a move under way", []savorypinconfig.Move{done, running}, time.Hour, "", false},
		{"no move", nil, time.Hour, "", false},
	} {
		It("handles "+tc.name, func() {
			version, ok := savorypinmove.SettledVersion(tc.moves, noon.Add(tc.after))
			Expect(ok).To(Equal(tc.ok))
			Expect(version).To(Equal(tc.want))
		})
	}
})

var _ = Describe("RequestSampler", func() {
	It("deviates from the sum of the shares by at most one request, or two after a charge", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
			s := savorypinmove.RequestSampler{Rand: r.Float64}
			sum, selected, limit := 0.0, 0, 1.0
			for _, share := range rapid.SliceOfN(rapid.Float64Range(0, 0.5), 1, 300).Draw(t, "shares") {
				charged := rapid.IntRange(0, 9).Draw(t, "charge") == 0
				if charged && sum-float64(selected) > 1 {
					s.Charge(savorypinmove.Key{})
					selected++
					limit = 2
				}
				sum += share
				if s.Sample(savorypinmove.Key{}, share) {
					selected++
				}
				if math.Abs(float64(selected)-sum) > limit+1e-6 {
					t.Fatalf("%d requests selected, but the shares add up to %f", selected, sum)
				}
			}
		})
	})
})

var _ = Describe("RejectionSet", func() {
	It("keeps the first rejection of a move and ignores repeated ones", func() {
		set := savorypinmove.NewRejectionSet()
		rejection := savorypinmove.Rejection{Move: savorypinmove.Key{Epoch: 3, Name: "m"}, Reason: "first"}
		Expect(set.Merge(rejection, rejection)).To(HaveLen(1))
		Expect(set.Merge(savorypinmove.Rejection{Move: rejection.Move, Reason: "second"})).To(BeEmpty())
		Expect(set.Rejected(rejection.Move)).To(BeTrue())
		Expect(set.Rejected(savorypinmove.Key{Epoch: 4, Name: "m"})).To(BeFalse())
	})
})
