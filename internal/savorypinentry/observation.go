package savorypinentry

import (
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinroute"
)

// attemptClock measures one attempt for its observation.
type attemptClock struct {
	candidate savorypinroute.Candidate
	first     time.Time
	last      time.Time
	purpose   savorypin.Purpose
	started   time.Time
	tokens    int
}

func newAttemptClock(candidate savorypinroute.Candidate, purpose savorypin.Purpose, now time.Time) *attemptClock {
	candidate.Begin()
	return &attemptClock{candidate: candidate, purpose: purpose, started: now}
}

// produced notes that n tokens came at a time.
func (c *attemptClock) produced(n int, now time.Time) {
	if c.tokens == 0 {
		c.first = now
	}
	c.last = now
	c.tokens += n
	c.candidate.Delivered(n)
}

// observation ends the attempt and returns what it showed, given how it ended.
func (c *attemptClock) observation(gen savorypin.Generation, version string, err error) savorypin.Observation {
	c.candidate.Done(err)
	o := observationOf(c.candidate, c.purpose, err)
	o.Organisation = gen.Organisation
	o.Route = gen.Route
	o.Service = gen.Service
	o.Tokens = c.tokens
	o.Version = version
	if c.tokens > 0 {
		o.FirstToken = c.first.Sub(c.started)
	}
	if c.tokens > 1 {
		o.BetweenTokens = c.last.Sub(c.first) / time.Duration(c.tokens-1)
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
