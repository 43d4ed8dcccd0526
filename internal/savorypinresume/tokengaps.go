package savorypinresume

import "time"

// Bounds of the gaps between tokens, and how they follow from the mean and
// deviation that were seen.
const (
	deviations    = 4
	gapsSuspected = 4
	gapsSure      = 3
	meanWeight    = 1.0 / 8
	spreadWeight  = 1.0 / 4
	minSuspected  = 400 * time.Millisecond
	maxSuspected  = 1200 * time.Millisecond
	minSure       = time.Second
	maxSure       = 2500 * time.Millisecond
)

// TokenGaps estimates the gaps between the tokens of one attempt, by the
// exponentially weighted mean and mean deviation of RFC 6298. The gaps follow
// the engine's batch: when it grows, all its streams slow down, and so does
// what counts as a stall.
type TokenGaps struct {
	deviation time.Duration
	gaps      int
	mean      time.Duration
}

// Observe takes note of a gap between two batches of tokens.
func (g *TokenGaps) Observe(gap time.Duration) {
	if g.gaps == 0 {
		g.mean = gap
		g.deviation = gap / 2
	} else {
		off := (gap - g.mean).Abs()
		g.deviation += time.Duration(spreadWeight * float64(off-g.deviation))
		g.mean += time.Duration(meanWeight * float64(gap-g.mean))
	}
	g.gaps++
}

// Suspected returns the gap after which the attempt is suspected to have
// stalled.
func (g *TokenGaps) Suspected() time.Duration {
	if g.gaps == 0 {
		return maxSuspected
	}
	return min(max(gapsSuspected*(g.mean+deviations*g.deviation), minSuspected), maxSuspected)
}

// Sure returns the gap after which the attempt is taken as stalled.
func (g *TokenGaps) Sure() time.Duration {
	return min(max(gapsSure*g.Suspected(), minSure), maxSure)
}
