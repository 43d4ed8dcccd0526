package savorypingateway

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinplatform"
)

// kindGateway is the kind of the objects that gateways write to the store to discover each other.
const kindGateway savorypin.Kind = "savorypin-gateways"

// discoveryInterval is the interval at which a gateway checks whether it has to register itself or
// to read the list of gateways.
const discoveryInterval = 5 * time.Second

// gatewaySpec is the spec of a gateway's object.
type gatewaySpec struct {
	// Address is the address on which the gateway receives messages of other gateways.
	Address string `json:"address"`
}

func (g *Gateway) newGossip() *savorypingossip.Gossip {
	s := g.settings.Load()
	address := g.peerAddress()
	g.peers = savorypingossip.NewTable(savorypingossip.Peer{Address: address, Domain: s.Domain, Name: s.Name}, time.Now)
	for _, host := range s.Seeds {
		g.peers.AddAddresses([]string{net.JoinHostPort(host, strconv.Itoa(s.PeerPort))})
	}
	return savorypingossip.New(savorypingossip.Config{
		Address:           address,
		Clock:             g.cfg.Clock,
		StateOf:           g.composeState,
		Copies:            func() []savorypingossip.CopyStatus { return g.store.copies() },
		OnMessage:         g.handleMessage,
		NeedsConfirmation: func(early bool) bool { return g.store.needsConfirmation(early) },
		OnUpdate:          g.handleUpdate,
		History:           g.picker.FailureHistory,
		Log:               g.log,
		Now:               time.Now,
		Region:            func(domain string) string { return s.Regions[domain] },
		Sealer:            g.sealer,
		Started:           time.Now().UnixNano(),
		Table:             g.peers,
	})
}

// composeState returns one part of the state that this gateway reports to the others.
func (g *Gateway) composeState(part savorypingossip.Part) savorypingossip.GatewayState {
	switch part {
	case savorypingossip.PartHeartbeat:
		s := g.settings.Load()
		return savorypingossip.GatewayState{
			Configuration: g.configurationVersion(), Domain: s.Domain, Leaving: g.stopping.Load(), Name: s.Name,
		}
	case savorypingossip.PartBudget:
		counts := g.retryBudgets.ownCounts()
		g.requestShares.recordReport(counts)
		return savorypingossip.GatewayState{Budgets: counts}
	case savorypingossip.PartFailure:
		return savorypingossip.GatewayState{Failures: g.picker.Failures(), Suspects: g.picker.Suspects()}
	case savorypingossip.PartLimit:
		return savorypingossip.GatewayState{Limits: g.endpointLimits.Report()}
	case savorypingossip.PartQuarantine:
		return savorypingossip.GatewayState{Quarantine: g.quarantineReport()}
	case savorypingossip.PartRollout:
		return savorypingossip.GatewayState{Rollouts: g.rollouts.Reports()}
	case savorypingossip.PartLoad:
		return savorypingossip.GatewayState{Loads: g.picker.Loads(), Waiting: g.queues.report()}
	}
	return savorypingossip.GatewayState{}
}

// handleMessage processes another gateway's message, apart from the state updates in it.
func (g *Gateway) handleMessage(m savorypingossip.Message) {
	g.store.handleCopies(m)
	g.picker.AddFailureHistory(m.History)
}

// handleUpdate processes a state update that a gateway reports about itself.
func (g *Gateway) handleUpdate(update savorypingossip.ReceivedUpdate) {
	switch update.Part {
	case savorypingossip.PartHeartbeat:
		g.store.handlePeerVersion(update.Origin, update.State.Configuration)
	case savorypingossip.PartBudget:
		g.retryBudgets.setPeerCounts(update.Origin, update.State.Budgets)
		g.requestShares.setPeer(update.Origin, update.State.Budgets)
	case savorypingossip.PartFailure:
		g.handleFailures(update)
	case savorypingossip.PartLimit:
		g.handleLimits(update)
	case savorypingossip.PartQuarantine:
		g.handleQuarantineReport(update)
	case savorypingossip.PartRollout:
		if g.rollouts.ApplyReports(update.Origin, update.State.Rollouts) {
			g.announceRejection(update.Origin)
		}
	case savorypingossip.PartLoad:
		g.picker.SetLoads(update.Origin, update.State.Loads)
		g.loadReports.record(update.Origin, update.Age)
		g.peersWaiting.set(update.Origin, update.State.Waiting)
		g.queues.loadsChanged()
	}
}

// handleFailures processes the failures that a gateway has detected.
func (g *Gateway) handleFailures(update savorypingossip.ReceivedUpdate) {
	d := g.view.directory.Load()
	for _, id := range update.State.Suspects {
		if e := d.Endpoint(id); e != nil {
			g.picker.RecordRemoteSuspect(e)
		}
	}
	for _, failure := range update.State.Failures {
		failure.Age += update.Age
		if g.picker.RecordRemoteFailure(failure) {
			g.markDomainFailed(failure.Domain, failure.Service, update.Origin)
		}
	}
}

