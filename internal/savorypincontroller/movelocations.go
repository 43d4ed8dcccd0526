package savorypincontroller

import (
	"maps"
	"slices"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
)

// versionLocations holds where each version runs, by the member states of the last tick.
type versionLocations struct {
	byVersion map[string][]location
}

// location is an endpoint that serves a version, with its failure domain.
type location struct {
	domain   string
	endpoint string
}

// newVersionLocations returns the locations of the versions on the healthy endpoints of
// all usable members.
func newVersionLocations(view *savorypinmembership.View) *versionLocations {
	l := &versionLocations{byVersion: map[string][]location{}}
	for _, m := range view.All() {
		if !m.Usable() {
			continue
		}
		for _, e := range m.State().Endpoints {
			if !e.Healthy {
				continue
			}
			for _, version := range e.Versions {
				l.byVersion[version] = append(l.byVersion[version], location{domain: m.State().Domain, endpoint: e.Name})
			}
		}
	}
	return l
}

// serves reports whether any endpoint serves a version.
func (l *versionLocations) serves(version string) bool {
	return len(l.byVersion[version]) > 0
}

// spansDomains reports whether a version runs in more than one failure domain.
func (l *versionLocations) spansDomains(version string) bool {
	return len(l.domains(version)) > 1
}

func (l *versionLocations) domains(version string) map[string]bool {
	domains := map[string]bool{}
	for _, loc := range l.byVersion[version] {
		domains[loc.domain] = true
	}
	return domains
}

// units returns the units by which the evidence on a version is split, to tell a fault
// of the version from one of its surroundings: its failure domains if there are
// several, else its endpoints.
func (l *versionLocations) units(version string) []string {
	units := map[string]bool{}
	spansDomains := l.spansDomains(version)
	for _, loc := range l.byVersion[version] {
		units[unitOf(spansDomains, loc.domain, loc.endpoint)] = true
	}
	return slices.Sorted(maps.Keys(units))
}

func unitOf(spansDomains bool, domain, endpoint string) string {
	if spansDomains {
		return "domain " + domain
	}
	return "endpoint " + endpoint
}

// Serves reports whether any endpoint serves a version.
func (c *Moves) Serves(version string) bool {
	return c.locations.Load().serves(version)
}

// UnitOf returns the unit of an attempt in a move whose new version is to: its failure
// domain if that version runs in several, else its endpoint.
func (c *Moves) UnitOf(o savorypin.Observation, to string) string {
	return unitOf(c.locations.Load().spansDomains(to), o.Domain, o.Endpoint)
}
