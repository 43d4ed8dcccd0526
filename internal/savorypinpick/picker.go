// Package savorypinpick chooses the endpoint of a request and the endpoint that
// keeps a copy of its memory. It knows of an endpoint what this gateway has seen
// of it; it uses no network and no clock of its own.
package savorypinpick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinhazard"
)

// Settings of the choice.
const (
	// heardSuspectTime is how long a suspicion is passed on to other gateways,
	// and how long it lasts there after each message.
	heardSuspectTime = 600 * time.Millisecond
	// domainWindow is the time within which failures of several endpoints count
	// as a failure of their domain.
	domainWindow = 400 * time.Millisecond
	// domainFailures is how many endpoints have to fail for that.
	domainFailures = 2
	// expectedRisk is the probability that a domain fails within expectedWindow around
	// now from which the failure of one endpoint is taken for the domain's.
	expectedRisk   = 0.25
	expectedWindow = 2 * time.Second
	// farPenaltyTokens is what an endpoint of another region must be better by:
	// its events cross the link between regions and come later by a round trip.
	farPenaltyTokens = 1000
	// keptFactor is what a prompt that an engine has kept weighs against the
	// tokens that wait there.
	keptFactor = 2
	// equalTokens is by how much endpoints may differ that count as equal: some
	// running requests.
	equalTokens = 400
	// backupRisk is what a certain failure weighs against copies and running
	// requests in the choice of a backup.
	backupRisk = 4
	// firstDuration stands for the usual duration of a stream before one ended, and
	// firstReading for the usual time until its prompt is read.
	firstDuration = 6 * time.Second
	firstReading  = 1500 * time.Millisecond
	// durationWeight is the weight of a new duration in the averages.
	durationWeight = 0.05
	// runningTokens is what a running request weighs against prompt tokens that
	// wait: it slows each further token down by little.
	runningTokens = 400
	// latencyWeight is the weight of a new latency in the average.
	latencyWeight = 0.1
	// farPenalty is the same for plain requests: a round trip between regions.
	farPenalty = 25 * time.Millisecond
	// firstLatency stands for the latency of an endpoint without answers.
	firstLatency = 20 * time.Millisecond
	// failurePenalty is what a failed answer costs in the comparison.
	failurePenalty = 500 * time.Millisecond
)

// Config configures a Picker.
type Config struct {
	// Gateways returns the number of gateways that place work.
	Gateways func() int
	// Hazard estimates the risks of failure domains.
	Hazard *savorypinhazard.Estimator
	// Listed returns when the list of endpoints was last confirmed.
	Listed func() time.Time
	// Now is the clock.
	Now func() time.Time
	// PromptTime is how long an engine keeps a prompt that it has read.
	PromptTime time.Duration
	// Region is the region of this gateway.
	Region string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// SuspectTime is how long an endpoint that failed is only chosen if there is
	// no other: as long as the entry of a lost endpoint stays in the list. An
	// endpoint that comes back has another incarnation.
	SuspectTime time.Duration
}

// load is what this gateway knows of one endpoint.
type load struct {
	backups atomic.Int64
	// failedAt is when it failed without an answer since, and replacedAt when
	// another incarnation answered at its address, in nanoseconds.
	failedAt   atomic.Int64
	replacedAt atomic.Int64
	failures   atomic.Int64 // average share of failed answers, in millionths
	latency    atomic.Int64 // average in nanoseconds
	// othersRunning and othersWaiting are what other gateways told.
	othersRunning atomic.Int64
	othersWaiting atomic.Int64
	running       atomic.Int64
	// ownSuspectUntil is the part of the suspicion that this gateway found.
	ownSuspectUntil atomic.Int64
	// plain says that the endpoint answers no streams.
	plain        atomic.Bool
	suspectUntil atomic.Int64
	waiting      atomic.Int64 // prompt tokens without a first event
}

// domain is what this gateway knows of one failure domain.
type domain struct {
	failed    map[string]time.Time
	restarted map[string]time.Time
}

// Picker chooses endpoints. It is safe for concurrent use.
type Picker struct {
	cfg Config
	// duration is the average duration of a stream in nanoseconds, and reading that of
	// the time until its prompt is read.
	duration atomic.Int64
	reading  atomic.Int64
	loads    sync.Map
	prompts  *prompts

	mu       sync.Mutex
	domains  map[string]*domain
	failures []failureRecord
	others   map[string][]Load
}

// New returns a picker that knows nothing yet.
func New(cfg Config) *Picker {
	p := &Picker{cfg: cfg, domains: map[string]*domain{}, others: map[string][]Load{}}
	p.duration.Store(int64(firstDuration))
	p.reading.Store(int64(firstReading))
	p.prompts = newPrompts(cfg.PromptTime, cfg.Now)
	return p
}

func (p *Picker) load(e *savorypinfleet.Endpoint) *load {
	return p.loadOf(e.ID())
}

func (p *Picker) loadOf(id string) *load {
	if l, ok := p.loads.Load(id); ok {
		return l.(*load)
	}
	l, _ := p.loads.LoadOrStore(id, &load{})
	return l.(*load)
}

// domain returns what is known of a service in a failure domain. The caller
// holds p.mu.
func (p *Picker) domain(name, service string) *domain {
	key := name + "/" + service
	d := p.domains[key]
	if d == nil {
		d = &domain{failed: map[string]time.Time{}, restarted: map[string]time.Time{}}
		p.domains[key] = d
	}
	return d
}

