package savorypinmembership

import (
	"cmp"
	"time"
)

// syncDue reports whether the sender's records differ from this daemon's and a comparison is
// due.
func (g *Gossip) syncDue(m Message, now time.Time) bool {
	return m.Table != g.tableHash() && now.Sub(g.lastSync) >= syncInterval
}

// summaries returns updates without states for the records in the buckets that differ from a
// peer's.
func (g *Gossip) summaries(peerBuckets []uint32) []Update {
	var summaries []Update
	for _, r := range g.sortedRecords() {
		b := bucketOf(r.name)
		if b < len(peerBuckets) && peerBuckets[b] != g.buckets[b] && len(summaries) < maxSummariesPerSync {
			summaries = append(summaries, g.newUpdate(r, false))
		}
	}
	return summaries
}

// fullUpdates returns updates with states for the named records.
func (g *Gossip) fullUpdates(names []string) []Update {
	var updates []Update
	for _, name := range names[:min(len(names), maxStatesPerSync)] {
		if r, ok := g.records[name]; ok {
			updates = append(updates, g.newUpdate(r, true))
		}
	}
	return updates
}

// answerSummaries returns the answer to a peer's summaries of the buckets that differ: it
// requests the states that are newer at the peer and contains those that are newer here.
func (g *Gossip) answerSummaries(address string, m Message, now time.Time) []Envelope {
	want := g.newerAtPeer(m.Updates)
	updates := g.newerLocally(m)
	if len(want) == 0 && len(updates) == 0 {
		return nil
	}
	e := g.newEnvelope(address, m.From, updates, now)
	e.Message.Bulk = true
	e.Message.Want = want[:min(len(want), maxStatesPerSync)]
	return []Envelope{e}
}

// newerAtPeer returns the names of the members that this daemon lacks or has in an older version
// than the peer.
func (g *Gossip) newerAtPeer(summaries []Update) []string {
	var names []string
	for _, u := range summaries {
		r, ok := g.records[u.Name]
		if (!ok && u.Health != HealthDead) || (ok && u.newerThan(g.newUpdate(r, false))) {
			names = append(names, u.Name)
		}
	}
	return names
}

// newerLocally returns updates with states for the records that, according to the peer's
// summaries, the peer lacks or has in an older version.
func (g *Gossip) newerLocally(m Message) []Update {
	peerUpdates := map[string]Update{}
	for _, u := range m.Updates {
		peerUpdates[u.Name] = u
	}
	// A list of the maximum length may leave out records.
	listsAll := len(m.Updates) < maxSummariesPerSync
	var updates []Update
	for _, r := range g.sortedRecords() {
		b := bucketOf(r.name)
		if b >= len(m.Buckets) || m.Buckets[b] == g.buckets[b] || len(updates) == maxStatesPerSync {
			continue
		}
		u, ok := peerUpdates[r.name]
		newer := ok && g.newUpdate(r, false).newerThan(u)
		lacking := !ok && listsAll && r.health != HealthDead
		if newer || lacking {
			updates = append(updates, g.newUpdate(r, true))
		}
	}
	return updates
}

// newerThan reports whether u is of a later incarnation or sequence, or of the same ones and of
// worse health.
func (u Update) newerThan(o Update) bool {
	return cmp.Or(
		cmp.Compare(u.Incarnation, o.Incarnation),
		cmp.Compare(u.Sequence, o.Sequence),
		cmp.Compare(u.Health.severity(), o.Health.severity()),
	) > 0
}
