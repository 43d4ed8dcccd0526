// Package savorypinmembership decides who is a live member. Members speak for
// themselves by incarnation and sequence. Each is watched by a few others of
// its region; what they find, and what members say of themselves, spreads by
// gossip inside a region and by a few relays between regions.
//
// Gossip is a state machine: messages and ticks go in, messages come out. It
// has neither sockets nor a clock of its own.
package savorypinmembership

import (
	"maps"
	"slices"
	"time"

	"savorypin/internal/savorypin"
)

// Health is what this daemon thinks of a member.
type Health string

// The healths of members.
const (
	// HealthDead means that the member has been suspected for long.
	HealthDead Health = "dead"
	// HealthLive means that nobody suspects the member.
	HealthLive Health = "live"
	// HealthSuspect means that the member does not answer.
	HealthSuspect Health = "suspect"
)

// Member is what is held of a member.
type Member struct {
	health Health
	heard  time.Time
	state  savorypin.MemberState
}

// Health returns what this daemon thinks of the member.
func (m Member) Health() Health {
	return m.health
}

// Heard returns when the newest state of the member arrived.
func (m Member) Heard() time.Time {
	return m.heard
}

// Left reports whether the member has ended after it said that it would.
func (m Member) Left() bool {
	return m.health == HealthDead && m.state.Draining
}

// State returns the newest state of the member.
func (m Member) State() savorypin.MemberState {
	return m.state
}

// Usable reports whether the member may be given new work.
func (m Member) Usable() bool {
	return m.health == HealthLive && !m.state.Draining
}

// View is one state of the members. It never changes.
type View struct {
	members map[string]Member
	sorted  []Member
}

func newView(members map[string]Member) *View {
	return newSortedView(members, slices.Sorted(maps.Keys(members)))
}

// newSortedView returns a view of members whose sorted names are known.
func newSortedView(members map[string]Member, names []string) *View {
	v := &View{members: members, sorted: make([]Member, 0, len(members))}
	for _, name := range names {
		v.sorted = append(v.sorted, members[name])
	}
	return v
}

// All returns all members, sorted by name. The slice must not be changed.
func (v *View) All() []Member {
	return v.sorted
}

// Get returns the member of a name.
func (v *View) Get(name string) (Member, bool) {
	m, ok := v.members[name]
	return m, ok
}
