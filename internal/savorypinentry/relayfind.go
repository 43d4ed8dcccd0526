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
	// findTimeout bounds the answer of one agent.
	findTimeout = 600 * time.Millisecond
	// findParallel is how many agents are asked at once.
	findParallel = 64
	// findExhaustive is how many searches ask all agents at once.
	findExhaustive = 16
	// placeCopies is how many agents remember where a generation has moved.
	placeCopies = 3
)

// Find returns the relay of a generation that goes on after a position. If
// this entry has none, it looks for the generation at the agents and takes it
// over.
func (e *Entry) Find(ctx context.Context, position savorypin.EventID) (*Relay, error) {
	id := position.Generation()
	if r, ok := e.relay(id); ok {
		return r, nil
	}
	found := e.finds.DoChan(string(id), func() (any, error) {
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
	return r, ok && !r.moved()
}

// moved reports whether another entry has taken the generation over.
func (r *Relay) moved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.machine.End()
	return end != nil && end.Err != nil && savorypin.KindOf(end.Err) == savorypin.KindConflict
}

// holder is an agent that holds an attempt.
type holder struct {
	held   savorypinmember.Held
	member savorypin.MemberState
}

func (e *Entry) takeOver(ctx context.Context, position savorypin.EventID) (*Relay, error) {
	if r, ok := e.relay(position.Generation()); ok {
		return r, nil
	}
	h, ok := e.locate(ctx, position)
	if !ok {
		return nil, savorypin.Errorf(savorypin.KindNotFound, string(position.Generation()), "no such generation")
	}
	gen := h.held.Generation
	size := savorypinresume.Size(gen)
	if err := e.memory.Reserve(savorypin.PurposeResume, size); err != nil {
		return nil, err
	}
	spec, _ := e.daemon.Config().Service(gen.Service)
	r := e.newRelay(relayConfig{
		deadline: time.Now().Add(h.held.Within),
		gen:      gen,
		number:   h.held.Attempt.Number,
		policy:   spec.Resume,
		term:     savorypin.NextTerm(max(h.held.Term, h.held.Attempt.Term)),
		version:  h.held.Version,
	})
	r.adopt(h)
	e.count("resume.adopted", 1)
	return r, nil
}

// adopt goes on with an attempt that another entry began.
func (r *Relay) adopt(h holder) {
	candidate := r.entry.candidateOf(h)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.model = h.held.Model
	r.machine.Log().Restore(h.held.Lineage, h.held.Tokens)
	r.streams[h.held.Attempt] = &stream{
		address:   h.member.Address,
		attempt:   h.held.Attempt,
		cancel:    func(error) {},
		candidate: candidate,
		clock:     newAttemptClock(candidate, savorypin.PurposeResume, now),
		purpose:   savorypin.PurposeResume,
	}
	r.do(r.machine.Adopt(now, h.held.Attempt, h.held.Endpoint, r.firstTokenWithin(candidate, len(h.held.Tokens))))
}

// candidateOf returns what is known of the endpoint of an adopted attempt. It
// is the zero candidate if the endpoint is not healthy any more.
func (e *Entry) candidateOf(h holder) savorypinroute.Candidate {
	need := savorypinroute.Need{Service: h.held.Generation.Service, Version: h.held.Version}
	for _, c := range savorypinroute.Candidates(e.daemon.Members(), need) {
		if c.Endpoint().Name == h.held.Endpoint {
			return c
		}
	}
	return savorypinroute.Candidate{}
}

// search is the state of a search for a generation.
type search struct {
	asked    map[string]bool
	entry    *Entry
	position savorypin.EventID

	mu     sync.Mutex
	best   *holder
	placed *savorypinresume.Place
}

// locate looks for the newest attempt that may go on after a position: at the
// agent that the id names and at those that remember moves, then where these
// point to, and last at all agents.
func (e *Entry) locate(ctx context.Context, position savorypin.EventID) (holder, bool) {
	s := &search{asked: map[string]bool{}, entry: e, position: position}
	agents := e.agents()
	id := position.Generation()
	first := savorypinrank.Spread(string(id), agents, placeCopies)
	if m, ok := e.daemon.Members().Get(id.Agent()); ok {
		first = append(first, m.State())
	}
	s.ask(ctx, first)
	if s.placed != nil && (s.best == nil || s.placed.Attempt.Compare(s.best.held.Attempt) > 0) {
		s.ask(ctx, []savorypin.MemberState{{Address: s.placed.Address, Name: s.placed.Agent}})
	}
	if s.best == nil {
		s.askAll(ctx, agents)
	}
	if s.best == nil {
		return holder{}, false
	}
	return *s.best, true
}

// askAll asks all agents. Few searches do so at once, so that callers with
// wrong ids don't flood the agents.
func (s *search) askAll(ctx context.Context, agents []savorypin.MemberState) {
	s.entry.exhaustive <- struct{}{}
	defer func() { <-s.entry.exhaustive }()
	s.ask(ctx, agents)
}

// agents returns all agents that may be alive.
func (e *Entry) agents() []savorypin.MemberState {
	var agents []savorypin.MemberState
	for _, m := range e.daemon.Members().All() {
		if m.State().Role == savorypin.RoleAgent {
			agents = append(agents, m.State())
		}
	}
	return agents
}

// ask asks agents that were not asked yet. It returns when all have answered
// or time is up, or as soon as one holds the attempt that the caller's last
// token came from.
func (s *search) ask(ctx context.Context, members []savorypin.MemberState) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(findParallel)
	for _, m := range members {
		if s.asked[m.Name] {
			continue
		}
		s.asked[m.Name] = true
		group.Go(func() error {
			found, err := savorypinmember.Call[savorypinmember.Find, savorypinmember.Found](
				ctx, s.entry.daemon.Transport(), m.Address, savorypinmember.FrameFind,
				savorypinmember.Find{Generation: s.position.Generation()})
			if err == nil && s.note(m, found) {
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
}

// note takes over what an agent knows, and reports whether the search is over.
func (s *search) note(m savorypin.MemberState, found savorypinmember.Found) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := found.Place; p != nil && (s.placed == nil || p.Attempt.Compare(s.placed.Attempt) > 0) {
		s.placed = p
	}
	if found.Held == nil || !s.continues(*found.Held) {
		return false
	}
	if s.best == nil || found.Held.Attempt.Compare(s.best.held.Attempt) > 0 {
		s.best = &holder{held: *found.Held, member: m}
	}
	attempt := s.position.Attempt()
	return !attempt.IsZero() && found.Held.Attempt == attempt
}

// continues reports whether an attempt may go on after the position. One that
// has fewer tokens than the caller must be the one that produced them.
func (s *search) continues(held savorypinmember.Held) bool {
	if s.position.Next() > len(held.Tokens) {
		return held.Attempt == s.position.Attempt()
	}
	return held.Lineage.Continues(s.position)
}

// Cancel ends a generation.
func (e *Entry) Cancel(ctx context.Context, id savorypin.GenerationID) error {
	r, err := e.Find(ctx, savorypin.NewEventID(id, 0, savorypin.AttemptID{}))
	if err != nil {
		return err
	}
	r.Cancel()
	return nil
}

// announce tells a few agents where a generation has moved to, so that another
// entry finds it there.
func (e *Entry) announce(place savorypinresume.Place, keep time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	targets := savorypinrank.Spread(string(place.Generation), e.agents(), placeCopies)
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() {
			_, err := savorypinmember.Call[savorypinmember.Place, savorypinmember.Empty](
				ctx, e.daemon.Transport(), m.Address, savorypinmember.FramePlace, savorypinmember.Place{Keep: keep, Place: place})
			if err != nil {
				e.daemon.Logger().Debug("Place not remembered", "request", place.Generation, "host", m.Name, "err", err)
			}
		})
	}
	wg.Wait()
}
