package savorypinmembership

import (
	"cmp"
	"time"
)

// mayCompare reports whether the sender's records differ and a comparison is
// due.
func (g *Gossip) mayCompare(m Message, now time.Time) bool {
	return m.Table != g.tableHash() && now.Sub(g.lastSync) >= syncInterval
}

// heads returns the records of the buckets that differ from a peer's, without
// their states.
func (g *Gossip) heads(theirs []uint32) []Update {
	var heads []Update
	for _, r := range g.sorted() {
		b := bucketOf(r.name)
		if b < len(theirs) && theirs[b] != g.buckets[b] && len(heads) < headsPerSync {
			heads = append(heads, g.update(r, false))
		}
	}
	return heads
}

// wholes returns the named records with their states.
func (g *Gossip) wholes(names []string) []Update {
	var updates []Update
	for _, name := range names[:min(len(names), statesPerSync)] {
		if r, ok := g.records[name]; ok {
			updates = append(updates, g.update(r, true))
		}
	}
	return updates
}

// settleHeads answers what a peer holds in the buckets that differ: it asks
// for what is newer there and sends what is newer here.
func (g *Gossip) settleHeads(address string, m Message, now time.Time) []Envelope {
	want := g.newerThere(m.Updates)
	updates := g.newerHere(m)
	if len(want) == 0 && len(updates) == 0 {
		return nil
	}
	e := g.envelope(address, m.From, updates, now)
	e.Message.Bulk = true
	e.Message.Want = want[:min(len(want), statesPerSync)]
	return []Envelope{e}
}

// newerThere names the members of which a peer's heads say more.
func (g *Gossip) newerThere(heads []Update) []string {
	var names []string
	for _, u := range heads {
		r, ok := g.records[u.Name]
		if (!ok && u.Health != HealthDead) || (ok && u.newerThan(g.update(r, false))) {
			names = append(names, u.Name)
		}
	}
	return names
}

// newerHere returns the records that a peer lacks or holds older, by its heads.
func (g *Gossip) newerHere(m Message) []Update {
	theirs := map[string]Update{}
	for _, u := range m.Updates {
		theirs[u.Name] = u
	}
	complete := len(m.Updates) < headsPerSync
	var updates []Update
	for _, r := range g.sorted() {
		b := bucketOf(r.name)
		if b >= len(m.Buckets) || m.Buckets[b] == g.buckets[b] || len(updates) == statesPerSync {
			continue
		}
		u, ok := theirs[r.name]
		newer := ok && g.update(r, false).newerThan(u)
		lacking := !ok && complete && r.health != HealthDead
		if newer || lacking {
			updates = append(updates, g.update(r, true))
		}
	}
	return updates
}

// newerThan reports whether u is newer, or of one sequence and worse.
func (u Update) newerThan(o Update) bool {
	return cmp.Or(
		cmp.Compare(u.Incarnation, o.Incarnation),
		cmp.Compare(u.Sequence, o.Sequence),
		cmp.Compare(u.Health.rank(), o.Health.rank()),
	) > 0
}
