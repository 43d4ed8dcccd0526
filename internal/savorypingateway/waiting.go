package savorypingateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinqueue"
)

const (
	// longWait is the wait from which it is logged.
	longWait = time.Second
	// waitingMemoryRatio is the part of the memory for request bodies that waiting streams may hold.
	// Requests that run need the rest.
	waitingMemoryRatio = 0.5
)

// errNoRoom ends a stream that was refused a place in the waiting queue, or lost it.
var errNoRoom = errors.New("no endpoint has room")

// waiter is a stream that waits, as its queue knows it.
type waiter struct {
	// place is set when the stream starts.
	place *place
	// refusal is set if a change at the gateway refuses the stream.
	refusal *refusal
	stream  *stream
}

// endpointsWithRoom returns the endpoints that may get a request and have the memory for it, given the
// IDs of endpoints tried already.
func (g *Gateway) endpointsWithRoom(req *request, tried map[string]bool) []*savorypinfleet.Endpoint {
	q := g.query(req, tried)
	return slices.DeleteFunc(q.Candidates, func(e *savorypinfleet.Endpoint) bool {
		return tried[e.ID()] || !g.picker.Fits(e, q)
	})
}

// waitingItem returns the item of a stream in its queue.
func (s *stream) waitingItem(q *streamQueue, w *waiter) savorypinqueue.Item {
	item := s.gateway.newItem(s.req, s.lastEventID)
	item.Owner, item.Returned = w, q.refused.take(s.req.whole)
	return item
}

// newItem returns the item of a stream after an event, without an owner.
func (g *Gateway) newItem(req *request, lastEventID int64) savorypinqueue.Item {
	latest := req.deadline.Add(-g.minDuration(req, lastEventID, false))
	if !latest.After(time.Now()) {
		// A probe of the forecast, see checkDeadline.
		latest = req.deadline
	}
	return savorypinqueue.Item{
		Bytes:       len(req.call.Body),
		LatestStart: latest,
		Priority:    min(req.priority.rank, savorypinqueue.MaxPriority),
		Resumed:     req.call.LastEvent() > 0,
		Tokens:      req.reserveTokens(),
	}
}

// awaitPlace returns an endpoint with room for the stream, which waits for it if there is none.
func (s *stream) awaitPlace(ctx context.Context, q *streamQueue) (*savorypinfleet.Endpoint, error) {
	g := s.gateway
	w := &waiter{stream: s}
	item := s.waitingItem(q, w)
	if q.queue.TryPass(item, q.tryStart) {
		s.place = w.place
		return s.place.endpoint, nil
	}
	joinedAt := time.Now()
	ticket, d := q.queue.Join(item)
	if ticket != nil {
		g.counters.waited.Inc(1)
		// It may fit although those before it don't.
		q.offerOwn()
		d = s.awaitDecision(ctx, ticket)
	}
	wait := time.Since(joinedAt)
	if d.Outcome == savorypinqueue.OutcomeStarted {
		g.counters.wait.Update(wait)
		s.place = w.place
		if w.refusal = s.refusalAfterWait(); w.refusal == nil {
			s.logWait(q, item, d, wait)
			return s.place.endpoint, s.checkQuarantine()
		}
		s.returnPlace()
		d = savorypinqueue.Decision{Outcome: savorypinqueue.OutcomeRefused, Reason: savorypinqueue.ReasonStopping, RetryAfter: w.refusal.retryAfter}
	}
	return nil, s.endWait(q, w, item, d, wait)
}

// awaitDecision waits for the decision on a ticket, or leaves the queue if the caller, or the gateway,
// is gone.
func (s *stream) awaitDecision(ctx context.Context, t *savorypinqueue.Ticket) savorypinqueue.Decision {
	reason := savorypinqueue.ReasonCallerLeft
	select {
	case d := <-t.Ready():
		return d
	case <-ctx.Done():
		if s.req.expired() {
			reason = savorypinqueue.ReasonExpired
		}
	case <-s.gateway.exiting.Done():
		reason = savorypinqueue.ReasonStopping
	}
	if !t.Leave(reason) {
		return <-t.Ready()
	}
	return savorypinqueue.Decision{Outcome: savorypinqueue.OutcomeRefused, Reason: reason, RetryAfter: otherGatewayRetryDelay}
}

// refusalAfterWait returns why a stream whose turn has come isn't started; nil if it is.
func (s *stream) refusalAfterWait() *refusal {
	g := s.gateway
	if g.exiting.Err() != nil || !g.acceptsWhileStopping(s.req) {
		return stoppingRefusal()
	}
	// The confirmation of the key may have run out meanwhile.
	return g.refusalBy(g.view.current.Load(), s.req)
}

