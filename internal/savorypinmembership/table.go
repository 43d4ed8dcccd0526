// Package savorypinmembership decides who is a live member. Members speak for
// themselves by incarnation and sequence; whoever has not been heard of for a
// while is suspected and then taken as dead.
package savorypinmembership

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// Health is what this daemon thinks of a member.
type Health string

// The healths of members.
const (
	// HealthDead means that the member has not been heard of for long.
	HealthDead Health = "dead"
	// HealthLive means that the member was heard of lately.
	HealthLive Health = "live"
	// HealthSuspect means that the member was not heard of lately.
	HealthSuspect Health = "suspect"
)

// Config configures a Table.
type Config struct {
	// DeadAfter is the silence after which a member is taken as dead.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which a member is forgotten.
	ForgetAfter time.Duration
	// Now is the clock.
	Now func() time.Time
	// SuspectAfter is the silence after which a member is suspected.
	SuspectAfter time.Duration
}

// Member is what the table holds of a member.
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

// State returns the newest state of the member.
func (m Member) State() savorypin.MemberState {
	return m.state
}

// Usable reports whether the member may be given new work.
func (m Member) Usable() bool {
	return m.health == HealthLive && !m.state.Draining
}

// Table is the list of members. Readers take a View without a lock.
type Table struct {
	cfg  Config
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// View is one state of the table. It never changes.
type View struct {
	members map[string]Member
}

// NewTable returns a table without members.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg}
	t.view.Store(&View{members: map[string]Member{}})
	return t
}

// Merge takes over the states that are newer than those held and returns them.
func (t *Table) Merge(states ...savorypin.MemberState) []savorypin.MemberState {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := maps.Clone(t.view.Load().members)
	var changed []savorypin.MemberState
	for _, s := range states {
		held, ok := members[s.Name]
		if ok && !s.Newer(held.state) {
			continue
		}
		members[s.Name] = Member{health: HealthLive, heard: t.cfg.Now(), state: s}
		changed = append(changed, s)
	}
	if len(changed) > 0 {
		t.view.Store(&View{members: members})
	}
	return changed
}

// Tick ages all members but self and forgets those that have long been dead.
func (t *Table) Tick(self string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := maps.Clone(t.view.Load().members)
	for name, m := range members {
		if name == self {
			continue
		}
		silence := t.cfg.Now().Sub(m.heard)
		switch {
		case silence > t.cfg.ForgetAfter:
			delete(members, name)
			continue
		case silence > t.cfg.DeadAfter:
			m.health = HealthDead
		case silence > t.cfg.SuspectAfter:
			m.health = HealthSuspect
		default:
			m.health = HealthLive
		}
		members[name] = m
	}
	t.view.Store(&View{members: members})
}

// View returns the state of the table.
func (t *Table) View() *View {
	return t.view.Load()
}

// All returns all members, sorted by name.
func (v *View) All() []Member {
	all := make([]Member, 0, len(v.members))
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		all = append(all, v.members[name])
	}
	return all
}

// Get returns the member of a name.
func (v *View) Get(name string) (Member, bool) {
	m, ok := v.members[name]
	return m, ok
}
