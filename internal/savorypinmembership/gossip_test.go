package savorypinmembership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
)

// newGossip returns the Gossip of an entry and the time that its clock returns.
func newGossip() (*savorypinmembership.Gossip, *time.Time) {
	now := time.Unix(1_800_000_000, 0)
	g := savorypinmembership.NewGossip(savorypinmembership.GossipConfig{
		Incarnation: 5,
		Name:        "self",
		Now:         func() time.Time { return now },
		Rand:        func(int) int { return 0 },
		Self: func() savorypin.MemberState {
			return savorypin.MemberState{Address: "self:1", Name: "self", Region: "r", Role: savorypin.RoleEntry}
		},
		Synced: func() bool { return true },
	})
	g.Tick()
	return g, &now
}

func update(name string, incarnation int64, sequence uint64, health savorypinmembership.Health) savorypinmembership.Update {
	return savorypinmembership.Update{
		Health:      health,
		Incarnation: incarnation,
		Name:        name,
		Sequence:    sequence,
		State: &savorypin.MemberState{
			Address:     name + ":1",
			Incarnation: incarnation,
			Name:        name,
			Region:      "r",
			Sequence:    sequence,
		},
	}
}

// deliver passes updates to a Gossip as if a peer had sent them.
func deliver(g *savorypinmembership.Gossip, updates ...savorypinmembership.Update) savorypinmembership.Message {
	answer, _ := g.HandleRequest(savorypinmembership.Message{From: "peer", Updates: updates})
	return answer
}

var _ = Describe("Gossip", func() {
	It("converges to the newest record in any order of arrival", func() {
		healths := []savorypinmembership.Health{
			savorypinmembership.HealthLive, savorypinmembership.HealthSuspect,
		}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var updates []savorypinmembership.Update
			newestByName := map[string]savorypinmembership.Update{}
			for range rapid.IntRange(1, 30).Draw(t, "updates") {
				u := update(
					rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
					rapid.Int64Range(1, 3).Draw(t, "incarnation"),
					rapid.Uint64Range(1, 4).Draw(t, "sequence"),
					rapid.SampledFrom(healths).Draw(t, "health"))
				updates = append(updates, u)
				newest, ok := newestByName[u.Name]
				if !ok || fmt.Sprint(u.Incarnation, u.Sequence, u.Health) > fmt.Sprint(newest.Incarnation, newest.Sequence, newest.Health) {
					newestByName[u.Name] = u
				}
			}
			g, now := newGossip()
			for _, u := range rapid.Permutation(append(updates, updates...)).Draw(t, "order") {
				deliver(g, u)
			}
			*now = now.Add(savorypinmembership.TickInterval)
			g.Tick()
			for name, want := range newestByName {
				m, _ := g.View().Get(name)
				if m.State().Incarnation != want.Incarnation || m.State().Sequence != want.Sequence || m.Health() != want.Health {
					t.Fatalf("%s is %s at %d/%d, want %s at %d/%d", name, m.Health(), m.State().Incarnation,
						m.State().Sequence, want.Health, want.Incarnation, want.Sequence)
				}
			}
		})
	})

	for _, tc := range []struct {
		name            string
		update          savorypinmembership.Update
		wantIncarnation int64
		wantSequence    uint64
	}{
		{"a suspicion by increasing its sequence", update("self", 5, 1, savorypinmembership.HealthSuspect), 5, 2},
		{"a suspicion of a later sequence by exceeding it", update("self", 5, 9, savorypinmembership.HealthDead), 5, 10},
		{"a record of a later incarnation by exceeding it", update("self", 8, 3, savorypinmembership.HealthLive), 9, 1},
		{"a suspicion of an earlier incarnation by ignoring it", update("self", 4, 9, savorypinmembership.HealthDead), 5, 1},
	} {
		It("handles "+tc.name, func() {
			g, _ := newGossip()
			deliver(g, tc.update)
			Expect(g.Self().Incarnation).To(Equal(tc.wantIncarnation))
			Expect(g.Self().Sequence).To(Equal(tc.wantSequence))
		})
	}

	It("informs a member that it is suspected", func() {
		g, _ := newGossip()
		deliver(g, update("a", 1, 1, savorypinmembership.HealthSuspect))
		answer, _ := g.HandleRequest(savorypinmembership.Message{From: "a"})
		Expect(answer.Updates).To(ContainElement(And(
			HaveField("Name", "a"), HaveField("Health", savorypinmembership.HealthSuspect))))
	})

	It("keeps a dead member for more than an hour, and one that has left for a few minutes", func() {
		g, now := newGossip()
		left := update("b", 1, 1, savorypinmembership.HealthLive)
		left.State.Draining = true
		deliver(g, update("a", 1, 1, savorypinmembership.HealthLive), left)
		left.Health = savorypinmembership.HealthDead
		deliver(g, update("a", 1, 1, savorypinmembership.HealthDead), left)
		membersAfter := func(d time.Duration) []string {
			for end := now.Add(d); now.Before(end); {
				*now = now.Add(savorypinmembership.TickInterval)
				g.Tick()
			}
			var names []string
			for _, m := range g.View().All() {
				names = append(names, m.State().Name)
			}
			return names
		}
		Expect(membersAfter(4 * time.Minute)).To(Equal([]string{"a", "b", "self"}))
		Expect(membersAfter(time.Hour)).To(Equal([]string{"a", "self"}))
		Expect(membersAfter(time.Hour)).To(Equal([]string{"self"}))
	})

	It("shows a reported load until a newer report or a restart of the member", func() {
		g, now := newGossip()
		u := update("a", 1, 1, savorypinmembership.HealthLive)
		u.State.Endpoints = []savorypin.EndpointState{{Name: "e", Slots: 8}}
		deliver(g, u)
		running := func() int {
			*now = now.Add(savorypinmembership.TickInterval)
			g.Tick()
			m, _ := g.View().Get("a")
			return m.State().Endpoints[0].Running
		}
		report := func(incarnation int64, number uint64, running int) {
			g.ReceiveReport(savorypinmembership.Report{
				Endpoints:   []savorypinmembership.EndpointLoad{{Name: "e", Healthy: true, Running: running}},
				From:        "a",
				Incarnation: incarnation,
				Number:      number,
			})
		}
		report(1, 2, 5)
		Expect(running()).To(Equal(5))
		report(1, 1, 3)
		Expect(running()).To(Equal(5), "a report that arrives out of order is ignored")
		report(2, 9, 7)
		Expect(running()).To(Equal(5), "a report of another incarnation is ignored")
		u.Incarnation = 2
		u.State.Incarnation = 2
		deliver(g, u)
		Expect(running()).To(Equal(0))
	})
})
