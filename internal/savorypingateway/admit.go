package savorypingateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinforecast"
)

// Delays after which callers may retry refused requests.
const (
	// transientRetryDelay is for a condition that ends soon: a busy or lost endpoint.
	transientRetryDelay = 150 * time.Millisecond
	// otherGatewayRetryDelay is for a request that another gateway can serve at once.
	otherGatewayRetryDelay = 10 * time.Millisecond
	// storeRetryDelay is for a request that can be served only after a response of the store.
	storeRetryDelay = 700 * time.Millisecond
)

// defaultTimeout limits a request if neither its route nor its caller does.
const defaultTimeout = time.Minute

// request is an admitted request.
type request struct {
	arrived time.Time
	// bodies holds the buffered response bodies, upload the request's own.
	bodies, upload bodyReader
	call           *savorypinfleet.Call
	organisation   string
	priority       priority
	route          *savorypinfleet.Route
	service        *savorypinfleet.Service
	// uploading counts the body at the endpoint that has no response to it yet; nil if there is none.
	uploading *atomic.Int64
	// deadline is the earlier of the caller's deadline and the end of the route's timeout.
	deadline time.Time

	hash sync.Once
	// subject is set by whole.
	subject savorypinfleet.Subject
}

// whole returns the subject of the whole request. Its body is hashed at the first call, as few
// requests need it.
func (r *request) whole() savorypinfleet.Subject {
	r.hash.Do(func() { r.subject = savorypinfleet.NewRequest(r.service.Name(), r.organisation, r.call) })
	return r.subject
}

// has reports whether a subject is a part of the prompt or the request itself.
func (r *request) has(subject savorypinfleet.Subject) bool {
	if subject.IsRequest() {
		return subject == r.whole()
	}
	return slices.Contains(r.call.PromptParts, subject)
}

// kind returns the kind of requests that are expected to behave like this one.
func (r *request) kind() savorypinforecast.Kind {
	return savorypinforecast.Kind{Route: r.route.Name(), Service: r.service.Name()}
}

// remaining returns the time until the deadline.
func (r *request) remaining() time.Duration {
	return time.Until(r.deadline)
}

// expired reports whether the deadline has passed. It compares the clock instead of checking the
// request's context, since a read can reach the deadline before the context is done.
func (r *request) expired() bool {
	return r.remaining() <= 0
}

// refusal is an error response of the gateway itself.
type refusal struct {
	reason     string
	retryAfter time.Duration
	status     int
	// subject is what crashes endpoints, if that is the reason; zero if it isn't.
	subject savorypinfleet.Subject
}

// notRunRefusal returns a refusal which guarantees that the request has not run.
func notRunRefusal(reason string, retryAfter time.Duration) *refusal {
	return &refusal{reason: reason, retryAfter: retryAfter, status: http.StatusServiceUnavailable}
}

// admit decides whether a request is served. It returns a nil request and a nil refusal if the
// caller has disconnected.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, call *savorypinfleet.Call) (*request, *refusal) {
	req, refused := g.admitHead(call)
	if refused != nil {
		return nil, refused
	}
	if refused := readBody(w, r, req); refused != nil {
		req.release()
		// net/http ends the context after a timeout too, though the caller may still read.
		if r.Context().Err() != nil && refused.status != http.StatusRequestTimeout {
			return nil, nil
		}
		return nil, refused
	}
	// The shutdown may have begun, or gone on, while the body was on its way.
	if !g.acceptsWhileStopping(req) {
		req.release()
		return nil, stoppingRefusal()
	}
	return req, nil
}

// admitHead decides whether a request is served, before its body is read. If the request is refused
// because the gateway stops, both results are set.
func (g *Gateway) admitHead(call *savorypinfleet.Call) (*request, *refusal) {
	arrived := time.Now()
	current := g.view.current.Load()
	if current == nil || !g.view.listed.Load() {
		return nil, notRunRefusal("no configuration yet", storeRetryDelay)
	}
	c := current.configuration
	route := c.Route(call.Host, call.Path())
	if route == nil {
		return nil, &refusal{reason: "no route", status: http.StatusNotFound}
	}
	organisation, refused := g.authorise(current, route, call)
	if refused != nil {
		return nil, refused
	}
	req := &request{arrived: arrived, call: call, organisation: organisation, route: route}
	req.bodies = bodyReader{budget: g.responseBudget, limit: maxResponseBodyBytes}
	req.upload = bodyReader{budget: g.requestBudget, limit: maxRequestBodyBytes(c.Limits())}
	req.deadline = arrived.Add(requestTimeout(call, route))
	name := chooseService(route.Shares())
	req.service = c.Service(name)
	if req.service == nil {
		req.service = savorypinfleet.NewService(savorypinfleet.ServiceConfig{Name: name})
	}
	req.priority = newPriority(c, req)
	if !g.acceptsWhileStopping(req) {
		return req, stoppingRefusal()
	}
	return req, nil
}

// requestTimeout returns the time that a request may take.
func requestTimeout(call *savorypinfleet.Call, route *savorypinfleet.Route) time.Duration {
	d := route.Timeout()
	if call.Deadline > 0 && (d == 0 || call.Deadline < d) {
		d = call.Deadline
	}
	if d == 0 {
		return defaultTimeout
	}
	return d
}

// authorise returns the caller's organisation, or "" if no API key is required.
func (g *Gateway) authorise(current *snapshot, route *savorypinfleet.Route, call *savorypinfleet.Call) (string, *refusal) {
	c := current.configuration
	if !c.RequiresKey() || route.Public() {
		return "", nil
	}
	o := c.Organisation(call.APIKey)
	if o == nil {
		return "", &refusal{reason: "unknown key", status: http.StatusUnauthorized}
	}
	if !g.keysConfirmed(current) {
		return "", notRunRefusal("configuration is not confirmed", storeRetryDelay)
	}
	return o.Name, nil
}

// keysConfirmed reports whether the API keys of a configuration are current enough: a revoked
// key must not be served for longer than the revocation delay, even if the store is
// unreachable.
func (g *Gateway) keysConfirmed(current *snapshot) bool {
	s := g.settings.Load()
	if !s.StrictRevocation {
		return true
	}
	age, ok := current.confirmationAge(g.cfg.Clock())
	return ok && age < s.RevocationDelay
}

// release returns the memory of the request's bodies to their budgets.
func (r *request) release() {
	r.endUpload()
	r.bodies.release()
	r.upload.release()
}

// chooseService chooses a service at random by the weights of a route's shares.
func chooseService(shares []savorypinfleet.Share) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	point := rand.Float64() * sum
	for _, s := range shares {
		point -= s.Weight
		if point < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}
