package savorypinroute

import (
	"slices"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// Settings of the estimated time to the first token.
const (
	// defaultSlotTimePerToken is the expected time for which a request occupies a
	// slot, per token of its MaxTokens, before any request has ended.
	defaultSlotTimePerToken = 20 * time.Millisecond
	// defaultTokens is the MaxTokens of the assumed request that, together with
	// defaultSlotTimePerToken, gives the initial averages.
	defaultTokens = 200
	// decayHalfLife is the half-life of a decayingAverage.
	decayHalfLife = 10 * time.Second
	// failureCost is added to the cost of an endpoint at which all requests fail,
	// and in proportion if some do.
	failureCost = 5 * time.Second
	// slotTimeWeight is the weight of a new sample in the averages of a service.
	slotTimeWeight = 0.02
	// historySamples is the number of samples of this daemon's requests in flight
	// that are kept for each endpoint.
	historySamples = 32
	// sampleWeight is the weight of a new sample in the averages of a target.
	sampleWeight = 0.2
	// loadCost is added to the estimate of an endpoint whose slots are all in use,
	// and in proportion for fewer, because a larger batch is slower.
	loadCost = 50 * time.Millisecond
	// reportLag is the expected age of a load report on arrival.
	reportLag = 500 * time.Millisecond
)

// serviceStats holds averages over the requests of a service.
type serviceStats struct {
	// startedMaxTokens is the mean MaxTokens of requests that have begun.
	startedMaxTokens average
	// endedSlotTime is the mean time for which requests that ended without an error
	// occupied a slot, in seconds, and endedMaxTokens is their mean MaxTokens.
	endedSlotTime  average
	endedMaxTokens average
}

func newServiceStats() *serviceStats {
	s := &serviceStats{}
	s.recordEnd(defaultTokens, defaultTokens*defaultSlotTimePerToken)
	return s
}

// meanSlotTime returns the expected time for which a request occupies a slot. It
// scales the slot time of requests that have ended to the MaxTokens of requests
// that began recently, or to maxTokens if none has, so that the estimate follows a
// change of the workload before any of the new requests has ended.
func (s *serviceStats) meanSlotTime(maxTokens int) time.Duration {
	tokens := s.startedMaxTokens.value()
	if tokens == 0 {
		tokens = float64(max(1, maxTokens))
	}
	return time.Duration(s.endedSlotTime.value() / s.endedMaxTokens.value() * tokens * float64(time.Second))
}

// recordStart adds a request that has begun to the averages.
func (s *serviceStats) recordStart(maxTokens int) {
	s.startedMaxTokens.add(float64(max(1, maxTokens)), slotTimeWeight)
}

// recordEnd adds a request that has ended, and the time for which it occupied a
// slot, to the averages.
func (s *serviceStats) recordEnd(maxTokens int, slotTime time.Duration) {
	s.endedSlotTime.add(slotTime.Seconds(), slotTimeWeight)
	s.endedMaxTokens.add(float64(max(1, maxTokens)), slotTimeWeight)
}

// endpoint is the state of one endpoint at this daemon. It is kept while a member
// reports the endpoint or this daemon has requests in flight there.
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
	// baseline is the number of this daemon's requests in flight that the reported
	// load includes.
	baseline int64
	member   *savorypin.MemberState
	state    *savorypin.EndpointState
}

// recordInFlight stores a sample of the number of this daemon's requests in flight.
func (e *endpoint) recordInFlight(now time.Time) {
	e.samples[e.nextSample] = inFlightSample{at: now, inFlight: e.inFlight.Load()}
	e.nextSample = (e.nextSample + 1) % historySamples
}

// inFlightAt returns the number of this daemon's requests in flight at a time in
// the past: the latest sample that is not after it, or 0 if there is none.
func (e *endpoint) inFlightAt(at time.Time) int64 {
	var best inFlightSample
	for _, s := range e.samples {
		if !s.at.IsZero() && !s.at.After(at) && s.at.After(best.at) {
			best = s
		}
	}
	return best.inFlight
}

// load returns the reported load, corrected by the requests of this daemon that
// have begun or ended since.
func (e *endpoint) load(r *report) int64 {
	reported := int64(r.state.Running + r.state.Waiting)
	return max(0, reported+e.inFlight.Load()-r.baseline)
}

// estimate returns the expected time to the first token at the endpoint, without
// the delay of a link between regions.
func (e *endpoint) estimate(r *report, req *Request) time.Duration {
	slots := int64(max(1, r.state.Slots))
	load := e.load(r)
	cost := loadCost * time.Duration(min(load, slots)) / time.Duration(slots)
	if excess := load - slots + 1; excess > 0 {
		cost += e.service.meanSlotTime(req.MaxTokens) * time.Duration(excess) / time.Duration(slots)
	}
	tokens := req.promptTokens()
	tokens -= min(tokens, e.cachedTokens(req.Prefixes, r.state.CachedPrefixes))
	return cost + e.prefillTime(float64(e.pendingPrefill.Load())+float64(tokens))
}

// prefillTime returns the time that the endpoint takes to prefill a number of
// tokens, or 0 if its rate is unknown.
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
	bias         decayingAverage
	breaker      breaker
	endpoint     *endpoint
	failureRatio decayingAverage
	key          groupKey
}

// cost returns the estimate corrected by the history of the target: the mean
// delay of its first tokens beyond their estimates, and the penalty for failures.
func (t *target) cost(req *Request, now time.Time) time.Duration {
	cost := t.endpoint.estimate(t.endpoint.report.Load(), req)
	if bias := t.bias.value(now); bias > 0 {
		cost += time.Duration(bias * float64(time.Second))
	}
	return cost + t.penalty(now)
}

// penalty returns what the failures of the target add to its cost. It only ranks
// targets and is not part of the expected time to the first token.
func (t *target) penalty(now time.Time) time.Duration {
	return time.Duration(t.failureRatio.value(now) * float64(failureCost))
}

// usable reports whether the request may be sent to the target.
func (t *target) usable(req *Request, now time.Time) bool {
	return !req.Avoid[t.endpoint.name] && !t.breaker.open(now)
}
