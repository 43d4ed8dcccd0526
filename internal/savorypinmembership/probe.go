package savorypinmembership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinrank"
)

// probe is the state of the heartbeats to one monitored member.
type probe struct {
	helpersAsked    bool
	nextHeartbeat   time.Time
	unansweredSince time.Time
}

// reachesDirectly reports whether this daemon sends gossip directly to a member. It does so to
// the live members of its region, and in a small system to all live members.
func (g *Gossip) reachesDirectly(r *record) bool {
	if r.name == g.name || r.health != HealthLive {
		return false
	}
	return r.state.Region == g.self.Region || len(g.records) <= maxFlatMembers
}

// monitorSuccessors returns the heartbeats to the members that follow this daemon on the ring.
// If one doesn't answer, it asks other members to probe it, and suspects it if they get no answer
// either.
func (g *Gossip) monitorSuccessors(now time.Time) []Envelope {
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
			p = &probe{nextHeartbeat: now.Add(g.jitter(monitorInterval))}
			g.monitored[name] = p
		}
		out = append(out, g.monitorMember(g.records[name], p, now)...)
	}
	return out
}

func (g *Gossip) monitorMember(r *record, p *probe, now time.Time) []Envelope {
	var out []Envelope
	if !p.unansweredSince.IsZero() {
		unanswered := now.Sub(p.unansweredSince)
		switch {
		case unanswered >= suspectAfter && r.health == HealthLive && g.trustsTimeouts(now):
			g.setHealth(r, HealthSuspect, now)
			g.enqueue(r.name)
			g.publishUrgent = true
			delete(g.monitored, r.name)
			suspicion := []Update{g.newUpdate(g.records[r.name], false)}
			// The suspect is informed too, so that it can refute the suspicion at once.
			out = append(g.forwardUrgent(suspicion, r.name, now), g.newEnvelope(r.state.Address, r.name, suspicion, now))
			return out
		case unanswered >= indirectProbeAfter && !p.helpersAsked:
			p.helpersAsked = true
			out = g.askHelpers(r, now)
		}
	}
	if now.Before(p.nextHeartbeat) {
		return out
	}
	p.nextHeartbeat = now.Add(monitorInterval)
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	return append(out, g.heartbeat(r, now))
}

// trustsTimeouts reports whether missing answers may be taken as failures of other members. If
// this daemon was paused or receives nothing at all, the cause is more likely its own.
func (g *Gossip) trustsTimeouts(now time.Time) bool {
	return !g.resyncing(now) && now.Sub(g.lastReceived) < isolatedAfter
}

// askHelpers returns messages that ask other members to probe the target.
func (g *Gossip) askHelpers(target *record, now time.Time) []Envelope {
	var out []Envelope
	helpers := g.chooseRandom(helperCount, func(r *record) bool { return r.name != target.name && g.reachesDirectly(r) })
	for _, helper := range helpers {
		e := g.newEnvelope(helper.state.Address, helper.name, nil, now)
		e.Message.Probe = target.name
		out = append(out, e)
	}
	return out
}

// probeOnBehalf returns a heartbeat to a member that another one asked this daemon to probe.
func (g *Gossip) probeOnBehalf(requester, name string) []Envelope {
	r, ok := g.records[name]
	if !ok {
		return nil
	}
	if !slices.Contains(g.probeRequesters[name], requester) {
		g.probeRequesters[name] = append(g.probeRequesters[name], requester)
	}
	return []Envelope{g.heartbeat(r, g.cfg.Now())}
}

// confirmResponsive returns messages that inform the requesters of a probe that the member has
// answered.
func (g *Gossip) confirmResponsive(requesters []string, name string, now time.Time) []Envelope {
	var out []Envelope
	for _, requester := range requesters {
		if r, ok := g.records[requester]; ok {
			e := g.newEnvelope(r.state.Address, r.name, nil, now)
			e.Message.Responsive = name
			out = append(out, e)
		}
	}
	return out
}

// markResponsive records that a member has answered, directly or through another one.
func (g *Gossip) markResponsive(name string) {
	if p, ok := g.monitored[name]; ok {
		p.helpersAsked = false
		p.unansweredSince = time.Time{}
	}
}

// successors returns the live members that follow this daemon on the hash ring of its region, so
// that each member has the same number of monitors. Members that aren't live are not on the
// ring, so that the loss of a failure domain leaves no member without monitors.
func (g *Gossip) successors() []string {
	if g.ringStale {
		g.ring = g.ring[:0]
		for _, r := range g.records {
			if r.health == HealthLive && (r.state.Region == g.self.Region || len(g.records) <= maxFlatMembers) {
				g.ring = append(g.ring, r.name)
			}
		}
		slices.SortFunc(g.ring, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
		})
		g.ringStale = false
	}
	self := slices.Index(g.ring, g.name)
	var names []string
	for i := 1; i <= min(monitorCount, len(g.ring)-1); i++ {
		names = append(names, g.ring[(self+i)%len(g.ring)])
	}
	return names
}

