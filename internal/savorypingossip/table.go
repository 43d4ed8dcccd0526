package savorypingossip

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings of the table.
const (
	// minHeartbeatInterval is the minimum time between two heartbeats of a gateway.
	minHeartbeatInterval = time.Second
	// heartbeatIntervalPerPeer times the number of other gateways is the heartbeat interval if
	// it is longer than the minimum, so that the number of heartbeats per second of all gateways
	// together is bounded.
	heartbeatIntervalPerPeer = 10 * time.Millisecond
	// livenessHeartbeats is the number of heartbeat intervals after which a gateway without a
	// heartbeat is no longer live. A single heartbeat fails to reach one gateway in twenty.
	livenessHeartbeats = 4
	// forgetAfter is how long a gateway that sends nothing is kept.
	forgetAfter = 60 * time.Second
	// maxPeers bounds the number of gateways in the table.
	maxPeers = 2048
)

// Peer is another gateway.
type Peer struct {
	Address string
	// Domain is its failure domain; empty until a message or heartbeat of it is received.
	Domain string
	// Leaving says that it accepts no new callers.
	Leaving bool
	Name    string
	// rank orders gateways for the selection of readers and relays.
	rank uint64
}

// withRank returns the gateway with its rank set.
func withRank(p Peer) Peer {
	p.rank = xxhash.Sum64String(p.Address)
	return p
}

// peerState is the state of another gateway in the table.
type peerState struct {
	echo     Echo
	lastSeen time.Time
	addedAt  time.Time
	peer     Peer
	// started identifies the incarnation that was observed last.
	started int64
}

// Table holds the other gateways. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	now   func() time.Time
	peers map[string]*peerState
	self  Peer
}

// NewTable returns a table without gateways. Self is this gateway.
func NewTable(self Peer, now func() time.Time) *Table {
	return &Table{now: now, peers: map[string]*peerState{}, self: withRank(self)}
}

// AddAddresses adds addresses at which there may be gateways.
func (t *Table) AddAddresses(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		t.ensurePeer(address)
	}
}

// ensurePeer returns the gateway at an address, adding it if needed. It returns nil for this
// gateway and if the table is full. The caller holds t.mu.
func (t *Table) ensurePeer(address string) *peerState {
	if address == t.self.Address || address == "" {
		return nil
	}
	p, ok := t.peers[address]
	if !ok {
		if len(t.peers) >= maxPeers {
			return nil
		}
		p = &peerState{addedAt: t.now(), peer: withRank(Peer{Address: address})}
		t.peers[address] = p
	}
	return p
}

// Observation classifies a message or heartbeat by what the table already holds.
type Observation string

// The observations.
const (
	// ObservationKnown is a message of the current incarnation.
	ObservationKnown Observation = "known"
	// ObservationStale is a message of an earlier incarnation, or one that arrived out of
	// order. It is also returned if the sender is this gateway or the table is full.
	ObservationStale Observation = "old"
	// ObservationStarted is the first message of an incarnation.
	ObservationStarted Observation = "started"
)

// ObserveMessage records a message that came from the gateway itself.
func (t *Table) ObserveMessage(m Message) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.ensurePeer(m.Address)
	if p == nil {
		return ObservationStale
	}
	if m.Started == p.echo.Started && m.Sent <= p.echo.Sent {
		return ObservationStale
	}
	observation := t.observe(p, m.Started, 0)
	if observation == ObservationStale {
		return ObservationStale
	}
	p.peer.Domain = m.Domain
	p.echo = Echo{Sent: m.Sent, Started: m.Started}
	return observation
}

// ObserveHeartbeat records a heartbeat that other gateways have forwarded.
func (t *Table) ObserveHeartbeat(sender Peer, started int64, age time.Duration) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.ensurePeer(sender.Address)
	if p == nil {
		return ObservationStale
	}
	observation := t.observe(p, started, age)
	if observation != ObservationStale {
		p.peer = withRank(sender)
	}
	return observation
}

