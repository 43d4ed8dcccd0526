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

// kindGateway is the system's own kind of objects, by which gateways find each
// other.
const kindGateway savorypin.Kind = "savorypin-gateways"

// meetInterval is how often the list of gateways is read.
const meetInterval = 5 * time.Second

// gatewaySpec is the object of a gateway.
type gatewaySpec struct {
	// Address is where the gateway receives messages of other gateways.
	Address string `json:"address"`
}

func (g *Gateway) newGossip() *savorypingossip.Gossip {
	s := g.settings.Load()
	address := g.address()
	g.peers = savorypingossip.NewTable(address, time.Now)
	for _, host := range s.Seeds {
		g.peers.Meet([]string{net.JoinHostPort(host, strconv.Itoa(s.PeerPort))})
	}
	return savorypingossip.New(savorypingossip.Config{
		Address: address,
		Clock:   bootClock,
		Compose: g.composeGossip,
		Heard:   g.heard,
		Log:     g.log,
		Near:    func(domain string) bool { return s.Regions[domain] == s.Region },
		Started: time.Now().UnixNano(),
		Table:   g.peers,
	})
}

// composeGossip returns what this gateway tells the others.
func (g *Gateway) composeGossip() savorypingossip.Message {
	return savorypingossip.Message{
		Budgets:  g.budgets.told(),
		Copies:   g.store.copies(),
		Domain:   g.settings.Load().Domain,
		Failures: g.picker.Failures(),
		History:  g.picker.History(),
		Leaving:  g.stopping.Load(),
		Loads:    g.picker.Loads(),
		Name:     g.settings.Load().Name,
		Prompts:  g.picker.RunningPrompts(),
		Rollouts: g.rollouts.Reports(),
		Suspects: g.picker.Suspects(),
	}
}

// heard takes over what another gateway tells.
func (g *Gateway) heard(m savorypingossip.Message) {
	g.store.heard(m)
	g.picker.SetLoads(m.Address, m.Loads)
	if g.rollouts.Hear(m.Address, m.Rollouts) {
		g.versionRejected(m.Name)
	}
	d := g.view.directory.Load()
	for _, id := range m.Suspects {
		if e := d.Endpoint(id); e != nil {
			g.picker.HearSuspect(e)
		}
	}
	g.picker.HearHistory(m.History)
	g.picker.HearPrompts(m.Prompts)
	g.budgets.hear(m)
	for _, f := range m.Failures {
		if g.picker.HearFailure(f) {
			g.domainFailed(f.Domain, f.Service, m.Name)
		}
	}
}

// register tells the other gateways by the store where this one is, and reads
// where they are.
func (g *Gateway) register(ctx context.Context) error {
	s := g.settings.Load()
	registered := false
	for {
		if !registered {
			registered = g.writeRegistration(ctx, s)
		}
		// Gateways tell each other of those that they know.
		if !registered || len(g.peers.Alive()) == 0 {
			g.meetRegistered(ctx)
		}
		if err := wait(ctx, meetInterval); err != nil {
			return err
		}
	}
}

// meetRegistered reads from the store where other gateways are.
func (g *Gateway) meetRegistered(ctx context.Context) {
	objects, _, err := g.store.client.List(ctx, kindGateway)
	if err != nil {
		g.log.Debug("gateways not listed", "err", err)
	}
	for _, o := range objects {
		var spec gatewaySpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			g.log.Emit(savorypinevent.Ignored{Err: err, What: "gateway " + o.Name})
			continue
		}
		g.peers.Meet([]string{spec.Address})
	}
}

// writeRegistration creates or replaces the gateway's object.
func (g *Gateway) writeRegistration(ctx context.Context, s *Settings) bool {
	spec, err := json.Marshal(gatewaySpec{Address: g.address()})
	if err != nil {
		g.log.Emit(savorypinevent.Process{Err: err, What: "not registered"})
		return false
	}
	o := savorypin.Object{Key: savorypin.Key{Kind: kindGateway, Name: s.Name}, Spec: spec}
	_, err = g.store.client.Create(ctx, o)
	if savorypinplatform.IsConflict(err) {
		// An earlier incarnation has left its entry.
		_, err = g.store.client.Update(ctx, o)
	}
	if err != nil {
		g.log.Debug("gateway not registered", "err", err)
		return false
	}
	return true
}

// syncServer serves this gateway's copies to others.
func (g *Gateway) syncServer() *savorypingossip.SyncServer {
	return &savorypingossip.SyncServer{Address: g.address(), Mirrors: g.store.mirrors}
}

// address is where this gateway talks to others.
func (g *Gateway) address() string {
	s := g.settings.Load()
	return net.JoinHostPort(s.Host, strconv.Itoa(s.PeerPort))
}

// reader reports whether this gateway reads the store for all.
func (g *Gateway) reader() bool {
	return slices.Contains(g.peers.Readers(), g.address())
}

// notePeers drops the work of gateways that are not alive, and logs which were
// lost and regained. Only the sweep calls it.
func (g *Gateway) notePeers() {
	alive := map[string]bool{}
	for _, m := range g.peers.Alive() {
		alive[m.Address] = true
		if !g.alive[m.Address] {
			g.log.Emit(savorypinevent.Dependency{Name: m.Name + " at " + m.Address})
		}
	}
	for address := range g.alive {
		if !alive[address] {
			g.log.Emit(savorypinevent.Dependency{Lost: true, Name: "gateway at " + address})
		}
	}
	g.alive = alive
	g.picker.KeepGateways(alive)
	g.budgets.keep(alive)
}

// gateways returns the number of gateways that may share a bound with this one.
// One that has just started does not know the others yet, but each failure
// domain has one at least.
func (g *Gateway) gateways() int {
	return 1 + max(len(g.peers.Addresses()), len(g.settings.Load().Regions))
}
