// Package savorypinplacement decides which versions should be loaded at which
// endpoints of a service, and in which order that is brought about.
package savorypinplacement

import (
	"cmp"
	"fmt"
	"slices"

	"savorypin/internal/savorypin"
)

// Action is what an endpoint is to do.
type Action string

// The actions, in sorted order.
const (
	// ActionDrain prepares an endpoint for being taken away.
	ActionDrain Action = "drain"
	// ActionLoad loads a version.
	ActionLoad Action = "load"
	// ActionRole changes the role of an endpoint.
	ActionRole Action = "role"
	// ActionUnload unloads a version.
	ActionUnload Action = "unload"
)

// Version is a version of the service and how often it should be loaded.
type Version struct {
	// InUse says that the version has traffic, or may get it back.
	InUse bool
	// Name is the name of the version.
	Name string
	// Replicas is the number of endpoints that should have it loaded; zero
	// leaves the version where it is.
	Replicas int
}

// Endpoint is an endpoint of the service as its agent reports it.
type Endpoint struct {
	// Busy says that an order is being carried out.
	Busy bool
	// Domain is the failure domain.
	Domain string
	// Drained says that the endpoint has carried out an order to drain.
	Drained bool
	// Loaded are the versions that are loaded.
	Loaded []string
	// MaxVersions is the number of versions that fit.
	MaxVersions int
	// Name is the name of the endpoint.
	Name string
	// Role is the role that the endpoint has.
	Role string
	// Usable says that the endpoint answers and its agent stays.
	Usable bool
	// WantDrained says that the operators want the endpoint drained.
	WantDrained bool
	// WantRole is the role that the operators want; empty for any.
	WantRole string
}

// Step is one thing that one endpoint is to do next.
type Step struct {
	Action   Action
	Endpoint string
	Role     string
	Version  string
}

// Name returns a name that is the same for the same step of one controller, so
// that a repeated order is recognised.
func (s Step) Name(fence int64, n int) string {
	return fmt.Sprintf("%d-%d-%s-%s-%s%s", fence, n, s.Action, s.Endpoint, s.Version, s.Role)
}

// plan is the state of one decision.
type plan struct {
	copies    map[string]int
	domains   map[string]map[string]int
	endpoints []Endpoint
	steps     []Step
	taken     map[string]bool
	versions  map[string]Version
}

// Decide returns the next steps, at most one for each endpoint. Nothing that a
// step does takes away the last loaded copy of a version in use.
func Decide(versions []Version, endpoints []Endpoint) []Step {
	p := &plan{
		copies:    map[string]int{},
		domains:   map[string]map[string]int{},
		endpoints: slices.Clone(endpoints),
		taken:     map[string]bool{},
		versions:  map[string]Version{},
	}
	slices.SortFunc(p.endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range versions {
		p.versions[v.Name] = v
	}
	p.count()
	p.followOperators()
	wanted := slices.Clone(versions)
	slices.SortFunc(wanted, func(a, b Version) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range wanted {
		p.place(v)
	}
	return p.steps
}

// count counts the loaded copies of each version that can be given work.
func (p *plan) count() {
	for _, e := range p.endpoints {
		if !e.Usable || e.WantDrained {
			continue
		}
		for _, name := range e.Loaded {
			p.add(name, e.Domain)
		}
	}
}

func (p *plan) add(version, domain string) {
	p.copies[version]++
	if p.domains[version] == nil {
		p.domains[version] = map[string]int{}
	}
	p.domains[version][domain]++
}

// followOperators takes the steps that operators ask of single endpoints.
func (p *plan) followOperators() {
	for _, e := range p.endpoints {
		switch {
		case !e.Usable || e.Busy:
		case e.WantDrained && !e.Drained:
			p.step(Step{Action: ActionDrain, Endpoint: e.Name})
		case e.WantRole != "" && e.WantRole != e.Role:
			p.step(Step{Action: ActionRole, Endpoint: e.Name, Role: e.WantRole})
		}
	}
}

// place loads a version where copies are missing.
func (p *plan) place(v Version) {
	for p.copies[v.Name] < v.Replicas {
		e, ok := p.roomiest(v.Name)
		if !ok {
			return
		}
		if len(e.Loaded) < e.MaxVersions {
			p.step(Step{Action: ActionLoad, Endpoint: e.Name, Version: v.Name})
			p.add(v.Name, e.Domain)
			continue
		}
		// The load follows in a later decision, when there is room.
		surplus, _ := p.surplus(e)
		p.step(Step{Action: ActionUnload, Endpoint: e.Name, Version: surplus})
		p.copies[surplus]--
		p.copies[v.Name]++
	}
}

// roomiest returns the endpoint that should load a version: one in the failure
// domain with the fewest copies, with room if possible.
func (p *plan) roomiest(version string) (Endpoint, bool) {
	var fit []Endpoint
	for _, e := range p.endpoints {
		if p.fits(e, version) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return Endpoint{}, false
	}
	return slices.MinFunc(fit, func(a, b Endpoint) int {
		return cmp.Or(
			cmp.Compare(p.domains[version][a.Domain], p.domains[version][b.Domain]),
			cmp.Compare(len(a.Loaded)-a.MaxVersions, len(b.Loaded)-b.MaxVersions),
			cmp.Compare(a.Name, b.Name),
		)
	}), true
}

// fits reports whether an endpoint can take a version now, or after it has
// unloaded another one.
func (p *plan) fits(e Endpoint, version string) bool {
	if !e.Usable || e.Busy || e.WantDrained || p.taken[e.Name] || slices.Contains(e.Loaded, version) {
		return false
	}
	if len(e.Loaded) < e.MaxVersions {
		return true
	}
	_, ok := p.surplus(e)
	return ok
}

// surplus returns a version that an endpoint can unload: one of which there
// are more copies than wanted, or that nobody uses.
func (p *plan) surplus(e Endpoint) (string, bool) {
	for _, name := range e.Loaded {
		v, known := p.versions[name]
		switch {
		case !known, !v.InUse && v.Replicas == 0:
			return name, true
		case v.InUse && p.copies[name] <= 1:
		case v.Replicas > 0 && p.copies[name] > v.Replicas:
			return name, true
		}
	}
	return "", false
}

func (p *plan) step(s Step) {
	p.steps = append(p.steps, s)
	p.taken[s.Endpoint] = true
}

// VersionsOf returns what the configuration wants of a service's versions,
// given those that have or may get back traffic.
func VersionsOf(service string, specs map[string]savorypin.VersionSpec, inUse map[string]bool) []Version {
	var versions []Version
	for name, spec := range specs {
		if spec.Service != service {
			continue
		}
		versions = append(versions, Version{InUse: inUse[name], Name: name, Replicas: spec.Replicas})
	}
	return versions
}
