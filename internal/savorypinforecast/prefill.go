package savorypinforecast

import (
	"math/bits"
	"time"
)

// prefillStats holds the fastest prefills by the size of the prompt: a sample for each power of two.
//
// The time to the first event has a fixed part and a part that grows with the prompt. Prompts of one size
// don't tell one from the other. What a prefill of m tokens in time t says of one of n tokens holds for
// any fixed part:
//
//   - n >= m: it takes at least t, as more tokens take no less time;
//   - n < m: it takes at least t*n/m, as the fixed part isn't negative.
type prefillStats map[int]*prefillSample

// prefillSample is the prefill with the least time per token among those of a size.
type prefillSample struct {
	observedAt time.Time
	seconds    float64
	tokens     float64
}

// rate returns the time per token in seconds.
func (s *prefillSample) rate() float64 { return s.seconds / s.tokens }

// minSeconds returns the least time in which an engine with this sample prefills a number of tokens.
func (s *prefillSample) minSeconds(tokens float64) float64 {
	return s.seconds * min(1, tokens/s.tokens)
}

// observe adds a prefill that took a time.
func (p prefillStats) observe(tokens int, took time.Duration, now time.Time) {
	next := prefillSample{observedAt: now, seconds: took.Seconds(), tokens: float64(tokens)}
	size := bits.Len(uint(tokens))
	s := p[size]
	if s == nil || now.Sub(s.observedAt) > maxAge || next.rate() < s.rate() {
		p[size] = &next
		return
	}
	s.observedAt = now
	// A slower prefill raises the sample only by what its size doesn't explain.
	s.seconds += slowdownWeight * max(0, next.minSeconds(s.tokens)-s.seconds)
}

// minDuration returns the least time to prefill a number of tokens; zero if it is unknown.
func (p prefillStats) minDuration(tokens int, now time.Time) time.Duration {
	longest := 0.0
	for _, s := range p {
		if now.Sub(s.observedAt) <= maxAge {
			longest = max(longest, s.minSeconds(float64(tokens)))
		}
	}
	return seconds(longest)
}
