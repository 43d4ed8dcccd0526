package savorypinquarantine

import "savorypin/internal/savorypinfleet"

// isolationCrashes is the number of crashes that make a request so suspect that it is isolated.
const isolationCrashes = 2

// Isolation is an attempt of a request that is suspect. A nil Isolation is one of a request that
// isn't.
type Isolation struct {
	// alone is set if no other suspect request of this gateway is at the service meanwhile.
	alone    bool
	registry *Registry
	service  string
}

// Isolate decides whether a request is sent to an endpoint of a service. One that is suspect is sent
// if spare reports that further endpoints are left to serve the rest. One that is suspect by several
// crashes is also sent only if no other one of this gateway is at the service, so that the next crash
// tells them apart.
func (r *Registry) Isolate(service string, request savorypinfleet.Subject, spare func() bool) (*Isolation, bool) {
	if !r.Watching() {
		return nil, true
	}
	crashes := r.Suspicion([]savorypinfleet.Subject{request})
	if crashes == 0 {
		return nil, true
	}
	// The lock isn't held, as spare may ask the registry which endpoints have crashed.
	if !spare() {
		return nil, false
	}
	isolation := &Isolation{alone: crashes >= isolationCrashes, registry: r, service: service}
	if !isolation.alone {
		return isolation, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isolated[service] {
		return nil, false
	}
	r.isolated[service] = true
	return isolation, true
}

// End ends the attempt.
func (i *Isolation) End() {
	if i == nil || !i.alone {
		return
	}
	i.registry.mu.Lock()
	defer i.registry.mu.Unlock()
	delete(i.registry.isolated, i.service)
}

// Crashed reports whether an incarnation of an endpoint is known to have crashed.
func (r *Registry) Crashed(e *savorypinfleet.Endpoint) bool {
	if !r.Watching() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evidence.crashOf(e.IncarnationHash()) != nil
}
