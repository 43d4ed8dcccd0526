// Package savorypinconfig decides which configuration is in force at a daemon.
// The platform's versions order all objects; an older version never replaces a
// newer one, and a deletion keeps its version so that it cannot be undone by a
// late copy of the object.
package savorypinconfig

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypin"
)

// Store holds the configuration in force. Readers take a Snapshot without a
// lock; writers copy, change and publish.
type Store struct {
	mu       sync.Mutex
	snapshot atomic.Pointer[Snapshot]
}

// NewStore returns a store without objects.
func NewStore() *Store {
	s := &Store{}
	s.snapshot.Store(newSnapshot(map[savorypin.Key]savorypin.Object{}))
	return s
}

// Apply takes over the objects that are newer than those held and returns
// them.
func (s *Store) Apply(objects ...savorypin.Object) []savorypin.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.snapshot.Load()
	var changed []savorypin.Object
	next := maps.Clone(old.objects)
	for _, o := range objects {
		held, ok := next[o.Key]
		if ok && held.Version >= o.Version {
			continue
		}
		next[o.Key] = o
		changed = append(changed, o)
	}
	if len(changed) > 0 {
		s.snapshot.Store(newSnapshot(next))
	}
	return changed
}

// Newer returns the objects that are newer than the versions of a peer.
func (s *Store) Newer(versions map[string]int64) []savorypin.Object {
	var newer []savorypin.Object
	for key, o := range s.Snapshot().objects {
		if o.Version > versions[key.String()] {
			newer = append(newer, o)
		}
	}
	return newer
}

// Snapshot returns the configuration in force.
func (s *Store) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// Versions returns the version of each object held, deletions included.
func (s *Store) Versions() map[string]int64 {
	versions := map[string]int64{}
	for key, o := range s.Snapshot().objects {
		versions[key.String()] = o.Version
	}
	return versions
}

// Snapshot is one state of the configuration. It never changes.
type Snapshot struct {
	digest        savorypin.Digest
	endpoints     map[string]savorypin.EndpointSpec
	moves         map[string][]Move
	objects       map[savorypin.Key]savorypin.Object
	organisations map[string]savorypin.OrganisationSpec
	routes        map[RouteKey]savorypin.RouteSpec
	services      map[string]savorypin.ServiceSpec
	tokens        map[string]string
	versions      map[string]savorypin.VersionSpec
}

// RouteKey names a route of a service.
type RouteKey struct {
	Route   string
	Service string
}

// Move is a move with its name and version.
type Move struct {
	Name    string
	Spec    savorypin.MoveSpec
	Status  savorypin.MoveStatus
	Version int64
}

func newSnapshot(objects map[savorypin.Key]savorypin.Object) *Snapshot {
	s := &Snapshot{
		endpoints:     map[string]savorypin.EndpointSpec{},
		moves:         map[string][]Move{},
		objects:       objects,
		organisations: map[string]savorypin.OrganisationSpec{},
		routes:        map[RouteKey]savorypin.RouteSpec{},
		services:      map[string]savorypin.ServiceSpec{},
		tokens:        map[string]string{},
		versions:      map[string]savorypin.VersionSpec{},
	}
	for _, o := range objects {
		s.digest.Hash += hash(o)
		s.digest.Version = max(s.digest.Version, o.Version)
		if !o.Deleted {
			s.index(o)
		}
	}
	return s
}

// hash returns the summand of an object in the digest. The sum does not depend
// on the order of the objects.
func hash(o savorypin.Object) uint64 {
	d := xxhash.NewWithSeed(uint64(o.Version))
	_, _ = d.WriteString(o.String())
	return d.Sum64()
}

