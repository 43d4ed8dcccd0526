package savorypinresume

import "time"

// The suspect timeout is suspectFactor*(mean+deviationFactor*deviation) of the
// gaps between tokens, and the stall timeout is stallFactor times the suspect
// timeout. Both have a minimum and a maximum.
const (
	deviationFactor   = 4
	suspectFactor     = 4
	stallFactor       = 3
	meanWeight        = 1.0 / 8
	deviationWeight   = 1.0 / 4
	minSuspectTimeout = 400 * time.Millisecond
	maxSuspectTimeout = 1200 * time.Millisecond
	minStallTimeout   = time.Second
	maxStallTimeout   = 2500 * time.Millisecond
)

// TokenGaps estimates the gaps between the tokens of one attempt by the exponentially
// weighted mean and mean deviation of RFC 6298. The gaps depend on the engine's
// batch: when the batch grows, all its streams slow down, and the timeouts grow with
// the gaps.
type TokenGaps struct {
	deviation time.Duration
	samples   int
	mean      time.Duration
}

// Observe adds the gap between two frames of tokens to the estimate.
func (g *TokenGaps) Observe(gap time.Duration) {
	if g.samples == 0 {
		g.mean = gap
		g.deviation = gap / 2
	} else {
		difference := (gap - g.mean).Abs()
		g.deviation += time.Duration(deviationWeight * float64(difference-g.deviation))
		g.mean += time.Duration(meanWeight * float64(gap-g.mean))
	}
	g.samples++
}

// SuspectTimeout returns the gap after which the attempt is suspected of having
// stalled.
func (g *TokenGaps) SuspectTimeout() time.Duration {
	if g.samples == 0 {
		return maxSuspectTimeout
	}
	return min(max(suspectFactor*(g.mean+deviationFactor*g.deviation), minSuspectTimeout), maxSuspectTimeout)
}

// StallTimeout returns the gap after which the attempt counts as stalled.
func (g *TokenGaps) StallTimeout() time.Duration {
	return min(max(stallFactor*g.SuspectTimeout(), minStallTimeout), maxStallTimeout)
}
