package savorypinagent

import (
	"context"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// handleFind tells where a generation is, as far as this agent knows.
func (a *Agent) handleFind(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Find,
) (savorypinmember.Found, error) {
	var found savorypinmember.Found
	if place, ok := a.places.Get(req.Generation); ok {
		found.Place = &place
	}
	a.mu.Lock()
	newest := a.newest(req.Generation)
	term := a.terms[req.Generation]
	a.mu.Unlock()
	if newest != nil {
		held := newest.held()
		held.Term = term
		found.Held = &held
	}
	return found, nil
}

// newest returns the newest attempt at a generation that is held here, or nil.
// The caller holds a.mu.
func (a *Agent) newest(id savorypin.GenerationID) *run {
	var newest *run
	for attempt, r := range a.runs {
		if attempt.Generation == id && (newest == nil || attempt.ID.Compare(newest.start.Attempt.ID) > 0) {
			newest = r
		}
	}
	return newest
}

// handlePlace remembers where a generation has moved to.
func (a *Agent) handlePlace(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Place,
) (savorypinmember.Empty, error) {
	req.Place.Expires = time.Now().Add(req.Keep)
	a.places.Put(req.Place)
	return savorypinmember.Empty{}, nil
}

// handleDrop ends an attempt that has been superseded.
func (a *Agent) handleDrop(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Drop,
) (savorypinmember.Empty, error) {
	a.mu.Lock()
	r, ok := a.runs[req.Attempt]
	a.mu.Unlock()
	if ok {
		r.drop()
	}
	return savorypinmember.Empty{}, nil
}
