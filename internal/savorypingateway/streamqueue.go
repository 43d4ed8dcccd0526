package savorypingateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinqueue"
)

// placeVisibility is the time after which other gateways have heard of a stream that was started. Places
// that are still free then are offered again.
const placeVisibility = 400 * time.Millisecond

const (
	// urgentVisibilities multiplies placeVisibility where more urgent streams wait at other gateways.
	urgentVisibilities = 4
	// yieldToUrgent and yieldToOthers are the fractions of the places left by its own attempts that a
	// gateway doesn't take at once, if more urgent streams, or others, wait at other gateways. A gateway
	// that has just started has no attempts whose places it could take.
	yieldToUrgent = 0.25
	yieldToOthers = 0.125
)

// place is room at an endpoint that is kept for a stream until its attempt begins.
type place struct {
	endpoint *savorypinfleet.Endpoint
	work     *savorypinpick.Work
}

// release ends the reservation. The place may be nil.
func (p *place) release() {
	if p != nil {
		p.work.End()
	}
}

// streamQueue is the waiting queue of a service's streams at this gateway.
type streamQueue struct {
	gateway *Gateway
	queue   *savorypinqueue.Queue
	refused recentSubjects
	service string

	mu sync.Mutex
	// knownPlaces is the number of endpoints with room when it was last counted, and offeredAt when all
	// of them were last offered.
	knownPlaces int
	offeredAt   time.Time
}

// tryStart keeps a place for a waiting stream. The queue's lock is held.
func (q *streamQueue) tryStart(item savorypinqueue.Item) bool {
	w := item.Owner.(*waiter)
	w.place = q.gateway.takePlace(w.stream.req, w.stream.tried)
	return w.place != nil
}

// offerOwn offers a place that only this gateway knows of yet.
func (q *streamQueue) offerOwn() {
	q.queue.Offer(savorypinqueue.OwnNews(), q.tryStart)
}

// rivals returns the numbers of other gateways where streams of the service wait.
func (q *streamQueue) rivals() rivals {
	own, ok := q.queue.MostUrgent()
	if !ok {
		return rivals{}
	}
	return q.gateway.peersWaiting.rivals(q.service, own)
}

// offerShared offers the places that other gateways see too.
func (q *streamQueue) offerShared() {
	smallest, ok := q.queue.Smallest()
	if !ok {
		return
	}
	req := smallest.Owner.(*waiter).stream.req
	r := q.rivals()
	places := q.newPlaces(len(q.gateway.endpointsWithRoom(req, nil)), r, time.Now())
	if places > 0 {
		q.queue.Offer(savorypinqueue.News{Gateways: 1 + r.moreUrgent + r.others, Places: places}, q.tryStart)
	}
}

// newPlaces returns the number of places that are new, given that of all. Each report of another gateway
// shows again those that nobody has taken yet: they count as new once all gateways had the time to take
// them. Where more urgent streams wait at other gateways, only these count, later.
func (q *streamQueue) newPlaces(places int, r rivals, now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, interval := q.knownPlaces, placeVisibility
	q.knownPlaces = places
	if r.moreUrgent > 0 {
		known, interval = places, urgentVisibilities*placeVisibility
	}
	if now.Sub(q.offeredAt) >= interval {
		q.offeredAt = now
		return places
	}
	return max(0, places-known)
}

// streamQueues holds the waiting queues by service.
type streamQueues struct {
	gateway *Gateway
	// maxBytes limits the bodies in each queue; zero means the default.
	maxBytes int

	mu     sync.Mutex
	queues map[string]*streamQueue
}

// forService returns the queue of a service.
func (q *streamQueues) forService(service string) *streamQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queues == nil {
		q.queues = map[string]*streamQueue{}
	}
	queue := q.queues[service]
	if queue == nil {
		queue = &streamQueue{gateway: q.gateway, service: service, queue: savorypinqueue.New(savorypinqueue.Config{
			MaxBytes: q.maxBytes,
		})}
		q.queues[service] = queue
	}
	return queue
}

// all returns the queues.
func (q *streamQueues) all() []*streamQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	queues := make([]*streamQueue, 0, len(q.queues))
	for _, queue := range q.queues {
		queues = append(queues, queue)
	}
	return queues
}