// endWait records that the stream doesn't start, and returns the error that ends it.
func (s *stream) endWait(q *streamQueue, w *waiter, item savorypinqueue.Item, d savorypinqueue.Decision, wait time.Duration) error {
	s.logWait(q, item, d, wait)
	if d.Reason == savorypinqueue.ReasonCallerLeft {
		s.gateway.counters.waitLeft.Inc(1)
		return errNoRoom
	}
	s.gateway.counters.waitRefused.Inc(1)
	s.waitRefusal = w.refusal
	if s.waitRefusal == nil {
		s.waitRefusal = notRunRefusal("no room at endpoints: "+string(d.Reason), d.RetryAfter)
		q.refused.add(s.req.whole())
	}
	return fmt.Errorf("%w: %s", errNoRoom, d.Reason)
}

// logWait logs a refusal, and a wait that was long.
func (s *stream) logWait(q *streamQueue, item savorypinqueue.Item, d savorypinqueue.Decision, wait time.Duration) {
	if d.Outcome == savorypinqueue.OutcomeStarted && wait < longWait {
		return
	}
	outcome := "was refused"
	switch {
	case d.Outcome == savorypinqueue.OutcomeStarted:
		outcome = "started"
	case d.Reason == savorypinqueue.ReasonCallerLeft:
		outcome = "left"
	}
	s.gateway.log.Emit(savorypinevent.StreamWaited{
		Age: time.Since(s.req.arrived), ID: s.req.call.ID, Length: q.queue.Len(), Outcome: outcome, Priority: item.Priority,
		Reason: string(d.Reason), RetryAfter: d.RetryAfter, Service: q.service, Wait: wait,
	})
}

// releasePlace ends the reservation of the stream's place, if it has one.
func (s *stream) releasePlace() {
	s.place.release()
	s.place = nil
}

// returnPlace ends the reservation of a place that no attempt has used, and offers it to others.
func (s *stream) returnPlace() {
	if s.place == nil {
		return
	}
	s.releasePlace()
	s.gateway.queues.attemptEnded(s.req.service.Name())
}

// configurationChanged refuses the waiting streams whose route or key is gone, as the configuration in
// force does.
func (g *Gateway) configurationChanged() {
	current := g.view.current.Load()
	if current == nil {
		return
	}
	g.queues.refuse(savorypinqueue.ReasonConfiguration, func(req *request) *refusal { return g.refusalBy(current, req) })
}

// refusalBy returns the refusal of an admitted request by a later configuration; nil if that admits it
// too.
func (g *Gateway) refusalBy(current *snapshot, req *request) *refusal {
	route := current.configuration.Route(req.call.Host, req.call.Path())
	if route == nil {
		return &refusal{reason: "no route", status: http.StatusNotFound}
	}
	if _, refused := g.authorise(current, route, req.call); refused != nil {
		return refused
	}
	serves := slices.ContainsFunc(route.Shares(), func(s savorypinfleet.Share) bool { return s.Service == req.service.Name() })
	if !serves || route.Kind() != savorypinfleet.RouteStreaming {
		return notRunRefusal("configuration changed", transientRetryDelay)
	}
	return nil
}

// refuseWaiting refuses the waiting streams that a stopping gateway doesn't start any more.
func (g *Gateway) refuseWaiting() {
	g.queues.refuse(savorypinqueue.ReasonStopping, func(req *request) *refusal {
		if g.acceptsWhileStopping(req) {
			return nil
		}
		return stoppingRefusal()
	})
}

// queue returns the queue in which the stream waits for its first attempt; nil if it doesn't wait.
func (s *stream) queue() *streamQueue {
	g := s.gateway
	memory := s.req.memoryTokens()
	// A stream that names more than an engine holds would wait for an empty one, and let others wait.
	if memory == 0 || s.req.reserveTokens() == memory || s.attempts > 0 || s.mayHaveRun || s.backup != nil {
		return nil
	}
	name := s.req.service.Name()
	if !slices.ContainsFunc(g.candidates(name), func(e *savorypinfleet.Endpoint) bool { return !s.tried[e.ID()] }) {
		// Those that there are pause or have failed, which the refusal describes.
		return nil
	}
	return g.queues.forService(name)
}

// endpointForPlace returns the endpoint that choose selects for a request, or nil if no endpoint has
// room.
func (g *Gateway) endpointForPlace(req *request, tried map[string]bool, choose func() *savorypinfleet.Endpoint) *savorypinfleet.Endpoint {
	if len(g.endpointsWithRoom(req, tried)) == 0 {
		return nil
	}
	e := choose()
	if e == nil || !g.picker.Fits(e, savorypinpick.Query{MemoryTokens: req.memoryTokens(), ReserveTokens: req.reserveTokens()}) {
		return nil
	}
	return e
}

// takePlace keeps room at an endpoint for a request. It returns nil if no endpoint has room.
func (g *Gateway) takePlace(req *request, tried map[string]bool) *place {
	e := g.endpointForPlace(req, tried, func() *savorypinfleet.Endpoint { return g.chooseEndpoint(req, tried) })
	if e == nil {
		req.endUpload()
		return nil
	}
	p := &place{endpoint: e, work: g.picker.Begin(e, nil, 0)}
	p.work.Reserve(req.reserveTokens())
	return p
}
