package savorypingossip

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Settings for the choice of receivers.
const (
	// maxFullMeshPeers is the number of other live gateways up to which each message goes to
	// all of them, so that updates need no second hop.
	maxFullMeshPeers = 8
	// roundsPerDirectCrossDomain is the mean number of rounds between two messages that a
	// gateway sends to another failure domain although it isn't a relay. They keep updates
	// flowing if the relays are lost.
	roundsPerDirectCrossDomain = 8
	// roundsPerUnresponsive is the mean number of rounds between two messages to an
	// unresponsive gateway, which may be reachable again after a network partition.
	roundsPerUnresponsive = 4
	// maxSeedMessages bounds the messages to unresponsive gateways in a round if no gateway is
	// live.
	maxSeedMessages = 3
)

// overlay selects the receivers of messages in a round. Relays are computed from the set of
// live gateways, so all gateways agree on them as soon as they know each other.
type overlay struct {
	live []Peer
	// byAddress holds the live gateways and this one.
	byAddress map[string]Peer
	// byRegion holds the live gateways that aren't leaving, and this one, by region.
	byRegion map[string][]Peer
	// domains holds the gateways of byRegion in this region, by failure domain.
	domains map[string][]Peer
	// domainRelays and regionRelays forward the updates of this gateway's failure domain and
	// region.
	domainRelays []Peer
	// region returns the region of a failure domain.
	region       func(domain string) string
	regionRelays []Peer
	rng          *rand.Rand
	self         Peer
	unresponsive []Peer
}

// newOverlay returns the overlay for the gateways that are in the table now.
func newOverlay(t *Table, region func(domain string) string, rng *rand.Rand) *overlay {
	o := &overlay{
		live: t.Live(), region: region, rng: rng, self: t.self, unresponsive: t.Unresponsive(),
	}
	o.byAddress = map[string]Peer{o.self.Address: o.self}
	for _, p := range o.live {
		o.byAddress[p.Address] = p
	}
	o.byRegion = groupBy(t.stayingPeers(o.live), func(p Peer) string { return region(p.Domain) })
	own := o.byRegion[region(o.self.Domain)]
	o.domains = groupBy(own, func(p Peer) string { return p.Domain })
	o.domainRelays = chooseRelays(o.domains[o.self.Domain])
	o.regionRelays = chooseRelays(own)
	return o
}

// fullMesh reports whether each message goes to all live gateways.
func (o *overlay) fullMesh() bool { return len(o.live) <= maxFullMeshPeers }

// nearTargets returns the receivers in this gateway's failure domain: its successor in the ring
// of addresses, so that each update reaches all of the domain, and a random other one, so that
// it spreads quickly. In a full mesh it returns all live gateways.
func (o *overlay) nearTargets() []string {
	if o.fullMesh() {
		return addressesOf(o.live)
	}
	var domain []string
	for _, p := range o.live {
		if p.Domain == o.self.Domain {
			domain = append(domain, p.Address)
		}
	}
	if len(domain) < 2 {
		return domain
	}
	i, _ := slices.BinarySearch(domain, o.self.Address)
	next := i % len(domain)
	other := (next + 1 + o.rng.IntN(len(domain)-1)) % len(domain)
	return []string{domain[next], domain[other]}
}

// ownDomainRelay returns a relay of this gateway's failure domain. It is empty in a full mesh
// and if this gateway is a relay itself.
func (o *overlay) ownDomainRelay() string {
	if o.fullMesh() || o.isIn(o.domainRelays) {
		return ""
	}
	return o.pickOne(addressesOf(o.domainRelays))
}

// otherDomainTargets returns the receivers in other failure domains of this region: a relay of
// each domain if this gateway is a relay of its own domain, otherwise a single relay, and only
// in some rounds. It is empty in a full mesh.
func (o *overlay) otherDomainTargets() []string {
	if o.fullMesh() {
		return nil
	}
	targets := o.oneRelayPerGroup(o.domains, o.self.Domain)
	switch {
	case o.isIn(o.domainRelays):
		return targets
	case len(targets) == 0 || o.rng.IntN(roundsPerDirectCrossDomain) > 0:
		return nil
	}
	return []string{o.pickOne(targets)}
}

