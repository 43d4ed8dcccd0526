package savorypinfleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EndpointState is the state that an endpoint reports.
type EndpointState string

// The states of endpoints, in sorted order.
const (
	// EndpointDraining means that the endpoint accepts no new requests.
	EndpointDraining EndpointState = "draining"
	// EndpointReady means that the endpoint accepts requests.
	EndpointReady EndpointState = "ready"
)

// EndpointConfig describes an Endpoint.
type EndpointConfig struct {
	// Address is the IP address and port.
	Address string
	// Domain is the failure domain.
	Domain string
	// ID identifies the endpoint. Another endpoint may reuse its address later.
	ID string
	// Region is the region of the failure domain.
	Region  string
	Service string
	// Slots is the number of requests that run concurrently. A value below 1 counts as 1.
	Slots int
	// Started is when the process started, by its own clock. A restarted process may keep
	// its ID and then differs only in the start time.
	Started time.Time
	State   EndpointState
	// Version is the version of the software.
	Version string
}

// Endpoint is one incarnation of a process that serves requests.
type Endpoint struct {
	cfg EndpointConfig
	// hash is the hash of the incarnation.
	hash uint64
}

// NewEndpoint returns an Endpoint with a configuration.
func NewEndpoint(cfg EndpointConfig) *Endpoint {
	e := &Endpoint{cfg: cfg}
	i := e.Incarnation()
	e.hash = xxhash.Sum64String(fmt.Sprintf("%s %s %d", i.address, i.id, i.started))
	return e
}

// Address returns the IP address and port.
func (e *Endpoint) Address() string { return e.cfg.Address }

// Domain returns the failure domain.
func (e *Endpoint) Domain() string { return e.cfg.Domain }

// IncarnationHash returns a hash of the incarnation that is the same at all gateways.
func (e *Endpoint) IncarnationHash() uint64 { return e.hash }

// ID returns the ID of the endpoint. A restarted process may have the same ID; Incarnation tells
// them apart.
func (e *Endpoint) ID() string { return e.cfg.ID }

// Ready reports whether the endpoint accepts new requests.
func (e *Endpoint) Ready() bool { return e.cfg.State == EndpointReady }

// Region returns the region of the failure domain.
func (e *Endpoint) Region() string { return e.cfg.Region }

// Service returns the name of the service.
func (e *Endpoint) Service() string { return e.cfg.Service }

// Slots returns the number of requests that run concurrently, at least 1.
func (e *Endpoint) Slots() int { return max(1, e.cfg.Slots) }

// Started returns when the process started, by its own clock.
func (e *Endpoint) Started() time.Time { return e.cfg.Started }

// Version returns the version of the software.
func (e *Endpoint) Version() string { return e.cfg.Version }

// Incarnation identifies one start of an endpoint's process. It is comparable, so that it can
// be a map key.
type Incarnation struct {
	address string
	id      string
	// started is in milliseconds since the Unix epoch.
	started int64
}

// Incarnation returns the incarnation of the endpoint.
func (e *Endpoint) Incarnation() Incarnation {
	return Incarnation{address: e.cfg.Address, id: e.cfg.ID, started: e.cfg.Started.UnixMilli()}
}

// Directory is one version of the list of endpoints, indexed by ID and by service.
type Directory struct {
	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
}

// NewDirectory returns a directory of endpoints. Of endpoints with the same address, it
// contains only the one that started last.
func NewDirectory(endpoints []*Endpoint) *Directory {
	byAddress := map[string]*Endpoint{}
	for _, e := range endpoints {
		known, ok := byAddress[e.Address()]
		if !ok || e.Started().After(known.Started()) {
			byAddress[e.Address()] = e
		}
	}
	d := &Directory{byID: map[string]*Endpoint{}, byService: map[string][]*Endpoint{}}
	for _, e := range byAddress {
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

// All returns all endpoints, in no particular order.
func (d *Directory) All() []*Endpoint { return slices.Collect(maps.Values(d.byID)) }

// Len returns the number of endpoints.
func (d *Directory) Len() int { return len(d.byID) }

// Service returns the endpoints of a service, sorted by ID. The caller must not modify the
// slice.
func (d *Directory) Service(name string) []*Endpoint { return d.byService[name] }

// Has reports whether the directory contains the same incarnation of an endpoint.
func (d *Directory) Has(e *Endpoint) bool {
	known := d.byID[e.ID()]
	return known != nil && known.Incarnation() == e.Incarnation()
}

// RolloutState is the state of a rollout.
type RolloutState string

// The states of rollouts, in sorted order.
const (
	RolloutCompleted  RolloutState = "done"
	RolloutPending    RolloutState = ""
	RolloutRolledBack RolloutState = "reverted"
	RolloutRunning    RolloutState = "running"
)

// Rollout is the operator's order to move a service's traffic to a version.
type Rollout struct {
	// Created is when the order was created, by the platform's clock.
	Created time.Time
	// Duration is the time within which the traffic must be moved.
	Duration time.Duration
	// Era is the era of the platform's store to which the revision belongs.
	Era int64
	// Revision is the platform store's version of the order.
	Revision int64
	Service  string
	State    RolloutState
	// Version is the version to which the traffic moves.
	Version string
}

// Difference returns the endpoints of d whose incarnation is not in other.
func (d *Directory) Difference(other *Directory) []*Endpoint {
	var missing []*Endpoint
	for _, e := range d.byID {
		if !other.Has(e) {
			missing = append(missing, e)
		}
	}
	return missing
}

// NewlyDraining returns the endpoints of d that are draining and were not draining in old: there
// they were ready, missing or another incarnation.
func (d *Directory) NewlyDraining(old *Directory) []*Endpoint {
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

// Restarted returns the endpoints of d that have restarted: in old, their address belonged to
// another incarnation of the same service.
func (d *Directory) Restarted(old *Directory) []*Endpoint {
	byAddress := map[string]*Endpoint{}
	for _, e := range old.byID {
		byAddress[e.Address()] = e
	}
	var restarted []*Endpoint
	for _, e := range d.byID {
		before := byAddress[e.Address()]
		if before != nil && before.Incarnation() != e.Incarnation() && before.Service() == e.Service() {
			restarted = append(restarted, e)
		}
	}
	return restarted
}
