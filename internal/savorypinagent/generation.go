package savorypinagent

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinresume"
)

// Times and sizes of generations at an agent.
const (
	// retainFor is how long an attempt is kept after it ended and its last
	// reader left.
	retainFor = 30 * time.Second
	// maxPlaces bounds the table of generations that have moved.
	maxPlaces = 1 << 16
)

// registry is what an agent holds of generations.
type registry struct {
	// end ends all attempts, when the agent ends.
	end    context.CancelFunc
	life   context.Context //nolint:containedctx // It is the life of the agent.
	memory *savorypinresume.Memory
	places *savorypinresume.Places
	runs   map[savorypinmember.Attempt]*run
	terms  map[savorypin.GenerationID]uint64
}

// registerGenerations registers what entries ask about generations.
func (a *Agent) registerGenerations() {
	settings := a.daemon.Settings()
	a.memory = savorypinresume.NewMemory(savorypinresume.MemoryConfig{
		Bytes:  settings.AnswerMemory(),
		Evict:  a.evict,
		Object: settings.Name,
	})
	a.life, a.end = context.WithCancel(context.Background())
	a.places = savorypinresume.NewPlaces(maxPlaces)
	a.runs = map[savorypinmember.Attempt]*run{}
	a.terms = map[savorypin.GenerationID]uint64{}
	a.daemon.Handle(savorypinmember.FrameAttach, a.handleAttach)
	a.daemon.Handle(savorypinmember.FrameDrop, savorypinmember.HandleCall(a.handleDrop))
	a.daemon.Handle(savorypinmember.FrameFind, savorypinmember.HandleCall(a.handleFind))
	a.daemon.Handle(savorypinmember.FramePlace, savorypinmember.HandleCall(a.handlePlace))
	a.daemon.Handle(savorypinmember.FrameStart, a.handleStart)
	registry := a.daemon.Metrics()
	metrics.NewRegisteredFunctionalGauge("answers.bytes", registry, func() int64 { return int64(a.memory.Used()) })
	metrics.NewRegisteredFunctionalGauge("answers.limit", registry, func() int64 { return int64(a.memory.Limit()) })
	metrics.NewRegisteredFunctionalGauge("places", registry, func() int64 { return int64(a.places.Len()) })
}

func (a *Agent) handleStart(ctx context.Context, s *savorypinmember.Stream, first savorypinmember.Frame) error {
	start, err := savorypinmember.Decode[savorypinmember.Start](first)
	if err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "start", "%w", err)
	}
	r, err := a.begin(start)
	if err != nil {
		return err
	}
	return r.serve(ctx, s, reader{next: len(start.Delivered), term: start.Attempt.ID.Term, window: start.Window})
}

func (a *Agent) handleAttach(ctx context.Context, s *savorypinmember.Stream, first savorypinmember.Frame) error {
	attach, err := savorypinmember.Decode[savorypinmember.Attach](first)
	if err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "attach", "%w", err)
	}
	a.mu.Lock()
	r, ok := a.runs[attach.Attempt]
	err = a.raiseTerm(attach.Attempt.Generation, attach.Term)
	a.mu.Unlock()
	switch {
	case !ok:
		return savorypin.Errorf(savorypin.KindNotFound, string(attach.Attempt.Generation), "attempt %s is not here", attach.Attempt.ID)
	case err != nil:
		return err
	}
	r.supersede(attach.Term)
	// The empty batch tells the entry that the attempt lives.
	alive := savorypinmember.Tokens{Attempt: attach.Attempt.ID, First: attach.From}
	if err := s.Send(ctx, savorypinmember.FrameTokens, &alive); err != nil {
		return nil //nolint:nilerr // The reader has gone; it attaches again if it lives.
	}
	return r.serve(ctx, s, reader{next: attach.From, term: attach.Term, window: attach.Window})
}

// raiseTerm refuses entries that have lost a generation to one with a higher
// term. The caller holds a.mu.
func (a *Agent) raiseTerm(id savorypin.GenerationID, term uint64) error {
	if term < a.terms[id] {
		return savorypin.Errorf(savorypin.KindConflict, string(id), "another entry has taken over")
	}
	a.terms[id] = term
	return nil
}

// begin starts the attempt, or returns it if it is running already.
func (a *Agent) begin(start savorypinmember.Start) (*run, error) {
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
	held, ok := a.runs[start.Attempt]
	err := a.raiseTerm(start.Attempt.Generation, start.Attempt.ID.Term)
	if ok || err != nil {
		a.memory.Release(size)
		return held, err
	}
	r := newRun(start, size)
	a.runs[start.Attempt] = r
	ctx, cancel := context.WithDeadline(a.life, r.deadline)
	r.cancel = cancel
	go func() {
		r.generate(ctx, e.engine)
		a.shrink(r)
	}()
	return r, nil
}

// shrink gives back the memory that an attempt has reserved and not used.
func (a *Agent) shrink(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if unused := r.size - r.bytes(); unused > 0 {
		a.memory.Release(unused)
		r.size -= unused
	}
}

// sweepGenerations drops what has been kept for long enough.
func (a *Agent) sweepGenerations(now time.Time) {
	a.places.Sweep(now)
	grace := a.daemon.Settings().Grace()
	a.dropRuns(func(r *run) bool { return r.abandoned(now, grace) })
}

// evict drops the finished attempts that nobody reads.
func (a *Agent) evict() {
	a.dropRuns((*run).finished)
}

// dropRuns ends and forgets attempts.
func (a *Agent) dropRuns(drop func(*run) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	terms := map[savorypin.GenerationID]uint64{}
	for id, r := range a.runs {
		if drop(r) {
			r.cancel()
			a.memory.Release(r.size)
			r.size = 0
			delete(a.runs, id)
			continue
		}
		terms[id.Generation] = a.terms[id.Generation]
	}
	a.terms = terms
}

// handOver ends all attempts at their index, so that entries go on with them
// at other endpoints.
func (a *Agent) handOver() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		r.handOver()
	}
}
