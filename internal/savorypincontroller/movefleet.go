package savorypincontroller

import (
	"maps"
	"slices"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
)

// fleet is where the versions of services run, as a controller last saw it.
type fleet struct {
	places map[string][]place
}

// place is where a version runs.
type place struct {
	domain   string
	endpoint string
}

// newFleet sums up the usable endpoints of the members.
func newFleet(view *savorypinmembership.View) *fleet {
	f := &fleet{places: map[string][]place{}}
	for _, m := range view.All() {
		if !m.Usable() {
			continue
		}
		for _, e := range m.State().Endpoints {
			if !e.Healthy {
				continue
			}
			for _, version := range e.Versions {
				f.places[version] = append(f.places[version], place{domain: m.State().Domain, endpoint: e.Name})
			}
		}
	}
	return f
}

// serves reports whether any endpoint serves a version.
func (f *fleet) serves(version string) bool {
	return len(f.places[version]) > 0
}

// spread reports whether a version runs in several failure domains.
func (f *fleet) spread(version string) bool {
	return len(f.domains(version)) > 1
}

func (f *fleet) domains(version string) map[string]bool {
	domains := map[string]bool{}
	for _, p := range f.places[version] {
		domains[p.domain] = true
	}
	return domains
}

// units returns where a version can be at fault apart from itself: its failure
// domains if there are several, else its endpoints.
func (f *fleet) units(version string) []string {
	units := map[string]bool{}
	spread := f.spread(version)
	for _, p := range f.places[version] {
		units[unitOf(spread, p.domain, p.endpoint)] = true
	}
	return slices.Sorted(maps.Keys(units))
}

func unitOf(spread bool, domain, endpoint string) string {
	if spread {
		return "domain " + domain
	}
	return "endpoint " + endpoint
}

// Serves reports whether any endpoint serves a version.
func (c *Moves) Serves(version string) bool {
	return c.fleet.Load().serves(version)
}

// UnitOf returns the unit of an attempt in a move to a version.
func (c *Moves) UnitOf(o savorypin.Observation, to string) string {
	return unitOf(c.fleet.Load().spread(to), o.Domain, o.Endpoint)
}
