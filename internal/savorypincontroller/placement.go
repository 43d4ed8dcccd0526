// Package savorypincontroller runs the controllers of services: the placement of
// versions on endpoints, and the moves of traffic between versions. Any live daemon may
// be the controller of a service, by holding a lease on the platform.
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
	// candidateCount is the number of daemons that try to acquire the lease of a service.
	candidateCount = 2
	// loadTimeout is how long an endpoint may take to load a version.
	loadTimeout = 10 * time.Minute
	// placementInterval is the interval between a controller's decisions.
	placementInterval = time.Second
)

// Placement sends orders to the endpoints of all services that this daemon controls, to
// bring them to the state that the configuration asks for.
type Placement struct {
	daemon *savorypindaemon.Daemon
	slots  *savorypinplacement.LoadSlots

	mu         sync.Mutex
	controls   map[string]*serviceControl
	inFlight   map[string]bool
	orderNames map[savorypinplacement.Step]string
	orderCount int
}

// serviceControl is this daemon's controller lease of one service, with the last fencing
// number that it announced.
type serviceControl struct {
	announcedFence int64
	lease          *savorypinlease.Lease
}

// RegisterPlacement registers the placement with a daemon. It must be called
// before the daemon runs.
func RegisterPlacement(daemon *savorypindaemon.Daemon) *Placement {
	p := &Placement{
		daemon: daemon,
		slots: savorypinplacement.NewLoadSlots(savorypinplacement.LoadSlotsConfig{
			Create:  daemon.Platform().Create,
			Get:     daemon.Platform().Get,
			Limit:   daemon.Settings().WeightLoads,
			Now:     time.Now,
			Timeout: loadTimeout,
			Update:  daemon.Platform().Update,
		}),
		controls:   map[string]*serviceControl{},
		inFlight:   map[string]bool{},
		orderNames: map[savorypinplacement.Step]string{},
	}
	daemon.Background(p.loop)
	daemon.RegisterState("placement", p.state)
	return p
}

// PlacementState is the section "placement" of the state dump.
type PlacementState struct {
	// Controls are the services that this daemon controls, with the fencing
	// numbers.
	Controls map[string]int64 `json:"controls"`
	// InFlight holds the endpoints that carry out an order of this daemon, sorted.
	InFlight []string `json:"inFlight"`
	// Orders is the number of orders so far; a repeated order is counted once.
	Orders int `json:"orders"`
}

func (p *Placement) state() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PlacementState{Controls: map[string]int64{}, InFlight: []string{}, Orders: p.orderCount}
	for service, control := range p.controls {
		if fence, ok := control.lease.Held(); ok {
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

// tick starts the next orders for every generating service that this daemon controls. A
// daemon that was paused waits until its view of the members is current again.
func (p *Placement) tick(ctx context.Context) {
	if p.daemon.Resyncing() {
		return
	}
	for service, spec := range p.daemon.Config().Services() {
		if spec.Type != savorypin.ServiceGeneration {
			continue
		}
		control := p.controlFor(ctx, service)
		if control == nil {
			continue
		}
		if fence, ok := control.lease.Held(); ok {
			p.controlService(ctx, service, control, fence)
		}
	}
}

// controlFor returns this daemon's lease of a service, which it begins to acquire if the
// daemon is a candidate; nil if the daemon has not been a candidate so far.
func (p *Placement) controlFor(ctx context.Context, service string) *serviceControl {
	p.mu.Lock()
	defer p.mu.Unlock()
	control, ok := p.controls[service]
	if ok {
		return control
	}
	name := savorypinlease.ControllerLeaseName(service)
	wanted := func() bool { return !p.daemon.Draining() && p.daemon.IsLeaseCandidate(name, candidateCount) }
	if !wanted() {
		return nil
	}
	control = &serviceControl{lease: p.daemon.HoldLease(ctx, name, wanted)}
	p.controls[service] = control
	return control
}

// controlService decides on the next orders of a service and starts them. A new
// controller first announces its fencing number.
func (p *Placement) controlService(ctx context.Context, service string, control *serviceControl, fence int64) {
	if control.announcedFence != fence {
		p.announceFence(ctx, service, fence)
		control.announcedFence = fence
	}
	snapshot := p.daemon.Config()
	traffic := savorypinmove.TrafficOf(snapshot, service)
	inUse := map[string]bool{}
	for _, name := range traffic.Versions() {
		inUse[name] = true
	}
	versions := savorypinplacement.VersionsOf(service, snapshot.VersionSpecs(), inUse)
	for _, step := range savorypinplacement.Decide(versions, p.endpoints(service)) {
		p.startOrder(ctx, service, control, step)
	}
}

// endpoints returns the engines of a service as reported by their agents.
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

// announceFence sends the fencing number of a new controller to all agents of a service
// before the first order. An agent that can't be reached learns it from the platform or,
// if its endpoint checks fencing numbers itself, from the first order.
func (p *Placement) announceFence(ctx context.Context, service string, fence int64) {
	p.daemon.Logger().Info("Became the controller of a service", "service", service, "fence", fence)
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
				p.daemon.Logger().Warn("Failed to announce the controller to an agent", "agent", m.State().Name, "err", err)
			}
		})
	}
	wg.Wait()
}

