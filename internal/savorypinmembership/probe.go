package savorypinmembership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinrank"
)

// probe is the state of one monitored member.
type probe struct {
	asked bool
	next  time.Time
	sent  time.Time
}

// near reports whether gossip reaches a live member directly.
func (g *Gossip) near(r *record) bool {
	if r.name == g.name || r.health != HealthLive {
		return false
	}
	return r.state.Region == g.self.Region || len(g.records) <= smallSystem
}

// monitor beats the members that follow this daemon on the ring, asks others
// to probe one that is silent, and suspects it if they fail too.
func (g *Gossip) monitor(now time.Time) []Envelope {
	var out []Envelope
	targets := g.successors()
	for name := range g.monitored {
		if !slices.Contains(targets, name) {
			delete(g.monitored, name)
		}
	}
	for _, name := range targets {
		p, ok := g.monitored[name]
		if !ok {
			p = &probe{next: now.Add(g.jitter(monitorInterval))}
			g.monitored[name] = p
		}
		out = append(out, g.monitorOne(g.records[name], p, now)...)
	}
	return out
}

func (g *Gossip) monitorOne(r *record, p *probe, now time.Time) []Envelope {
	var out []Envelope
	if !p.sent.IsZero() {
		silence := now.Sub(p.sent)
		switch {
		case silence >= suspectAfter && r.health == HealthLive && g.mayJudge(now):
			g.setHealth(r, HealthSuspect, now)
			g.spread(r.name)
			g.urgent = true
			delete(g.monitored, r.name)
			accusation := []Update{g.update(g.records[r.name], false)}
			// The suspect hears of it too, so that it can refute at once.
			out = append(g.forward(accusation, r.name, now), g.envelope(r.state.Address, r.name, accusation, now))
			return out
		case silence >= directTimeout && !p.asked:
			p.asked = true
			out = g.askHelpers(r, now)
		}
	}
	if now.Before(p.next) {
		return out
	}
	p.next = now.Add(monitorInterval)
	if p.sent.IsZero() {
		p.sent = now
	}
	return append(out, g.beat(r, now))
}

// mayJudge reports whether the silence of others can be held against them: a
// daemon that was paused or hears of nobody is itself the likelier cause.
func (g *Gossip) mayJudge(now time.Time) bool {
	return !g.resyncing(now) && now.Sub(g.lastHeard) < isolatedAfter
}

func (g *Gossip) askHelpers(target *record, now time.Time) []Envelope {
	var out []Envelope
	helpers := g.choose(helperCount, func(r *record) bool { return r.name != target.name && g.near(r) })
	for _, helper := range helpers {
		e := g.envelope(helper.state.Address, helper.name, nil, now)
		e.Message.Probe = target.name
		out = append(out, e)
	}
	return out
}

// probeFor beats a member for another one.
func (g *Gossip) probeFor(asker, name string) []Envelope {
	r, ok := g.records[name]
	if !ok {
		return nil
	}
	if !slices.Contains(g.pending[name], asker) {
		g.pending[name] = append(g.pending[name], asker)
	}
	return []Envelope{g.beat(r, g.cfg.Now())}
}

func (g *Gossip) tellAlive(askers []string, name string, now time.Time) []Envelope {
	var out []Envelope
	for _, asker := range askers {
		if r, ok := g.records[asker]; ok {
			e := g.envelope(r.state.Address, r.name, nil, now)
			e.Message.Alive = name
			out = append(out, e)
		}
	}
	return out
}

// answered notes that a member lives.
func (g *Gossip) answered(name string) {
	if p, ok := g.monitored[name]; ok {
		p.asked = false
		p.sent = time.Time{}
	}
}

// successors returns the live members that follow this daemon on the ring of
// its region. Each follows as many others, and one that is suspected makes room
// for the next, so that a lost failure domain leaves nobody unwatched.
func (g *Gossip) successors() []string {
	if g.ringStale {
		g.ring = g.ring[:0]
		for _, r := range g.records {
			if r.health == HealthLive && (r.state.Region == g.self.Region || len(g.records) <= smallSystem) {
				g.ring = append(g.ring, r.name)
			}
		}
		slices.SortFunc(g.ring, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
		})
		g.ringStale = false
	}
	at := slices.Index(g.ring, g.name)
	var names []string
	for i := 1; i <= min(monitorCount, len(g.ring)-1); i++ {
		names = append(names, g.ring[(at+i)%len(g.ring)])
	}
	return names
}

// choose returns up to n random records that a filter lets pass.
func (g *Gossip) choose(n int, filter func(*record) bool) []*record {
	var records []*record
	for _, r := range g.sorted() {
		if filter(r) {
			records = append(records, r)
		}
	}
	for i := range min(n, len(records)) {
		j := i + g.cfg.Rand(len(records)-i)
		records[i], records[j] = records[j], records[i]
	}
	return records[:min(n, len(records))]
}

