// Package savorypincontroller holds the duties of control that float between
// daemons. Any live daemon may hold one, by a lease on the platform.
package savorypincontroller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinlease"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinmove"
	"savorypin/internal/savorypinplacement"
)

// Settings of the placement.
const (
	// candidates is how many daemons look at the lease of a service.
	candidates = 2
	// loadTimeout is how long an endpoint may take to load a version.
	loadTimeout = 10 * time.Minute
	// placementInterval is how often a controller looks at its service.
	placementInterval = time.Second
)

// Placement brings about what the configuration wants of the endpoints of all
// services that this daemon controls.
type Placement struct {
	daemon *savorypindaemon.Daemon
	slots  *savorypinplacement.Slots

	mu       sync.Mutex
	duties   map[string]*duty
	inFlight map[string]bool
	names    map[savorypinplacement.Step]string
	orders   int
}

// duty is this daemon's view of the control of one service.
type duty struct {
	announced int64
	lease     *savorypinlease.Lease
}

// StartPlacement registers the placement with a daemon. It must be called
// before the daemon runs.
func StartPlacement(daemon *savorypindaemon.Daemon) *Placement {
	p := &Placement{
		daemon: daemon,
		slots: savorypinplacement.NewSlots(savorypinplacement.SlotsConfig{
			Create:  daemon.Platform().Create,
			Get:     daemon.Platform().Get,
			Limit:   daemon.Settings().WeightLoads,
			Now:     time.Now,
			Timeout: loadTimeout,
			Update:  daemon.Platform().Update,
		}),
		duties:   map[string]*duty{},
		inFlight: map[string]bool{},
		names:    map[savorypinplacement.Step]string{},
	}
	daemon.Background(p.loop)
	daemon.RegisterState("placement", p.state)
	return p
}

// PlacementState is the section of the state dump.
type PlacementState struct {
	// Controls are the services that this daemon controls, with the fencing
	// numbers.
	Controls map[string]int64 `json:"controls"`
	// InFlight are the endpoints that carry out an order of this daemon.
	InFlight []string `json:"inFlight"`
	// Orders is the number of orders given.
	Orders int `json:"orders"`
}

func (p *Placement) state() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PlacementState{Controls: map[string]int64{}, InFlight: []string{}, Orders: p.orders}
	for service, d := range p.duties {
		if fence, ok := d.lease.Held(); ok {
			s.Controls[service] = fence
		}
	}
	for endpoint := range p.inFlight {
		s.InFlight = append(s.InFlight, endpoint)
	}
	slices.Sort(s.InFlight)
	return s
}

func (p *Placement) loop(ctx context.Context) {
	savorypinloop.Every(ctx, placementInterval, func() { p.tick(ctx) })
}

// tick looks at every generating service. A daemon that was paused waits until
// it knows again who lives.
func (p *Placement) tick(ctx context.Context) {
	if p.daemon.Resyncing() {
		return
	}
	for service, spec := range p.daemon.Config().Services() {
		if spec.Type != savorypin.ServiceGeneration {
			continue
		}
		d := p.duty(ctx, service)
		if d == nil {
			continue
		}
		if fence, ok := d.lease.Held(); ok {
			p.control(ctx, service, d, fence)
		}
	}
}

// duty returns this daemon's view of a service's control, or nil if it falls
// to others.
func (p *Placement) duty(ctx context.Context, service string) *duty {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.duties[service]
	if ok {
		return d
	}
	name := savorypinlease.ControllerOf(service)
	wanted := func() bool { return !p.daemon.Draining() && p.daemon.Candidate(name, candidates) }
	if !wanted() {
		return nil
	}
	d = &duty{lease: p.daemon.HoldLease(ctx, name, wanted)}
	p.duties[service] = d
	return d
}

// control gives the next orders of a service.
func (p *Placement) control(ctx context.Context, service string, d *duty, fence int64) {
	if d.announced != fence {
		p.announce(ctx, service, fence)
		d.announced = fence
	}
	snapshot := p.daemon.Config()
	traffic := savorypinmove.TrafficOf(snapshot, service)
	inUse := map[string]bool{}
	for _, name := range traffic.Versions() {
		inUse[name] = true
	}
	versions := savorypinplacement.VersionsOf(service, snapshot.VersionSpecs(), inUse)
	for _, step := range savorypinplacement.Decide(versions, p.endpoints(service)) {
		p.order(ctx, service, d, step)
	}
}

