package savorypingossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinpack"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinseal"
)

// Settings of the exchange.
const (
	// roundTime is the time between two rounds.
	roundTime = 200 * time.Millisecond
	// hurriedTime is the least time between two rounds, so that a wave of news does
	// not become a flood of messages.
	hurriedTime = 50 * time.Millisecond
	// askPause is the least time between two questions, should nobody know more.
	askPause = 500 * time.Millisecond
	// historyRounds is in how many rounds the history is told once: it changes
	// seldom, and only gateways that have just started need it.
	historyRounds = 8
	// datagramBytes bounds a message that is received.
	datagramBytes = 32 << 10
	// roundBytes bounds the rumors of a message: what does not fit waits for the
	// next round.
	roundBytes = 16 << 10
)

// Purposes of sealed messages.
const (
	purposeGossip   = "gossip"
	purposeTransfer = "transfer"
)

// Config configures a Gossip.
type Config struct {
	// Clock is the boot-time clock.
	Clock func() time.Duration
	// Compose returns a part of what this gateway tells of itself.
	Compose func(Part) News
	// Copies says how far this gateway's copies of the store's objects are.
	Copies func() []Copy
	// Direct is called with each new message from the gateway that sent it.
	Direct func(Message)
	// Doubtful reports whether the copies need to be confirmed by others. Those that
	// others ask need it sooner.
	Doubtful func(sooner bool) bool
	// Heard is called with each new fact.
	Heard func(Fact)
	// History returns the older failures that this gateway remembers.
	History func() []savorypinpick.Failure
	// Region returns the region of a failure domain.
	Region func(domain string) string
	// Sealer authenticates messages.
	Sealer *savorypinseal.Sealer
	Log    *savorypinevent.Log
	// Now is the clock.
	Now   func() time.Time
	Table *Table
	// Address is where the gateway receives messages.
	Address string
	// Started tells incarnations apart.
	Started int64
}

// Gossip exchanges messages with other gateways.
type Gossip struct {
	// askedAt is when another gateway was last asked. Only rounds use it.
	askedAt time.Time
	cfg     Config
	now     chan struct{}
	// rng chooses who gets messages. Only rounds use it.
	rng    *rand.Rand
	rumors *Rumors
	// send sends a message.
	send func(address string, m *Message) error
}

// New returns a gossip that has not started.
func New(cfg Config) *Gossip {
	return &Gossip{
		cfg: cfg,
		now: make(chan struct{}, 1),
		rng: rand.New(rand.NewPCG(uint64(cfg.Started), xxhash.Sum64String(cfg.Address))),
		rumors: NewRumors(RumorsConfig{
			Now: cfg.Now, Origin: cfg.Address, Stale: cfg.Table.AliveTime, Started: cfg.Started,
		}),
	}
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
	g.send = func(address string, m *Message) error { return g.sendTo(pc, address, m) }
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() {
		if err := pc.Close(); err != nil {
			g.cfg.Log.Debug("gossip socket not closed", "err", err)
		}
	})()
	group.Go(func() error { return g.receive(ctx, pc) })
	group.Go(func() error { return g.rounds(ctx) })
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
		g.cfg.Log.Contain("hear gossip", func() { g.hearDatagram(buf[:n]) })
	}
}

// hearDatagram takes over what a datagram holds, if it can be used.
func (g *Gossip) hearDatagram(data []byte) {
	m, err := g.open(data)
	if err != nil {
		g.cfg.Log.Emit(savorypinevent.Ignored{Err: err, What: "gossip"})
		return
	}
	g.hear(m)
}

// decodeMessage decodes a datagram. Its bytes may be used again afterwards.
func decodeMessage(data []byte) (m Message, err error) {
	if err := savorypinpack.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("decode message: %w", err)
	}
	for i := range m.Rumors {
		m.Rumors[i].Body = slices.Clone(m.Rumors[i].Body)
	}
	return m, nil
}

// open returns the message of a datagram, if it is authentic and claims nothing that
// can't be.
func (g *Gossip) open(data []byte) (Message, error) {
	opened, err := g.cfg.Sealer.Open(purposeGossip, data)
	if err != nil {
		return Message{}, err
	}
	m, err := decodeMessage(opened)
	if err != nil {
		return Message{}, err
	}
	return m, m.check(g.cfg.Now())
}

// hear takes a message over. One that answers an earlier incarnation of this
// gateway confirms nothing to this one.
func (g *Gossip) hear(m Message) {
	if m.Echo.Started != g.cfg.Started || m.Echo.Sent > g.cfg.Clock() {
		m.Echo = Echo{}
	}
	hearing := g.cfg.Table.Hear(m)
	if hearing == HearingOld {
		return
	}
	g.hearRumors(m.Rumors)
	g.cfg.Direct(m)
	switch {
	case hearing == HearingStarted:
		g.answer(m.Address, g.rumors.All(roundBytes))
	case m.Ask:
		g.answer(m.Address, nil)
	}
}

