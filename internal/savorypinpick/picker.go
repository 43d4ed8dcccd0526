// Package savorypinpick selects the endpoint for a request and the endpoint that keeps
// a backup of its KV cache. It scores endpoints by what this gateway observed and by
// what other gateways reported. It does no network I/O and takes the time from its
// configuration.
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

// Settings of the endpoint selection.
const (
	// sharedSuspicionTTL is how long a suspicion is reported to other gateways, and how
	// long it lasts there after each report.
	sharedSuspicionTTL = 600 * time.Millisecond
	// domainWindow is the time within which failures of several endpoints count as a
	// failure of their domain.
	domainWindow = 400 * time.Millisecond
	// minFailedEndpoints is the number of endpoints that must fail within domainWindow, or
	// restart within restartWindow, to count as a failure of their domain.
	minFailedEndpoints = 2
	// expectedFailureRisk is the probability of a domain failure within
	// expectedFailureWindow, centred on now, above which the failure of a single endpoint
	// counts as the failure of its domain.
	expectedFailureRisk   = 0.25
	expectedFailureWindow = 2 * time.Second
	// crossRegionPenaltyTokens is the score penalty of an endpoint in another region, in
	// tokens: its events use the link between the regions and arrive a round trip later.
	crossRegionPenaltyTokens = 1000
	// cachedPromptFactor is the weight of a prompt's tokens that an engine has cached,
	// relative to prompt tokens waiting there.
	cachedPromptFactor = 2
	// scoreMarginTokens is the score difference, in tokens, up to which endpoints count
	// as equal. It equals the score of one running request.
	scoreMarginTokens = 400
	// initialStreamDuration is the average stream duration assumed before any stream has
	// completed, and initialPrefillDuration the average prefill duration.
	initialStreamDuration  = 6 * time.Second
	initialPrefillDuration = 1500 * time.Millisecond
	// durationWeight is the weight of a new sample in the moving averages of durations.
	durationWeight = 0.05
	// runningRequestTokens is the score of a running request, in waiting prompt tokens:
	// it slightly slows down the generation of tokens for the other requests.
	runningRequestTokens = 400
	// interferenceRatio replaces runningRequestTokens where memory is limited, in tokens for each token
	// of the prompt, up to maxInterferenceTokens.
	interferenceRatio     = 0.05
	maxInterferenceTokens = 2000
	// latencyWeight is the weight of a new sample in the moving averages of latency and
	// failure rate.
	latencyWeight = 0.1
	// crossRegionLatencyPenalty is the penalty of an endpoint in another region for plain
	// requests: a round trip between the regions.
	crossRegionLatencyPenalty = 25 * time.Millisecond
	// initialLatency is the latency assumed for an endpoint that has not answered yet.
	initialLatency = 20 * time.Millisecond
	// failurePenalty is the score of a failure rate of 1 for plain requests.
	failurePenalty = 500 * time.Millisecond
)

// Config configures a Picker.
type Config struct {
	// Gateways returns the number of gateways that place requests.
	Gateways func() int
	// Hazard estimates the failure risk of each failure domain.
	Hazard *savorypinhazard.Estimator
	// ListConfirmedAt returns when the endpoint list was last confirmed by the store.
	ListConfirmedAt func() time.Time
	// Now returns the current time.
	Now func() time.Time
	// PromptRetention is how long an engine caches a prompt.
	PromptRetention time.Duration
	// Region is the region of this gateway.
	Region string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// SuspectTimeout is how long a failed endpoint is used only if there is no other. It
	// matches the time for which the entry of a lost endpoint stays in the list; an
	// endpoint that restarts has a new incarnation.
	SuspectTimeout time.Duration
}

// endpointState is the known state of one endpoint. Times are in nanoseconds since the
// epoch, zero for none.
type endpointState struct {
	backups atomic.Int64
	// copied and reserved are the KV memory in tokens that this gateway has reserved for copies and
	// for requests; remoteCopied and remoteReserved are those of the other gateways.
	copied         atomic.Int64
	remoteCopied   atomic.Int64
	remoteReserved atomic.Int64
	reserved       atomic.Int64
	// failedAt is when the endpoint or its domain last failed, unless the endpoint has
	// answered since. replacedAt is when another incarnation answered at its address.
	failedAt    atomic.Int64
	replacedAt  atomic.Int64
	failureRate atomic.Int64 // moving average, in millionths
	latency     atomic.Int64 // moving average in nanoseconds
	// remoteRunning and remoteWaitingTokens are the sums of the running requests and of the
	// waiting prompt tokens that other gateways reported.
	remoteRunning       atomic.Int64
	remoteWaitingTokens atomic.Int64
	running             atomic.Int64
	// shareSuspicionUntil is until when this gateway reports the endpoint as suspect to
	// other gateways. Only this gateway's own observations set it.
	shareSuspicionUntil atomic.Int64
	// plain is true if the endpoint's responses are not streams.
	plain         atomic.Bool
	suspectUntil  atomic.Int64
	waitingTokens atomic.Int64 // prompt tokens of requests without a first event
}