// index adds an object to the typed maps. Objects were checked before they
// were written; one that does not decode was written by another program and
// is left out.
func (s *Snapshot) index(o savorypin.Object) {
	switch o.Kind {
	case savorypin.KindEndpoint:
		if spec, ok := decode[savorypin.EndpointSpec](o.Spec); ok {
			s.endpoints[o.Name] = spec
		}
	case savorypin.KindMove:
		if spec, ok := decode[savorypin.MoveSpec](o.Spec); ok {
			status, _ := decode[savorypin.MoveStatus](o.Status)
			move := Move{Name: o.Name, Spec: spec, Status: status, Version: o.Version}
			s.moves[spec.Service] = append(s.moves[spec.Service], move)
		}
	case savorypin.KindOrganisation:
		if spec, ok := decode[savorypin.OrganisationSpec](o.Spec); ok {
			s.organisations[o.Name] = spec
			for _, sum := range spec.TokenSHA256 {
				s.tokens[sum] = o.Name
			}
		}
	case savorypin.KindRoute:
		if spec, ok := decode[savorypin.RouteSpec](o.Spec); ok {
			s.routes[RouteKey{Route: spec.Route, Service: spec.Service}] = spec
		}
	case savorypin.KindService:
		if spec, ok := decode[savorypin.ServiceSpec](o.Spec); ok {
			s.services[o.Name] = spec
		}
	case savorypin.KindVersion:
		if spec, ok := decode[savorypin.VersionSpec](o.Spec); ok {
			s.versions[o.Name] = spec
		}
	}
}

func decode[T any](data json.RawMessage) (T, bool) {
	var v T
	if len(data) == 0 {
		return v, false
	}
	err := json.Unmarshal(data, &v)
	return v, err == nil
}

// Digest returns the digest of all objects.
func (s *Snapshot) Digest() savorypin.Digest {
	return s.digest
}

// Endpoint returns what operators want of an endpoint.
func (s *Snapshot) Endpoint(name string) savorypin.EndpointSpec {
	return s.endpoints[name]
}

// Moves returns the moves of a service.
func (s *Snapshot) Moves(service string) []Move {
	return s.moves[service]
}

// Object returns an object, which may be deleted.
func (s *Snapshot) Object(key savorypin.Key) (savorypin.Object, bool) {
	o, ok := s.objects[key]
	return o, ok
}

// Objects returns all objects, deletions included. The map must not be
// changed.
func (s *Snapshot) Objects() map[savorypin.Key]savorypin.Object {
	return s.objects
}

// Organisation returns the organisation of a name.
func (s *Snapshot) Organisation(name string) (savorypin.OrganisationSpec, bool) {
	spec, ok := s.organisations[name]
	return spec, ok
}

// OrganisationOf returns the organisation that a token's SHA-256 sum belongs
// to, in hexadecimal.
func (s *Snapshot) OrganisationOf(sum string) (string, bool) {
	name, ok := s.tokens[sum]
	return name, ok
}

// Organisations returns all organisations. The map must not be changed.
func (s *Snapshot) Organisations() map[string]savorypin.OrganisationSpec {
	return s.organisations
}

// Route returns a route of a service.
func (s *Snapshot) Route(service, route string) (savorypin.RouteSpec, bool) {
	spec, ok := s.routes[RouteKey{Route: route, Service: service}]
	return spec, ok
}

// Service returns a service.
func (s *Snapshot) Service(name string) (savorypin.ServiceSpec, bool) {
	spec, ok := s.services[name]
	return spec, ok
}

// Services returns all services. The map must not be changed.
func (s *Snapshot) Services() map[string]savorypin.ServiceSpec {
	return s.services
}

// Version returns a version.
func (s *Snapshot) Version(name string) (savorypin.VersionSpec, bool) {
	spec, ok := s.versions[name]
	return spec, ok
}

// VersionSpecs returns all versions. The map must not be changed.
func (s *Snapshot) VersionSpecs() map[string]savorypin.VersionSpec {
	return s.versions
}

// VersionsOf returns the versions of a service that run one of the models,
// sorted by name.
func (s *Snapshot) VersionsOf(service string, models []string) []string {
	var names []string
	for name, spec := range s.versions {
		if spec.Service == service && slices.Contains(models, spec.Model) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
