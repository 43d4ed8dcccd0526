// Package savorypinplacement decides which versions to load on which endpoints of a
// service and in which order to take the steps, and limits the concurrent loads from the
// weight store.
package savorypinplacement

import (
	"cmp"
	"fmt"
	"slices"

	"savorypin/internal/savorypin"
)

// Action is what an endpoint is ordered to do.
type Action string

// The actions, in sorted order.
const (
	// ActionDrain drains an endpoint so that it can be removed.
	ActionDrain Action = "drain"
	// ActionLoad loads a version.
	ActionLoad Action = "load"
	// ActionRole changes the role of an endpoint.
	ActionRole Action = "role"
	// ActionUnload unloads a version.
	ActionUnload Action = "unload"
)

// Version is a version of the service with the wanted number of replicas.
type Version struct {
	// InUse is set if the version has traffic or may get it back.
	InUse bool
	// Name is the name of the version.
	Name string
	// Replicas is the number of endpoints that should have the version loaded; zero
	// loads no further copies.
	Replicas int
}

// Endpoint is the state of an endpoint of the service as reported by its agent, with
// what the operators want of it.
type Endpoint struct {
	// Busy is set while the endpoint carries out an order.
	Busy bool
	// Domain is the failure domain.
	Domain string
	// Drained is set once the endpoint has carried out an order to drain.
	Drained bool
	// Loaded holds the names of the loaded versions.
	Loaded []string
	// MaxVersions is the number of versions that can be loaded at a time.
	MaxVersions int
	// Name is the name of the endpoint.
	Name string
	// Role is the current role of the endpoint.
	Role string
	// Usable is set if the endpoint is healthy and its agent is live and not draining.
	Usable bool
	// WantDrained is set if the operators want the endpoint drained.
	WantDrained bool
	// WantRole is the role that the operators want; empty for any.
	WantRole string
}

// Step is the next action of one endpoint. Role is set for ActionRole, and Version for
// ActionLoad and ActionUnload.
type Step struct {
	Action   Action
	Endpoint string
	Role     string
	Version  string
}

// Name returns the name of the order for a step, from the fencing number of the
// controller and the sequence number n of the order. A retry must use the same name, so
// that the agent recognizes the repeated order.
func (s Step) Name(fence int64, n int) string {
	return fmt.Sprintf("%d-%d-%s-%s-%s%s", fence, n, s.Action, s.Endpoint, s.Version, s.Role)
}

// plan is the state of one call of Decide. The copies are those after the steps: copies
// includes the copy for which a step makes room, and copiesByDomain also includes those
// that the steps unload.
type plan struct {
	copies         map[string]int
	copiesByDomain map[string]map[string]int
	endpoints      []Endpoint
	steps          []Step
	assigned       map[string]bool
	versions       map[string]Version
}

// Decide returns the next steps, at most one for each endpoint. No step unloads the last
// loaded copy of a version in use.
func Decide(versions []Version, endpoints []Endpoint) []Step {
	p := &plan{
		copies:         map[string]int{},
		copiesByDomain: map[string]map[string]int{},
		endpoints:      slices.Clone(endpoints),
		assigned:       map[string]bool{},
		versions:       map[string]Version{},
	}
	slices.SortFunc(p.endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range versions {
		p.versions[v.Name] = v
	}
	p.countCopies()
	p.addOperatorSteps()
	sorted := slices.Clone(versions)
	slices.SortFunc(sorted, func(a, b Version) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range sorted {
		p.placeVersion(v)
	}
	return p.steps
}

// countCopies counts the loaded copies of each version on endpoints that can get
// requests.
func (p *plan) countCopies() {
	for _, e := range p.endpoints {
		if !e.Usable || e.WantDrained {
			continue
		}
		for _, name := range e.Loaded {
			p.addCopy(name, e.Domain)
		}
	}
}

func (p *plan) addCopy(version, domain string) {
	p.copies[version]++
	if p.copiesByDomain[version] == nil {
		p.copiesByDomain[version] = map[string]int{}
	}
	p.copiesByDomain[version][domain]++
}

// addOperatorSteps adds the steps for drains and roles that operators want.
func (p *plan) addOperatorSteps() {
	for _, e := range p.endpoints {
		switch {
		case !e.Usable || e.Busy:
		case e.WantDrained && !e.Drained:
			p.addStep(Step{Action: ActionDrain, Endpoint: e.Name})
		case e.WantRole != "" && e.WantRole != e.Role:
			p.addStep(Step{Action: ActionRole, Endpoint: e.Name, Role: e.WantRole})
		}
	}
}

// placeVersion adds the steps that bring a version to its number of replicas.
func (p *plan) placeVersion(v Version) {
	for p.copies[v.Name] < v.Replicas {
		e, ok := p.bestEndpoint(v.Name)
		if !ok {
			return
		}
		if len(e.Loaded) < e.MaxVersions {
			p.addStep(Step{Action: ActionLoad, Endpoint: e.Name, Version: v.Name})
			p.addCopy(v.Name, e.Domain)
			continue
		}
		// A later decision loads the version, once the endpoint has room.
		surplus, _ := p.unloadableVersion(e)
		p.addStep(Step{Action: ActionUnload, Endpoint: e.Name, Version: surplus})
		p.copies[surplus]--
		p.copies[v.Name]++
	}
}

// bestEndpoint returns the endpoint that should load a version: one in the failure
// domain with the fewest copies, and among these the one with the most room.
func (p *plan) bestEndpoint(version string) (Endpoint, bool) {
	var candidates []Endpoint
	for _, e := range p.endpoints {
		if p.canLoad(e, version) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return Endpoint{}, false
	}
	return slices.MinFunc(candidates, func(a, b Endpoint) int {
		return cmp.Or(
			cmp.Compare(p.copiesByDomain[version][a.Domain], p.copiesByDomain[version][b.Domain]),
			cmp.Compare(len(a.Loaded)-a.MaxVersions, len(b.Loaded)-b.MaxVersions),
			cmp.Compare(a.Name, b.Name),
		)
	}), true
}

// canLoad reports whether an endpoint can load a version now, or after unloading
// another one.
func (p *plan) canLoad(e Endpoint, version string) bool {
	if !e.Usable || e.Busy || e.WantDrained || p.assigned[e.Name] || slices.Contains(e.Loaded, version) {
		return false
	}
	if len(e.Loaded) < e.MaxVersions {
		return true
	}
	_, ok := p.unloadableVersion(e)
	return ok
}

// unloadableVersion returns a version that an endpoint can unload: one with more copies
// than replicas, or one that is neither in use nor wanted.
func (p *plan) unloadableVersion(e Endpoint) (string, bool) {
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

func (p *plan) addStep(s Step) {
	p.steps = append(p.steps, s)
	p.assigned[s.Endpoint] = true
}

// VersionsOf returns the configured versions of a service. The versions in inUse have
// traffic or may get it back.
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
