package savorypinforecast

import (
	"sync"
	"time"
)

const (
	// speedupWeight is the weight of an observation below the current maximum, so that one slow
	// request counts for about a hundred further ones.
	speedupWeight = 0.01
	// minSamples is the number of requests of a kind from which their slowest says how long another
	// one may take.
	minSamples = 20
)

// decayingMax tracks the maximum of a series of observations; smaller observations lower it slowly.
// It is zero before the first observation.
type decayingMax float64

func (m *decayingMax) observe(x float64) {
	old := float64(*m)
	if x > old {
		*m = decayingMax(x)
		return
	}
	*m = decayingMax(old + speedupWeight*(x-old))
}

// slowStats holds the observed maximums of a kind.
type slowStats struct {
	// duration is that of a plain request, in seconds.
	duration decayingMax
	// eventsPerOutputToken is the number of events per output token that the request allowed.
	eventsPerOutputToken decayingMax
	// promptTokens is the size of the longest prompts.
	promptTokens decayingMax
	samples      int
	// secondsPerEvent is the time between two events, with all pauses.
	secondsPerEvent decayingMax
	// secondsToFirstEvent is the time to the first event.
	secondsToFirstEvent decayingMax
}

// Slowest estimates from completed requests the time that the slowest ones of a kind take. It is safe
// for concurrent use.
type Slowest struct {
	mu    sync.Mutex
	stats map[Kind]*slowStats
}

// NewSlowest returns a Slowest without observations.
func NewSlowest() *Slowest {
	return &Slowest{stats: map[Kind]*slowStats{}}
}

// ObservePlain adds a plain request that was answered after a duration.
func (s *Slowest) ObservePlain(kind Kind, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.statsLocked(kind)
	stats.samples++
	stats.duration.observe(duration.Seconds())
}

// ObserveStream adds a completed stream, over all of its attempts. Streams whose request names no
// number of output tokens are ignored.
func (s *Slowest) ObserveStream(kind Kind, stream CompletedStream) {
	if stream.Events == 0 || stream.OutputTokens <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.statsLocked(kind)
	stats.samples++
	stats.eventsPerOutputToken.observe(float64(stream.Events) / float64(stream.OutputTokens))
	stats.promptTokens.observe(float64(stream.PromptTokens))
	stats.secondsToFirstEvent.observe(stream.TimeToFirstEvent.Seconds())
	if stream.Events > 1 {
		stats.secondsPerEvent.observe((stream.Duration - stream.TimeToFirstEvent).Seconds() / float64(stream.Events-1))
	}
}

// Plain returns how long the slowest plain requests of a kind take. It returns false if too few have
// been seen.
func (s *Slowest) Plain(kind Kind) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats[kind]
	if stats == nil || stats.samples < minSamples {
		return 0, false
	}
	return seconds(float64(stats.duration)), true
}

// Stream returns how long the rest of a stream takes at the pace of the slowest ones of its kind, if it
// uses all of its output tokens. It returns false if too few have been seen or the request doesn't name
// its output tokens.
func (s *Slowest) Stream(kind Kind, r Remaining) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats[kind]
	if stats == nil || stats.samples < minSamples || r.OutputTokens <= 0 {
		return 0, false
	}
	events := max(0, float64(stats.eventsPerOutputToken)*float64(r.OutputTokens)-float64(r.Events))
	first := float64(stats.secondsToFirstEvent)
	if longest := float64(stats.promptTokens); longest > 0 {
		first *= max(1, float64(r.PromptTokens)/longest)
	}
	return seconds(first + float64(stats.secondsPerEvent)*events), true
}

// Retain drops what was seen of the kinds for which keep returns false.
func (s *Slowest) Retain(keep func(Kind) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retain(s.stats, keep)
}

// statsLocked returns the maximums of a kind. The caller holds s.mu.
func (s *Slowest) statsLocked(kind Kind) *slowStats {
	stats := s.stats[kind]
	if stats == nil {
		stats = &slowStats{}
		s.stats[kind] = stats
	}
	return stats
}
