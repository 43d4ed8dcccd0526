package savorypinresume

import (
	"slices"
	"sync"
	"time"
)

// GateConfig configures a Gate.
type GateConfig struct {
	// Horizon is how much prefill, in time, an endpoint may have ahead of it
	// before further resumes wait.
	Horizon time.Duration
}

// Gate puts resumes before new work. Each resume waits in the queue of its
// service until an endpoint has room for its prefill; while any waits, new
// work of the service is to be refused. It is safe for concurrent use.
type Gate struct {
	cfg GateConfig

	mu     sync.Mutex
	debts  map[string]int
	queues map[string][]*Ticket
}

// Ticket is one resume at a Gate.
type Ticket struct {
	endpoint string
	gate     *Gate
	place    func(t *Ticket) bool
	service  string
	tokens   int
}

// NewGate returns a gate at which nothing waits.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{cfg: cfg, debts: map[string]int{}, queues: map[string][]*Ticket{}}
}

// Enter queues a resume that needs the prefill of a number of tokens. Whenever
// it may be its turn, place is called: it chooses an endpoint, calls Take, and
// returns true; or it returns false if no endpoint has room. It must not call
// other methods of the gate than Full and Take, and must not block.
func (g *Gate) Enter(service string, tokens int, place func(t *Ticket) bool) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{gate: g, place: place, service: service, tokens: tokens}
	g.queues[service] = append(g.queues[service], t)
	g.advance(service)
	return t
}

// Tick tries the first of each queue again. It is called when endpoints may
// have come or gone.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service := range g.queues {
		g.advance(service)
	}
}

// Refusal reports whether new work of a service is to be refused because
// resumes wait, and when it may come back, given the rate at which the
// service's endpoints read prompts, in tokens a second.
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
	ahead := time.Duration(float64(waiting) / prefillPerSecond * float64(time.Second))
	return max(ahead, time.Second), true
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

// Full reports whether an endpoint has no room for the resume. It is called by
// place only.
func (t *Ticket) Full(endpoint string, prefillPerSecond float64) bool {
	debt := t.gate.debts[endpoint]
	// An endpoint that owes nothing takes any resume, however long.
	return debt > 0 && float64(debt+t.tokens) > prefillPerSecond*t.gate.cfg.Horizon.Seconds()
}

// Take gives the resume to an endpoint. It is called by place only.
func (t *Ticket) Take(endpoint string) {
	t.endpoint = endpoint
	t.gate.debts[endpoint] += t.tokens
}

// Leave ends the resume's stay: its first token came, it failed, or it is no
// longer wanted. It may be called more than once.
func (t *Ticket) Leave() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queues[t.service] = slices.DeleteFunc(g.queues[t.service], func(o *Ticket) bool { return o == t })
	if t.endpoint != "" {
		g.debts[t.endpoint] -= t.tokens
		if g.debts[t.endpoint] <= 0 {
			delete(g.debts, t.endpoint)
		}
		t.endpoint = ""
	}
	g.advance(t.service)
}

// advance lets resumes go in their order until one finds no room. The caller
// holds g.mu.
func (g *Gate) advance(service string) {
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
