package savorypinroute

import (
	"slices"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// Settings of the estimate.
const (
	// defaultTokenHold is how long work is expected to hold a slot for each token
	// that it may generate, before any has ended.
	defaultTokenHold = 20 * time.Millisecond
	// defaultTokens is the largest length that defaultTokenHold weighs as much as.
	defaultTokens = 200
	// fadeHalfLife is the time in which what was learned of an endpoint halves.
	fadeHalfLife = 10 * time.Second
	// failureCost is added to the estimate of an endpoint where all work fails.
	failureCost = 5 * time.Second
	// holdWeight is the weight of a new sample in the mean hold of a service.
	holdWeight = 0.02
	// historySamples is how many samples of the own work in flight are kept.
	historySamples = 32
	// learnWeight is the weight of a new sample in a moving average.
	learnWeight = 0.2
	// loadCost is added to the estimate of an endpoint whose slots are all
	// taken, in proportion: a fuller batch is slower.
	loadCost = 50 * time.Millisecond
	// reportLag is how old a load report is when it arrives.
	reportLag = 500 * time.Millisecond
)

// serviceStats is what was learned of a service.
type serviceStats struct {
	// begunTokens is the mean of the largest lengths of work that was begun.
	begunTokens average
	// endedHold is the mean time for which work that has ended held a slot, in
	// seconds, and endedTokens the mean of its largest lengths.
	endedHold   average
	endedTokens average
}

func newServiceStats() *serviceStats {
	s := &serviceStats{}
	s.ended(defaultTokens, defaultTokens*defaultTokenHold)
	return s
}

// meanHold returns how long work is expected to hold a slot, where maxTokens is
// the length of work at hand if none was begun before. The length is that of
// work that was begun lately, so that the estimate follows a change of the
// workload before any of it has ended.
func (s *serviceStats) meanHold(maxTokens int) time.Duration {
	tokens := s.begunTokens.value()
	if tokens == 0 {
		tokens = float64(max(1, maxTokens))
	}
	return time.Duration(s.endedHold.value() / s.endedTokens.value() * tokens * float64(time.Second))
}

func (s *serviceStats) begun(maxTokens int) {
	s.begunTokens.add(float64(max(1, maxTokens)), holdWeight)
}

func (s *serviceStats) ended(maxTokens int, hold time.Duration) {
	s.endedHold.add(hold.Seconds(), holdWeight)
	s.endedTokens.add(float64(max(1, maxTokens)), holdWeight)
}

// endpoint is what this daemon knows of one endpoint. It lives as long as the
// endpoint is a candidate or has work in flight.
type endpoint struct {
	flight  atomic.Int64
	memory  memory
	name    string
	prefill atomic.Int64
	report  atomic.Pointer[report]
	service *serviceStats

	// The fields below are only used by Refresh.

	// index is the newest index that has the endpoint's member.
	index *index
	// targets are the endpoint without a version, and with each of its versions.
	targets []*target
	samples [historySamples]flightSample
	next    int
}

func newEndpoint(name string, key groupKey, service *serviceStats) *endpoint {
	e := &endpoint{name: name, service: service}
	e.targets = []*target{{endpoint: e, key: key}}
	return e
}

// setVersions replaces the targets. What was learned of a version that stays is
// kept.
func (e *endpoint) setVersions(versions []string) {
	targets := e.targets[:1:1]
	for _, version := range versions {
		key := groupKey{service: e.targets[0].key.service, version: version}
		i := slices.IndexFunc(e.targets, func(t *target) bool { return t.key == key })
		if i < 0 {
			targets = append(targets, &target{endpoint: e, key: key})
			continue
		}
		targets = append(targets, e.targets[i])
	}
	e.targets = targets
}

type flightSample struct {
	at     time.Time
	flight int64
}

// report is the newest state of an endpoint.
type report struct {
	// baseline is the own work in flight that the reported load contains.
	baseline int64
	member   *savorypin.MemberState
	state    *savorypin.EndpointState
}

// sample remembers the own work in flight.
func (e *endpoint) sample(now time.Time) {
	e.samples[e.next] = flightSample{at: now, flight: e.flight.Load()}
	e.next = (e.next + 1) % historySamples
}

// flightAt returns the own work in flight at a time in the past.
func (e *endpoint) flightAt(at time.Time) int64 {
	var best flightSample
	for _, s := range e.samples {
		if !s.at.IsZero() && !s.at.After(at) && s.at.After(best.at) {
			best = s
		}
	}
	return best.flight
}

// load returns the reported load, corrected by the own work that has begun and
// ended since.
func (e *endpoint) load(r *report) int64 {
	reported := int64(r.state.Running + r.state.Waiting)
	return max(0, reported+e.flight.Load()-r.baseline)
}

// estimate returns the expected time to the first token at the endpoint,
// without the link.
func (e *endpoint) estimate(r *report, need *Need) time.Duration {
	slots := int64(max(1, r.state.Slots))
	load := e.load(r)
	cost := loadCost * time.Duration(min(load, slots)) / time.Duration(slots)
	if excess := load - slots + 1; excess > 0 {
		cost += e.service.meanHold(need.MaxTokens) * time.Duration(excess) / time.Duration(slots)
	}
	tokens := need.promptTokens()
	tokens -= min(tokens, e.cachedTokens(need.Prefixes, r.state.CachedPrefixes))
	return cost + e.prefillTime(float64(e.prefill.Load())+float64(tokens))
}

// prefillTime returns the time that the endpoint takes to read tokens.
func (e *endpoint) prefillTime(tokens float64) time.Duration {
	rate := e.report.Load().state.PrefillPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// target is an endpoint with one of its versions.
type target struct {
	bias     fading
	breaker  breaker
	endpoint *endpoint
	failures fading
	key      groupKey
}

// cost returns the estimate with what was learned of the target: how much
// later than estimated its first tokens came, and how often it failed.
func (t *target) cost(need *Need, now time.Time) time.Duration {
	cost := t.endpoint.estimate(t.endpoint.report.Load(), need)
	if bias := t.bias.value(now); bias > 0 {
		cost += time.Duration(bias * float64(time.Second))
	}
	return cost + t.penalty(now)
}

// penalty returns what the failures of the target add to its cost. It ranks
// targets and is no time to wait.
func (t *target) penalty(now time.Time) time.Duration {
	return time.Duration(t.failures.value(now) * float64(failureCost))
}

// usable reports whether the target may be given the work.
func (t *target) usable(need *Need, now time.Time) bool {
	return !need.Avoid[t.endpoint.name] && !t.breaker.open(now)
}
