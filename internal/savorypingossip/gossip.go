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
	"savorypin/internal/savorypinmsgpack"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinseal"
)

// Timing and size limits of the exchange.
const (
	// roundInterval is the time between two rounds.
	roundInterval = 200 * time.Millisecond
	// minRoundInterval is the minimum time between two rounds that are triggered early, so
	// that a burst of updates doesn't flood the network.
	minRoundInterval = 50 * time.Millisecond
	// minQueryInterval is the minimum time between two queries for the freshness of copies. It
	// limits the queries while no gateway has a fresher copy.
	minQueryInterval = 500 * time.Millisecond
	// roundsPerHistory is the mean number of rounds between two messages with the failure
	// history. The history seldom changes, and only gateways that have just started need it.
	roundsPerHistory = 8
	// maxDatagramBytes bounds the size of a datagram.
	maxDatagramBytes = 32 << 10
	// maxRoundBytes bounds the updates in a message. Updates that don't fit are sent in later
	// rounds.
	maxRoundBytes = 16 << 10
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
	// StateOf returns the current state of this gateway for one part.
	StateOf func(Part) GatewayState
	// Copies returns the versions and ages of this gateway's copies of the store's objects.
	Copies func() []CopyStatus
	// OnMessage is called with each new message. It processes the contents that aren't
	// forwarded: copies, echo and history.
	OnMessage func(Message)
	// NeedsConfirmation reports whether a copy is so old that another gateway has to confirm
	// it. If early is set, it uses the lower age limit of the gateways that others query.
	NeedsConfirmation func(early bool) bool
	// OnUpdate is called with each update that was not received before.
	OnUpdate func(ReceivedUpdate)
	// History returns the older failures that this gateway has stored.
	History func() []savorypinpick.Failure
	// Region returns the region of a failure domain.
	Region func(domain string) string
	// Sealer authenticates messages.
	Sealer *savorypinseal.Sealer
	Log    *savorypinevent.Log
	// Now returns the wall-clock time.
	Now   func() time.Time
	Table *Table
	// Address is the UDP address at which the gateway receives messages.
	Address string
	// Started identifies the incarnation of this gateway.
	Started int64
}

// Gossip exchanges messages with other gateways.
type Gossip struct {
	// lastQueryAt is when the freshness of copies was last queried. Only runRounds uses it.
	lastQueryAt time.Time
	cfg         Config
	// wake starts the next round early.
	wake chan struct{}
	// rng selects the receivers of messages. Only runRounds uses it.
	rng     *rand.Rand
	updates *UpdateSet
	// send sends a message.
	send func(address string, m *Message) error
}

// New returns a Gossip. Call Run to start it.
func New(cfg Config) *Gossip {
	return &Gossip{
		cfg:  cfg,
		wake: make(chan struct{}, 1),
		rng:  rand.New(rand.NewPCG(uint64(cfg.Started), xxhash.Sum64String(cfg.Address))),
		updates: NewUpdateSet(UpdateSetConfig{
			Now: cfg.Now, Origin: cfg.Address, StaleAfter: cfg.Table.LivenessTimeout, Started: cfg.Started,
		}),
	}
}

// TriggerRound triggers the next round early, for urgent updates.
func (g *Gossip) TriggerRound() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run exchanges messages until ctx ends. It returns the error of the context, or another error
// if the socket can't be opened or was closed.
func (g *Gossip) Run(ctx context.Context) error {
	pc, err := net.ListenPacket("udp4", g.cfg.Address)
	if err != nil {
		return fmt.Errorf("listen for gossip on %s: %w", g.cfg.Address, err)
	}
	g.send = func(address string, m *Message) error { return g.sendTo(pc, address, m) }
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() {
		if err := pc.Close(); err != nil {
			g.cfg.Log.Debug("failed to close the gossip socket", "err", err)
		}
	})()
	group.Go(func() error { return g.receive(ctx, pc) })
	group.Go(func() error { return g.runRounds(ctx) })
	return group.Wait()
}

