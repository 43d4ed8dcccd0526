package savorypinconfig

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypin"
)

// Snapshot is one state of the configuration. It never changes.
type Snapshot struct {
	digest        savorypin.Digest
	endpoints     map[string]savorypin.EndpointSpec
	entries       map[savorypin.Key]entry
	moves         map[string][]Move
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

// entry is an object with what is worked out of it once.
type entry struct {
	bucket int
	hash   uint64
	object savorypin.Object
	spec   any
}

func newEntry(o savorypin.Object) entry {
	return entry{
		bucket: int(xxhash.Sum64String(o.String()) % bucketCount),
		hash:   hash(o),
		object: o,
		spec:   decodeSpec(o),
	}
}

func newSnapshot(entries map[savorypin.Key]entry) *Snapshot {
	s := &Snapshot{
		endpoints:     map[string]savorypin.EndpointSpec{},
		entries:       entries,
		moves:         map[string][]Move{},
		organisations: map[string]savorypin.OrganisationSpec{},
		routes:        map[RouteKey]savorypin.RouteSpec{},
		services:      map[string]savorypin.ServiceSpec{},
		tokens:        map[string]string{},
		versions:      map[string]savorypin.VersionSpec{},
	}
	for _, e := range entries {
		s.digest.Hash += e.hash
		s.digest.Version = max(s.digest.Version, e.object.Version)
		s.index(e)
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

// decodeSpec returns the typed spec of an object, or nil if it is deleted.
// Objects were checked before they were written; one that does not decode was
// written by another program and is left out.
func decodeSpec(o savorypin.Object) any {
	if o.Deleted {
		return nil
	}
	switch o.Kind {
	case savorypin.KindEndpoint:
		return decodeAny[savorypin.EndpointSpec](o.Spec)
	case savorypin.KindMove:
		status, _ := decode[savorypin.MoveStatus](o.Status)
		if spec, ok := decode[savorypin.MoveSpec](o.Spec); ok {
			return Move{Name: o.Name, Spec: spec, Status: status, Version: o.Version}
		}
	case savorypin.KindOrganisation:
		return decodeAny[savorypin.OrganisationSpec](o.Spec)
	case savorypin.KindRoute:
		return decodeAny[savorypin.RouteSpec](o.Spec)
	case savorypin.KindService:
		return decodeAny[savorypin.ServiceSpec](o.Spec)
	case savorypin.KindVersion:
		return decodeAny[savorypin.VersionSpec](o.Spec)
	}
	return nil
}

func decodeAny[T any](data json.RawMessage) any {
	if spec, ok := decode[T](data); ok {
		return spec
	}
	return nil
}

// index adds an object to the typed maps.
func (s *Snapshot) index(e entry) {
	switch spec := e.spec.(type) {
	case savorypin.EndpointSpec:
		s.endpoints[e.object.Name] = spec
	case Move:
		s.moves[spec.Spec.Service] = append(s.moves[spec.Spec.Service], spec)
	case savorypin.OrganisationSpec:
		s.organisations[e.object.Name] = spec
		for _, sum := range spec.TokenSHA256 {
			s.tokens[sum] = e.object.Name
		}
	case savorypin.RouteSpec:
		s.routes[RouteKey{Route: spec.Route, Service: spec.Service}] = spec
	case savorypin.ServiceSpec:
		s.services[e.object.Name] = spec
	case savorypin.VersionSpec:
		s.versions[e.object.Name] = spec
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

// Holds reports whether an object is in force at a version or a newer one.
func (s *Snapshot) Holds(key savorypin.Key, version int64) bool {
	e, ok := s.entries[key]
	return ok && e.object.Version >= version
}

// Object returns an object, which may be deleted.
func (s *Snapshot) Object(key savorypin.Key) (savorypin.Object, bool) {
	e, ok := s.entries[key]
	return e.object, ok
}

// Objects returns all objects, deletions included.
func (s *Snapshot) Objects() map[savorypin.Key]savorypin.Object {
	objects := make(map[savorypin.Key]savorypin.Object, len(s.entries))
	for key, e := range s.entries {
		objects[key] = e.object
	}
	return objects
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
