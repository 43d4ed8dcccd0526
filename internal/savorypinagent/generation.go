package savorypinagent

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinresume"
)

// Retention and limits of generations on an agent.
const (
	// attemptRetention is how long an attempt is kept after it has ended and its last
	// reader has left.
	attemptRetention = 30 * time.Second
	// maxLocations is the maximum number of stored locations of generations that have moved.
	maxLocations = 1 << 16
)

// generations is the state of the generations on an agent.
type generations struct {
	// cancelAttempts ends all attempts when the agent stops.
	cancelAttempts     context.CancelFunc
	attemptCtx         context.Context //nolint:containedctx // Ends when the agent stops.
	memory             *savorypinresume.Memory
	locations          *savorypinresume.LocationTable
	generationAttempts map[savorypinmember.Attempt]*generationAttempt
	// terms are the highest terms of entries that have started or attached to attempts.
	terms map[savorypin.GenerationID]uint64
}

// registerGenerations sets up the state, handlers and metrics of generations.
func (a *Agent) registerGenerations() {
	settings := a.daemon.Settings()
	a.memory = savorypinresume.NewMemory(savorypinresume.MemoryConfig{
		Bytes:  settings.AnswerMemory(),
		Evict:  a.evict,
		Object: settings.Name,
	})
	a.attemptCtx, a.cancelAttempts = context.WithCancel(context.Background())
	a.locations = savorypinresume.NewLocationTable(maxLocations)
	a.generationAttempts = map[savorypinmember.Attempt]*generationAttempt{}
	a.terms = map[savorypin.GenerationID]uint64{}
	a.daemon.Handle(savorypinmember.FrameAttach, a.handleAttach)
	a.daemon.Handle(savorypinmember.FrameDrop, savorypinmember.HandleCall(a.handleDrop))
	a.daemon.Handle(savorypinmember.FrameFind, savorypinmember.HandleCall(a.handleFind))
	a.daemon.Handle(savorypinmember.FrameLocation, savorypinmember.HandleCall(a.handleLocation))
	a.daemon.Handle(savorypinmember.FrameStart, a.handleStart)
	registry := a.daemon.Metrics()
	metrics.NewRegisteredFunctionalGauge("answers.bytes", registry, func() int64 { return int64(a.memory.Used()) })
	metrics.NewRegisteredFunctionalGauge("answers.limit", registry, func() int64 { return int64(a.memory.Limit()) })
	metrics.NewRegisteredFunctionalGauge("places", registry, func() int64 { return int64(a.locations.Len()) })
}

func (a *Agent) handleStart(ctx context.Context, s *savorypinmember.Stream, first savorypinmember.Frame) error {
	start, err := savorypinmember.Decode[savorypinmember.Start](first)
	if err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "start", "%w", err)
	}
	attempt, err := a.startAttempt(start)
	if err != nil {
		return err
	}
	return attempt.serve(ctx, s, readRequest{next: len(start.Delivered), term: start.Attempt.ID.Term, window: start.Window})
}

func (a *Agent) handleAttach(ctx context.Context, s *savorypinmember.Stream, first savorypinmember.Frame) error {
	attach, err := savorypinmember.Decode[savorypinmember.Attach](first)
	if err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "attach", "%w", err)
	}
	a.mu.Lock()
	attempt, ok := a.generationAttempts[attach.Attempt]
	err = a.raiseTerm(attach.Attempt.Generation, attach.Term)
	a.mu.Unlock()
	switch {
	case !ok:
		return savorypin.Errorf(savorypin.KindNotFound, string(attach.Attempt.Generation), "attempt %s is not here", attach.Attempt.ID)
	case err != nil:
		return err
	}
	attempt.supersede(attach.Term)
	// The empty batch confirms to the entry that the attempt exists.
	confirmation := savorypinmember.Tokens{Attempt: attach.Attempt.ID, First: attach.From}
	if err := s.Send(ctx, savorypinmember.FrameTokens, &confirmation); err != nil {
		return nil //nolint:nilerr // The reader has disconnected and may attach again.
	}
	return attempt.serve(ctx, s, readRequest{next: attach.From, term: attach.Term, window: attach.Window})
}

// raiseTerm records the term of an entry that starts or attaches to an attempt. It
// returns an error if an entry with a higher term has taken over the generation. The
// caller holds a.mu.
func (a *Agent) raiseTerm(id savorypin.GenerationID, term uint64) error {
	if term < a.terms[id] {
		return savorypin.Errorf(savorypin.KindConflict, string(id), "another entry has taken over")
	}
	a.terms[id] = term
	return nil
}

// startAttempt starts an attempt, or returns it if it has been started already.
func (a *Agent) startAttempt(start savorypinmember.Start) (*generationAttempt, error) {
	e, ok := a.endpoints[start.Endpoint]
	if !ok || e.engine == nil {
		return nil, savorypin.Errorf(savorypin.KindNotRun, start.Endpoint, "no such engine beside this agent")
	}
	if a.daemon.Draining() {
		return nil, savorypin.Errorf(savorypin.KindNotRun, a.daemon.Settings().Name, "agent is stopping")
	}
	purpose := savorypin.PurposeFirst
	if len(start.Delivered) > 0 {
		purpose = savorypin.PurposeResume
	}
	size := savorypinresume.Size(start.Generation)
	if err := a.memory.Reserve(purpose, size); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	existing, ok := a.generationAttempts[start.Attempt]
	err := a.raiseTerm(start.Attempt.Generation, start.Attempt.ID.Term)
	if ok || err != nil {
		a.memory.Release(size)
		return existing, err
	}
	attempt := newGenerationAttempt(start, size)
	a.generationAttempts[start.Attempt] = attempt
	ctx, cancel := context.WithDeadline(a.attemptCtx, attempt.deadline)
	attempt.cancel = cancel
	go func() {
		attempt.generate(ctx, e.engine)
		a.releaseUnused(attempt)
	}()
	return attempt, nil
}

// releaseUnused releases the memory that an attempt has reserved and not used.
func (a *Agent) releaseUnused(attempt *generationAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if unused := attempt.reservedBytes - attempt.usedBytes(); unused > 0 {
		a.memory.Release(unused)
		attempt.reservedBytes -= unused
	}
}

// sweepGenerations removes locations and attempts whose retention has expired.
func (a *Agent) sweepGenerations(now time.Time) {
	a.locations.Sweep(now)
	grace := a.daemon.Settings().Grace()
	a.removeAttempts(func(attempt *generationAttempt) bool { return attempt.expired(now, grace) })
}

// evict removes ended attempts without readers, to make room for new ones.
func (a *Agent) evict() {
	a.removeAttempts((*generationAttempt).evictable)
}

// removeAttempts cancels and removes the attempts for which shouldRemove returns true.
// It also removes the terms of generations without attempts.
func (a *Agent) removeAttempts(shouldRemove func(*generationAttempt) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	terms := map[savorypin.GenerationID]uint64{}
	for id, attempt := range a.generationAttempts {
		if shouldRemove(attempt) {
			attempt.cancel()
			a.memory.Release(attempt.reservedBytes)
			attempt.reservedBytes = 0
			delete(a.generationAttempts, id)
			continue
		}
		terms[id.Generation] = a.terms[id.Generation]
	}
	a.terms = terms
}

// handOver ends all attempts after the tokens produced so far, so that entries
// continue them at other endpoints.
func (a *Agent) handOver() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, attempt := range a.generationAttempts {
		attempt.handOver()
	}
}
