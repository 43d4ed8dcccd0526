package savorypinmembership

import (
	"cmp"
	"maps"
	"math"
	"reflect"
	"slices"
	"time"

	"savorypin/internal/savorypin"
)

// rateTolerance is the relative change of a measured rate that is news.
const rateTolerance = 0.2

// refreshSelf takes over what the daemon says of itself and returns what has
// to be sent at once: that it leaves.
func (g *Gossip) refreshSelf(now time.Time) []Envelope {
	s := g.cfg.Self()
	g.reporter.current = s
	applied := s.Applied
	slow := withoutLoad(s, g.self)
	slow.Incarnation = g.incarnation
	slow.Sequence = g.sequence
	slow.Applied = g.self.Applied
	changed := g.sequence == 0 || !reflect.DeepEqual(slow, g.self)
	leaves := changed && drained(slow) > drained(g.self)
	if changed {
		g.sequence++
		slow.Sequence = g.sequence
		g.self = slow
	}
	g.self.Applied = applied
	if changed {
		g.putSelf(now)
	}
	r := g.records[g.name]
	r.applied = applied
	r.load.Endpoints = loads(s.Endpoints, true)
	if now.Sub(g.selfShown) >= selfInterval {
		g.selfShown = now
		g.dirty[g.name] = true
	}
	if !leaves {
		return nil
	}
	return g.broadcast(now)
}

// drained counts what takes no new work: the member itself and its endpoints.
func drained(s savorypin.MemberState) int {
	n := 0
	if s.Draining {
		n++
	}
	for _, e := range s.Endpoints {
		if e.Drained {
			n++
		}
	}
	return n
}

func (g *Gossip) putSelf(now time.Time) {
	r, ok := g.records[g.name]
	if !ok {
		r = &record{name: g.name, since: now}
	}
	next := *r
	next.health = HealthLive
	next.heard = now
	next.state = g.self
	next.state.Applied = savorypin.Digest{}
	g.put(&next)
	g.spread(g.name)
}

// broadcast tells the partners and every entry what this daemon says of
// itself.
func (g *Gossip) broadcast(now time.Time) []Envelope {
	updates := []Update{g.update(g.records[g.name], true)}
	var out []Envelope
	told := map[string]bool{}
	for _, r := range g.sorted() {
		if r.state.Role == savorypin.RoleEntry && r.name != g.name && r.health != HealthDead {
			told[r.name] = true
			out = append(out, g.envelope(r.state.Address, r.name, updates, now))
		}
	}
	for _, r := range g.choose(urgentFanout, g.near) {
		if !told[r.name] {
			out = append(out, g.envelope(r.state.Address, r.name, updates, now))
		}
	}
	return out
}

// put stores a record and keeps the hashes right.
func (g *Gossip) put(r *record) {
	b := bucketOf(r.name)
	if old, ok := g.records[r.name]; ok {
		g.buckets[b] -= old.hash()
	}
	g.buckets[b] += r.hash()
	g.records[r.name] = r
	g.dirty[r.name] = true
	g.ringStale = true
}

func (g *Gossip) remove(r *record) {
	g.buckets[bucketOf(r.name)] -= r.hash()
	delete(g.records, r.name)
	g.names = nil
	delete(g.rumours, r.name)
	g.dirty[r.name] = true
	g.ringStale = true
}

// setHealth changes what is thought of a member.
func (g *Gossip) setHealth(r *record, health Health, now time.Time) {
	next := *r
	next.health = health
	next.since = now
	g.put(&next)
}

// merge takes updates over and returns what has to be passed on at once.
func (g *Gossip) merge(m Message, now time.Time) []Envelope {
	var urgent []Update
	for _, u := range m.Updates {
		if u.Name == g.name {
			if g.refute(u, now) {
				urgent = append(urgent, g.update(g.records[g.name], true))
			}
			continue
		}
		if g.take(u, !m.Bulk, now) {
			urgent = append(urgent, u)
		}
	}
	if len(urgent) == 0 {
		return nil
	}
	g.urgent = true
	return g.forward(urgent[:min(len(urgent), statesPerSync)], m.From, now)
}

// take takes one update over, spreads it if wanted, and reports whether it is
// urgent news.
func (g *Gossip) take(u Update, spread bool, now time.Time) bool {
	held, ok := g.records[u.Name]
	if !ok {
		if u.State == nil || u.Health == HealthDead {
			return false
		}
		g.put(&record{health: u.Health, heard: now, name: u.Name, since: now, state: *u.State})
		if spread {
			g.spread(u.Name)
		}
		return spread && u.State.Draining
	}
	if !u.supersedes(held) {
		return false
	}
	next := *held
	if u.State != nil {
		next.state = *u.State
	} else if u.Incarnation != held.state.Incarnation || u.Sequence != held.state.Sequence {
		return false
	}
	if u.Incarnation != held.state.Incarnation {
		next.load = Report{}
		next.number = 0
		next.reported = time.Time{}
	}
	if u.Health != held.health {
		next.since = now
	}
	next.health = u.Health
	next.heard = now
	g.put(&next)
	if spread && u.Health != HealthDead {
		g.spread(u.Name)
	}
	return u.Health == HealthSuspect || held.health != next.health || drained(next.state) != drained(held.state)
}