// Query says what is chosen for.
type Query struct {
	// Candidates are the endpoints that may be chosen.
	Candidates []*savorypinfleet.Endpoint
	// Copied says that the memory of a run is copied to another endpoint.
	Copied bool
	// Excluded are the IDs that must not be chosen.
	Excluded map[string]bool
	// Plain says that the answer is no stream.
	Plain bool
	// Prompt names the last part of the prompt; empty if unknown.
	Prompt string
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int
}

// Choose returns the endpoint that is expected to answer first, or nil if there
// is none.
func (p *Picker) Choose(q Query) *savorypinfleet.Endpoint {
	if q.Plain {
		return p.choosePlain(q)
	}
	return p.chooseStream(q)
}

// choosePlain compares all endpoints: services of short requests have few.
func (p *Picker) choosePlain(q Query) *savorypinfleet.Endpoint {
	now := p.cfg.Now()
	return oneOf(least(q.allowed(q.Candidates), 0, func(e *savorypinfleet.Endpoint) float64 {
		return p.plainScore(e) + p.suspectPenalty(e, now)
	}))
}

// chooseStream compares a few endpoints that the prompt decides. Gateways hear
// late of what others have placed, so that all would run to the same endpoint if
// they compared all; and a prompt that comes again, also through another gateway,
// finds what was read.
func (p *Picker) chooseStream(q Query) *savorypinfleet.Endpoint {
	now := p.cfg.Now()
	risks := p.risks(now)
	allowed := q.allowed(q.Candidates)
	sample := p.sample(allowed, q.affinity(), now)
	if reader := p.reader(allowed, q.Prompt); reader != nil {
		sample = append(sample, reader)
	}
	return first(least(sample, equalTokens, func(e *savorypinfleet.Endpoint) float64 {
		return p.streamScore(e, q, risks) + p.suspectPenalty(e, now)
	}))
}

// allowed returns the endpoints that are not excluded.
func (q Query) allowed(endpoints []*savorypinfleet.Endpoint) []*savorypinfleet.Endpoint {
	if len(q.Excluded) == 0 {
		return endpoints
	}
	var allowed []*savorypinfleet.Endpoint
	for _, e := range endpoints {
		if !q.Excluded[e.ID()] {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// reader returns the endpoint that has read a prompt; nil if there is none.
func (p *Picker) reader(endpoints []*savorypinfleet.Endpoint, prompt string) *savorypinfleet.Endpoint {
	id := p.prompts.endpoint(prompt)
	if id == "" {
		return nil
	}
	i := slices.IndexFunc(endpoints, func(e *savorypinfleet.Endpoint) bool { return e.ID() == id })
	if i < 0 {
		return nil
	}
	return endpoints[i]
}

// affinity returns what decides which endpoints are compared: the prompt, or
// chance.
func (q Query) affinity() uint64 {
	if q.Prompt == "" {
		return rand.Uint64()
	}
	return xxhash.Sum64String(q.Prompt)
}

// UsualDuration is how long streams usually take.
func (p *Picker) UsualDuration() time.Duration {
	return time.Duration(p.duration.Load())
}

// Completed takes note of how long a stream took that was completed.
func (p *Picker) Completed(took time.Duration) {
	moveAverage(&p.duration, took)
}

// moveAverage moves the average of durations towards one.
func moveAverage(average *atomic.Int64, d time.Duration) {
	old := average.Load()
	average.Store(old + int64(durationWeight*float64(int64(d)-old)))
}

// ChooseBackup returns the endpoint that keeps a copy of the memory of a run on
// primary: one of another failure domain that keeps few copies. It returns nil
// if there is no endpoint in another domain that isn't under suspicion.
func (p *Picker) ChooseBackup(primary *savorypinfleet.Endpoint, q Query) *savorypinfleet.Endpoint {
	now := p.cfg.Now()
	risks := p.risks(now)
	var others, doubtful []*savorypinfleet.Endpoint
	for _, e := range q.allowed(q.Candidates) {
		switch {
		case e.Domain() == primary.Domain() || p.suspect(e, now):
		case p.doubtful(e):
			doubtful = append(doubtful, e)
		default:
			others = append(others, e)
		}
	}
	if len(others) == 0 {
		others = doubtful
	}
	return oneOf(least(others, 0, func(e *savorypinfleet.Endpoint) float64 {
		l := p.load(e)
		s := float64(l.backups.Load()) + p.running(l) + backupRisk*risks[e.Domain()]
		if p.cfg.Regions[e.Domain()] != p.cfg.Region {
			s++
		}
		return s
	}))
}

// Waiting returns the number of prompt tokens that wait at an endpoint, as far
// as is known.
func (p *Picker) Waiting(e *savorypinfleet.Endpoint) int {
	l := p.load(e)
	return int(l.waiting.Load() + l.othersWaiting.Load())
}

// Forget drops what is known of endpoints that are not in the directory and have
// no work. Counts of work have to stay until the work ends: an entry that lapsed
// may come back, and what is taken off then must have been added here.
func (p *Picker) Forget(d *savorypinfleet.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.Range(func(id, value any) bool {
		if d.Endpoint(id.(string)) == nil && value.(*load).idle() {
			p.loads.Delete(id)
		}
		return true
	})
}

// idle reports whether no gateway has work at the endpoint.
func (l *load) idle() bool {
	return l.backups.Load() == 0 && l.running.Load() == 0 && l.othersRunning.Load() == 0
}