func (g *Gossip) receive(ctx context.Context, pc net.PacketConn) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := pc.ReadFrom(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("receive gossip: %w", err)
		}
		if err != nil {
			g.cfg.Log.Debug("failed to receive a gossip datagram", "err", err)
			continue
		}
		g.cfg.Log.RunRecovered("hear gossip", func() { g.handleDatagram(buf[:n]) })
	}
}

// handleDatagram processes a received datagram. An invalid one is logged and dropped.
func (g *Gossip) handleDatagram(data []byte) {
	m, err := g.openDatagram(data)
	if err != nil {
		g.cfg.Log.Emit(savorypinevent.Ignored{Err: err, What: "gossip"})
		return
	}
	g.handleMessage(m)
}

// decodeMessage decodes a datagram. It copies the bodies of updates, so that the caller may
// reuse the buffer.
func decodeMessage(data []byte) (m Message, err error) {
	if err := savorypinmsgpack.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("decode message: %w", err)
	}
	for i := range m.Updates {
		m.Updates[i].Body = slices.Clone(m.Updates[i].Body)
	}
	return m, nil
}

// openDatagram authenticates, decodes and validates a datagram.
func (g *Gossip) openDatagram(data []byte) (Message, error) {
	opened, err := g.cfg.Sealer.Open(purposeGossip, data)
	if err != nil {
		return Message{}, err
	}
	m, err := decodeMessage(opened)
	if err != nil {
		return Message{}, err
	}
	return m, m.validate(g.cfg.Now())
}

// handleMessage processes a message. It clears an echo that is for another incarnation of this
// gateway or from the future, as such an echo must not confirm the copies of this one.
func (g *Gossip) handleMessage(m Message) {
	if m.Echo.Started != g.cfg.Started || m.Echo.Sent > g.cfg.Clock() {
		m.Echo = Echo{}
	}
	observation := g.cfg.Table.ObserveMessage(m)
	if observation == ObservationStale {
		return
	}
	g.applyUpdates(m.Updates)
	g.cfg.OnMessage(m)
	switch {
	case observation == ObservationStarted:
		g.reply(m.Address, g.updates.Snapshot(maxRoundBytes))
	case m.WantReply:
		g.reply(m.Address, nil)
	}
}

// applyUpdates stores the updates that are new and passes them to OnUpdate.
func (g *Gossip) applyUpdates(updates []Update) {
	for _, update := range updates {
		if !g.updates.IsNewer(update) {
			continue
		}
		received := ReceivedUpdate{Age: time.Duration(update.Age), Origin: update.Origin, Part: update.Part}
		err := savorypinmsgpack.Unmarshal(update.Body, &received.State)
		if err == nil {
			err = received.State.validate()
		}
		if err != nil {
			g.cfg.Log.Emit(savorypinevent.Ignored{Err: err, What: "rumor of " + update.Origin})
			continue
		}
		if !g.updates.Apply(update) {
			continue
		}
		if update.Part == PartHeartbeat {
			g.applyHeartbeat(received, update.Started)
		}
		g.cfg.OnUpdate(received)
	}
}

// applyHeartbeat records the gateway that sent a heartbeat in the table.
func (g *Gossip) applyHeartbeat(update ReceivedUpdate, started int64) {
	g.cfg.Table.ObserveHeartbeat(Peer{
		Address: update.Origin, Domain: update.State.Domain, Leaving: update.State.Leaving, Name: update.State.Name,
	}, started, update.Age)
}

// runRounds runs rounds until ctx ends.
func (g *Gossip) runRounds(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-g.wake:
		}
		g.cfg.Log.RunRecovered("gossip round", g.runRound)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(minRoundInterval):
		}
	}
}

