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
	// evictInterval is the minimum interval between two evictions of ended answers.
	evictInterval = 100 * time.Millisecond
	// placementRetryInterval is how often the placement of waiting resumes is retried.
	placementRetryInterval = 50 * time.Millisecond
	// sweepInterval is how often relays without readers are swept.
	sweepInterval = time.Second
)

// registerGenerations sets up the relaying of generations and registers its metrics
// and background loops.
func (e *Entry) registerGenerations() {
	e.fullSearchSlots = make(chan struct{}, maxFullSearches)
	e.resumeQueue = savorypinresume.NewResumeQueue(savorypinresume.ResumeQueueConfig{MaxPrefillBacklog: maxPrefillBacklog})
	e.memory = savorypinresume.NewMemory(savorypinresume.MemoryConfig{
		Bytes:  e.cfg.Settings.AnswerMemory(),
		Evict:  e.evict,
		Object: e.cfg.Settings.Name,
	})
	registry := e.daemon.Metrics()
	metrics.NewRegisteredFunctionalGauge("answers.bytes", registry, func() int64 { return int64(e.memory.Used()) })
	metrics.NewRegisteredFunctionalGauge("answers.limit", registry, func() int64 { return int64(e.memory.Limit()) })
	metrics.NewRegisteredFunctionalGauge("resume.waiting", registry, func() int64 { return int64(e.resumeQueue.Waiting()) })
	e.daemon.Background(func(ctx context.Context) {
		savorypinloop.Every(ctx, sweepInterval, func() { e.sweep(time.Now()) })
	})
	e.daemon.Background(func(ctx context.Context) {
		savorypinloop.Every(ctx, placementRetryInterval, e.resumeQueue.Tick)
	})
}

// sweep cancels generations without readers, and forgets old ones.
func (e *Entry) sweep(now time.Time) {
	e.forget(func(r *Relay) bool { return r.sweep(now) })
}

// evict forgets ended answers without readers, to make room for new ones.
func (e *Entry) evict() {
	now := time.Now().UnixNano()
	last := e.lastEviction.Load()
	if now-last < int64(evictInterval) || !e.lastEviction.CompareAndSwap(last, now) {
		return
	}
	e.forget((*Relay).idle)
}

// forget forgets the relays for which canForget returns true. It calls canForget
// without holding e.mu.
func (e *Entry) forget(canForget func(*Relay) bool) {
	for _, r := range e.allRelays() {
		if !canForget(r) {
			continue
		}
		e.mu.Lock()
		current := e.relays[r.gen.ID] == r
		if current {
			delete(e.relays, r.gen.ID)
		}
		e.mu.Unlock()
		if current {
			r.releaseMemory()
		}
	}
}

// HoldStop prevents a planned stop from completing until release is called. It counts
// as a running call until then.
func (e *Entry) HoldStop() (release func()) {
	hold := func(n int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.calls += n
	}
	hold(1)
	return func() { hold(-1) }
}

// handOver hands the generations over, so that callers attach to them through other
// entries. The attempts continue on their agents. A generation stays here while no
// agent holds all of its tokens, as between two attempts, and while a caller waits for
// its whole answer here.
func (e *Entry) handOver() {
	for _, r := range e.allRelays() {
		r.mu.Lock()
		if r.heldByAgent() && !r.hasWholeReader() {
			r.apply(r.machine.HandOver())
		}
		r.mu.Unlock()
	}
}

// heldByAgent reports whether the generation can be handed over: it has ended, or a
// running attempt has delivered tokens, so that its agent holds the whole answer so
// far. The caller holds r.mu.
func (r *Relay) heldByAgent() bool {
	for _, s := range r.streams {
		if s.stats.tokens > 0 {
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

// countAttempt counts the additional cost of any attempt other than the first.
func (e *Entry) countAttempt(s *stream, gen savorypin.Generation, log *savorypinresume.Log) {
	if s.purpose == savorypin.PurposeFirst {
		return
	}
	e.count("resume.attempts."+string(s.purpose), 1)
	e.count("resume.prefill_tokens", len(gen.Prompt)/bytesPerPromptToken+log.Len())
	e.countBytes(s, len(gen.Prompt)+log.Bytes())
}

// countBytes counts the bytes that any attempt other than the first transfers between
// regions.
func (e *Entry) countBytes(s *stream, n int) {
	if s.purpose == savorypin.PurposeFirst || s.candidate.Member().Region == e.cfg.Settings.Region {
		return
	}
	e.count("resume.cross_region_bytes", n)
}