// startOrder sends one order in the background, unless the endpoint is busy.
func (p *Placement) startOrder(ctx context.Context, service string, control *serviceControl, step savorypinplacement.Step) {
	address, ok := p.agentAddressOf(step.Endpoint)
	if !ok || !p.markBusy(step.Endpoint) {
		return
	}
	go func() {
		defer p.clearBusy(step.Endpoint)
		if err := p.sendOrder(ctx, service, control, step, address); err != nil {
			p.daemon.Logger().Warn("Order to an endpoint failed",
				"action", step.Action, "endpoint", step.Endpoint, "version", step.Version, "err", err)
		}
	}()
}

// sendOrder sends one order and waits until it is carried out. A load order is skipped
// without an error if the weight store has no free slot.
func (p *Placement) sendOrder(ctx context.Context, service string, control *serviceControl, step savorypinplacement.Step, address string) error {
	if step.Action == savorypinplacement.ActionLoad {
		if err := p.slots.Acquire(ctx, step.Endpoint); errors.Is(err, savorypinplacement.ErrNoSlot) {
			return nil
		} else if err != nil {
			return err
		}
		defer func() {
			if err := p.slots.Release(context.WithoutCancel(ctx), step.Endpoint); err != nil {
				p.daemon.Logger().Warn("Failed to release a slot of the weight store", "endpoint", step.Endpoint, "err", err)
			}
		}()
	}
	fence, ok := control.lease.Held()
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
			Name:     p.orderNameFor(step, fence),
			Role:     step.Role,
			Service:  service,
		})
	if err == nil {
		p.dropOrderName(step)
	}
	return err
}

func (p *Placement) agentAddressOf(endpoint string) (string, bool) {
	for _, m := range p.daemon.Members().All() {
		for _, e := range m.State().Endpoints {
			if e.Name == endpoint {
				return m.State().Address, true
			}
		}
	}
	return "", false
}

func (p *Placement) markBusy(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[endpoint] {
		return false
	}
	p.inFlight[endpoint] = true
	return true
}

func (p *Placement) clearBusy(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, endpoint)
}

// orderNameFor returns the name of an order. A step that is retried keeps its name until
// it is carried out.
func (p *Placement) orderNameFor(step savorypinplacement.Step, fence int64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	name, ok := p.orderNames[step]
	if !ok {
		p.orderCount++
		name = step.Name(fence, p.orderCount)
		p.orderNames[step] = name
	}
	return name
}

func (p *Placement) dropOrderName(step savorypinplacement.Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.orderNames, step)
}
