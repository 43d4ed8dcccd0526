package savorypinroute

import (
	"slices"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
)

// Candidates returns the usable endpoints for a request by a scan of all members.
// It is the reference implementation of the Router's index.
func Candidates(view *savorypinmembership.View, req Request) []Candidate {
	var candidates []Candidate
	for _, m := range view.All() {
		if !m.Usable() {
			continue
		}
		for _, e := range m.State().Endpoints {
			if serves(e, req) {
				candidates = append(candidates, Candidate{endpoint: e, member: m.State()})
			}
		}
	}
	return candidates
}

// usable reports whether an endpoint accepts new requests.
func usable(e savorypin.EndpointState) bool {
	return e.Healthy && !e.Drained
}

// serves reports whether an endpoint is usable for a request.
func serves(e savorypin.EndpointState, req Request) bool {
	if !usable(e) || e.Service != req.Service || req.Avoid[e.Name] {
		return false
	}
	return req.Version == "" || slices.Contains(e.Versions, req.Version)
}

// LeastLoaded returns the candidate with the least reported load, preferring
// those in the region of the request. It reports false if there is none. It is
// the baseline that Router.Choose is compared with.
func LeastLoaded(candidates []Candidate, req Request) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(candidates, func(a, b Candidate) int {
		if local := a.member.Region == req.Region; local != (b.member.Region == req.Region) {
			if local {
				return -1
			}
			return 1
		}
		return a.reportedLoad() - b.reportedLoad()
	}), true
}

func (c Candidate) reportedLoad() int {
	return c.endpoint.Running + c.endpoint.Waiting
}
