package savorypingossip

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"savorypin/internal/savorypinevent"
)

// Settings of the exchange.
const (
	// roundTime is the time between two rounds.
	roundTime = 200 * time.Millisecond
	// hurriedTime is the least time between two rounds, so that a wave of news does
	// not become a flood of messages.
	hurriedTime = 50 * time.Millisecond
	// nearPeers and farPeers are the numbers of gateways in the own region and in
	// others that get a message in a round, which bounds what gossip costs however
	// many gateways there are. Bytes between regions are dear.
	nearPeers = 6
	farPeers  = 2
	// historyRounds is in how many rounds the history is told once: it changes
	// seldom, and only gateways that have just started need it.
	historyRounds = 8
	// datagramBytes bounds a message.
	datagramBytes = 32 << 10
	// passedPeers is the number of addresses that a message passes on.
	passedPeers = 4
)

// Config configures a Gossip.
type Config struct {
	// Clock is the boot-time clock.
	Clock func() time.Duration
	// Compose returns what is told to all gateways alike.
	Compose func() Message
	// Heard is called with each new message.
	Heard func(Message)
	// Near reports whether a failure domain is in the own region.
	Near  func(domain string) bool
	Log   *savorypinevent.Log
	Table *Table
	// Address is where the gateway receives messages.
	Address string
	// Started tells incarnations apart.
	Started int64
}

// Gossip exchanges messages with other gateways.
type Gossip struct {
	cfg Config
	now chan struct{}
}

// New returns a gossip that has not started.
func New(cfg Config) *Gossip {
	return &Gossip{cfg: cfg, now: make(chan struct{}, 1)}
}

// Hurry lets the next round begin at once, for news that can't wait.
func (g *Gossip) Hurry() {
	select {
	case g.now <- struct{}{}:
	default:
	}
}

// Run exchanges messages until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	pc, err := net.ListenPacket("udp4", g.cfg.Address)
	if err != nil {
		return fmt.Errorf("listen for gossip on %s: %w", g.cfg.Address, err)
	}
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() {
		if err := pc.Close(); err != nil {
			g.cfg.Log.Debug("gossip socket not closed", "err", err)
		}
	})()
	group.Go(func() error { return g.receive(ctx, pc) })
	group.Go(func() error { return g.send(ctx, pc) })
	return group.Wait()
}

func (g *Gossip) receive(ctx context.Context, pc net.PacketConn) error {
	buf := make([]byte, datagramBytes)
	for {
		n, _, err := pc.ReadFrom(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("receive gossip: %w", err)
		}
		if err != nil {
			g.cfg.Log.Debug("gossip not received", "err", err)
			continue
		}
		var m Message
		if err := msgpack.Unmarshal(buf[:n], &m); err != nil {
			g.cfg.Log.Emit(savorypinevent.Ignored{Err: err, What: "gossip"})
			continue
		}
		g.hear(m)
	}
}

// hear passes a new message on. One that answers an earlier incarnation of this
// gateway confirms nothing to this one.
func (g *Gossip) hear(m Message) {
	if m.Echo.Started != g.cfg.Started || m.Echo.Sent > g.cfg.Clock() {
		m.Echo = Echo{}
	}
	if g.cfg.Table.Hear(m) {
		g.cfg.Heard(m)
	}
}

func (g *Gossip) send(ctx context.Context, pc net.PacketConn) error {
	ticker := time.NewTicker(roundTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-g.now:
		}
		g.round(pc)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(hurriedTime):
		}
	}
}

// round sends a message to some gateways.
func (g *Gossip) round(pc net.PacketConn) {
	addresses := g.cfg.Table.Addresses()
	if len(addresses) == 0 {
		return
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	m := g.cfg.Compose()
	m.Address = g.cfg.Address
	m.Started = g.cfg.Started
	m.Peers = addresses[:min(passedPeers, len(addresses))]
	if rand.IntN(historyRounds) > 0 {
		m.History = nil
	}
	for _, address := range g.receivers(addresses) {
		m.Echo = g.cfg.Table.Echo(address)
		m.Sent = g.cfg.Clock()
		if err := sendTo(pc, address, &m); err != nil {
			g.cfg.Log.Debug("gossip not sent", "peer", address, "err", err)
		}
	}
}

// receivers returns who gets a message in a round. Those that read the store come
// first: their answers are the freshest.
func (g *Gossip) receivers(addresses []string) []string {
	readers := g.cfg.Table.Readers()
	ordered := slices.Clone(addresses)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return cmp.Compare(slices.Index(readers, b), slices.Index(readers, a))
	})
	var receivers []string
	near, far := 0, 0
	for _, address := range ordered {
		domain := g.cfg.Table.Domain(address)
		switch {
		case (domain == "" || g.cfg.Near(domain)) && near < nearPeers:
			near++
		case domain != "" && !g.cfg.Near(domain) && far < farPeers:
			far++
		default:
			continue
		}
		receivers = append(receivers, address)
	}
	return receivers
}

func sendTo(pc net.PacketConn, address string, m *Message) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	data, err := msgpack.Marshal(m)
	if err != nil {
		return err
	}
	if len(data) > datagramBytes {
		return fmt.Errorf("message has %d bytes", len(data))
	}
	_, err = pc.WriteTo(data, net.UDPAddrFromAddrPort(to))
	return err
}