// domainRecord holds the times of the recent failures and restarts of a service in a
// failure domain, by endpoint ID.
type domainRecord struct {
	failedAt    map[string]time.Time
	restartedAt map[string]time.Time
}

// Picker selects endpoints. It is safe for concurrent use.
type Picker struct {
	cfg Config
	// streamDuration is the average duration of a stream, and prefillDuration the average
	// time until its prompt is prefilled, both in nanoseconds.
	streamDuration  atomic.Int64
	prefillDuration atomic.Int64
	states          sync.Map
	prompts         *promptIndex

	mu sync.Mutex
	// domains is keyed by failure domain and service, joined by a slash.
	domains     map[string]*domainRecord
	failures    []failureRecord
	remoteLoads map[string][]Load
}

// New returns a Picker without observations.
func New(cfg Config) *Picker {
	p := &Picker{cfg: cfg, domains: map[string]*domainRecord{}, remoteLoads: map[string][]Load{}}
	p.streamDuration.Store(int64(initialStreamDuration))
	p.prefillDuration.Store(int64(initialPrefillDuration))
	p.prompts = newPromptIndex(cfg.PromptRetention, cfg.Now)
	return p
}

func (p *Picker) state(e *savorypinfleet.Endpoint) *endpointState {
	return p.stateByID(e.ID())
}

func (p *Picker) stateByID(id string) *endpointState {
	if state, ok := p.states.Load(id); ok {
		return state.(*endpointState)
	}
	state, _ := p.states.LoadOrStore(id, &endpointState{})
	return state.(*endpointState)
}

// domainRecord returns the record of a service in a failure domain, and creates it if
// needed. The caller must hold p.mu.
func (p *Picker) domainRecord(name, service string) *domainRecord {
	key := name + "/" + service
	d := p.domains[key]
	if d == nil {
		d = &domainRecord{failedAt: map[string]time.Time{}, restartedAt: map[string]time.Time{}}
		p.domains[key] = d
	}
	return d
}

// Query describes the request that an endpoint is selected for.
type Query struct {
	// Candidates are the endpoints to select from.
	Candidates []*savorypinfleet.Endpoint
	// BackedUp is true if the KV cache of the request is backed up on another endpoint.
	BackedUp bool
	// Excluded holds the IDs of endpoints that must not be selected.
	Excluded map[string]bool
	// MemoryTokens is the size of the KV memory of the service's engines in tokens; zero if it is
	// unknown or not to be limited.
	MemoryTokens int
	// Plain is true if the response is not a stream.
	Plain bool
	// PromptID is the ID of the last part of the prompt; empty if unknown.
	PromptID string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Rank is the number of priorities that are higher than the request's. It matters only where
	// memory is limited.
	Rank int
	// ReserveTokens is the number of tokens of KV memory that the request needs at most: those of
	// its prompt and of its response.
	ReserveTokens int
}

// Choose returns the endpoint with the best score, or nil if there is none. The score
// estimates how soon an endpoint answers: the best one is expected to answer first. For
// streams, a cached prompt counts for more than the prefill that it saves. Choose returns
// a suspect endpoint only if all are suspect.
func (p *Picker) Choose(q Query) *savorypinfleet.Endpoint {
	if q.Plain {
		now := p.cfg.Now()
		return randomEndpoint(q.bestPlain(func(e *savorypinfleet.Endpoint) float64 { return p.plainTerms(e, now).sum() }))
	}
	s := p.newStreamScorer(q)
	return s.choose(func(e *savorypinfleet.Endpoint) float64 { return s.terms(e).sum() })
}

// bestPlain returns the endpoints with the lowest score for a plain request. It scores all
// endpoints, because services with plain requests have few.
func (q Query) bestPlain(score func(*savorypinfleet.Endpoint) float64) []*savorypinfleet.Endpoint {
	return lowestScored(q.allowed(q.Candidates), 0, score)
}

// streamScorer scores endpoints for one stream.
type streamScorer struct {
	// exposedFraction is that of the stream.
	exposedFraction float64
	now             time.Time
	picker          *Picker
	query           Query
	// risks are the failure risks by domain.
	risks map[string]float64
	// suspicion is the penalty of suspect endpoints.
	suspicion float64
}

func (p *Picker) newStreamScorer(q Query) streamScorer {
	now := p.cfg.Now()
	return streamScorer{
		exposedFraction: p.exposedFraction(q), now: now, picker: p, query: q, risks: p.risks(now), suspicion: suspectScore,
	}
}