// otherRegionTargets returns the receivers in other regions, a relay of each. It is empty in a
// full mesh and if this gateway is no relay of its region.
func (o *overlay) otherRegionTargets() []string {
	if o.fullMesh() || !o.isIn(o.regionRelays) {
		return nil
	}
	return o.oneRelayPerGroup(o.byRegion, o.region(o.self.Domain))
}

// oneRelayPerGroup returns a relay of each group except this gateway's own.
func (o *overlay) oneRelayPerGroup(groups map[string][]Peer, own string) []string {
	var targets []string
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if name != own {
			targets = append(targets, o.pickOne(addressesOf(chooseRelays(groups[name]))))
		}
	}
	return targets
}

// isForwarder reports whether this gateway, as one of several relays, forwards the updates of an
// origin. It ranks the relays for each origin, as in rendezvous hashing, so that only minRelays
// of them forward an update, however many relays there are.
func (o *overlay) isForwarder(relays []Peer, origin string) bool {
	weight := xxhash.Sum64String(origin)
	own, higher := weight^o.self.rank, 0
	for _, p := range relays {
		if weight^p.rank > own {
			higher++
		}
	}
	return higher < minRelays
}

// isIn reports whether this gateway is among the given ones.
func (o *overlay) isIn(gateways []Peer) bool {
	return slices.Contains(addressesOf(gateways), o.self.Address)
}

func groupBy(gateways []Peer, by func(Peer) string) map[string][]Peer {
	groups := map[string][]Peer{}
	for _, p := range gateways {
		groups[by(p)] = append(groups[by(p)], p)
	}
	return groups
}

// inOwnDomain reports whether the gateway at an address is in this gateway's failure domain.
func (o *overlay) inOwnDomain(address string) bool {
	p, ok := o.byAddress[address]
	return ok && p.Domain == o.self.Domain
}

// inOwnRegion reports whether the gateway at an address is in this gateway's region.
func (o *overlay) inOwnRegion(address string) bool {
	p, ok := o.byAddress[address]
	return ok && o.region(p.Domain) == o.region(o.self.Domain)
}

// forwardsToDomains reports whether this gateway, as a relay of its failure domain, forwards
// the updates of an origin to other domains of the region. Updates from those domains are not
// sent back.
func (o *overlay) forwardsToDomains(origin string) bool {
	otherDomain := o.inOwnRegion(origin) && !o.inOwnDomain(origin)
	return !otherDomain && o.isForwarder(o.domainRelays, origin)
}

// forwardsToRegions reports whether this gateway, as a relay of its region, forwards the
// updates of an origin to other regions. Updates from other regions are not sent back.
func (o *overlay) forwardsToRegions(origin string) bool {
	return o.inOwnRegion(origin) && o.isForwarder(o.regionRelays, origin)
}

// unresponsiveTargets returns the unresponsive gateways that get a message: one in some
// rounds, or several if no gateway is live, as after a start from seeds only.
func (o *overlay) unresponsiveTargets() []string {
	unresponsive := addressesOf(o.unresponsive)
	o.shuffle(unresponsive)
	switch {
	case len(o.live) == 0:
		return unresponsive[:min(len(unresponsive), maxSeedMessages)]
	case len(unresponsive) == 0 || o.rng.IntN(roundsPerUnresponsive) > 0:
		return nil
	}
	return unresponsive[:1]
}

// queryTarget returns the gateway that is queried for the freshness of its copies of the
// store. It is one that reads the store in a full mesh and if this gateway is a relay of its
// region, otherwise a relay of the region. It is empty if there is none.
func (o *overlay) queryTarget() string {
	if !o.queriesReaders() {
		return o.pickOne(addressesOf(o.regionRelays))
	}
	var all []Peer
	for _, gateways := range o.byRegion {
		all = append(all, gateways...)
	}
	return o.pickOne(o.withoutSelf(firstByRank(all, readerCount)))
}

// queriesReaders reports whether this gateway queries those that read the store. Only a few
// gateways do, however many there are.
func (o *overlay) queriesReaders() bool {
	return o.fullMesh() || o.isIn(o.regionRelays)
}

// withoutSelf returns the addresses of the given gateways except this one.
func (o *overlay) withoutSelf(gateways []Peer) []string {
	return slices.DeleteFunc(addressesOf(gateways), func(a string) bool { return a == o.self.Address })
}

// pickOne returns a random address; empty if there are none.
func (o *overlay) pickOne(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[o.rng.IntN(len(addresses))]
}

func (o *overlay) shuffle(addresses []string) {
	o.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}
