package savorypinpick

import (
	"math"
	"math/rand/v2"
	"time"

	"savorypin/internal/savorypinfleet"
)

// least returns the endpoints whose score is above the least one by no more than
// a margin, in their order.
func least(
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
	var equal []*savorypinfleet.Endpoint
	for i, e := range endpoints {
		if scores[i] <= lowest+margin {
			equal = append(equal, e)
		}
	}
	return equal
}

// first returns the first of some endpoints; nil for none.
func first(endpoints []*savorypinfleet.Endpoint) *savorypinfleet.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	return endpoints[0]
}

// oneOf returns one of some endpoints by chance; nil for none.
func oneOf(endpoints []*savorypinfleet.Endpoint) *savorypinfleet.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	return endpoints[rand.IntN(len(endpoints))]
}

// risks returns the probability of each domain that it fails before a stream that
// begins now ends.
func (p *Picker) risks(now time.Time) map[string]float64 {
	risks := map[string]float64{}
	span := time.Duration(p.duration.Load())
	for domain := range p.cfg.Regions {
		risks[domain] = p.cfg.Hazard.Risk(domain, now, span)
	}
	return risks
}

// exposedPart is the part of a stream's time in which its prompt has to be read again
// if its domain fails: until the first event, from which on there is a copy, or
// always if there is none.
func (p *Picker) exposedPart(q Query) float64 {
	if !q.Copied {
		return 1
	}
	return min(1, float64(p.reading.Load())/float64(max(1, p.duration.Load())))
}

// suspectScore exceeds every score of load.
const suspectScore = 1e12

// suspectPenalty is what an endpoint under suspicion is worse by.
func (p *Picker) suspectPenalty(e *savorypinfleet.Endpoint, now time.Time) float64 {
	if p.suspect(e, now) {
		return suspectScore
	}
	return 0
}

// streamScore is in tokens; less is better.
func (p *Picker) streamScore(e *savorypinfleet.Endpoint, q Query, risks map[string]float64) float64 {
	l := p.load(e)
	s := float64(l.waiting.Load()+l.othersWaiting.Load()) + p.running(l)*runningTokens
	s += risks[e.Domain()] * p.exposedPart(q) * float64(q.PromptTokens)
	if p.cfg.Regions[e.Domain()] != p.cfg.Region {
		s += farPenaltyTokens
	}
	if p.HasRead(e, q.Prompt) {
		// What need not be read again counts twice: it is also not read in vain.
		s -= keptFactor * float64(q.PromptTokens)
	}
	return s
}

// running is the number of requests at an endpoint, as far as is known.
func (p *Picker) running(l *load) float64 {
	return float64(l.running.Load() + l.othersRunning.Load())
}

// plainScore is in nanoseconds; less is better.
func (p *Picker) plainScore(e *savorypinfleet.Endpoint) float64 {
	l := p.load(e)
	latency := float64(l.latency.Load())
	if latency == 0 {
		latency = float64(firstLatency)
	}
	s := latency + latency*p.running(l)/float64(e.Slots())
	s += float64(failurePenalty) * float64(l.failures.Load()) / 1e6
	if p.cfg.Regions[e.Domain()] != p.cfg.Region {
		s += float64(farPenalty)
	}
	return s
}