// choose returns the endpoint with the best score, or nil if there is none. It scores the
// endpoint that has the prompt cached and a sample of the others that is determined by the
// prompt. Load reports of other gateways arrive late, so if every gateway scored all
// endpoints, all would select the same one. A repeated prompt gets the same sample at every
// gateway and so can reach the engine that has it cached.
func (s *streamScorer) choose(score func(*savorypinfleet.Endpoint) float64) *savorypinfleet.Endpoint {
	p, q := s.picker, s.query
	allowed := q.allowed(q.Candidates)
	sample := p.streamSample(allowed, q, s.now)
	if cached := p.cachedEndpoint(allowed, q.PromptID); cached != nil {
		sample = append(sample, cached)
	}
	best := s.best(sample, score)
	if best == nil || p.Fits(best, q) {
		return best
	}
	// None in the sample has memory left, but another endpoint may.
	fitting := p.fitting(allowed, q)
	if len(fitting) == 0 {
		return best
	}
	return s.best(p.rendezvousSample(fitting, q.affinityHash()), score)
}

// best returns the endpoint with the best score, or nil if there is none. A suspect endpoint is the
// best only if all are suspect or, where memory is limited, if most of them are and the others are full.
func (s *streamScorer) best(endpoints []*savorypinfleet.Endpoint, score func(*savorypinfleet.Endpoint) float64) *savorypinfleet.Endpoint {
	s.suspicion = suspectScore
	if s.query.MemoryTokens > 0 && s.picker.mostlySuspect(endpoints, s.now) {
		s.suspicion = suspectPenaltyTokens
	}
	return firstEndpoint(lowestScored(endpoints, scoreMarginTokens, score))
}

// streamSample returns the endpoints that are scored for a stream. Where memory is limited, the sample
// contains suspect endpoints too: a gateway that is cut off suspects most endpoints and tells the others,
// which would all use the few that are not suspect.
func (p *Picker) streamSample(endpoints []*savorypinfleet.Endpoint, q Query, now time.Time) []*savorypinfleet.Endpoint {
	if q.MemoryTokens > 0 {
		return p.rendezvousSample(endpoints, q.affinityHash())
	}
	return p.sample(endpoints, q.affinityHash(), now)
}

// fitting returns the endpoints that have memory left for a request.
func (p *Picker) fitting(endpoints []*savorypinfleet.Endpoint, q Query) []*savorypinfleet.Endpoint {
	var fitting []*savorypinfleet.Endpoint
	for _, e := range endpoints {
		if p.Fits(e, q) {
			fitting = append(fitting, e)
		}
	}
	return fitting
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

// cachedEndpoint returns the endpoint that has a prompt cached, or nil if it is unknown
// or not among endpoints.
func (p *Picker) cachedEndpoint(endpoints []*savorypinfleet.Endpoint, promptID string) *savorypinfleet.Endpoint {
	id := p.prompts.endpointFor(promptID)
	if id == "" {
		return nil
	}
	i := slices.IndexFunc(endpoints, func(e *savorypinfleet.Endpoint) bool { return e.ID() == id })
	if i < 0 {
		return nil
	}
	return endpoints[i]
}

// affinityHash returns the hash that determines the sample of endpoints: that of the
// prompt, or a random one if the prompt is unknown.
func (q Query) affinityHash() uint64 {
	if q.PromptID == "" {
		return rand.Uint64()
	}
	return xxhash.Sum64String(q.PromptID)
}

// RecordStreamDuration records the duration of a completed stream.
func (p *Picker) RecordStreamDuration(d time.Duration) {
	updateDurationAverage(&p.streamDuration, d)
}

// updateDurationAverage adds a duration to an exponential moving average in
// nanoseconds.
func updateDurationAverage(average *atomic.Int64, d time.Duration) {
	old := average.Load()
	average.Store(old + int64(durationWeight*float64(int64(d)-old)))
}

// WaitingTokens returns the number of prompt tokens known to wait at an endpoint, over
// all gateways.
func (p *Picker) WaitingTokens(e *savorypinfleet.Endpoint) int {
	state := p.state(e)
	return int(state.waitingTokens.Load() + state.remoteWaitingTokens.Load())
}

// RemoveUnlisted removes the state of endpoints that are not in the directory and have
// no work. The counters must stay until all work has ended: an entry that lapsed may come
// back, and the end of its work is then subtracted from the same counters.
func (p *Picker) RemoveUnlisted(d *savorypinfleet.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states.Range(func(id, value any) bool {
		if d.Endpoint(id.(string)) == nil && value.(*endpointState).idle() {
			p.states.Delete(id)
		}
		return true
	})
}

// idle reports whether no gateway has work at the endpoint.
func (s *endpointState) idle() bool {
	return s.backups.Load() == 0 && s.running.Load() == 0 && s.remoteRunning.Load() == 0 && s.reservedMemory().total() == 0
}
