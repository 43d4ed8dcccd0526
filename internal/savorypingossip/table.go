package savorypingossip

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings of the table.
const (
	// aliveTime is how long a gateway is taken as alive after its last message.
	aliveTime = 3 * time.Second
	// forgetTime is how long a gateway is remembered that sends nothing.
	forgetTime = 60 * time.Second
	// maxPeers bounds the table.
	maxPeers = 2048
)

// peer is what is known of another gateway.
type peer struct {
	heard   time.Time
	known   time.Time
	message Message
}

// Table holds the other gateways. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	now   func() time.Time
	peers map[string]*peer
	self  string
}

// NewTable returns a table without gateways. Self is the own address.
func NewTable(self string, now func() time.Time) *Table {
	return &Table{now: now, peers: map[string]*peer{}, self: self}
}

// Meet takes note of addresses at which there may be gateways.
func (t *Table) Meet(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		t.meet(address)
	}
}

func (t *Table) meet(address string) *peer {
	if address == t.self || address == "" {
		return nil
	}
	p, ok := t.peers[address]
	if !ok {
		if len(t.peers) >= maxPeers {
			return nil
		}
		p = &peer{known: t.now()}
		t.peers[address] = p
	}
	return p
}

// Hear takes note of a message. It returns false for one that is older than the
// last message of the same incarnation, or of an older incarnation.
func (t *Table) Hear(m Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.meet(m.Address)
	if p == nil {
		return false
	}
	old := p.message
	now := t.now()
	// The order of incarnations is by the time of day, which may have been set
	// back. What an earlier one has sent does not arrive after so long.
	late := m.Started < old.Started && now.Sub(p.heard) < aliveTime
	if late || m.Started == old.Started && m.Sent <= old.Sent {
		return false
	}
	p.heard = now
	p.message = m
	for _, address := range m.Peers {
		t.meet(address)
	}
	return true
}

// Echo names the last message from an address; it is zero for none.
func (t *Table) Echo(address string) Echo {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[address]; ok {
		return Echo{Sent: p.message.Sent, Started: p.message.Started}
	}
	return Echo{}
}

// Domain returns the failure domain of the gateway at an address; empty if it was
// never heard.
func (t *Table) Domain(address string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[address]; ok {
		return p.message.Domain
	}
	return ""
}

// Alive returns the last messages of the gateways that are alive, sorted by
// address.
func (t *Table) Alive() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var alive []Message
	for _, p := range t.peers {
		if !p.heard.IsZero() && now.Sub(p.heard) < aliveTime {
			alive = append(alive, p.message)
		}
	}
	slices.SortFunc(alive, func(a, b Message) int { return cmp.Compare(a.Address, b.Address) })
	return alive
}

// Addresses returns all known addresses, sorted, and forgets those that have
// long been silent.
func (t *Table) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var addresses []string
	for address, p := range t.peers {
		last := p.known
		if p.heard.After(last) {
			last = p.heard
		}
		if now.Sub(last) > forgetTime {
			delete(t.peers, address)
			continue
		}
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// readersAtLeast and readersPer say how many gateways read the store for all:
// more than one, so that a paused one does no harm, and one more for so many.
const (
	readersAtLeast = 2
	readersPer     = 64
)

// Readers returns the addresses of the gateways that read the store for all, the
// first in the order of their hashes among those that are alive. All gateways
// find the same ones as soon as they know each other.
func (t *Table) Readers() []string {
	addresses := []string{t.self}
	for _, m := range t.Alive() {
		if !m.Leaving {
			addresses = append(addresses, m.Address)
		}
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	n := readersAtLeast + len(addresses)/readersPer
	return addresses[:min(n, len(addresses))]
}
