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

// Rhythm estimates the gaps between the tokens of one attempt, by the
// exponentially weighted mean and mean deviation of RFC 6298. The gaps follow
// the engine's batch: when it grows, all its streams slow down, and so does
// what counts as a stall.
type Rhythm struct {
	deviation time.Duration
	gaps      int
	mean      time.Duration
}

// Observe takes note of a gap between two batches of tokens.
func (r *Rhythm) Observe(gap time.Duration) {
	if r.gaps == 0 {
		r.mean = gap
		r.deviation = gap / 2
	} else {
		off := (gap - r.mean).Abs()
		r.deviation += time.Duration(spreadWeight * float64(off-r.deviation))
		r.mean += time.Duration(meanWeight * float64(gap-r.mean))
	}
	r.gaps++
}

// Suspected returns the gap after which the attempt is suspected to have
// stalled.
func (r *Rhythm) Suspected() time.Duration {
	if r.gaps == 0 {
		return maxSuspected
	}
	return min(max(gapsSuspected*(r.mean+deviations*r.deviation), minSuspected), maxSuspected)
}

// Sure returns the gap after which the attempt is taken as stalled.
func (r *Rhythm) Sure() time.Duration {
	return min(max(gapsSure*r.Suspected(), minSure), maxSure)
}
