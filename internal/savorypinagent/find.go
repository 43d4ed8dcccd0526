package savorypinagent

import (
	"context"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// handleFind returns the newest attempt at a generation on this agent, and the
// location that the generation has moved to if it is stored here.
func (a *Agent) handleFind(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Find,
) (savorypinmember.FindAnswer, error) {
	var found savorypinmember.FindAnswer
	if location, ok := a.locations.Get(req.Generation); ok {
		found.Location = &location
	}
	a.mu.Lock()
	newest := a.newestAttempt(req.Generation)
	term := a.terms[req.Generation]
	a.mu.Unlock()
	if newest != nil {
		held := newest.heldMessage()
		held.Term = term
		found.Held = &held
	}
	return found, nil
}

// newestAttempt returns the newest attempt at a generation on this agent, or nil. The
// caller holds a.mu.
func (a *Agent) newestAttempt(generation savorypin.GenerationID) *generationAttempt {
	var newest *generationAttempt
	for id, attempt := range a.generationAttempts {
		if id.Generation == generation && (newest == nil || id.ID.Compare(newest.start.Attempt.ID) > 0) {
			newest = attempt
		}
	}
	return newest
}

// handleLocation stores where a generation has moved to.
func (a *Agent) handleLocation(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Location,
) (savorypinmember.Empty, error) {
	req.Location.Expires = time.Now().Add(req.Keep)
	a.locations.Put(req.Location)
	return savorypinmember.Empty{}, nil
}

// handleDrop ends an attempt that no entry needs any more.
func (a *Agent) handleDrop(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Drop,
) (savorypinmember.Empty, error) {
	a.mu.Lock()
	attempt, ok := a.generationAttempts[req.Attempt]
	a.mu.Unlock()
	if ok {
		attempt.drop()
	}
	return savorypinmember.Empty{}, nil
}
