package savorypinmembership

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
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

// Table is the naive list of members: every daemon sends all it knows to
// every other, and each judges the silence of all. Gossip replaced it; it
// stays as the twin that measurements compare with.
type Table struct {
	cfg  Config
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// NewTable returns a table without members.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg}
	t.view.Store(newView(map[string]Member{}))
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
		t.view.Store(newView(members))
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
	t.view.Store(newView(members))
}

// View returns the state of the table.
func (t *Table) View() *View {
	return t.view.Load()
}
