// Package savorypinroute decides which endpoint gets a piece of work.
package savorypinroute

import (
	"slices"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
)

// Candidate is an endpoint that could take a piece of work.
type Candidate struct {
	endpoint savorypin.EndpointState
	member   savorypin.MemberState
}

// Endpoint returns what is known of the endpoint.
func (c Candidate) Endpoint() savorypin.EndpointState {
	return c.endpoint
}

// Member returns what is known of the agent beside the endpoint.
func (c Candidate) Member() savorypin.MemberState {
	return c.member
}

// Need is what a piece of work needs of an endpoint.
type Need struct {
	// Avoid are names of endpoints that must not be chosen.
	Avoid map[string]bool
	// Purpose says why the work is given to an endpoint.
	Purpose savorypin.Purpose
	// Region is the region of whoever asks.
	Region string
	// Service is the service that must be served.
	Service string
	// Version is the version that must be loaded; empty for plain services.
	Version string
}

// Candidates returns the usable endpoints for a need.
func Candidates(view *savorypinmembership.View, need Need) []Candidate {
	var candidates []Candidate
	for _, m := range view.All() {
		if !m.Usable() {
			continue
		}
		for _, e := range m.State().Endpoints {
			if serves(e, need) {
				candidates = append(candidates, Candidate{endpoint: e, member: m.State()})
			}
		}
	}
	return candidates
}

func serves(e savorypin.EndpointState, need Need) bool {
	if !e.Healthy || e.Service != need.Service || need.Avoid[e.Name] {
		return false
	}
	return need.Version == "" || slices.Contains(e.Versions, need.Version)
}

// Pick returns the candidate with the least load, those of the own region
// first. It reports false if there is none.
func Pick(candidates []Candidate, need Need) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(candidates, func(a, b Candidate) int {
		if local := a.member.Region == need.Region; local != (b.member.Region == need.Region) {
			if local {
				return -1
			}
			return 1
		}
		return a.load() - b.load()
	}), true
}

func (c Candidate) load() int {
	return c.endpoint.Running + c.endpoint.Waiting
}
