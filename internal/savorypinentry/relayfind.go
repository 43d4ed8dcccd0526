package savorypinentry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinrank"
	"savorypin/internal/savorypinresume"
	"savorypin/internal/savorypinroute"
)

const (
	// findTimeout bounds a query of agents.
	findTimeout = 600 * time.Millisecond
	// findConcurrency is the maximum number of agents that a search queries at once.
	findConcurrency = 64
	// maxFullSearches is the maximum number of searches that query all agents at the
	// same time.
	maxFullSearches = 16
	// locationCopies is the number of agents that store where a generation has moved.
	locationCopies = 3
)

// Find returns the relay of the generation of a position. If this entry has none, it
// searches the agents for an attempt that can continue after the position, and takes
// the generation over.
func (e *Entry) Find(ctx context.Context, position savorypin.EventID) (*Relay, error) {
	id := position.Generation()
	if r, ok := e.relay(id); ok {
		return r, nil
	}
	found := e.takeovers.DoChan(string(id), func() (any, error) {
		return e.takeOver(context.WithoutCancel(ctx), position)
	})
	select {
	case result := <-found:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*Relay), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// relay returns the relay of a generation, unless another entry has taken the
// generation over.
func (e *Entry) relay(id savorypin.GenerationID) (*Relay, bool) {
	e.mu.Lock()
	r, ok := e.relays[id]
	e.mu.Unlock()
	return r, ok && !r.takenOver()
}

// takenOver reports whether another entry has taken the generation over.
func (r *Relay) takenOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.machine.End()
	return end != nil && end.Err != nil && savorypin.KindOf(end.Err) == savorypin.KindConflict
}

// locatedAttempt is an attempt as described by the agent that holds it.
type locatedAttempt struct {
	held   savorypinmember.HeldAttempt
	member savorypin.MemberState
}

func (e *Entry) takeOver(ctx context.Context, position savorypin.EventID) (*Relay, error) {
	if r, ok := e.relay(position.Generation()); ok {
		return r, nil
	}
	located, ok := e.locate(ctx, position)
	if !ok {
		return nil, savorypin.Errorf(savorypin.KindNotFound, string(position.Generation()), "no such generation")
	}
	gen := located.held.Generation
	size := savorypinresume.Size(gen)
	if err := e.memory.Reserve(savorypin.PurposeResume, size); err != nil {
		return nil, err
	}
	spec, _ := e.daemon.Config().Service(gen.Service)
	r := e.newRelay(relayConfig{
		deadline:    time.Now().Add(located.held.RemainingWait),
		gen:         gen,
		lastAttempt: located.held.Attempt.Number,
		policy:      spec.Resume,
		term:        savorypin.NextTerm(max(located.held.Term, located.held.Attempt.Term)),
		version:     located.held.Version,
	})
	r.adopt(located)
	e.count("resume.adopted", 1)
	return r, nil
}

// adopt continues an attempt that another entry started.
func (r *Relay) adopt(located locatedAttempt) {
	candidate := r.entry.candidateOf(located)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.model = located.held.Model
	r.machine.Log().Restore(located.held.Lineage, located.held.Tokens)
	r.streams[located.held.Attempt] = &stream{
		address:   located.member.Address,
		attempt:   located.held.Attempt,
		cancel:    func(error) {},
		candidate: candidate,
		stats:     newAttemptStats(candidate, savorypin.PurposeResume, now),
		purpose:   savorypin.PurposeResume,
	}
	r.apply(r.machine.Adopt(now, located.held.Attempt, located.held.Endpoint, r.firstTokenTimeout(candidate, len(located.held.Tokens))))
}

// candidateOf returns the endpoint of an adopted attempt. It returns the zero
// candidate if the endpoint is no longer healthy.
func (e *Entry) candidateOf(located locatedAttempt) savorypinroute.Candidate {
	req := savorypinroute.Request{Service: located.held.Generation.Service, Version: located.held.Version}
	for _, c := range savorypinroute.Candidates(e.daemon.Members(), req) {
		if c.Endpoint().Name == located.held.Endpoint {
			return c
		}
	}
	return savorypinroute.Candidate{}
}

// search is the state of a search for a generation on the agents.
type search struct {
	queried  map[string]bool
	entry    *Entry
	position savorypin.EventID

	mu       sync.Mutex
	best     *locatedAttempt
	location *savorypinresume.Location
}

