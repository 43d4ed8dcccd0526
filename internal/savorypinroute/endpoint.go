package savorypinroute

import (
	"slices"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// Settings of the estimated time to the first token.
const (
	// defaultSlotTimePerToken is the expected time for which work occupies a slot,
	// for each token that it may generate, before any work has ended.
	defaultSlotTimePerToken = 20 * time.Millisecond
	// defaultTokens is the maximum length of the assumed work that gives the initial
	// averages, with defaultSlotTimePerToken.
	defaultTokens = 200
	// decayHalfLife is the half-life of a decayingAverage.
	decayHalfLife = 10 * time.Second
	// failureCost is added to the cost of an endpoint where all work fails, and in
	// proportion where some does.
	failureCost = 5 * time.Second
	// slotTimeWeight is the weight of a new sample in the averages of a service.
	slotTimeWeight = 0.02
	// historySamples is the number of samples of this daemon's work in flight that
	// are kept for each endpoint.
	historySamples = 32
	// sampleWeight is the weight of a new sample in the averages of a target.
	sampleWeight = 0.2
	// loadCost is added to the estimate of an endpoint whose slots are all in use,
	// and in proportion for fewer, because a larger batch is slower.
	loadCost = 50 * time.Millisecond
	// reportLag is the expected age of a load report on arrival.
	reportLag = 500 * time.Millisecond
)

// serviceStats holds averages over the work of a service.
type serviceStats struct {
	// begunTokens is the mean maximum length of work that has begun.
	begunTokens average
	// endedSlotTime is the mean time for which work that has ended occupied a slot,
	// in seconds, and endedTokens the mean of its maximum lengths.
	endedSlotTime average
	endedTokens   average
}

func newServiceStats() *serviceStats {
	s := &serviceStats{}
	s.recordEnd(defaultTokens, defaultTokens*defaultSlotTimePerToken)
	return s
}

// meanSlotTime returns the expected time for which work occupies a slot. It
// scales the slot time of work that has ended to the length of work that began
// lately, or to maxTokens if none has, so that the estimate follows a change of
// the workload before any of the new work has ended.
func (s *serviceStats) meanSlotTime(maxTokens int) time.Duration {
	tokens := s.begunTokens.value()
	if tokens == 0 {
		tokens = float64(max(1, maxTokens))
	}
	return time.Duration(s.endedSlotTime.value() / s.endedTokens.value() * tokens * float64(time.Second))
}

// recordStart adds work that has begun to the averages.
func (s *serviceStats) recordStart(maxTokens int) {
	s.begunTokens.add(float64(max(1, maxTokens)), slotTimeWeight)
}

// recordEnd adds work that has ended, and the time for which it occupied a slot,
// to the averages.
func (s *serviceStats) recordEnd(maxTokens int, slotTime time.Duration) {
	s.endedSlotTime.add(slotTime.Seconds(), slotTimeWeight)
	s.endedTokens.add(float64(max(1, maxTokens)), slotTimeWeight)
}

// endpoint is the state of one endpoint at this daemon. It is kept while a member
// reports the endpoint or this daemon has work in flight there.
type endpoint struct {
	inFlight       atomic.Int64
	sentPrefixes   prefixSet
	name           string
	pendingPrefill atomic.Int64
	report         atomic.Pointer[report]
	service        *serviceStats

	// The fields below are only used by Refresh.

	// index is the newest index in which a member reports the endpoint.
	index *index
	// targets are the target without a version, and one for each version.
	targets    []*target
	samples    [historySamples]inFlightSample
	nextSample int
}

func newEndpoint(name string, key groupKey, service *serviceStats) *endpoint {
	e := &endpoint{name: name, service: service}
	e.targets = []*target{{endpoint: e, key: key}}
	return e
}

// setVersions replaces the versions of the endpoint. Targets of versions that
// remain keep their state.
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

type inFlightSample struct {
	at       time.Time
	inFlight int64
}

// report is the newest reported state of an endpoint.
type report struct {
	// baseline is this daemon's work in flight that the reported load includes.
	baseline int64
	member   *savorypin.MemberState
	state    *savorypin.EndpointState
}

// recordInFlight stores a sample of this daemon's work in flight.
func (e *endpoint) recordInFlight(now time.Time) {
	e.samples[e.nextSample] = inFlightSample{at: now, inFlight: e.inFlight.Load()}
	e.nextSample = (e.nextSample + 1) % historySamples
}

// inFlightAt returns this daemon's work in flight at a time in the past, by the
// latest sample before it.
func (e *endpoint) inFlightAt(at time.Time) int64 {
	var best inFlightSample
	for _, s := range e.samples {
		if !s.at.IsZero() && !s.at.After(at) && s.at.After(best.at) {
			best = s
		}
	}
	return best.inFlight
}

// load returns the reported load, corrected by the work of this daemon that has
// begun or ended since.
func (e *endpoint) load(r *report) int64 {
	reported := int64(r.state.Running + r.state.Waiting)
	return max(0, reported+e.inFlight.Load()-r.baseline)
}

// estimate returns the expected time to the first token at the endpoint, without
// the delay of a link between regions.
func (e *endpoint) estimate(r *report, need *Request) time.Duration {
	slots := int64(max(1, r.state.Slots))
	load := e.load(r)
	cost := loadCost * time.Duration(min(load, slots)) / time.Duration(slots)
	if excess := load - slots + 1; excess > 0 {
		cost += e.service.meanSlotTime(need.MaxTokens) * time.Duration(excess) / time.Duration(slots)
	}
	tokens := need.promptTokens()
	tokens -= min(tokens, e.cachedTokens(need.Prefixes, r.state.CachedPrefixes))
	return cost + e.prefillTime(float64(e.pendingPrefill.Load())+float64(tokens))
}

// prefillTime returns the time of the endpoint's prefill of a number of tokens,
// or 0 if its rate is unknown.
func (e *endpoint) prefillTime(tokens float64) time.Duration {
	rate := e.report.Load().state.PrefillPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// target is an endpoint with one of its versions, or without a version for plain
// services.
type target struct {
	bias     decayingAverage
	breaker  breaker
	endpoint *endpoint
	failures decayingAverage
	key      groupKey
}

// cost returns the estimate corrected by the history of the target: the mean
// delay of its first tokens beyond their estimates, and its failures.
func (t *target) cost(need *Request, now time.Time) time.Duration {
	cost := t.endpoint.estimate(t.endpoint.report.Load(), need)
	if bias := t.bias.value(now); bias > 0 {
		cost += time.Duration(bias * float64(time.Second))
	}
	return cost + t.penalty(now)
}

// penalty returns what the failures of the target add to its cost. It serves to
// rank targets and is not part of the expected time to the first token.
func (t *target) penalty(now time.Time) time.Duration {
	return time.Duration(t.failures.value(now) * float64(failureCost))
}

// usable reports whether the work may be sent to the target.
func (t *target) usable(need *Request, now time.Time) bool {
	return !need.Avoid[t.endpoint.name] && !t.breaker.open(now)
}
