package savorypinfleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// EndpointState is what an endpoint says of itself.
type EndpointState string

// The states of endpoints, in sorted order.
const (
	// EndpointDraining means that the endpoint takes no new requests.
	EndpointDraining EndpointState = "draining"
	// EndpointReady means that the endpoint takes requests.
	EndpointReady EndpointState = "ready"
)

// EndpointConfig describes an Endpoint.
type EndpointConfig struct {
	// Address is the IP address and port.
	Address string
	// Domain is the failure domain.
	Domain string
	// ID names one incarnation; an address may be used again by another one.
	ID string
	// Region is the region of the failure domain.
	Region  string
	Service string
	Slots   int
	// Started is when the process started, by its own clock; an ID may come back
	// with another start.
	Started time.Time
	State   EndpointState
	// Version is the version of the software.
	Version string
}

// Endpoint is one incarnation of a process that answers requests.
type Endpoint struct {
	cfg EndpointConfig
}

// NewEndpoint returns an endpoint.
func NewEndpoint(cfg EndpointConfig) *Endpoint {
	return &Endpoint{cfg: cfg}
}

// Address is the IP address and port.
func (e *Endpoint) Address() string { return e.cfg.Address }

// Domain is the failure domain.
func (e *Endpoint) Domain() string { return e.cfg.Domain }

// ID names the incarnation.
func (e *Endpoint) ID() string { return e.cfg.ID }

// Ready reports whether the endpoint takes new requests.
func (e *Endpoint) Ready() bool { return e.cfg.State == EndpointReady }

// Region is the region of the failure domain.
func (e *Endpoint) Region() string { return e.cfg.Region }

// Service names the service.
func (e *Endpoint) Service() string { return e.cfg.Service }

// Slots is the number of requests that run at once.
func (e *Endpoint) Slots() int { return max(1, e.cfg.Slots) }

// Started is when the process started, by its own clock.
func (e *Endpoint) Started() time.Time { return e.cfg.Started }

// Version is the version of the software.
func (e *Endpoint) Version() string { return e.cfg.Version }

// Incarnation names one start of an endpoint's process. It can be a map key.
type Incarnation struct {
	address string
	id      string
	// started is in milliseconds since the Unix epoch.
	started int64
}

// Incarnation returns which start of the process the endpoint is.
func (e *Endpoint) Incarnation() Incarnation {
	return Incarnation{address: e.cfg.Address, id: e.cfg.ID, started: e.cfg.Started.UnixMilli()}
}

// Directory is one version of the list of endpoints.
type Directory struct {
	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
}

// NewDirectory returns a directory of endpoints. Where two endpoints have the
// same address, the one that started later has it.
func NewDirectory(endpoints []*Endpoint) *Directory {
	holders := map[string]*Endpoint{}
	for _, e := range endpoints {
		known, ok := holders[e.Address()]
		if !ok || e.Started().After(known.Started()) {
			holders[e.Address()] = e
		}
	}
	d := &Directory{byID: map[string]*Endpoint{}, byService: map[string][]*Endpoint{}}
	for _, e := range holders {
		d.byID[e.ID()] = e
		d.byService[e.Service()] = append(d.byService[e.Service()], e)
	}
	for _, list := range d.byService {
		slices.SortFunc(list, func(a, b *Endpoint) int { return cmp.Compare(a.ID(), b.ID()) })
	}
	return d
}

// Endpoint returns the endpoint with an ID, or nil.
func (d *Directory) Endpoint(id string) *Endpoint { return d.byID[id] }

// All returns all endpoints, in no order.
func (d *Directory) All() []*Endpoint { return slices.Collect(maps.Values(d.byID)) }

// Len is the number of endpoints.
func (d *Directory) Len() int { return len(d.byID) }

// Service returns the endpoints of a service, sorted by ID. The caller must not
// change the slice.
func (d *Directory) Service(name string) []*Endpoint { return d.byService[name] }

// Has reports whether the incarnation of an endpoint is in the directory.
func (d *Directory) Has(e *Endpoint) bool {
	known := d.byID[e.ID()]
	return known != nil && known.Incarnation() == e.Incarnation()
}

// RolloutState says how far a roll-out is.
type RolloutState string

// The states of roll-outs, in sorted order.
const (
	RolloutCompleted  RolloutState = "done"
	RolloutPending    RolloutState = ""
	RolloutRolledBack RolloutState = "reverted"
	RolloutRunning    RolloutState = "running"
)

// Rollout is the operator's order to move a service's traffic to a version.
type Rollout struct {
	// Created is when the order was given, by the platform's clock.
	Created time.Time
	// Duration is the time within which the traffic has to be moved.
	Duration time.Duration
	// Era is the era of the platform's store to which the revision belongs.
	Era int64
	// Revision is the platform's version of the order.
	Revision int64
	Service  string
	State    RolloutState
	// Version is the version that the traffic is to move to.
	Version string
}

// Without returns the endpoints of d that are not in other.
func (d *Directory) Without(other *Directory) []*Endpoint {
	var gone []*Endpoint
	for _, e := range d.byID {
		if !other.Has(e) {
			gone = append(gone, e)
		}
	}
	return gone
}

// Draining returns the endpoints of d that take no new requests although they did, or
// were missing, in old.
func (d *Directory) Draining(old *Directory) []*Endpoint {
	var draining []*Endpoint
	for _, e := range d.byID {
		before := old.byID[e.ID()]
		known := before != nil && before.Incarnation() == e.Incarnation() && !before.Ready()
		if !e.Ready() && !known {
			draining = append(draining, e)
		}
	}
	return draining
}

// Replaced returns the endpoints of d whose address belonged to another
// incarnation in old: those that were lost and have started again.
func (d *Directory) Replaced(old *Directory) []*Endpoint {
	holders := map[string]*Endpoint{}
	for _, e := range old.byID {
		holders[e.Address()] = e
	}
	var replaced []*Endpoint
	for _, e := range d.byID {
		before := holders[e.Address()]
		if before != nil && before.Incarnation() != e.Incarnation() && before.Service() == e.Service() {
			replaced = append(replaced, e)
		}
	}
	return replaced
}
