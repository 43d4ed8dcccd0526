package savorypinentry

import (
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinroute"
)

// attemptStats collects the timing and token count of an attempt.
type attemptStats struct {
	candidate    savorypinroute.Candidate
	firstTokenAt time.Time
	lastTokenAt  time.Time
	purpose      savorypin.Purpose
	started      time.Time
	tokens       int
}

// newAttemptStats marks an attempt as in flight on its endpoint and returns empty stats
// for it.
func newAttemptStats(candidate savorypinroute.Candidate, purpose savorypin.Purpose, now time.Time) *attemptStats {
	candidate.Begin()
	return &attemptStats{candidate: candidate, purpose: purpose, started: now}
}

// addTokens counts n tokens received at time now.
func (s *attemptStats) addTokens(n int, now time.Time) {
	if s.tokens == 0 {
		s.firstTokenAt = now
	}
	s.lastTokenAt = now
	s.tokens += n
	s.candidate.Delivered(n)
}

// observation ends the attempt and returns its result; err is nil if the attempt
// showed no fault of its endpoint.
func (s *attemptStats) observation(gen savorypin.Generation, version string, err error) savorypin.Observation {
	s.candidate.Done(err)
	o := observationOf(s.candidate, s.purpose, err)
	o.Organisation = gen.Organisation
	o.Route = gen.Route
	o.Service = gen.Service
	o.Tokens = s.tokens
	o.Version = version
	if s.tokens > 0 {
		o.FirstToken = s.firstTokenAt.Sub(s.started)
	}
	if s.tokens > 1 {
		o.TokenInterval = s.lastTokenAt.Sub(s.firstTokenAt) / time.Duration(s.tokens-1)
	}
	return o
}

func observationOf(candidate savorypinroute.Candidate, purpose savorypin.Purpose, err error) savorypin.Observation {
	e := candidate.Endpoint()
	o := savorypin.Observation{
		Domain:   candidate.Member().Domain,
		Endpoint: e.Name,
		Err:      err,
		Purpose:  purpose,
		Region:   candidate.Member().Region,
	}
	if e.Slots > 0 {
		o.Load = float64(e.Running+e.Waiting) / float64(e.Slots)
	}
	return o
}
