package savorypinentry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinresume"
)

const (
	// evictInterval is how often memory for new answers is looked for among the
	// old ones, at most.
	evictInterval = 100 * time.Millisecond
	// gateInterval is how often waiting resumes are tried again.
	gateInterval = 50 * time.Millisecond
	// sweepInterval is how often relays without readers are looked for.
	sweepInterval = time.Second
)

// registerGenerations sets up what an entry needs to relay generations.
func (e *Entry) registerGenerations() {
	e.exhaustive = make(chan struct{}, findExhaustive)
	e.gate = savorypinresume.NewGate(savorypinresume.GateConfig{Horizon: resumeHorizon})
	e.memory = savorypinresume.NewMemory(savorypinresume.MemoryConfig{
		Bytes:  e.cfg.Settings.AnswerMemory(),
		Evict:  e.evict,
		Object: e.cfg.Settings.Name,
	})
	registry := e.daemon.Metrics()
	metrics.NewRegisteredFunctionalGauge("answers.bytes", registry, func() int64 { return int64(e.memory.Used()) })
	metrics.NewRegisteredFunctionalGauge("answers.limit", registry, func() int64 { return int64(e.memory.Limit()) })
	metrics.NewRegisteredFunctionalGauge("resume.waiting", registry, func() int64 { return int64(e.gate.Waiting()) })
	e.daemon.Background(func(ctx context.Context) {
		savorypinloop.Every(ctx, sweepInterval, func() { e.sweep(time.Now()) })
	})
	e.daemon.Background(func(ctx context.Context) {
		savorypinloop.Every(ctx, gateInterval, e.gate.Tick)
	})
}

// sweep cancels generations that nobody reads, and forgets old ones.
func (e *Entry) sweep(now time.Time) {
	e.forget(func(r *Relay) bool { return r.sweep(now) })
}

// evict forgets the answers that have ended and that nobody reads.
func (e *Entry) evict() {
	now := time.Now().UnixNano()
	last := e.evicted.Load()
	if now-last < int64(evictInterval) || !e.evicted.CompareAndSwap(last, now) {
		return
	}
	e.forget((*Relay).idle)
}

// forget forgets relays. It holds no lock while it asks which.
func (e *Entry) forget(forgettable func(*Relay) bool) {
	for _, r := range e.allRelays() {
		if !forgettable(r) {
			continue
		}
		e.mu.Lock()
		held := e.relays[r.gen.ID] == r
		if held {
			delete(e.relays, r.gen.ID)
		}
		e.mu.Unlock()
		if held {
			r.releaseMemory()
		}
	}
}

// Hold keeps a planned stop from ending until release is called.
func (e *Entry) Hold() (release func()) {
	hold := func(n int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.calls += n
	}
	hold(1)
	return func() { hold(-1) }
}

// handOver lets callers attach to their generations through other entries. The
// attempts go on at their agents. A generation stays while no agent holds all
// of it, as between two attempts, and while a caller waits for its whole answer
// here.
func (e *Entry) handOver() {
	for _, r := range e.allRelays() {
		r.mu.Lock()
		if r.anchored() && !r.stays() {
			r.do(r.machine.HandOver())
		}
		r.mu.Unlock()
	}
}

// anchored reports whether an agent that goes on holds the whole generation.
// The caller holds r.mu.
func (r *Relay) anchored() bool {
	for _, s := range r.streams {
		if s.clock.tokens > 0 {
			return true
		}
	}
	return r.machine.End() != nil
}

// allRelays returns the relays of this entry.
func (e *Entry) allRelays() []*Relay {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.relays))
}

// count adds to a counter.
func (e *Entry) count(name string, n int) {
	e.counters.count(name, int64(n))
}

// countAttempt counts what an attempt after the first costs beyond a clean
// run.
func (e *Entry) countAttempt(s *stream, gen savorypin.Generation, log *savorypinresume.Log) {
	if s.purpose == savorypin.PurposeFirst {
		return
	}
	e.count("resume.attempts."+string(s.purpose), 1)
	e.count("resume.prefill_tokens", len(gen.Prompt)/bytesPerPromptToken+log.Len())
	e.countBytes(s, len(gen.Prompt)+log.Bytes())
}

// countBytes counts the bytes of resumes that cross regions.
func (e *Entry) countBytes(s *stream, n int) {
	if s.purpose == savorypin.PurposeFirst || s.candidate.Member().Region == e.cfg.Settings.Region {
		return
	}
	e.count("resume.cross_region_bytes", n)
}
