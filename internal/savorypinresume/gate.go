package savorypinresume

import (
	"slices"
	"sync"
	"time"
)

// GateConfig configures a Gate.
type GateConfig struct {
	// Horizon is the maximum prefill backlog of an endpoint, as the time that the
	// endpoint needs for it. Further resumes wait.
	Horizon time.Duration
}

// Gate gives resumes priority over new generations. Each resume waits in the queue
// of its service until an endpoint has capacity for its prefill. While resumes
// wait, new generations of the service are to be refused. It is safe for
// concurrent use.
type Gate struct {
	cfg GateConfig

	mu             sync.Mutex
	prefillBacklog map[string]int
	queues         map[string][]*Ticket
}

// Ticket is one resume that waits at a Gate or occupies the prefill capacity of an
// endpoint.
type Ticket struct {
	endpoint string
	gate     *Gate
	place    func(t *Ticket) bool
	service  string
	tokens   int
}

// NewGate returns a gate with empty queues.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{cfg: cfg, prefillBacklog: map[string]int{}, queues: map[string][]*Ticket{}}
}

// Enter queues a resume that needs the prefill of a number of tokens. Whenever the
// resume is first in its queue, the gate may call place, which chooses an endpoint,
// calls Take and returns true, or returns false if no endpoint has capacity. The
// function place must not call other methods of the gate or its tickets than Full
// and Take, and must not block.
func (g *Gate) Enter(service string, tokens int, place func(t *Ticket) bool) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{gate: g, place: place, service: service, tokens: tokens}
	g.queues[service] = append(g.queues[service], t)
	g.placeWaiting(service)
	return t
}

// Tick tries again to place the first resume of each queue. It is called when the
// set of endpoints may have changed.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service := range g.queues {
		g.placeWaiting(service)
	}
}

// Refusal reports whether new generations of a service are to be refused because
// resumes wait, and after which delay they may be retried. The rate is the
// prefill rate of all endpoints of the service, in tokens a second.
func (g *Gate) Refusal(service string, prefillPerSecond float64) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting := 0
	for _, t := range g.queues[service] {
		waiting += t.tokens
	}
	if waiting == 0 || prefillPerSecond <= 0 {
		return time.Second, len(g.queues[service]) > 0
	}
	delay := time.Duration(float64(waiting) / prefillPerSecond * float64(time.Second))
	return max(delay, time.Second), true
}

// Waiting returns the number of resumes that wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, queue := range g.queues {
		n += len(queue)
	}
	return n
}

// Full reports whether an endpoint has no capacity for the resume, given the
// endpoint's prefill rate in tokens a second. It must be called by place only.
func (t *Ticket) Full(endpoint string, prefillPerSecond float64) bool {
	backlog := t.gate.prefillBacklog[endpoint]
	// An endpoint without a backlog accepts any resume, however long, so that
	// every resume can be placed.
	return backlog > 0 && float64(backlog+t.tokens) > prefillPerSecond*t.gate.cfg.Horizon.Seconds()
}

// Take assigns the resume to an endpoint. It must be called by place only.
func (t *Ticket) Take(endpoint string) {
	t.endpoint = endpoint
	t.gate.prefillBacklog[endpoint] += t.tokens
}

// Leave removes the resume from its queue or endpoint. It is called when the first
// token arrives, or when the resume fails or is cancelled. It may be called more
// than once.
func (t *Ticket) Leave() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queues[t.service] = slices.DeleteFunc(g.queues[t.service], func(o *Ticket) bool { return o == t })
	if t.endpoint != "" {
		g.prefillBacklog[t.endpoint] -= t.tokens
		if g.prefillBacklog[t.endpoint] <= 0 {
			delete(g.prefillBacklog, t.endpoint)
		}
		t.endpoint = ""
	}
	g.placeWaiting(t.service)
}

// placeWaiting places the resumes of a queue in order until one can't be placed.
// The caller holds g.mu.
func (g *Gate) placeWaiting(service string) {
	queue := g.queues[service]
	for len(queue) > 0 && queue[0].place(queue[0]) {
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(g.queues, service)
		return
	}
	g.queues[service] = queue
}