// attemptEnded offers the place that an attempt of a stream has left.
func (q *streamQueues) attemptEnded(service string) {
	q.mu.Lock()
	queue := q.queues[service]
	q.mu.Unlock()
	if queue == nil || queue.queue.Len() == 0 {
		return
	}
	if !queue.rivals().yield(rand.Float64()) {
		queue.offerOwn()
	}
	queue.offerShared()
}

// loadsChanged offers places after news of endpoints or of other gateways.
func (q *streamQueues) loadsChanged() {
	for _, queue := range q.all() {
		queue.offerShared()
	}
}

// report returns the services for which streams wait, in sorted order.
func (q *streamQueues) report() []savorypingossip.ServiceWaiting {
	var waiting []savorypingossip.ServiceWaiting
	for _, queue := range q.all() {
		if priority, ok := queue.queue.MostUrgent(); ok {
			waiting = append(waiting, savorypingossip.ServiceWaiting{Priority: uint8(priority), Service: queue.service})
		}
	}
	slices.SortFunc(waiting, func(a, b savorypingossip.ServiceWaiting) int { return cmp.Compare(a.Service, b.Service) })
	return waiting
}

// refuse refuses the waiting streams for which check returns a refusal.
func (q *streamQueues) refuse(reason savorypinqueue.Reason, check func(*request) *refusal) {
	for _, queue := range q.all() {
		queue.queue.Refuse(reason, func(item savorypinqueue.Item) bool {
			w := item.Owner.(*waiter)
			w.refusal = check(w.stream.req)
			return w.refusal != nil
		})
	}
}

// states returns the states of the queues by service, for operators.
func (q *streamQueues) states() map[string]savorypinqueue.State {
	states := map[string]savorypinqueue.State{}
	for _, queue := range q.all() {
		states[queue.service] = queue.queue.State()
	}
	return states
}

// peersWaiting knows for which services streams wait at other gateways. It is safe for concurrent use.
type peersWaiting struct {
	mu       sync.Mutex
	services map[string][]savorypingossip.ServiceWaiting
}

// rivals are the numbers of other gateways where streams of a service wait: more urgent ones than at this
// gateway, and others.
type rivals struct {
	moreUrgent, others int
}

// yield reports whether this gateway leaves a place of its own to them, given a random number.
func (r rivals) yield(random float64) bool {
	switch {
	case r.moreUrgent > 0:
		return random < yieldToUrgent
	case r.others > 0:
		return random < yieldToOthers
	default:
		return false
	}
}

// set replaces the services of another gateway.
func (p *peersWaiting) set(gateway string, services []savorypingossip.ServiceWaiting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services == nil {
		p.services = map[string][]savorypingossip.ServiceWaiting{}
	}
	p.services[gateway] = services
}

// retain drops the gateways that are not live.
func (p *peersWaiting) retain(live map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for gateway := range p.services {
		if !live[gateway] {
			delete(p.services, gateway)
		}
	}
}

// rivals returns the numbers of other gateways with waiting streams of a service, given the most urgent
// priority that waits at this one.
func (p *peersWaiting) rivals(service string, own int) rivals {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r rivals
	for _, services := range p.services {
		for _, s := range services {
			switch {
			case s.Service != service:
			case int(s.Priority) < own:
				r.moreUrgent++
			default:
				r.others++
			}
		}
	}
	return r
}

// maxRecentSubjects limits the number of subjects of each half of a recentSubjects.
const maxRecentSubjects = 2048

// recentSubjects remembers the latest requests that were refused, so that callers that return come
// before new ones. It is safe for concurrent use.
type recentSubjects struct {
	mu sync.Mutex
	// latest holds the latest ones, and earlier those before: when latest is full, it replaces earlier.
	latest, earlier map[savorypinfleet.Subject]bool
}

func (r *recentSubjects) add(s savorypinfleet.Subject) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest == nil || len(r.latest) == maxRecentSubjects {
		r.latest, r.earlier = map[savorypinfleet.Subject]bool{}, r.latest
	}
	r.latest[s] = true
}

// take reports whether a request was refused, and forgets it. The subject is asked for only if any was.
func (r *recentSubjects) take(subject func() savorypinfleet.Subject) bool {
	r.mu.Lock()
	empty := len(r.latest) == 0 && len(r.earlier) == 0
	r.mu.Unlock()
	if empty {
		return false
	}
	s := subject()
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.latest[s] || r.earlier[s]
	delete(r.latest, s)
	delete(r.earlier, s)
	return found
}
