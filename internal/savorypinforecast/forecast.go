// Package savorypinforecast estimates from completed requests how long others of their kind
// take: at least, so that a stream that can't complete before its deadline isn't started, as it
// would only take capacity from others; and at most, so that a stopping gateway takes what it
// can finish.
package savorypinforecast

import (
	"sync"
	"time"
)

const (
	// slowdownWeight is the weight of an observation above the current minimum. It lets the
	// minimum rise slowly if engines have become slower for good.
	slowdownWeight = 0.01
	// maxAge is the time after which an observation says nothing any more.
	maxAge = 30 * time.Second
	// probeInterval is the number of streams of a kind of which one is started although the
	// estimate says that it can't complete: what is refused can't correct the estimate.
	probeInterval = 20
)

// Kind identifies requests that are expected to behave alike.
type Kind struct {
	Route   string
	Service string
}

// CompletedStream describes a completed stream.
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

// kindStats holds the observed minimums of a kind.
type kindStats struct {
	// minEvents is the number of events of the shortest responses. The requested maximum
	// is a poor estimate where callers allow for more tokens than they need.
	minEvents decayingMin
	// secondsPerEvent is the time between two events.
	secondsPerEvent decayingMin
	// eventsPerOutputToken is the number of events per output token that the request
	// allowed.
	eventsPerOutputToken decayingMin
	// observedAt is when a stream was last observed.
	observedAt time.Time
	prefill    prefillStats
	// refused is the number of streams that were not started since the last probe.
	refused int
}

// Config configures a Forecast.
type Config struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Forecast estimates the least durations of streams by kind. It is safe for concurrent
// use.
type Forecast struct {
	now func() time.Time

	mu    sync.Mutex
	kinds map[Kind]*kindStats
}

// New returns a Forecast without observations.
func New(cfg Config) *Forecast {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Forecast{kinds: map[Kind]*kindStats{}, now: cfg.Now}
}

// Observe adds a stream that completed in one attempt. Streams without a measurable rate of
// events are ignored.
func (f *Forecast) Observe(kind Kind, stream CompletedStream) {
	if stream.Events < 2 || stream.OutputTokens <= 0 || stream.Duration <= stream.TimeToFirstEvent {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	s := f.kinds[kind]
	if s == nil || now.Sub(s.observedAt) > maxAge {
		s = &kindStats{prefill: prefillStats{}}
		f.kinds[kind] = s
	}
	s.observedAt = now
	s.minEvents.observe(float64(stream.Events))
	s.secondsPerEvent.observe((stream.Duration - stream.TimeToFirstEvent).Seconds() / float64(stream.Events-1))
	s.eventsPerOutputToken.observe(float64(stream.Events) / float64(stream.OutputTokens))
	if stream.PromptTokens > 0 {
		s.prefill.observe(stream.PromptTokens, stream.TimeToFirstEvent, now)
	}
}

// MinDuration returns the estimated minimum time for the rest of a stream of a kind; zero if
// there are no recent observations.
func (f *Forecast) MinDuration(kind Kind, r Remaining) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.kinds[kind]
	now := f.now()
	if s == nil || now.Sub(s.observedAt) > maxAge {
		return 0
	}
	total := min(float64(s.minEvents), float64(s.eventsPerOutputToken)*float64(r.OutputTokens))
	events := max(0, total-float64(r.Events))
	return s.prefill.minDuration(r.PromptTokens, now) + seconds(float64(s.secondsPerEvent)*events)
}

// Probe reports whether a new stream of a kind is started although MinDuration says that it can't
// complete in time. It counts the stream as refused if not.
func (f *Forecast) Probe(kind Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.kinds[kind]
	if s == nil {
		return true
	}
	if !s.probeDue() {
		s.refused++
		return false
	}
	s.refused = 0
	return true
}

// ProbeDue reports what Probe would report now. It counts nothing.
func (f *Forecast) ProbeDue(kind Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.kinds[kind]
	return s == nil || s.probeDue()
}

// probeDue reports whether the next stream that would be refused is a probe instead.
func (s *kindStats) probeDue() bool { return s.refused+1 >= probeInterval }

// Retain drops what was seen of the kinds for which keep returns false.
func (f *Forecast) Retain(keep func(Kind) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	retain(f.kinds, keep)
}

// retain drops the entries of the kinds for which keep returns false.
func retain[T any](stats map[Kind]T, keep func(Kind) bool) {
	for kind := range stats {
		if !keep(kind) {
			delete(stats, kind)
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
