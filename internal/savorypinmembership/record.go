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

// rateTolerance is the relative change above which a new value of a measured rate is published.
const rateTolerance = 0.2

// refreshSelf reads the state of the daemon. If the daemon or one of its endpoints stops
// accepting new work, it returns the messages that announce this at once.
func (g *Gossip) refreshSelf(now time.Time) []Envelope {
	s := g.cfg.Self()
	g.reporter.current = s
	applied := s.Applied
	gossiped := withoutLoad(s, g.self)
	gossiped.Incarnation = g.incarnation
	gossiped.Sequence = g.sequence
	gossiped.Applied = g.self.Applied
	changed := g.sequence == 0 || !reflect.DeepEqual(gossiped, g.self)
	leaving := changed && countDraining(gossiped) > countDraining(g.self)
	if changed {
		g.sequence++
		gossiped.Sequence = g.sequence
		g.self = gossiped
	}
	g.self.Applied = applied
	if changed {
		g.putSelf(now)
	}
	r := g.records[g.name]
	r.applied = applied
	r.load.Endpoints = endpointLoads(s.Endpoints, true)
	if now.Sub(g.selfPublishedAt) >= selfPublishInterval {
		g.selfPublishedAt = now
		g.dirty[g.name] = true
	}
	if !leaving {
		return nil
	}
	return g.broadcast(now)
}

