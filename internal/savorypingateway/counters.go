package savorypingateway

import "github.com/rcrowley/go-metrics"

// counters are the gateway's metrics.
type counters struct {
	answered metrics.Counter
	// brokenOff counts streams that ended incomplete after their response header was sent.
	brokenOff metrics.Counter
	// bufferAborted counts the streams of slow callers that were aborted so that others can buffer their
	// events, and bufferHeldBack those whose endpoints are read no faster than the callers read.
	bufferAborted  metrics.Counter
	bufferHeldBack metrics.Counter
	// copiesOmitted counts the streams without a copy of their KV cache for want of memory, overcommitted
	// those that were sent to an endpoint without memory left.
	copiesOmitted metrics.Counter
	overcommitted metrics.Counter
	// connectionsClosed counts the connections that were closed because all held too much.
	connectionsClosed metrics.Counter
	// deadlineRefused counts the streams that were not sent, or not sent again, as they were expected
	// not to complete in time, and deadlineProbes those that were sent in spite of that.
	deadlineRefused metrics.Counter
	deadlineProbes  metrics.Counter
	// endpointsCrashed counts the requests whose endpoint's process ended.
	endpointsCrashed metrics.Counter
	// endpointsDistrusted counts invalid responses of endpoints, endpointsLeft the endpoints that
	// announced in a response that they stop.
	endpointsDistrusted metrics.Counter
	// failed counts streams whose callers got an endpoint's error response.
	failed         metrics.Counter
	endpointsLeft  metrics.Counter
	endpointPauses metrics.Counter
	// endpointLimits counts the responses that name a limit on requests.
	endpointLimits metrics.Counter
	// limitHeld counts the choices of an endpoint that were given up because of its limit.
	limitHeld metrics.Counter
	// partsConfined counts the parts of prompts that were put into quarantine, by any gateway,
	// and partsReleased those that were released. partsRefused counts the streams that were not
	// sent, or not sent again, because of a part in quarantine.
	partsConfined metrics.Counter
	partsRefused  metrics.Counter
	partsReleased metrics.Counter
	// requestsConfined, repeatsRefused and requestsReleased count the same of whole requests.
	requestsConfined metrics.Counter
	repeatsRefused   metrics.Counter
	requestsReleased metrics.Counter
	refused          metrics.Counter
	// repeated counts the second and later attempts of plain requests.
	repeated metrics.Counter
	requests metrics.Counter
	// resumed counts the failed attempts of streams that may be followed by another attempt.
	resumed   metrics.Counter
	resumeGap metrics.Timer
	// silentHosts counts the streams that went on although the endpoint's host did not answer.
	silentHosts metrics.Counter
	// streamsKept counts the streams that went on although their endpoints were silent for twice the
	// target latency.
	streamsKept metrics.Counter
	// slowCallers counts the streams whose events were buffered, as their callers read slowly.
	slowCallers metrics.Counter
	storeCalls  metrics.Counter
	firstEvent  metrics.Timer
	plainAnswer metrics.Timer
	// unanswered counts the requests that ended without a response although their callers waited.
	unanswered metrics.Counter
	// uploadHeld counts the choices of an endpoint that were given up because of the bodies of other
	// requests on their way to it.
	uploadHeld metrics.Counter
	// waited counts the streams that waited for an endpoint with room, waitRefused those that were
	// refused because of that, at once or later, and waitLeft those whose callers left meanwhile.
	waited, waitLeft, waitRefused metrics.Counter
	// wait is how long those waited that started.
	wait metrics.Timer
}

func newCounters(r metrics.Registry) counters {
	return counters{
		answered:            metrics.GetOrRegisterCounter("gateway_answered", r),
		brokenOff:           metrics.GetOrRegisterCounter("gateway_broken_off", r),
		bufferAborted:       metrics.GetOrRegisterCounter("gateway_buffer_aborted", r),
		bufferHeldBack:      metrics.GetOrRegisterCounter("gateway_buffer_held_back", r),
		copiesOmitted:       metrics.GetOrRegisterCounter("gateway_copies_omitted", r),
		overcommitted:       metrics.GetOrRegisterCounter("gateway_overcommitted", r),
		connectionsClosed:   metrics.GetOrRegisterCounter("gateway_connections_closed", r),
		deadlineProbes:      metrics.GetOrRegisterCounter("gateway_deadline_probes", r),
		deadlineRefused:     metrics.GetOrRegisterCounter("gateway_deadline_refused", r),
		endpointsCrashed:    metrics.GetOrRegisterCounter("gateway_endpoints_crashed", r),
		endpointsDistrusted: metrics.GetOrRegisterCounter("gateway_endpoints_distrusted", r),
		failed:              metrics.GetOrRegisterCounter("gateway_failed", r),
		firstEvent:          metrics.GetOrRegisterTimer("gateway_first_event", r),
		endpointsLeft:       metrics.GetOrRegisterCounter("gateway_endpoints_left", r),
		endpointLimits:      metrics.GetOrRegisterCounter("gateway_endpoint_limits", r),
		endpointPauses:      metrics.GetOrRegisterCounter("gateway_endpoint_pauses", r),
		limitHeld:           metrics.GetOrRegisterCounter("gateway_limit_held", r),
		partsConfined:       metrics.GetOrRegisterCounter("gateway_parts_confined", r),
		partsRefused:        metrics.GetOrRegisterCounter("gateway_parts_refused", r),
		partsReleased:       metrics.GetOrRegisterCounter("gateway_parts_released", r),
		plainAnswer:         metrics.GetOrRegisterTimer("gateway_plain_answer", r),
		repeatsRefused:      metrics.GetOrRegisterCounter("gateway_repeats_refused", r),
		requestsConfined:    metrics.GetOrRegisterCounter("gateway_requests_confined", r),
		requestsReleased:    metrics.GetOrRegisterCounter("gateway_requests_released", r),
		refused:             metrics.GetOrRegisterCounter("gateway_refused", r),
		repeated:            metrics.GetOrRegisterCounter("gateway_repeated", r),
		requests:            metrics.GetOrRegisterCounter("gateway_requests", r),
		resumed:             metrics.GetOrRegisterCounter("gateway_resumed", r),
		resumeGap:           metrics.GetOrRegisterTimer("gateway_resume_gap", r),
		silentHosts:         metrics.GetOrRegisterCounter("gateway_silent_hosts", r),
		streamsKept:         metrics.GetOrRegisterCounter("gateway_streams_kept", r),
		slowCallers:         metrics.GetOrRegisterCounter("gateway_slow_callers", r),
		storeCalls:          metrics.GetOrRegisterCounter("gateway_store_calls", r),
		uploadHeld:          metrics.GetOrRegisterCounter("gateway_upload_held", r),
		unanswered:          metrics.GetOrRegisterCounter("gateway_unanswered", r),
		wait:                metrics.GetOrRegisterTimer("gateway_wait", r),
		waited:              metrics.GetOrRegisterCounter("gateway_waited", r),
		waitLeft:            metrics.GetOrRegisterCounter("gateway_wait_left", r),
		waitRefused:         metrics.GetOrRegisterCounter("gateway_wait_refused", r),
	}
}

// recordVerdict counts a change of the quarantine of a part of a prompt, or of a request.
func (c *counters) recordVerdict(request, released bool) {
	switch {
	case request && released:
		c.requestsReleased.Inc(1)
	case request:
		c.requestsConfined.Inc(1)
	case released:
		c.partsReleased.Inc(1)
	default:
		c.partsConfined.Inc(1)
	}
}
