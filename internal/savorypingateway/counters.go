package savorypingateway

import "github.com/rcrowley/go-metrics"

// counters are the numbers that the metrics page shows.
type counters struct {
	answered  metrics.Counter
	brokenOff metrics.Counter
	// distrusted counts endpoints that sent what is no answer, and left those that said
	// in an answer that they stop.
	distrusted  metrics.Counter
	failed      metrics.Counter
	left        metrics.Counter
	pauses      metrics.Counter
	refused     metrics.Counter
	repeated    metrics.Counter
	requests    metrics.Counter
	resumed     metrics.Counter
	resumeGap   metrics.Timer
	storeCalls  metrics.Counter
	firstEvent  metrics.Timer
	plainAnswer metrics.Timer
}

func newCounters(r metrics.Registry) counters {
	return counters{
		answered:    metrics.GetOrRegisterCounter("gateway_answered", r),
		brokenOff:   metrics.GetOrRegisterCounter("gateway_broken_off", r),
		distrusted:  metrics.GetOrRegisterCounter("gateway_endpoints_distrusted", r),
		failed:      metrics.GetOrRegisterCounter("gateway_failed", r),
		firstEvent:  metrics.GetOrRegisterTimer("gateway_first_event", r),
		left:        metrics.GetOrRegisterCounter("gateway_endpoints_left", r),
		pauses:      metrics.GetOrRegisterCounter("gateway_endpoint_pauses", r),
		plainAnswer: metrics.GetOrRegisterTimer("gateway_plain_answer", r),
		refused:     metrics.GetOrRegisterCounter("gateway_refused", r),
		repeated:    metrics.GetOrRegisterCounter("gateway_repeated", r),
		requests:    metrics.GetOrRegisterCounter("gateway_requests", r),
		resumed:     metrics.GetOrRegisterCounter("gateway_resumed", r),
		resumeGap:   metrics.GetOrRegisterTimer("gateway_resume_gap", r),
		storeCalls:  metrics.GetOrRegisterCounter("gateway_store_calls", r),
	}
}