// endpoints returns the engines of a service as their agents report them.
func (p *Placement) endpoints(service string) []savorypinplacement.Endpoint {
	snapshot := p.daemon.Config()
	p.mu.Lock()
	defer p.mu.Unlock()
	var endpoints []savorypinplacement.Endpoint
	for _, m := range p.daemon.Members().All() {
		for _, e := range m.State().Endpoints {
			if e.Service != service || e.Type != savorypin.EndpointEngine {
				continue
			}
			want := snapshot.Endpoint(e.Name)
			endpoints = append(endpoints, savorypinplacement.Endpoint{
				Busy:        p.inFlight[e.Name],
				Domain:      m.State().Domain,
				Drained:     e.Drained,
				Loaded:      e.Versions,
				MaxVersions: e.MaxVersions,
				Name:        e.Name,
				Role:        e.Role,
				Usable:      m.Usable() && e.Healthy,
				WantDrained: want.Drain,
				WantRole:    want.Role,
			})
		}
	}
	return endpoints
}

// announce tells all agents of a service of a new controller before it gives
// its first order. An agent that can't be told asks the platform itself.
func (p *Placement) announce(ctx context.Context, service string, fence int64) {
	p.daemon.Logger().Info("Controls a service", "service", service, "fence", fence)
	ctx, cancel := context.WithTimeout(ctx, placementInterval)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range p.daemon.Members().All() {
		if !slices.ContainsFunc(m.State().Endpoints, func(e savorypin.EndpointState) bool { return e.Service == service }) {
			continue
		}
		wg.Go(func() {
			_, err := savorypinmember.Call[savorypinmember.Fence, savorypinmember.Empty](
				ctx, p.daemon.Transport(), m.State().Address, savorypinmember.FrameFence,
				savorypinmember.Fence{Number: fence, Service: service})
			if err != nil {
				p.daemon.Logger().Warn("Agent not told of its controller", "agent", m.State().Name, "err", err)
			}
		})
	}
	wg.Wait()
}

// order begins to give one order, unless the endpoint is busy.
func (p *Placement) order(ctx context.Context, service string, d *duty, step savorypinplacement.Step) {
	address, ok := p.addressOf(step.Endpoint)
	if !ok || !p.enter(step.Endpoint) {
		return
	}
	go func() {
		defer p.leave(step.Endpoint)
		if err := p.give(ctx, service, d, step, address); err != nil {
			p.daemon.Logger().Warn("Order not carried out",
				"action", step.Action, "endpoint", step.Endpoint, "version", step.Version, "err", err)
		}
	}()
}

// give gives one order and waits until it is carried out.
func (p *Placement) give(ctx context.Context, service string, d *duty, step savorypinplacement.Step, address string) error {
	if step.Action == savorypinplacement.ActionLoad {
		if err := p.slots.Acquire(ctx, step.Endpoint); errors.Is(err, savorypinplacement.ErrNoSlot) {
			return nil
		} else if err != nil {
			return err
		}
		defer func() {
			if err := p.slots.Release(context.WithoutCancel(ctx), step.Endpoint); err != nil {
				p.daemon.Logger().Warn("Slot of the weight store not given back", "endpoint", step.Endpoint, "err", err)
			}
		}()
	}
	fence, ok := d.lease.Held()
	if !ok {
		return savorypinlease.ErrNotHeld
	}
	version, _ := p.daemon.Config().Version(step.Version)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	_, err := savorypinmember.Call[savorypinmember.Order, savorypinmember.Empty](
		ctx, p.daemon.Transport(), address, savorypinmember.FrameOrder, savorypinmember.Order{
			Action:   string(step.Action),
			Adapter:  version.Adapter,
			Endpoint: step.Endpoint,
			Fence:    fence,
			Model:    version.Model,
			Name:     p.nameOf(step, fence),
			Role:     step.Role,
			Service:  service,
		})
	if err == nil {
		p.forget(step)
	}
	return err
}

func (p *Placement) addressOf(endpoint string) (string, bool) {
	for _, m := range p.daemon.Members().All() {
		for _, e := range m.State().Endpoints {
			if e.Name == endpoint {
				return m.State().Address, true
			}
		}
	}
	return "", false
}

func (p *Placement) enter(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[endpoint] {
		return false
	}
	p.inFlight[endpoint] = true
	return true
}

func (p *Placement) leave(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, endpoint)
}

// nameOf returns the name of an order. A step that is tried again keeps its
// name until it was carried out.
func (p *Placement) nameOf(step savorypinplacement.Step, fence int64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	name, ok := p.names[step]
	if !ok {
		p.orders++
		name = step.Name(fence, p.orders)
		p.names[step] = name
	}
	return name
}

func (p *Placement) forget(step savorypinplacement.Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.names, step)
}
