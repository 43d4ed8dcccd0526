package savorypinpick

import (
	"math"
	"math/rand/v2"
	"time"

	"savorypin/internal/savorypinfleet"
)

// lowestScored returns, in the given order, the endpoints whose score exceeds the
// lowest one by at most margin.
func lowestScored(
	endpoints []*savorypinfleet.Endpoint,
	margin float64,
	score func(*savorypinfleet.Endpoint) float64,
) []*savorypinfleet.Endpoint {
	scores := make([]float64, len(endpoints))
	lowest := math.Inf(1)
	for i, e := range endpoints {
		scores[i] = score(e)
		lowest = min(lowest, scores[i])
	}
	var best []*savorypinfleet.Endpoint
	for i, e := range endpoints {
		if scores[i] <= lowest+margin {
			best = append(best, e)
		}
	}
	return best
}

// firstEndpoint returns the first endpoint, or nil if there is none.
func firstEndpoint(endpoints []*savorypinfleet.Endpoint) *savorypinfleet.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	return endpoints[0]
}

// randomEndpoint returns a random endpoint, or nil if there is none.
func randomEndpoint(endpoints []*savorypinfleet.Endpoint) *savorypinfleet.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	return endpoints[rand.IntN(len(endpoints))]
}

// risks returns, for each domain, the probability that it fails before a stream that
// begins now ends.
func (p *Picker) risks(now time.Time) map[string]float64 {
	risks := map[string]float64{}
	duration := time.Duration(p.streamDuration.Load())
	for domain := range p.cfg.Regions {
		risks[domain] = p.cfg.Hazard.Risk(domain, now, duration)
	}
	return risks
}

// exposedFraction returns the fraction of a stream's duration in which a failure of its
// domain forces a new prefill of the prompt: until the first event if a backup exists
// from then on, or else the whole duration.
func (p *Picker) exposedFraction(q Query) float64 {
	if !q.BackedUp {
		return 1
	}
	return min(1, float64(p.prefillDuration.Load())/float64(max(1, p.streamDuration.Load())))
}

// suspectScore is larger than any score of an endpoint that is not suspect.
const suspectScore = 1e12

// suspectPenaltyTokens is the score penalty, in tokens, of a suspect endpoint if most endpoints are
// suspect. An attempt at a lost endpoint costs a connection timeout, and at worst a new prefill.
const suspectPenaltyTokens = 8000

// suspectPenalty returns the score added to a suspect endpoint.
func (p *Picker) suspectPenalty(s *endpointState, now time.Time) float64 {
	if p.suspectState(s, now.UnixNano()) {
		return suspectScore
	}
	return 0
}

// streamTerms are the parts of the score of an endpoint for a stream, in tokens.
type streamTerms struct {
	waitingTokens, runningRequests, failureRisk, overcommittedMemory, region, cachedPrompt, suspicion float64
}

// sum returns the score; lower is better.
func (t streamTerms) sum() float64 {
	return t.waitingTokens + t.runningRequests + t.failureRisk + t.overcommittedMemory + t.region + t.cachedPrompt + t.suspicion
}

// interferenceTokens returns the score of each running request at an endpoint. While an engine prefills a
// prompt, the requests beside it generate few tokens, so that a long prompt costs them more: it goes to an
// engine with few of them, and a short one to an engine with few tokens waiting.
func (q *Query) interferenceTokens() float64 {
	if q.MemoryTokens <= 0 || q.PromptTokens <= 0 {
		return runningRequestTokens
	}
	return min(maxInterferenceTokens, interferenceRatio*float64(q.PromptTokens))
}

// terms returns the terms of the score of an endpoint.
func (s *streamScorer) terms(e *savorypinfleet.Endpoint) streamTerms {
	p, q := s.picker, &s.query
	state := p.state(e)
	t := streamTerms{
		waitingTokens:       float64(state.waitingTokens.Load() + state.remoteWaitingTokens.Load()),
		runningRequests:     p.runningRequests(state) * q.interferenceTokens(),
		failureRisk:         s.risks[e.Domain()] * s.exposedFraction * float64(q.PromptTokens),
		overcommittedMemory: overcommitWeight * q.overcommitted(state),
	}
	if p.suspectState(state, s.now.UnixNano()) {
		t.suspicion = s.suspicion
	}
	if p.cfg.Regions[e.Domain()] != p.cfg.Region {
		t.region = crossRegionPenaltyTokens
	}
	if p.PromptCachedAt(e, q.PromptID) {
		// A cached prompt counts twice: the endpoint saves the prefill, and the cached
		// copy is not wasted.
		t.cachedPrompt = -cachedPromptFactor * float64(q.PromptTokens)
	}
	return t
}

// runningRequests returns the number of requests known to run at an endpoint, over all
// gateways.
func (p *Picker) runningRequests(state *endpointState) float64 {
	return float64(state.running.Load() + state.remoteRunning.Load())
}

// plainTerms are the parts of the score of an endpoint for a plain request, in nanoseconds.
type plainTerms struct {
	latency, queue, failureRate, region, suspicion float64
}

// sum returns the score; lower is better.
func (t plainTerms) sum() float64 {
	return t.latency + t.queue + t.failureRate + t.region + t.suspicion
}

// plainTerms returns the terms of the score of an endpoint for a plain request.
func (p *Picker) plainTerms(e *savorypinfleet.Endpoint, now time.Time) plainTerms {
	state := p.state(e)
	latency := float64(state.latency.Load())
	if latency == 0 {
		latency = float64(initialLatency)
	}
	t := plainTerms{
		latency:     latency,
		queue:       latency * p.runningRequests(state) / float64(e.Slots()),
		failureRate: float64(failurePenalty) * float64(state.failureRate.Load()) / 1e6,
		suspicion:   p.suspectPenalty(state, now),
	}
	if p.cfg.Regions[e.Domain()] != p.cfg.Region {
		t.region = float64(crossRegionLatencyPenalty)
	}
	return t
}
