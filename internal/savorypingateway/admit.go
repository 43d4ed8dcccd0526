package savorypingateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"savorypin/internal/savorypinfleet"
)

// Times after which refused callers may come back.
const (
	// retrySoon is for what passes in a moment: a full or lost endpoint.
	retrySoon = 150 * time.Millisecond
	// retryElsewhere is for what another gateway can serve at once.
	retryElsewhere = 10 * time.Millisecond
	// retryStore is for what waits on the store.
	retryStore = 700 * time.Millisecond
)

// defaultTimeout bounds a request if neither its route nor its caller does.
const defaultTimeout = time.Minute

// defaultBodyBytes bounds a body where the configuration does not.
const defaultBodyBytes = 4 << 20

// request is a caller's request that was admitted.
type request struct {
	arrived time.Time
	// bodies are the answers that are held whole.
	bodies       heldBodies
	call         *savorypinfleet.Call
	organisation string
	route        *savorypinfleet.Route
	service      *savorypinfleet.Service
	// until is when the caller gives up or the route's timeout is reached.
	until time.Time
}

// left is the time that the request still has.
func (r *request) left() time.Duration {
	return time.Until(r.until)
}

// over reports whether the request has no time left. The clock decides, since the
// deadline of a read passes before that of the request's context is noticed.
func (r *request) over() bool {
	return r.left() <= 0
}

// refusal is an answer that the gateway gives itself.
type refusal struct {
	reason     string
	retryAfter time.Duration
	status     int
}

// notRun returns a refusal that promises that the request has not run.
func notRun(reason string, retryAfter time.Duration) *refusal {
	return &refusal{reason: reason, retryAfter: retryAfter, status: http.StatusServiceUnavailable}
}

// admit decides whether a request is served. It returns a nil request and a nil
// refusal if the caller has left.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, call *savorypinfleet.Call) (*request, *refusal) {
	arrived := time.Now()
	c := g.view.configuration.Load()
	if c == nil || !g.view.listed.Load() {
		return nil, notRun("no configuration yet", retryStore)
	}
	path, _, _ := strings.Cut(call.URI, "?")
	route := c.Route(call.Host, path)
	if route == nil {
		return nil, &refusal{reason: "no route", status: http.StatusNotFound}
	}
	if route.Kind() == savorypinfleet.RouteStreaming && !takesStream(g.stoppedFor(), g.settings.Load().Grace, g.picker.UsualDuration()) {
		return nil, notRun("gateway stops", retryElsewhere)
	}
	organisation, refused := g.authorise(c, route, call)
	if refused != nil {
		return nil, refused
	}
	req := &request{arrived: arrived, bodies: heldBodies{all: g.bodies}, call: call, organisation: organisation, route: route}
	req.until = arrived.Add(deadline(call, route))
	if refused := g.readBody(w, r, call, c.Limits()); refused != nil {
		if r.Context().Err() != nil {
			return nil, nil
		}
		return nil, refused
	}
	name := pickShare(route.Shares())
	req.service = c.Service(name)
	if req.service == nil {
		req.service = savorypinfleet.NewService(savorypinfleet.ServiceConfig{Name: name})
	}
	return req, nil
}

// deadline is how long a request may take.
func deadline(call *savorypinfleet.Call, route *savorypinfleet.Route) time.Duration {
	d := route.Timeout()
	if call.Deadline > 0 && (d == 0 || call.Deadline < d) {
		d = call.Deadline
	}
	if d == 0 {
		return defaultTimeout
	}
	return d
}

// authorise returns the caller's organisation.
func (g *Gateway) authorise(c *savorypinfleet.Configuration, route *savorypinfleet.Route, call *savorypinfleet.Call) (string, *refusal) {
	if !c.Keyed() || route.Public() {
		return "", nil
	}
	o := c.Organisation(call.Key)
	if o == nil {
		return "", &refusal{reason: "unknown key", status: http.StatusUnauthorized}
	}
	if !g.keysFresh() {
		return "", notRun("configuration is not confirmed", retryStore)
	}
	return o.Name, nil
}

// keysFresh reports whether keys can be trusted: a key that was taken away is
// not served for longer than the revocation delay, even if the store is out of
// reach.
func (g *Gateway) keysFresh() bool {
	s := g.settings.Load()
	if !s.StrictKeys {
		return true
	}
	age, ok := g.view.confirmation(bootClock())
	return ok && age < s.RevocationDelay
}

// readBody reads the whole body, so that a request is only sent once it is
// complete.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, call *savorypinfleet.Call, limits savorypinfleet.Limits) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{reason: "body is too large", status: http.StatusRequestEntityTooLarge}
	case err != nil:
		return &refusal{reason: "body can't be read", status: http.StatusBadRequest}
	}
	call.Body = body
	return nil
}

// pickShare chooses a service by the weights of a route.
func pickShare(shares []savorypinfleet.Share) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	at := rand.Float64() * sum
	for _, s := range shares {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}