// supersedes reports whether u is news to the holder of a record. The member's
// own word wins by sequence; of one sequence, the worse health wins.
func (u Update) supersedes(r *record) bool {
	return cmp.Or(
		cmp.Compare(u.Incarnation, r.state.Incarnation),
		cmp.Compare(u.Sequence, r.state.Sequence),
		cmp.Compare(u.Health.rank(), r.health.rank()),
	) > 0
}

// refute answers an update about this daemon that is wrong, and reports
// whether it had to.
func (g *Gossip) refute(u Update, now time.Time) bool {
	switch {
	case u.Incarnation > g.incarnation:
		// The clock of the host was set back: without this, the daemon would
		// be taken for its own past.
		g.incarnation = u.Incarnation + 1
		g.sequence = 1
	case u.Incarnation < g.incarnation || u.Sequence < g.sequence:
		return false
	case u.Sequence == g.sequence && u.Health == HealthLive:
		return false
	default:
		g.sequence = u.Sequence + 1
	}
	g.self.Incarnation = g.incarnation
	g.self.Sequence = g.sequence
	g.putSelf(now)
	return true
}

// accusation tells a member that it is not held to be live, so that it can
// refute.
func (g *Gossip) accusation(name string) []Update {
	r, ok := g.records[name]
	if !ok || r.health == HealthLive {
		return nil
	}
	return []Update{g.update(r, false)}
}

// forward passes urgent news on, also to other regions if this daemon is a
// relay.
func (g *Gossip) forward(urgent []Update, from string, now time.Time) []Envelope {
	peers := g.choose(urgentFanout, func(r *record) bool { return g.near(r) && r.name != from })
	peers = append(peers, g.farRelays()...)
	var out []Envelope
	for _, r := range peers {
		out = append(out, g.envelope(r.state.Address, r.name, urgent, now))
	}
	return out
}

// spread makes a record news that heartbeats carry for a while.
func (g *Gossip) spread(name string) {
	g.rumours[name] = transmitCount
}

// piggyback returns the news that was sent least often.
func (g *Gossip) piggyback() []Update {
	if len(g.rumours) == 0 {
		return nil
	}
	names := slices.SortedFunc(maps.Keys(g.rumours), func(a, b string) int {
		return cmp.Or(cmp.Compare(g.rumours[b], g.rumours[a]), cmp.Compare(a, b))
	})
	var updates []Update
	for _, name := range names[:min(len(names), updatesPerMessage)] {
		r := g.records[name]
		updates = append(updates, g.update(r, r.health == HealthLive))
		g.rumours[name]--
		if g.rumours[name] <= 0 {
			delete(g.rumours, name)
		}
	}
	return updates
}

func (g *Gossip) update(r *record, whole bool) Update {
	u := Update{
		Health:      r.health,
		Incarnation: r.state.Incarnation,
		Name:        r.name,
		Sequence:    r.state.Sequence,
	}
	if whole {
		state := r.state
		u.State = &state
	}
	return u
}

// sorted returns the records by name, so that a run can be repeated.
func (g *Gossip) sorted() []*record {
	if len(g.names) != len(g.records) {
		g.names = slices.Sorted(maps.Keys(g.records))
	}
	records := make([]*record, 0, len(g.names))
	for _, name := range g.names {
		records = append(records, g.records[name])
	}
	return records
}

// withoutLoad returns a state without what reports carry. Measured rates stay
// as they were until they have changed much.
func withoutLoad(s, old savorypin.MemberState) savorypin.MemberState {
	previous := map[string]savorypin.EndpointState{}
	for _, e := range old.Endpoints {
		previous[e.Name] = e
	}
	s.Endpoints = slices.Clone(s.Endpoints)
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		p := previous[e.Name]
		e.CachedPrefixes = nil
		e.PrefillPerSecond = settle(e.PrefillPerSecond, p.PrefillPerSecond)
		e.Running = 0
		e.TokensPerSecond = settle(e.TokensPerSecond, p.TokensPerSecond)
		e.Waiting = 0
	}
	return s
}

func settle(rate, old float64) float64 {
	if math.Abs(rate-old) <= rateTolerance*old {
		return old
	}
	return rate
}