// beatPartners sends heartbeats to random members that are kept for a while.
func (g *Gossip) beatPartners(now time.Time) []Envelope {
	if now.Before(g.nextPartner) {
		return nil
	}
	g.nextPartner = now.Add(partnerInterval)
	g.partners = slices.DeleteFunc(g.partners, func(name string) bool {
		r, ok := g.records[name]
		return !ok || !g.near(r)
	})
	if now.After(g.partnersEnd) && len(g.partners) > 0 {
		g.partners = g.partners[1:]
		g.partnersEnd = now.Add(partnerPeriod)
	}
	missing := partnerCount - len(g.partners)
	if missing > 0 {
		others := g.choose(missing, func(r *record) bool { return g.near(r) && !slices.Contains(g.partners, r.name) })
		for _, r := range others {
			g.partners = append(g.partners, r.name)
		}
	}
	var out []Envelope
	for _, name := range g.partners {
		out = append(out, g.beat(g.records[name], now))
	}
	return out
}

// relays returns the relays of a region.
func (g *Gossip) relays(region string) []*record {
	var states []savorypin.MemberState
	for _, r := range g.records {
		if r.state.Region == region && r.health == HealthLive {
			states = append(states, r.state)
		}
	}
	var relays []*record
	for _, s := range savorypinrank.Spread("relay/"+region, states, relayCount) {
		relays = append(relays, g.records[s.Name])
	}
	return relays
}

// farRelays returns the relays of the other regions if this daemon is a relay
// of its own.
func (g *Gossip) farRelays() []*record {
	relay := slices.ContainsFunc(g.relays(g.self.Region), func(r *record) bool { return r.name == g.name })
	if !relay {
		return nil
	}
	var far []*record
	for _, region := range g.otherRegions() {
		far = append(far, g.relays(region)...)
	}
	return far
}

func (g *Gossip) otherRegions() []string {
	var regions []string
	for _, r := range g.records {
		if r.state.Region != g.self.Region && !slices.Contains(regions, r.state.Region) {
			regions = append(regions, r.state.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// beatRelays talks across regions. A region whose relays do not answer is
// tried through another of its members.
func (g *Gossip) beatRelays(now time.Time) []Envelope {
	if now.Before(g.nextRelay) {
		return nil
	}
	g.nextRelay = now.Add(relayInterval)
	var out []Envelope
	for _, r := range g.farRelays() {
		out = append(out, g.beat(r, now))
		if now.Sub(g.regions[r.state.Region]) > 3*relayInterval {
			same := func(o *record) bool { return o.state.Region == r.state.Region }
			for _, other := range g.choose(1, same) {
				out = append(out, g.beat(other, now))
			}
		}
	}
	return out
}

// retry tries a member that is not live, and a seed. Settings' seeds are tried
// for ever, so that parts of a system that lost each other meet again.
func (g *Gossip) retry(now time.Time) []Envelope {
	if now.Before(g.nextRetry) {
		return nil
	}
	g.nextRetry = now.Add(retryInterval)
	var out []Envelope
	for _, r := range g.choose(1, func(r *record) bool { return r.health != HealthLive }) {
		out = append(out, g.envelope(r.state.Address, r.name, g.accusation(r.name), now))
	}
	known := map[string]bool{g.self.Address: true}
	for _, r := range g.records {
		if r.health == HealthLive {
			known[r.state.Address] = true
		}
	}
	for _, seeds := range [][]string{g.cfg.Seeds, g.hostSeeds} {
		if len(seeds) == 0 {
			continue
		}
		seed := seeds[g.cfg.Rand(len(seeds))]
		if !known[seed] || len(g.records) == 1 {
			out = append(out, g.envelope(seed, "", []Update{g.update(g.records[g.name], true)}, now))
		}
	}
	return out
}

// age lets time pass on records.
func (g *Gossip) age(now time.Time) {
	judge := g.mayJudge(now)
	for _, r := range g.records {
		idle := now.Sub(r.since)
		switch {
		case r.health == HealthSuspect && idle > suspectTimeout && judge:
			g.setHealth(r, HealthDead, now)
			delete(g.rumours, r.name)
		case r.health == HealthDead && (idle > forgetAfter || r.state.Draining && idle > forgetLeftAfter):
			g.remove(r)
		default:
			if g.members[r.name].health != g.effective(r, now) {
				g.dirty[r.name] = true
			}
		}
	}
}

// effective returns what routing should think of a member: nobody can use one
// whose region or whose own reports have gone silent, though it may live.
func (g *Gossip) effective(r *record, now time.Time) Health {
	if r.health != HealthLive || r.name == g.name {
		return r.health
	}
	if r.state.Region != g.self.Region && len(g.records) > smallSystem {
		if at, ok := g.regions[r.state.Region]; ok && now.Sub(at) > regionSilentAfter {
			return HealthSuspect
		}
	}
	if !r.reported.IsZero() && now.Sub(r.reported) > g.reportLimit(r) {
		return HealthSuspect
	}
	return HealthLive
}
