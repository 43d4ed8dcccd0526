package savorypingateway

import "savorypin/internal/savorypinfleet"

// Priorities of requests at an endpoint, from 0 (highest) to 9 (lowest).
const (
	// noPriority lets the endpoint choose the priority of a request.
	noPriority = -1
	// resumePriority gives streams that have begun priority over new ones, where all streams to the
	// service have the same priority.
	resumePriority = 1
	// maxRank is the largest rank that is told apart: each rank has a priority for resumed streams
	// and a lower one for new streams.
	maxRank = 4
)

// priority is the priority of a request among the streams to its service.
type priority struct {
	// distinct says that the streams to the service have more than one priority.
	distinct bool
	// rank is the number of higher priorities of streams to the service.
	rank int
}

// newPriority returns the priority of a request under a configuration.
func newPriority(c *savorypinfleet.Configuration, req *request) priority {
	service := req.service.Name()
	if req.route.Kind() != savorypinfleet.RouteStreaming || !c.HasPriorities(service) {
		return priority{}
	}
	// Requests on public routes have no organisation, even if they carry a key.
	var o *savorypinfleet.Organisation
	if req.organisation != "" {
		o = c.Organisation(req.call.APIKey)
	}
	return priority{distinct: true, rank: c.PriorityRank(service, c.Priority(req.route, o))}
}

// forAttempt returns the priority that is sent to an endpoint. A resumed stream goes before new ones
// of its priority, but not before those of a higher one.
func (p priority) forAttempt(resumed bool) int {
	switch {
	case p.distinct && resumed:
		return 2 * min(p.rank, maxRank)
	case p.distinct:
		return 2*min(p.rank, maxRank) + 1
	case resumed:
		return resumePriority
	}
	return noPriority
}

// memoryTokens returns the KV memory of an engine of the request's service in tokens; zero if it is
// unknown or not limited. Memory is reserved only where streams of several priorities compete for it.
func (r *request) memoryTokens() int {
	if !r.priority.distinct {
		return 0
	}
	return r.service.MemoryTokens()
}

// reserveTokens returns the number of tokens of KV memory that the request needs at most; zero if
// memory isn't limited. What a caller names beyond the memory of an engine must not keep others from it.
func (r *request) reserveTokens() int {
	if r.memoryTokens() == 0 {
		return 0
	}
	return min(r.memoryTokens(), r.call.PromptTokens+r.call.OutputTokens)
}

// countMemory counts a stream that is sent to an endpoint without memory left, or without a copy for want
// of it.
func (s *stream) countMemory(e, backup *savorypinfleet.Endpoint) {
	q := s.gateway.query(s.req, nil)
	if q.MemoryTokens == 0 {
		return
	}
	// A place that is kept for the stream is already reserved.
	if s.place == nil && !s.gateway.picker.Fits(e, q) {
		s.gateway.counters.overcommitted.Inc(1)
	}
	if backup == nil && s.req.service.Backups() {
		s.gateway.counters.copiesOmitted.Inc(1)
	}
}