// locate searches for the newest attempt that can continue after a position. It
// queries the agent that is named in the id and those that store locations, then the
// agent at the newest location, and all agents if that finds none.
func (e *Entry) locate(ctx context.Context, position savorypin.EventID) (locatedAttempt, bool) {
	s := &search{queried: map[string]bool{}, entry: e, position: position}
	agents := e.agents()
	id := position.Generation()
	first := savorypinrank.Spread(string(id), agents, locationCopies)
	if m, ok := e.daemon.Members().Get(id.Agent()); ok {
		first = append(first, m.State())
	}
	s.query(ctx, first)
	if s.location != nil && (s.best == nil || s.location.Attempt.Compare(s.best.held.Attempt) > 0) {
		s.query(ctx, []savorypin.MemberState{{Address: s.location.Address, Name: s.location.Agent}})
	}
	if s.best == nil {
		s.queryAll(ctx, agents)
	}
	if s.best == nil {
		return locatedAttempt{}, false
	}
	return *s.best, true
}

// queryAll queries all agents. The number of concurrent searches that do so is
// limited, so that callers with invalid ids can't flood the agents.
func (s *search) queryAll(ctx context.Context, agents []savorypin.MemberState) {
	s.entry.fullSearchSlots <- struct{}{}
	defer func() { <-s.entry.fullSearchSlots }()
	s.query(ctx, agents)
}

// agents returns all agents that the membership knows.
func (e *Entry) agents() []savorypin.MemberState {
	var agents []savorypin.MemberState
	for _, m := range e.daemon.Members().All() {
		if m.State().Role == savorypin.RoleAgent {
			agents = append(agents, m.State())
		}
	}
	return agents
}

// query queries the agents that this search has not queried yet. It returns when all
// have answered, when findTimeout has passed, or as soon as one holds the attempt that
// produced the caller's last token.
func (s *search) query(ctx context.Context, members []savorypin.MemberState) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(findConcurrency)
	for _, m := range members {
		if s.queried[m.Name] {
			continue
		}
		s.queried[m.Name] = true
		group.Go(func() error {
			found, err := savorypinmember.Call[savorypinmember.Find, savorypinmember.FindAnswer](
				ctx, s.entry.daemon.Transport(), m.Address, savorypinmember.FrameFind,
				savorypinmember.Find{Generation: s.position.Generation()})
			if err == nil && s.merge(m, found) {
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
}

// merge adds the answer of an agent to the search, and reports whether the search is
// complete.
func (s *search) merge(m savorypin.MemberState, found savorypinmember.FindAnswer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := found.Location; p != nil && (s.location == nil || p.Attempt.Compare(s.location.Attempt) > 0) {
		s.location = p
	}
	if found.Held == nil || !s.continues(*found.Held) {
		return false
	}
	if s.best == nil || found.Held.Attempt.Compare(s.best.held.Attempt) > 0 {
		s.best = &locatedAttempt{held: *found.Held, member: m}
	}
	attempt := s.position.Attempt()
	return !attempt.IsZero() && found.Held.Attempt == attempt
}

// continues reports whether an attempt can continue after the position. One that has
// fewer tokens than the caller must be the one that produced them.
func (s *search) continues(held savorypinmember.HeldAttempt) bool {
	if s.position.Next() > len(held.Tokens) {
		return held.Attempt == s.position.Attempt()
	}
	return held.Lineage.CanResumeAt(s.position)
}

// Cancel cancels a generation.
func (e *Entry) Cancel(ctx context.Context, id savorypin.GenerationID) error {
	r, err := e.Find(ctx, savorypin.NewEventID(id, 0, savorypin.AttemptID{}))
	if err != nil {
		return err
	}
	r.Cancel()
	return nil
}

// storeLocation stores on a few agents where a generation has moved, so that another
// entry can find it.
func (e *Entry) storeLocation(location savorypinresume.Location, keep time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	targets := savorypinrank.Spread(string(location.Generation), e.agents(), locationCopies)
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() {
			_, err := savorypinmember.Call[savorypinmember.Location, savorypinmember.Empty](
				ctx, e.daemon.Transport(), m.Address, savorypinmember.FrameLocation, savorypinmember.Location{Keep: keep, Location: location})
			if err != nil {
				e.daemon.Logger().Debug("Failed to store the place of a generation on an agent", "request", location.Generation, "host", m.Name, "err", err)
			}
		})
	}
	wg.Wait()
}
