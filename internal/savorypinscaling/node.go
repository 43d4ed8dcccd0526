package savorypinscaling

import (
	"fmt"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinmembership"
)

// slots is the maximum number of requests that each endpoint runs at once.
const slots = 96

// Node runs the membership and the configuration of one daemon.
type Node struct {
	address     string
	pausedUntil time.Time
	bytes       int
	distributor *savorypinconfig.Distributor
	draining    bool
	fleet       *Fleet
	gossip      *savorypinmembership.Gossip
	index       int
	epoch       int
	loads       []int
	readiness   *savorypinconfig.Readiness
	reader      *reader
	running     bool
	store       *savorypinconfig.Store
}

// Name returns the name of the daemon.
func (n *Node) Name() string {
	return fmt.Sprintf("host-%03d", n.index)
}

// Address returns the address of the daemon.
func (n *Node) Address() string {
	return n.address
}

// Config returns the configuration in force at the daemon.
func (n *Node) Config() *savorypinconfig.Snapshot {
	return n.store.Snapshot()
}

// Members returns the members that the daemon knows.
func (n *Node) Members() *savorypinmembership.View {
	return n.gossip.View()
}

// Region returns the region of the daemon.
func (n *Node) Region() string {
	return n.place().Region
}

// Synced reports whether the daemon has the whole configuration.
func (n *Node) Synced() bool {
	return n.running && n.readiness.Synced()
}

// Drain makes the daemon announce that it takes no new work.
func (n *Node) Drain() {
	n.draining = true
}

// Kill ends the daemon without a graceful stop.
func (n *Node) Kill() {
	n.epoch++
	n.running = false
}

// Pause stops the daemon for d. Messages that arrive in the meantime are handled
// afterwards.
func (n *Node) Pause(d time.Duration) {
	n.pausedUntil = n.fleet.now.Add(d)
}

// Restart kills the daemon and starts it with no state.
func (n *Node) Restart() {
	n.Kill()
	n.draining = false
	n.start()
}

func (n *Node) place() Place {
	return Places[n.index%len(Places)]
}

func (n *Node) role() savorypin.Role {
	if n.index%n.fleet.cfg.EntryEvery == 0 {
		return savorypin.RoleEntry
	}
	return savorypin.RoleAgent
}

func (n *Node) start() {
	f := n.fleet
	n.epoch++
	n.running = true
	n.store = savorypinconfig.NewStore()
	n.loads = make([]int, f.cfg.Endpoints)
	for i := range n.loads {
		n.loads[i] = slots / 2
	}
	now := func() time.Time { return f.now }
	n.readiness = savorypinconfig.NewReadiness(savorypinconfig.ReadinessConfig{Domains: n.liveDomains, Now: now})
	n.gossip = savorypinmembership.NewGossip(savorypinmembership.GossipConfig{
		Incarnation: f.now.UnixNano(),
		Name:        n.Name(),
		Now:         now,
		Rand:        f.rand.IntN,
		Seeds:       []string{f.nodes[0].address, f.nodes[1].address, f.nodes[2].address},
		Self:        n.describe,
		Synced:      n.readiness.Synced,
	})
	n.distributor = savorypinconfig.NewDistributor(savorypinconfig.DistributorConfig{
		OnChange: func([]savorypin.Object) {},
		Now:      now,
		Peers:    n.gossip.UrgentPeers,
		Store:    n.store,
		Synced:   n.readiness.Synced,
	})
	n.reader = newReader(n)
	n.tick(n.epoch)
}

// runUnpaused runs f, at the end of the pause if the daemon is paused. It drops f
// if the daemon has ended or restarted since the given epoch.
func (n *Node) runUnpaused(epoch int, f func()) {
	if n.epoch != epoch || !n.running {
		return
	}
	if wait := n.pausedUntil.Sub(n.fleet.now); wait > 0 {
		n.fleet.schedule(wait, func() { n.runUnpaused(epoch, f) })
		return
	}
	f()
}

