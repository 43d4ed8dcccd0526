// Package savorypinmembership determines which members are live. Each member publishes its own
// state, ordered by incarnation and sequence, and is monitored by a few other members of its
// region. States and findings spread by gossip within a region, and between regions through a
// few relays.
//
// Gossip is a state machine: messages and ticks go in, messages come out. It has neither
// sockets nor a clock of its own.
package savorypinmembership

import (
	"maps"
	"slices"
	"time"

	"savorypin/internal/savorypin"
)

// Health is the health of a member as known to this daemon.
type Health string

// Values of Health.
const (
	// HealthDead means that the member was suspected for too long.
	HealthDead Health = "dead"
	// HealthLive means that the member is not suspected.
	HealthLive Health = "live"
	// HealthSuspect means that the member does not answer, its reports are missing or its region
	// is unreachable.
	HealthSuspect Health = "suspect"
)

// Member is the health and the newest state of a member.
type Member struct {
	health     Health
	receivedAt time.Time
	state      savorypin.MemberState
}

// Health returns the health of the member.
func (m Member) Health() Health {
	return m.health
}

// LastSeen returns when the newest state of the member arrived.
func (m Member) LastSeen() time.Time {
	return m.receivedAt
}

// Left reports whether the member has ended after it announced that it leaves.
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

// View is an immutable snapshot of the members.
type View struct {
	members map[string]Member
	sorted  []Member
}

func newView(members map[string]Member) *View {
	return newSortedView(members, slices.Sorted(maps.Keys(members)))
}

// newSortedView returns a view of members, given their sorted names.
func newSortedView(members map[string]Member, names []string) *View {
	v := &View{members: members, sorted: make([]Member, 0, len(members))}
	for _, name := range names {
		v.sorted = append(v.sorted, members[name])
	}
	return v
}

// All returns all members, sorted by name. The caller must not modify the slice.
func (v *View) All() []Member {
	return v.sorted
}

// Get returns the member with the given name.
func (v *View) Get(name string) (Member, bool) {
	m, ok := v.members[name]
	return m, ok
}
