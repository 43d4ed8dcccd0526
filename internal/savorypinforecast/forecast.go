// Package savorypinforecast estimates from completed streams the minimum time that a
// stream of a service takes. A stream that can't complete before its deadline should not
// be started, because it would only take capacity from others. The package uses no
// clock.
package savorypinforecast

import (
	"sync"
	"time"
)

// slowdownWeight is the weight of an observation above the current minimum. It lets the
// minimum rise slowly if engines have become slower for good.
const slowdownWeight = 0.01

// CompletedStream describes a stream that completed in one attempt.
type CompletedStream struct {
	// Events is the number of events of the response.
	Events int64
	// TimeToFirstEvent is the time to the first event, and Duration the time to the last one.
	TimeToFirstEvent, Duration time.Duration
	// OutputTokens is the maximum number of output tokens that the request allowed.
	OutputTokens int
	// PromptTokens is the number of tokens prefilled before the first event.
	PromptTokens int
}

// Remaining describes the remaining part of a stream.
type Remaining struct {
	// Events is the number of events that the caller has received.
	Events int64
	// OutputTokens is the maximum number of output tokens of the whole response.
	OutputTokens int
	// PromptTokens is the number of tokens still to be prefilled; zero if an engine has
	// the prompt cached.
	PromptTokens int
}

// decayingMin tracks the minimum of a series of observations; larger observations raise
// it slowly. It is zero before the first observation.
type decayingMin float64

func (m *decayingMin) observe(x float64) {
	old := float64(*m)
	if old == 0 || x < old {
		*m = decayingMin(x)
		return
	}
	*m = decayingMin(old + slowdownWeight*(x-old))
}

// serviceStats holds the observed minimums of a service.
type serviceStats struct {
	// minEvents is the number of events of the shortest responses. The requested maximum
	// is a poor estimate where callers allow for more tokens than they need.
	minEvents decayingMin
	// secondsPerEvent is the time between two events.
	secondsPerEvent decayingMin
	// eventsPerOutputToken is the number of events per output token that the request
	// allowed.
	eventsPerOutputToken decayingMin
	// secondsPerPromptToken is the time to the first event per prefilled prompt token.
	secondsPerPromptToken decayingMin
}

// Forecast estimates the durations of streams by service. It is safe for concurrent
// use.
type Forecast struct {
	mu       sync.Mutex
	services map[string]*serviceStats
}

// New returns a Forecast without observations.
func New() *Forecast {
	return &Forecast{services: map[string]*serviceStats{}}
}

// Observe adds a completed stream of a service. Streams without a measurable rate of
// events are ignored.
func (f *Forecast) Observe(service string, stream CompletedStream) {
	if stream.Events < 2 || stream.OutputTokens <= 0 || stream.Duration <= stream.TimeToFirstEvent {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil {
		s = &serviceStats{}
		f.services[service] = s
	}
	s.minEvents.observe(float64(stream.Events))
	s.secondsPerEvent.observe((stream.Duration - stream.TimeToFirstEvent).Seconds() / float64(stream.Events-1))
	s.eventsPerOutputToken.observe(float64(stream.Events) / float64(stream.OutputTokens))
	if stream.PromptTokens > 0 {
		s.secondsPerPromptToken.observe(stream.TimeToFirstEvent.Seconds() / float64(stream.PromptTokens))
	}
}

// MinDuration returns the estimated minimum time for the rest of a stream of a service;
// zero if the service has no observations.
func (f *Forecast) MinDuration(service string, r Remaining) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil {
		return 0
	}
	total := min(float64(s.minEvents), float64(s.eventsPerOutputToken)*float64(r.OutputTokens))
	events := max(0, total-float64(r.Events))
	seconds := float64(s.secondsPerPromptToken)*float64(r.PromptTokens) + float64(s.secondsPerEvent)*events
	return time.Duration(seconds * float64(time.Second))
}
