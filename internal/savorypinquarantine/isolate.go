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
	crashes, ok := r.checkSuspect(request, spare)
	if crashes == 0 || !ok {
		return nil, ok
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

// MayIsolate reports what Isolate would decide now. It changes nothing.
func (r *Registry) MayIsolate(service string, request savorypinfleet.Subject, spare func() bool) bool {
	crashes, ok := r.checkSuspect(request, spare)
	if !ok || crashes < isolationCrashes {
		return ok
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isolated[service]
}

// checkSuspect returns the number of crashes that a request is suspect by, and whether it may be sent
// unless it has to be alone.
func (r *Registry) checkSuspect(request savorypinfleet.Subject, spare func() bool) (crashes int, ok bool) {
	if !r.Watching() {
		return 0, true
	}
	crashes = r.Suspicion([]savorypinfleet.Subject{request})
	// The lock isn't held, as spare may ask the registry which endpoints have crashed.
	return crashes, crashes == 0 || spare()
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