// runRound publishes what has changed on this gateway and sends messages to some of the
// others.
func (g *Gossip) runRound() {
	g.publish()
	updates := g.updates.TakeRound(maxRoundBytes)
	m := g.newMessage()
	if g.rng.IntN(roundsPerHistory) == 0 {
		m.History = g.cfg.History()
	}
	o := newOverlay(g.cfg.Table, g.cfg.Region, g.rng)
	queried := g.queryTarget(o)
	near := slices.Concat(o.nearTargets(), o.unresponsiveTargets())
	m.Updates = updates
	g.sendAll(near, queried, m)
	otherDomains, otherRegions := o.otherDomainTargets(), o.otherRegionTargets()
	m.Updates = updatesFrom(updates, o.forwardsToDomains)
	g.sendAll(otherDomains, queried, m)
	m.Updates = updatesFrom(updates, o.forwardsToRegions)
	g.sendAll(otherRegions, queried, m)
	m.Updates = updatesFrom(updates, func(origin string) bool { return origin == o.self.Address })
	if relay := o.ownDomainRelay(); len(m.Updates) > 0 && relay != "" && !slices.Contains(near, relay) {
		near = append(near, relay)
		g.sendAll([]string{relay}, queried, m)
	}
	if queried != "" && !slices.Contains(slices.Concat(near, otherDomains, otherRegions), queried) {
		m.Updates = nil
		g.sendAll([]string{queried}, queried, m)
	}
}

// sendAll sends a message to several gateways. The one at the queried address, if it is among
// them, is asked to reply.
func (g *Gossip) sendAll(addresses []string, queried string, m Message) {
	for _, address := range addresses {
		m.WantReply = address == queried
		g.sendMessage(address, m)
	}
}

// queryTarget returns the gateway that is queried in this round for the freshness of its
// copies; empty for none.
func (g *Gossip) queryTarget(o *overlay) string {
	now := g.cfg.Now()
	if now.Sub(g.lastQueryAt) < minQueryInterval || !g.cfg.NeedsConfirmation(o.queriesReaders()) {
		return ""
	}
	g.lastQueryAt = now
	return o.queryTarget()
}

// publish adds the parts of this gateway's state that have changed or are due for a refresh to
// the update set.
func (g *Gossip) publish() {
	interval := g.cfg.Table.HeartbeatInterval()
	for _, part := range parts {
		if err := g.updates.Publish(part, g.cfg.StateOf(part), publishIntervalsOf(part, interval)); err != nil {
			g.cfg.Log.Debug("failed to publish own state", "err", err)
		}
	}
}

// updatesFrom returns the updates whose origin passes the filter.
func updatesFrom(updates []Update, filter func(origin string) bool) []Update {
	var filtered []Update
	for _, update := range updates {
		if filter(update.Origin) {
			filtered = append(filtered, update)
		}
	}
	return filtered
}

// reply sends a message at once, outside of a round.
func (g *Gossip) reply(address string, updates []Update) {
	m := g.newMessage()
	if len(updates) > 0 {
		m.History = g.cfg.History()
	}
	m.Updates = updates
	g.sendMessage(address, m)
}

// newMessage returns a message without updates.
func (g *Gossip) newMessage() Message {
	return Message{
		Address: g.cfg.Address, Copies: g.cfg.Copies(), Domain: g.cfg.Table.self.Domain, Started: g.cfg.Started,
	}
}

func (g *Gossip) sendMessage(address string, m Message) {
	m.Echo = g.cfg.Table.Echo(address)
	m.Sent = g.cfg.Clock()
	if err := g.send(address, &m); err != nil {
		g.cfg.Log.Debug("failed to send a gossip message", "peer", address, "err", err)
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
	if len(sealed) > maxDatagramBytes {
		return fmt.Errorf("message of %d bytes is too long for a datagram", len(sealed))
	}
	_, err = pc.WriteTo(sealed, net.UDPAddrFromAddrPort(to))
	return err
}