// observe records that an incarnation was running some time ago. The caller holds t.mu.
func (t *Table) observe(p *peerState, started int64, age time.Duration) Observation {
	now := t.now()
	// Incarnations are ordered by wall-clock time, and the clock may have been set back. Once
	// nothing was received for the liveness timeout, no message of the previous incarnation
	// arrives any more, so an earlier start is that of a new incarnation.
	if started < p.started && now.Sub(p.lastSeen) < t.livenessTimeout() {
		return ObservationStale
	}
	observation := ObservationKnown
	if started != p.started {
		observation = ObservationStarted
		p.peer.Leaving = false
	}
	p.started = started
	if at := now.Add(-age); at.After(p.lastSeen) {
		p.lastSeen = at
	}
	return observation
}

// HeartbeatInterval returns the time between two heartbeats.
func (t *Table) HeartbeatInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heartbeatInterval()
}

func (t *Table) heartbeatInterval() time.Duration {
	return max(minHeartbeatInterval, time.Duration(len(t.peers))*heartbeatIntervalPerPeer)
}

// LivenessTimeout returns how long a gateway counts as live after its last heartbeat.
func (t *Table) LivenessTimeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.livenessTimeout()
}

func (t *Table) livenessTimeout() time.Duration {
	return livenessHeartbeats * t.heartbeatInterval()
}

// Echo identifies the last message from an address; it is the zero Echo if there is none.
func (t *Table) Echo(address string) Echo {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[address]; ok {
		return p.echo
	}
	return Echo{}
}

// Live returns the live gateways, sorted by address.
func (t *Table) Live() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []Peer
	for _, p := range t.peers {
		if t.isLive(p) {
			live = append(live, p.peer)
		}
	}
	slices.SortFunc(live, byAddress)
	return live
}

func (t *Table) isLive(p *peerState) bool {
	return !p.lastSeen.IsZero() && t.now().Sub(p.lastSeen) < t.livenessTimeout()
}

// Unresponsive returns the known gateways that aren't live, sorted by address. It removes
// those from which nothing was received for longer than forgetAfter.
func (t *Table) Unresponsive() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var unresponsive []Peer
	for address, p := range t.peers {
		lastSeen := p.addedAt
		if p.lastSeen.After(lastSeen) {
			lastSeen = p.lastSeen
		}
		if now.Sub(lastSeen) > forgetAfter {
			delete(t.peers, address)
			continue
		}
		if !t.isLive(p) {
			unresponsive = append(unresponsive, p.peer)
		}
	}
	slices.SortFunc(unresponsive, byAddress)
	return unresponsive
}

// Known returns the addresses of all gateways in the table, live or unresponsive, unsorted.
func (t *Table) Known() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.peers))
}

// Len returns the number of gateways in the table, live or unresponsive.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

func byAddress(a, b Peer) int { return cmp.Compare(a.Address, b.Address) }

// Numbers of gateways that do work for others.
const (
	// readerCount is the number of gateways that read the store for all, and minRelays the
	// minimum number of relays that forward the updates of a failure domain or region. Both are
	// more than one, so that a paused gateway doesn't stop either.
	readerCount = 2
	minRelays   = 2
	// peersPerRelay is the number of gateways per additional relay.
	peersPerRelay = 16
)

// Readers returns the addresses of the gateways that read the store for all.
func (t *Table) Readers() []string {
	return addressesOf(firstByRank(t.stayingPeers(t.Live()), readerCount))
}

// stayingPeers returns this gateway and those of the live ones that aren't leaving.
func (t *Table) stayingPeers(live []Peer) []Peer {
	staying := []Peer{t.self}
	for _, p := range live {
		if !p.Leaving {
			staying = append(staying, p)
		}
	}
	return staying
}

// chooseRelays returns the relays of a group of gateways.
func chooseRelays(gateways []Peer) []Peer {
	return firstByRank(gateways, minRelays+len(gateways)/peersPerRelay)
}

// firstByRank returns the first n gateways in the order of their addresses' hashes. All
// gateways choose the same ones as soon as they know each other.
func firstByRank(gateways []Peer, n int) []Peer {
	ordered := slices.Clone(gateways)
	slices.SortFunc(ordered, func(a, b Peer) int { return cmp.Compare(a.rank, b.rank) })
	return ordered[:min(n, len(ordered))]
}

func addressesOf(gateways []Peer) []string {
	addresses := make([]string, 0, len(gateways))
	for _, p := range gateways {
		addresses = append(addresses, p.Address)
	}
	return addresses
}
