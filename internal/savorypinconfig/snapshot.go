package savorypinconfig

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypin"
)

// Snapshot is the configuration at one time. It is immutable.
type Snapshot struct {
	digest              savorypin.Digest
	endpoints           map[string]savorypin.EndpointSpec
	objects             map[savorypin.Key]storedObject
	moves               map[string][]Move
	organisations       map[string]savorypin.OrganisationSpec
	routes              map[RouteKey]savorypin.RouteSpec
	services            map[string]savorypin.ServiceSpec
	organisationByToken map[string]string
	versions            map[string]savorypin.VersionSpec
}

// RouteKey names a route of a service.
type RouteKey struct {
	Route   string
	Service string
}

// Move is a move of traffic, with the name and version of its object.
type Move struct {
	Name    string
	Spec    savorypin.MoveSpec
	Status  savorypin.MoveStatus
	Version int64
}

// storedObject is an object with values that are computed from it once.
type storedObject struct {
	bucket int
	hash   uint64
	object savorypin.Object
	spec   any
}

func newStoredObject(o savorypin.Object) storedObject {
	return storedObject{
		bucket: int(xxhash.Sum64String(o.String()) % bucketCount),
		hash:   hashObject(o),
		object: o,
		spec:   decodeSpec(o),
	}
}

func newSnapshot(objects map[savorypin.Key]storedObject) *Snapshot {
	s := &Snapshot{
		endpoints:           map[string]savorypin.EndpointSpec{},
		objects:             objects,
		moves:               map[string][]Move{},
		organisations:       map[string]savorypin.OrganisationSpec{},
		routes:              map[RouteKey]savorypin.RouteSpec{},
		services:            map[string]savorypin.ServiceSpec{},
		organisationByToken: map[string]string{},
		versions:            map[string]savorypin.VersionSpec{},
	}
	for _, stored := range objects {
		s.digest.Hash += stored.hash
		s.digest.Version = max(s.digest.Version, stored.object.Version)
		s.addToIndex(stored)
	}
	return s
}

// hashObject returns the hash of an object, which covers its key and version. The
// digest is the sum of the hashes, so that it does not depend on the order of the
// objects.
func hashObject(o savorypin.Object) uint64 {
	d := xxhash.NewWithSeed(uint64(o.Version))
	_, _ = d.WriteString(o.String())
	return d.Sum64()
}

// decodeSpec returns the typed spec of an object, or nil if the object is deleted or
// its spec does not decode. Objects are validated before they are written; one that
// does not decode was written by another program and is not indexed.
func decodeSpec(o savorypin.Object) any {
	if o.Deleted {
		return nil
	}
	switch o.Kind {
	case savorypin.KindEndpoint:
		return decodeOrNil[savorypin.EndpointSpec](o.Spec)
	case savorypin.KindMove:
		status, _ := decode[savorypin.MoveStatus](o.Status)
		if spec, ok := decode[savorypin.MoveSpec](o.Spec); ok {
			return Move{Name: o.Name, Spec: spec, Status: status, Version: o.Version}
		}
	case savorypin.KindOrganisation:
		return decodeOrNil[savorypin.OrganisationSpec](o.Spec)
	case savorypin.KindRoute:
		return decodeOrNil[savorypin.RouteSpec](o.Spec)
	case savorypin.KindService:
		return decodeOrNil[savorypin.ServiceSpec](o.Spec)
	case savorypin.KindVersion:
		return decodeOrNil[savorypin.VersionSpec](o.Spec)
	}
	return nil
}

func decodeOrNil[T any](data json.RawMessage) any {
	if spec, ok := decode[T](data); ok {
		return spec
	}
	return nil
}

// addToIndex adds an object to the map of its kind.
func (s *Snapshot) addToIndex(stored storedObject) {
	switch spec := stored.spec.(type) {
	case savorypin.EndpointSpec:
		s.endpoints[stored.object.Name] = spec
	case Move:
		s.moves[spec.Spec.Service] = append(s.moves[spec.Spec.Service], spec)
	case savorypin.OrganisationSpec:
		s.organisations[stored.object.Name] = spec
		for _, sum := range spec.TokenSHA256 {
			s.organisationByToken[sum] = stored.object.Name
		}
	case savorypin.RouteSpec:
		s.routes[RouteKey{Route: spec.Route, Service: spec.Service}] = spec
	case savorypin.ServiceSpec:
		s.services[stored.object.Name] = spec
	case savorypin.VersionSpec:
		s.versions[stored.object.Name] = spec
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

// Endpoint returns the spec of an endpoint; zero if operators have configured nothing
// for it.
func (s *Snapshot) Endpoint(name string) savorypin.EndpointSpec {
	return s.endpoints[name]
}

// Moves returns the moves of a service.
func (s *Snapshot) Moves(service string) []Move {
	return s.moves[service]
}

// HasVersion reports whether an object is in force at the given version or a newer one.
func (s *Snapshot) HasVersion(key savorypin.Key, version int64) bool {
	stored, ok := s.objects[key]
	return ok && stored.object.Version >= version
}

// Object returns an object, which may be a deletion.
func (s *Snapshot) Object(key savorypin.Key) (savorypin.Object, bool) {
	stored, ok := s.objects[key]
	return stored.object, ok
}

// Objects returns all objects, deletions included.
func (s *Snapshot) Objects() map[savorypin.Key]savorypin.Object {
	objects := make(map[savorypin.Key]savorypin.Object, len(s.objects))
	for key, stored := range s.objects {
		objects[key] = stored.object
	}
	return objects
}

// Organisation returns the spec of an organisation.
func (s *Snapshot) Organisation(name string) (savorypin.OrganisationSpec, bool) {
	spec, ok := s.organisations[name]
	return spec, ok
}

// OrganisationOf returns the name of the organisation that accepts the bearer token
// with the given SHA-256 sum, in hexadecimal.
func (s *Snapshot) OrganisationOf(sum string) (string, bool) {
	name, ok := s.organisationByToken[sum]
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

// VersionsOf returns the names of the versions of a service whose model is one of the
// given ones, in sorted order.
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
