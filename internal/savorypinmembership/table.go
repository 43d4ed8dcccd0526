package savorypinmembership

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// NaiveTableConfig configures a NaiveTable.
type NaiveTableConfig struct {
	// DeadAfter is the time without a new state after which a member is dead.
	DeadAfter time.Duration
	// ForgetAfter is the time without a new state after which a member is removed.
	ForgetAfter time.Duration
	// Now returns the current time.
	Now func() time.Time
	// SuspectAfter is the time without a new state after which a member is suspected.
	SuspectAfter time.Duration
}

// NaiveTable is a naive implementation of membership: every daemon sends all its states to every
// other one, and each applies timeouts to all. Daemons use Gossip; NaiveTable is the baseline for
// measurements.
type NaiveTable struct {
	cfg  NaiveTableConfig
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// NewNaiveTable returns a table without members.
func NewNaiveTable(cfg NaiveTableConfig) *NaiveTable {
	t := &NaiveTable{cfg: cfg}
	t.view.Store(newView(map[string]Member{}))
	return t
}

// Merge stores the states that are newer than the stored ones and returns them.
func (t *NaiveTable) Merge(states ...savorypin.MemberState) []savorypin.MemberState {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := maps.Clone(t.view.Load().members)
	var changed []savorypin.MemberState
	for _, s := range states {
		stored, ok := members[s.Name]
		if ok && !s.Newer(stored.state) {
			continue
		}
		members[s.Name] = Member{health: HealthLive, receivedAt: t.cfg.Now(), state: s}
		changed = append(changed, s)
	}
	if len(changed) > 0 {
		t.view.Store(newView(members))
	}
	return changed
}

// Tick updates the health of all members but self and removes those without a new state for
// longer than ForgetAfter.
func (t *NaiveTable) Tick(self string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := maps.Clone(t.view.Load().members)
	for name, m := range members {
		if name == self {
			continue
		}
		age := t.cfg.Now().Sub(m.receivedAt)
		switch {
		case age > t.cfg.ForgetAfter:
			delete(members, name)
			continue
		case age > t.cfg.DeadAfter:
			m.health = HealthDead
		case age > t.cfg.SuspectAfter:
			m.health = HealthSuspect
		default:
			m.health = HealthLive
		}
		members[name] = m
	}
	t.view.Store(newView(members))
}

// View returns the current members.
func (t *NaiveTable) View() *View {
	return t.view.Load()
}