// tick runs one tick of the membership and schedules the next one.
func (n *Node) tick(epoch int) {
	n.fleet.schedule(savorypinmembership.TickInterval, func() {
		n.runUnpaused(epoch, func() { n.tick(epoch) })
	})
	n.changeLoads()
	heartbeats, reports := n.gossip.Tick()
	n.sendHeartbeats(heartbeats)
	for _, r := range reports {
		n.sendReport(r)
	}
	n.reader.openDue()
}

// changeLoads changes the number of running requests of each endpoint by a small
// random amount, as new and finished requests do.
func (n *Node) changeLoads() {
	const step = 2
	for i := range n.loads {
		n.loads[i] = min(slots, max(0, n.loads[i]+n.fleet.rand.IntN(2*step+1)-step))
	}
}

// describe returns the state that the daemon announces.
func (n *Node) describe() savorypin.MemberState {
	s := savorypin.MemberState{
		Address:  n.address,
		Applied:  n.store.Snapshot().Digest(),
		Domain:   n.place().Domain,
		Draining: n.draining,
		HTTP:     n.address,
		Name:     n.Name(),
		Region:   n.place().Region,
		Role:     n.role(),
	}
	if s.Role == savorypin.RoleEntry {
		return s
	}
	for i, running := range n.loads {
		s.Endpoints = append(s.Endpoints, savorypin.EndpointState{
			Healthy:          true,
			Name:             fmt.Sprintf("engine-%03d-%d", n.index, i),
			PrefillPerSecond: 20000,
			Running:          running,
			Service:          "assistant",
			Slots:            slots,
			TokensPerSecond:  22,
			Type:             savorypin.EndpointEngine,
			Versions:         []string{"assistant-v1"},
		})
	}
	return s
}

// liveDomains returns the number of failure domains with live members other than
// the daemon itself.
func (n *Node) liveDomains() int {
	domains := map[string]bool{}
	for _, m := range n.gossip.View().All() {
		if m.Health() == savorypinmembership.HealthLive && m.State().Name != n.Name() {
			domains[m.State().Domain] = true
		}
	}
	return len(domains)
}

func (n *Node) sendHeartbeats(heartbeats []savorypinmembership.Envelope) {
	for _, e := range heartbeats {
		call(n, e.Address, savorypinmember.FrameHeartbeat, e.Message,
			func(to *Node, m savorypinmembership.Message) savorypinmembership.Message {
				answer, out := to.gossip.HandleRequest(m)
				to.sendHeartbeats(out)
				return answer
			},
			func(answer savorypinmembership.Message) { n.handleHeartbeatAnswer(e, answer) })
	}
}

func (n *Node) handleHeartbeatAnswer(e savorypinmembership.Envelope, answer savorypinmembership.Message) {
	n.sendHeartbeats(n.gossip.HandleAnswer(e, answer))
	if m, ok := n.gossip.View().Get(answer.From); ok && answer.Synced {
		n.readiness.CompareDigest(m.State().Domain, n.store.Snapshot().Digest(), answer.Applied)
	}
	n.sendExchanges(n.distributor.HandleDigest(e.Address, answer.Applied))
}

func (n *Node) sendExchanges(out []savorypinconfig.Envelope) {
	for _, e := range out {
		call(n, e.Address, savorypinmember.FrameConfig, e.Message,
			func(to *Node, m savorypinconfig.Message) savorypinconfig.Message {
				answer, further := to.distributor.HandleRequest(m)
				to.sendExchanges(further)
				return answer
			},
			func(answer savorypinconfig.Message) { n.sendExchanges(n.distributor.HandleReply(e.Address, answer)) })
	}
}

func (n *Node) sendReport(r savorypinmembership.ReportEnvelope) {
	to := n.fleet.node(r.Address)
	if to == nil {
		return
	}
	transmit(n.fleet, n, to, savorypinmember.FrameReport, r.Report, func(r savorypinmembership.Report) {
		to.gossip.ReceiveReport(r)
	})
}

// Domain returns the failure domain of the daemon.
func (n *Node) Domain() string {
	return n.place().Domain
}

// Reads reports whether the daemon watches the platform.
func (n *Node) Reads() bool {
	return n.reader.reading
}