// hearRumors passes on what is new among rumors.
func (g *Gossip) hearRumors(rumors []Rumor) {
	for _, rumor := range rumors {
		if !g.rumors.Newer(rumor) {
			continue
		}
		fact := Fact{Age: time.Duration(rumor.Age), Origin: rumor.Origin, Part: rumor.Part}
		err := savorypinpack.Unmarshal(rumor.Body, &fact.News)
		if err == nil {
			err = fact.News.check()
		}
		if err != nil {
			g.cfg.Log.Emit(savorypinevent.Ignored{Err: err, What: "rumor of " + rumor.Origin})
			continue
		}
		if !g.rumors.Hear(rumor) {
			continue
		}
		if rumor.Part == PartAlive {
			g.hearAlive(fact, rumor.Started)
		}
		g.cfg.Heard(fact)
	}
}

// hearAlive takes a heartbeat over.
func (g *Gossip) hearAlive(f Fact, started int64) {
	g.cfg.Table.HearAlive(Peer{
		Address: f.Origin, Domain: f.News.Domain, Leaving: f.News.Leaving, Name: f.News.Name,
	}, started, f.Age)
}

func (g *Gossip) rounds(ctx context.Context) error {
	ticker := time.NewTicker(roundTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-g.now:
		}
		g.cfg.Log.Contain("gossip round", g.round)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(hurriedTime):
		}
	}
}

// round tells what is new of this gateway and sends messages to some others.
func (g *Gossip) round() {
	g.tell()
	rumors := g.rumors.Round(roundBytes)
	m := g.message()
	if g.rng.IntN(historyRounds) == 0 {
		m.History = g.cfg.History()
	}
	o := newOverlay(g.cfg.Table, g.cfg.Region, g.rng)
	asked := g.asked(o)
	near := slices.Concat(o.near(), o.sounded())
	m.Rumors = rumors
	g.sendAll(near, asked, m)
	across, far := o.across(), o.far()
	m.Rumors = rumorsOf(rumors, o.goesAcross)
	g.sendAll(across, asked, m)
	m.Rumors = rumorsOf(rumors, o.goesFar)
	g.sendAll(far, asked, m)
	m.Rumors = rumorsOf(rumors, func(origin string) bool { return origin == o.self.Address })
	if relay := o.relay(); len(m.Rumors) > 0 && relay != "" && !slices.Contains(near, relay) {
		near = append(near, relay)
		g.sendAll([]string{relay}, asked, m)
	}
	if asked != "" && !slices.Contains(slices.Concat(near, across, far), asked) {
		m.Rumors = nil
		g.sendAll([]string{asked}, asked, m)
	}
}

// sendAll sends a message to some gateways, one of which may be asked.
func (g *Gossip) sendAll(addresses []string, asked string, m Message) {
	for _, address := range addresses {
		m.Ask = address == asked
		g.sendMessage(address, m)
	}
}

// asked returns who is asked in this round how fresh the copies are; empty for
// nobody.
func (g *Gossip) asked(o *overlay) string {
	now := g.cfg.Now()
	if now.Sub(g.askedAt) < askPause || !g.cfg.Doubtful(o.asksReaders()) {
		return ""
	}
	g.askedAt = now
	return o.asked()
}

// tell lets the parts of what this gateway tells spread that have changed.
func (g *Gossip) tell() {
	beat := g.cfg.Table.Beat()
	for _, part := range parts {
		if err := g.rumors.Tell(part, g.cfg.Compose(part), paceOf(part, beat)); err != nil {
			g.cfg.Log.Debug("news not told", "err", err)
		}
	}
}

// rumorsOf returns the rumors whose origins pass.
func rumorsOf(rumors []Rumor, passes func(origin string) bool) []Rumor {
	var of []Rumor
	for _, rumor := range rumors {
		if passes(rumor.Origin) {
			of = append(of, rumor)
		}
	}
	return of
}

// answer sends a message at once.
func (g *Gossip) answer(address string, rumors []Rumor) {
	m := g.message()
	if len(rumors) > 0 {
		m.History = g.cfg.History()
	}
	m.Rumors = rumors
	g.sendMessage(address, m)
}

// message returns a message without rumors.
func (g *Gossip) message() Message {
	return Message{
		Address: g.cfg.Address, Copies: g.cfg.Copies(), Domain: g.cfg.Table.self.Domain, Started: g.cfg.Started,
	}
}

func (g *Gossip) sendMessage(address string, m Message) {
	m.Echo = g.cfg.Table.Echo(address)
	m.Sent = g.cfg.Clock()
	if err := g.send(address, &m); err != nil {
		g.cfg.Log.Debug("gossip not sent", "peer", address, "err", err)
	}
}

func (g *Gossip) sendTo(pc net.PacketConn, address string, m *Message) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	data, err := msgpack.Marshal(m)
	if err != nil {
		return err
	}
	sealed := g.cfg.Sealer.Seal(purposeGossip, data)
	if len(sealed) > datagramBytes {
		return fmt.Errorf("message has %d bytes", len(sealed))
	}
	_, err = pc.WriteTo(sealed, net.UDPAddrFromAddrPort(to))
	return err
}
