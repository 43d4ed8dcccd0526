package savorypingateway

import "time"

// Limits on the time between two events of a stream.
const (
	// gapCheckRatio is the fraction of the target gap after which the host is checked. The rest
	// has to be enough for the check and for the first event from another endpoint.
	gapCheckRatio = 0.4
	// gapLimitRatio is the fraction of the target gap after which an attempt is abandoned
	// although the host answers.
	gapLimitRatio = 0.6
	// longestPauseFactor multiplies the longest pause so far of an attempt to give the minimum
	// time after which it is abandoned: a slow endpoint that works is not abandoned.
	longestPauseFactor = 2
	// maxDoublings limits how often the time limit is doubled.
	maxDoublings = 6
)

// stallTimeouts are the timeouts of a stream without events.
type stallTimeouts struct {
	// check is the time without an event after which the host is checked.
	check time.Duration
	// limit is the time without an event after which the attempt is abandoned.
	limit time.Duration
}

// eventTimeouts returns the timeouts between two events. targetGap is the route's target gap,
// stalledBefore the number of earlier attempts that were abandoned although their hosts answered,
// and longestPause the longest pause of this attempt. Each stalled attempt doubles the limit for
// the next one, so that one succeeds even if all endpoints are slow.
func eventTimeouts(targetGap time.Duration, stalledBefore int, longestPause time.Duration) stallTimeouts {
	limit := time.Duration(gapLimitRatio*float64(targetGap)) << min(stalledBefore, maxDoublings)
	limit = max(limit, longestPauseFactor*longestPause)
	return stallTimeouts{check: min(limit, max(time.Duration(gapCheckRatio*float64(targetGap)), longestPause)), limit: limit}
}
