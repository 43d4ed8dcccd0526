package savorypinresume

import (
	"slices"
	"sync"
	"time"
)

// ResumeQueueConfig configures a ResumeQueue.
type ResumeQueueConfig struct {
	// MaxPrefillBacklog is the maximum prefill backlog of an endpoint, as the time
	// that the endpoint needs for it. Further resumes wait.
	MaxPrefillBacklog time.Duration
}

// ResumeQueue gives resumes priority over new generations. Each resume waits in the
// queue of its service until an endpoint has capacity for its prefill. While resumes
// wait, new generations of the service are to be refused. It is safe for concurrent
// use.
type ResumeQueue struct {
	cfg ResumeQueueConfig

	mu             sync.Mutex
	prefillBacklog map[string]int
	queues         map[string][]*QueuedResume
}

// QueuedResume is one resume that waits in a ResumeQueue or occupies the prefill
// capacity of an endpoint.
type QueuedResume struct {
	endpoint string
	queue    *ResumeQueue
	place    func(r *QueuedResume) bool
	service  string
	tokens   int
}

// NewResumeQueue returns a ResumeQueue without waiting resumes.
func NewResumeQueue(cfg ResumeQueueConfig) *ResumeQueue {
	return &ResumeQueue{cfg: cfg, prefillBacklog: map[string]int{}, queues: map[string][]*QueuedResume{}}
}

// Enqueue queues a resume that needs the prefill of a number of tokens. Whenever the
// resume is first in its queue, the ResumeQueue may call place, which chooses an
// endpoint, calls Assign and returns true, or returns false if no endpoint has
// capacity. If the resume is no longer needed or can't be placed at all, place
// returns true without a call of Assign, which only removes the resume from its
// queue. The function place must not call other methods of the ResumeQueue or its
// resumes than IsFull and Assign, and must not block.
func (q *ResumeQueue) Enqueue(service string, tokens int, place func(r *QueuedResume) bool) *QueuedResume {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := &QueuedResume{queue: q, place: place, service: service, tokens: tokens}
	q.queues[service] = append(q.queues[service], r)
	q.placeWaiting(service)
	return r
}

// Tick tries again to place the first resume of each queue. It is called when the
// set of endpoints may have changed.
func (q *ResumeQueue) Tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for service := range q.queues {
		q.placeWaiting(service)
	}
}

// Refusal reports whether new generations of a service are to be refused because
// resumes wait, and after which delay they may be retried. The rate is the
// prefill rate of all endpoints of the service, in tokens a second.
func (q *ResumeQueue) Refusal(service string, prefillPerSecond float64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := 0
	for _, r := range q.queues[service] {
		waiting += r.tokens
	}
	if waiting == 0 || prefillPerSecond <= 0 {
		return time.Second, len(q.queues[service]) > 0
	}
	delay := time.Duration(float64(waiting) / prefillPerSecond * float64(time.Second))
	return max(delay, time.Second), true
}

// Waiting returns the number of resumes that wait.
func (q *ResumeQueue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, queue := range q.queues {
		n += len(queue)
	}
	return n
}

// IsFull reports whether an endpoint has no capacity for the resume, given the
// endpoint's prefill rate in tokens a second. It must be called by place only.
func (r *QueuedResume) IsFull(endpoint string, prefillPerSecond float64) bool {
	backlog := r.queue.prefillBacklog[endpoint]
	// An endpoint without a backlog accepts any resume, however long, so that
	// every resume can be placed.
	return backlog > 0 && float64(backlog+r.tokens) > prefillPerSecond*r.queue.cfg.MaxPrefillBacklog.Seconds()
}

// Assign assigns the resume to an endpoint. It must be called by place only.
func (r *QueuedResume) Assign(endpoint string) {
	r.endpoint = endpoint
	r.queue.prefillBacklog[endpoint] += r.tokens
}

// Release removes the resume from its queue or endpoint. It is called when the first
// token arrives, or when the resume fails or is cancelled. It may be called more
// than once.
func (r *QueuedResume) Release() {
	q := r.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queues[r.service] = slices.DeleteFunc(q.queues[r.service], func(o *QueuedResume) bool { return o == r })
	if r.endpoint != "" {
		q.prefillBacklog[r.endpoint] -= r.tokens
		if q.prefillBacklog[r.endpoint] <= 0 {
			delete(q.prefillBacklog, r.endpoint)
		}
		r.endpoint = ""
	}
	q.placeWaiting(r.service)
}

// placeWaiting places the resumes of a queue in order until one can't be placed.
// The caller holds q.mu.
func (q *ResumeQueue) placeWaiting(service string) {
	queue := q.queues[service]
	for len(queue) > 0 && queue[0].place(queue[0]) {
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(q.queues, service)
		return
	}
	q.queues[service] = queue
}
