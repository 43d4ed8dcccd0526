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
	g.peers = savorypingossip.NewTable(savorypingossip.Peer{Address: address, Domain: s.Domain, Name: s.Name}, time.Now)
	for _, host := range s.Seeds {
		g.peers.Meet([]string{net.JoinHostPort(host, strconv.Itoa(s.PeerPort))})
	}
	return savorypingossip.New(savorypingossip.Config{
		Address:  address,
		Clock:    bootClock,
		Compose:  g.composeNews,
		Copies:   func() []savorypingossip.Copy { return g.store.copies() },
		Direct:   g.hearMessage,
		Doubtful: func(sooner bool) bool { return g.store.doubtful(sooner) },
		Heard:    g.hearFact,
		History:  g.picker.History,
		Log:      g.log,
		Now:      time.Now,
		Region:   func(domain string) string { return s.Regions[domain] },
		Sealer:   g.sealer,
		Started:  time.Now().UnixNano(),
		Table:    g.peers,
	})
}

// composeNews returns a part of what this gateway tells the others.
func (g *Gateway) composeNews(part savorypingossip.Part) savorypingossip.News {
	switch part {
	case savorypingossip.PartAlive:
		s := g.settings.Load()
		return savorypingossip.News{
			Configuration: g.configurationVersion(), Domain: s.Domain, Leaving: g.stopping.Load(), Name: s.Name,
		}
	case savorypingossip.PartBudget:
		return savorypingossip.News{Budgets: g.budgets.told()}
	case savorypingossip.PartFailure:
		return savorypingossip.News{Failures: g.picker.Failures(), Suspects: g.picker.Suspects()}
	case savorypingossip.PartRollout:
		return savorypingossip.News{Rollouts: g.rollouts.Reports()}
	case savorypingossip.PartWork:
		return savorypingossip.News{Loads: g.picker.Loads()}
	}
	return savorypingossip.News{}
}

// hearMessage takes over what another gateway tells of what it knows.
func (g *Gateway) hearMessage(m savorypingossip.Message) {
	g.store.heard(m)
	g.picker.HearHistory(m.History)
}

// hearFact takes over what a gateway tells of itself.
func (g *Gateway) hearFact(f savorypingossip.Fact) {
	switch f.Part {
	case savorypingossip.PartAlive:
		g.store.heardConfiguration(f.Origin, f.News.Configuration)
	case savorypingossip.PartBudget:
		g.budgets.hear(f.Origin, f.News.Budgets)
	case savorypingossip.PartFailure:
		g.hearFailures(f)
	case savorypingossip.PartRollout:
		if g.rollouts.Hear(f.Origin, f.News.Rollouts) {
			g.versionRejected(f.Origin)
		}
	case savorypingossip.PartWork:
		g.picker.SetLoads(f.Origin, f.News.Loads)
	}
}

// hearFailures takes over which failures a gateway has seen.
func (g *Gateway) hearFailures(f savorypingossip.Fact) {
	d := g.view.directory.Load()
	for _, id := range f.News.Suspects {
		if e := d.Endpoint(id); e != nil {
			g.picker.HearSuspect(e)
		}
	}
	for _, failure := range f.News.Failures {
		failure.Age += f.Age
		if g.picker.HearFailure(failure) {
			g.domainFailed(failure.Domain, failure.Service, f.Origin)
		}
	}
}

// register tells the other gateways by the store where this one is, and reads
// where they are.
func (g *Gateway) register(ctx context.Context) error {
	s := g.settings.Load()
	registered := false
	g.log.Contain("meet gateways", func() { registered = g.meetRegistered(ctx) })
	close(g.met)
	era := g.store.client.Era()
	for {
		// A store that came back from a copy may have lost the entry.
		if now := g.store.client.Era(); now != era {
			era, registered = now, false
		}
		g.log.Contain("register", func() {
			registered = registered || g.writeRegistration(ctx, s)
		})
		if err := wait(ctx, meetInterval); err != nil {
			return err
		}
		// Gateways tell each other of those that they know.
		if !registered || len(g.peers.Alive()) == 0 {
			g.log.Contain("meet gateways", func() { registered = g.meetRegistered(ctx) })
		}
	}
}

// meetRegistered reads from the store where other gateways are. It reports whether
// this one is among them, from an earlier incarnation.
func (g *Gateway) meetRegistered(ctx context.Context) bool {
	objects, err := g.store.client.ListStale(ctx, kindGateway)
	if err != nil {
		g.log.Debug("gateways not listed", "err", err)
	}
	registered := false
	for _, o := range objects {
		var spec gatewaySpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			g.log.Emit(savorypinevent.Ignored{Err: err, What: "gateway " + o.Name})
			continue
		}
		registered = registered || o.Name == g.settings.Load().Name && spec.Address == g.address()
		g.peers.Meet([]string{spec.Address})
	}
	return registered
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
		// The host had another address before.
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
	return &savorypingossip.SyncServer{Address: g.address(), Clock: bootClock, Log: g.log, Mirrors: g.store.mirrors, Sealer: g.sealer}
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
	for _, p := range g.peers.Alive() {
		alive[p.Address] = true
		if !g.alive[p.Address] {
			g.log.Emit(savorypinevent.Dependency{Name: p.Name + " at " + p.Address})
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
	return 1 + max(g.peers.Len(), len(g.settings.Load().Regions))
}