// chooseRandom returns up to n random records that pass the filter.
func (g *Gossip) chooseRandom(n int, filter func(*record) bool) []*record {
	var records []*record
	for _, r := range g.sortedRecords() {
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

// heartbeatPartners returns the heartbeats to the partners, random members that are replaced one
// at a time.
func (g *Gossip) heartbeatPartners(now time.Time) []Envelope {
	if now.Before(g.nextPartner) {
		return nil
	}
	g.nextPartner = now.Add(partnerInterval)
	g.partners = slices.DeleteFunc(g.partners, func(name string) bool {
		r, ok := g.records[name]
		return !ok || !g.reachesDirectly(r)
	})
	if now.After(g.nextRotation) && len(g.partners) > 0 {
		g.partners = g.partners[1:]
		g.nextRotation = now.Add(partnerRotationInterval)
	}
	missing := partnerCount - len(g.partners)
	if missing > 0 {
		others := g.chooseRandom(missing, func(r *record) bool { return g.reachesDirectly(r) && !slices.Contains(g.partners, r.name) })
		for _, r := range others {
			g.partners = append(g.partners, r.name)
		}
	}
	var out []Envelope
	for _, name := range g.partners {
		out = append(out, g.heartbeat(g.records[name], now))
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

// otherRegionRelays returns the relays of the other regions if this daemon is a relay of its
// own region.
func (g *Gossip) otherRegionRelays() []*record {
	isRelay := slices.ContainsFunc(g.relays(g.self.Region), func(r *record) bool { return r.name == g.name })
	if !isRelay {
		return nil
	}
	var relays []*record
	for _, region := range g.otherRegions() {
		relays = append(relays, g.relays(region)...)
	}
	return relays
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

// heartbeatRelays returns the heartbeats to the relays of other regions. If a region hasn't been
// seen for three intervals, random members of it get heartbeats too.
func (g *Gossip) heartbeatRelays(now time.Time) []Envelope {
	if now.Before(g.nextRelay) {
		return nil
	}
	g.nextRelay = now.Add(relayInterval)
	var out []Envelope
	for _, r := range g.otherRegionRelays() {
		out = append(out, g.heartbeat(r, now))
		if now.Sub(g.regionsSeen[r.state.Region]) > 3*relayInterval {
			sameRegion := func(o *record) bool { return o.state.Region == r.state.Region }
			for _, other := range g.chooseRandom(1, sameRegion) {
				out = append(out, g.heartbeat(other, now))
			}
		}
	}
	return out
}

// retryUnreachable returns messages to a random member that is not live and to a random seed of
// each list, unless a live member has the seed's address. Seeds are retried without limit, so
// that the sides of a network partition find each other again.
func (g *Gossip) retryUnreachable(now time.Time) []Envelope {
	if now.Before(g.nextRetry) {
		return nil
	}
	g.nextRetry = now.Add(retryInterval)
	var out []Envelope
	for _, r := range g.chooseRandom(1, func(r *record) bool { return r.health != HealthLive }) {
		out = append(out, g.newEnvelope(r.state.Address, r.name, g.notLiveUpdate(r.name), now))
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
			out = append(out, g.newEnvelope(seed, "", []Update{g.newUpdate(g.records[g.name], true)}, now))
		}
	}
	return out
}

// ageRecords applies timeouts: suspected members become dead, and dead ones are removed.
func (g *Gossip) ageRecords(now time.Time) {
	trusted := g.trustsTimeouts(now)
	for _, r := range g.records {
		unchanged := now.Sub(r.healthSince)
		switch {
		case r.health == HealthSuspect && unchanged > suspectTimeout && trusted:
			g.setHealth(r, HealthDead, now)
			delete(g.transmitsLeft, r.name)
		case r.health == HealthDead && (unchanged > forgetAfter || r.state.Draining && unchanged > forgetLeftAfter):
			g.removeRecord(r)
		default:
			if g.members[r.name].health != g.routingHealth(r, now) {
				g.dirty[r.name] = true
			}
		}
	}
}

// routingHealth returns the health that routing uses. A live member counts as suspect while its
// region is unreachable or its own reports are missing, because this daemon can't use it then.
func (g *Gossip) routingHealth(r *record, now time.Time) Health {
	if r.health != HealthLive || r.name == g.name {
		return r.health
	}
	if r.state.Region != g.self.Region && len(g.records) > maxFlatMembers {
		if at, ok := g.regionsSeen[r.state.Region]; ok && now.Sub(at) > regionUnreachableAfter {
			return HealthSuspect
		}
	}
	if !r.reportedAt.IsZero() && now.Sub(r.reportedAt) > g.reportTimeout(r) {
		return HealthSuspect
	}
	return HealthLive
}