// countDraining returns how many of a member and its endpoints accept no new work.
func countDraining(s savorypin.MemberState) int {
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

// putSelf stores the daemon's own record and queues it for transmission.
func (g *Gossip) putSelf(now time.Time) {
	r, ok := g.records[g.name]
	if !ok {
		r = &record{name: g.name, healthSince: now}
	}
	next := *r
	next.health = HealthLive
	next.receivedAt = now
	next.state = g.self
	next.state.Applied = savorypin.Digest{}
	g.putRecord(&next)
	g.enqueue(g.name)
}

// broadcast returns messages with this daemon's state to every entry and some random members.
func (g *Gossip) broadcast(now time.Time) []Envelope {
	updates := []Update{g.newUpdate(g.records[g.name], true)}
	var out []Envelope
	sent := map[string]bool{}
	for _, r := range g.sortedRecords() {
		if r.state.Role == savorypin.RoleEntry && r.name != g.name && r.health != HealthDead {
			sent[r.name] = true
			out = append(out, g.newEnvelope(r.state.Address, r.name, updates, now))
		}
	}
	for _, r := range g.chooseRandom(urgentFanout, g.reachesDirectly) {
		if !sent[r.name] {
			out = append(out, g.newEnvelope(r.state.Address, r.name, updates, now))
		}
	}
	return out
}

// putRecord stores a record and updates the hash of its bucket.
func (g *Gossip) putRecord(r *record) {
	b := bucketOf(r.name)
	if old, ok := g.records[r.name]; ok {
		g.buckets[b] -= old.hash()
	}
	g.buckets[b] += r.hash()
	g.records[r.name] = r
	g.dirty[r.name] = true
	g.ringStale = true
}

func (g *Gossip) removeRecord(r *record) {
	g.buckets[bucketOf(r.name)] -= r.hash()
	delete(g.records, r.name)
	g.names = nil
	delete(g.transmitsLeft, r.name)
	g.dirty[r.name] = true
	g.ringStale = true
}

// setHealth changes the health of a member.
func (g *Gossip) setHealth(r *record, health Health, now time.Time) {
	next := *r
	next.health = health
	next.healthSince = now
	g.putRecord(&next)
}

// applyUpdates applies the updates in a message and returns the messages that forward the
// urgent ones.
func (g *Gossip) applyUpdates(m Message, now time.Time) []Envelope {
	var urgent []Update
	for _, u := range m.Updates {
		if u.Name == g.name {
			if g.refute(u, now) {
				urgent = append(urgent, g.newUpdate(g.records[g.name], true))
			}
			continue
		}
		if g.applyUpdate(u, !m.Bulk, now) {
			urgent = append(urgent, u)
		}
	}
	if len(urgent) == 0 {
		return nil
	}
	g.publishUrgent = true
	return g.forwardUrgent(urgent[:min(len(urgent), maxStatesPerSync)], m.From, now)
}

// applyUpdate applies one update, queues it for transmission if forward is set, and reports
// whether it is urgent.
func (g *Gossip) applyUpdate(u Update, forward bool, now time.Time) bool {
	stored, ok := g.records[u.Name]
	if !ok {
		if u.State == nil || u.Health == HealthDead {
			return false
		}
		g.putRecord(&record{health: u.Health, receivedAt: now, name: u.Name, healthSince: now, state: *u.State})
		if forward {
			g.enqueue(u.Name)
		}
		return forward && u.State.Draining
	}
	if !u.supersedes(stored) {
		return false
	}
	next := *stored
	if u.State != nil {
		next.state = *u.State
	} else if u.Incarnation != stored.state.Incarnation || u.Sequence != stored.state.Sequence {
		return false
	}
	if u.Incarnation != stored.state.Incarnation {
		next.load = Report{}
		next.reportNumber = 0
		next.reportedAt = time.Time{}
	}
	if u.Health != stored.health {
		next.healthSince = now
	}
	next.health = u.Health
	next.receivedAt = now
	g.putRecord(&next)
	if forward && u.Health != HealthDead {
		g.enqueue(u.Name)
	}
	return u.Health == HealthSuspect || stored.health != next.health || countDraining(next.state) != countDraining(stored.state)
}

// supersedes reports whether u is newer than a record. The incarnation and the sequence,
// which only the member itself increases, come first; of the same ones, the worse health wins.
func (u Update) supersedes(r *record) bool {
	return cmp.Or(
		cmp.Compare(u.Incarnation, r.state.Incarnation),
		cmp.Compare(u.Sequence, r.state.Sequence),
		cmp.Compare(u.Health.severity(), r.health.severity()),
	) > 0
}

// refute publishes a newer state of this daemon if an update about it is wrong. It reports
// whether it did.
func (g *Gossip) refute(u Update, now time.Time) bool {
	switch {
	case u.Incarnation > g.incarnation:
		// The clock of the host was set back. Without a later incarnation, the state of the
		// earlier run would replace that of this one.
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

// notLiveUpdate returns an update that informs a member that is not live here of its health, so
// that it can refute it. It is empty for a live or unknown member.
func (g *Gossip) notLiveUpdate(name string) []Update {
	r, ok := g.records[name]
	if !ok || r.health == HealthLive {
		return nil
	}
	return []Update{g.newUpdate(r, false)}
}

// forwardUrgent returns messages that forward urgent updates to random members, and to relays
// of other regions if this daemon is a relay.
func (g *Gossip) forwardUrgent(urgent []Update, from string, now time.Time) []Envelope {
	peers := g.chooseRandom(urgentFanout, func(r *record) bool { return g.reachesDirectly(r) && r.name != from })
	peers = append(peers, g.otherRegionRelays()...)
	var out []Envelope
	for _, r := range peers {
		out = append(out, g.newEnvelope(r.state.Address, r.name, urgent, now))
	}
	return out
}

// enqueue queues the record of a member for transmission with heartbeats.
func (g *Gossip) enqueue(name string) {
	g.transmitsLeft[name] = transmitCount
}

// piggyback returns the queued updates that were transmitted least often, and counts the
// transmission.
func (g *Gossip) piggyback() []Update {
	if len(g.transmitsLeft) == 0 {
		return nil
	}
	names := slices.SortedFunc(maps.Keys(g.transmitsLeft), func(a, b string) int {
		return cmp.Or(cmp.Compare(g.transmitsLeft[b], g.transmitsLeft[a]), cmp.Compare(a, b))
	})
	var updates []Update
	for _, name := range names[:min(len(names), maxUpdatesPerMessage)] {
		r := g.records[name]
		updates = append(updates, g.newUpdate(r, r.health == HealthLive))
		g.transmitsLeft[name]--
		if g.transmitsLeft[name] <= 0 {
			delete(g.transmitsLeft, name)
		}
	}
	return updates
}

// newUpdate returns the update for a record, with the state of the member if withState is set.
func (g *Gossip) newUpdate(r *record, withState bool) Update {
	u := Update{
		Health:      r.health,
		Incarnation: r.state.Incarnation,
		Name:        r.name,
		Sequence:    r.state.Sequence,
	}
	if withState {
		state := r.state
		u.State = &state
	}
	return u
}

// sortedRecords returns the records sorted by name, so that runs are reproducible.
func (g *Gossip) sortedRecords() []*record {
	if len(g.names) != len(g.records) {
		g.names = slices.Sorted(maps.Keys(g.records))
	}
	records := make([]*record, 0, len(g.names))
	for _, name := range g.names {
		records = append(records, g.records[name])
	}
	return records
}

// withoutLoad returns a state without the values that reports carry. Measured rates keep their
// published values until they have changed by more than rateTolerance.
func withoutLoad(s, published savorypin.MemberState) savorypin.MemberState {
	previous := map[string]savorypin.EndpointState{}
	for _, e := range published.Endpoints {
		previous[e.Name] = e
	}
	s.Endpoints = slices.Clone(s.Endpoints)
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		p := previous[e.Name]
		e.CachedPrefixes = nil
		e.PrefillPerSecond = keepIfClose(e.PrefillPerSecond, p.PrefillPerSecond)
		e.Running = 0
		e.TokensPerSecond = keepIfClose(e.TokensPerSecond, p.TokensPerSecond)
		e.Waiting = 0
	}
	return s
}

// keepIfClose returns the old rate if the new one is within rateTolerance of it.
func keepIfClose(rate, old float64) float64 {
	if math.Abs(rate-old) <= rateTolerance*old {
		return old
	}
	return rate
}
