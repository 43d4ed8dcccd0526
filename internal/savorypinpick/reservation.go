package savorypinpick

import (
	"savorypin/internal/savorypinfleet"
)

// Settings of memory reservations.
const (
	// overcommitWeight is the score of each token by which a request exceeds the memory that is
	// left at an endpoint. It outweighs any queue: an engine that runs out of memory preempts a
	// request, whose prompt it has to prefill again.
	overcommitWeight = 10
)

// memory holds the numbers of tokens of an engine's KV memory that are reserved at an endpoint.
type memory struct {
	// requests is reserved for the requests that are sent there, copies for the copies of
	// requests that run elsewhere.
	requests, copies int64
}

// total returns the number of reserved tokens.
func (m memory) total() int64 { return m.requests + m.copies }

// reservedMemory returns what is reserved at an endpoint over all gateways.
func (s *endpointState) reservedMemory() memory {
	return memory{
		requests: s.reserved.Load() + s.remoteReserved.Load(),
		copies:   s.copied.Load() + s.remoteCopied.Load(),
	}
}

// overcommitted returns the number of tokens by which the request exceeds the memory that is left at
// an endpoint; zero if it fits or if the memory is unknown.
func (q Query) overcommitted(s *endpointState) float64 {
	if q.MemoryTokens <= 0 {
		return 0
	}
	return float64(max(0, s.reservedMemory().total()+int64(q.ReserveTokens)-int64(q.MemoryTokens)))
}

// Fits reports whether a request fits into the memory that is left at an endpoint.
func (p *Picker) Fits(e *savorypinfleet.Endpoint, q Query) bool {
	return q.overcommitted(p.state(e)) == 0
}

// ReservedTokens returns the number of tokens that are reserved at an endpoint, over all gateways.
func (p *Picker) ReservedTokens(e *savorypinfleet.Endpoint) int {
	return int(p.state(e).reservedMemory().total())
}

// Reserve reserves memory for the request at its endpoint, and for its copy at the endpoint of its
// backup, until the request ends. It must be called once at most, before the request ends.
func (w *Work) Reserve(tokens int) {
	w.reserved = int64(tokens)
	w.endpoint.reserved.Add(w.reserved)
	if w.backup != nil {
		w.backup.copied.Add(w.reserved)
	}
}

// releaseMemory ends the reservations of the request.
func (w *Work) releaseMemory() {
	w.endpoint.reserved.Add(-w.reserved)
	if w.backup != nil {
		w.backup.copied.Add(-w.reserved)
	}
}