// register writes this gateway's address to the store for the other gateways, and reads their
// addresses. It does so until ctx is done.
func (g *Gateway) register(ctx context.Context) error {
	s := g.settings.Load()
	registered := false
	g.log.RunRecovered("meet gateways", func() { registered = g.discoverPeers(ctx) })
	close(g.discoveryDone)
	era := g.store.client.Era()
	for {
		// A store that was restored from an older copy may have lost this gateway's object.
		if current := g.store.client.Era(); current != era {
			era, registered = current, false
		}
		g.log.RunRecovered("register", func() {
			registered = registered || g.writeRegistration(ctx, s)
		})
		if err := wait(ctx, discoveryInterval); err != nil {
			return err
		}
		// Live gateways tell each other the addresses that they know, so that only a gateway that
		// is not registered or knows no live one needs the list.
		if !registered || len(g.peers.Live()) == 0 {
			g.log.RunRecovered("meet gateways", func() { registered = g.discoverPeers(ctx) })
		}
	}
}

// discoverPeers reads the addresses of the gateways from the store. It reports whether this
// gateway is registered there with its current address, for example by an earlier process.
func (g *Gateway) discoverPeers(ctx context.Context) bool {
	objects, err := g.store.client.ListStale(ctx, kindGateway)
	if err != nil {
		g.log.Debug("listing gateways from the store failed", "err", err)
	}
	registered := false
	for _, o := range objects {
		var spec gatewaySpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			g.log.Emit(savorypinevent.Ignored{Err: err, What: "gateway " + o.Name})
			continue
		}
		registered = registered || o.Name == g.settings.Load().Name && spec.Address == g.peerAddress()
		g.peers.AddAddresses([]string{spec.Address})
	}
	return registered
}

// writeRegistration creates or replaces this gateway's object. It reports success.
func (g *Gateway) writeRegistration(ctx context.Context, s *Settings) bool {
	spec, err := json.Marshal(gatewaySpec{Address: g.peerAddress()})
	if err != nil {
		g.log.Emit(savorypinevent.Process{Err: err, What: "not registered"})
		return false
	}
	o := savorypin.Object{Key: savorypin.Key{Kind: kindGateway, Name: s.Name}, Spec: spec}
	_, err = g.store.client.Create(ctx, o)
	if savorypinplatform.IsConflict(err) {
		// The gateway was registered before, possibly with another address.
		_, err = g.store.client.Update(ctx, o)
	}
	if err != nil {
		g.log.Debug("registering the gateway in the store failed", "err", err)
		return false
	}
	return true
}

// syncServer returns the server that sends the changes of this gateway's copies to others.
func (g *Gateway) syncServer() *savorypingossip.SyncServer {
	return &savorypingossip.SyncServer{
		Address: g.peerAddress(), Clock: g.cfg.Clock, Log: g.log, Mirrors: g.store.mirrors,
		Requests: newConnectionLimits(g.settings.Load()).internal, Sealer: g.sealer,
	}
}

// peerAddress returns the address on which this gateway receives messages of other gateways.
func (g *Gateway) peerAddress() string {
	s := g.settings.Load()
	return net.JoinHostPort(s.Host, strconv.Itoa(s.PeerPort))
}

// isReader reports whether this gateway reads the store for all gateways.
func (g *Gateway) isReader() bool {
	return slices.Contains(g.peers.Readers(), g.peerAddress())
}

// updatePeers drops the loads and the request counts of gateways that are not live, and logs
// which gateways were lost or are live again. Only the sweep calls it.
func (g *Gateway) updatePeers() {
	live := map[string]bool{}
	for _, p := range g.peers.Live() {
		live[p.Address] = true
		if !g.livePeers[p.Address] {
			g.log.Emit(savorypinevent.Dependency{Name: p.Name + " at " + p.Address})
		}
	}
	for address := range g.livePeers {
		if !live[address] {
			g.log.Emit(savorypinevent.Dependency{Lost: true, Name: "gateway at " + address})
		}
	}
	g.livePeers = live
	g.picker.RetainGateways(live)
	g.retryBudgets.retainPeers(live)
	g.requestShares.retainPeers(live)
	g.loadReports.retain(live)
	g.peersWaiting.retain(live)
}

// gatewayCount returns the number of gateways that may share a limit with this one. A gateway
// that has just started does not know the others yet, but each failure domain has at least one.
func (g *Gateway) gatewayCount() int {
	return 1 + max(g.peers.Len(), len(g.settings.Load().Regions))
}
