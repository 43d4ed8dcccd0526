// Package savorypinadmission tracks the endpoints that should not get new requests
// although the platform's endpoint list contains them as ready: those that announced in
// a response that they are stopping, those that asked for a pause, and those that had
// left before the platform's store was restored from an older copy. It does no network
// I/O and takes the time from its configuration.
package savorypinadmission

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
)

const (
	// lastResortRatio is the fraction of the drain delay for which a stopping endpoint is
	// still used if there is no other.
	lastResortRatio = 0.5
	// maxRamp limits the time after a pause in which an endpoint gets a growing share of
	// the requests. The ramp is at most as long as the pause.
	maxRamp = 2 * time.Second
	// minRetrySpread is the minimum time over which retries of refused callers are
	// spread; after longer pauses it is retrySpreadRatio of the pause.
	minRetrySpread   = 200 * time.Millisecond
	retrySpreadRatio = 0.25
	// recordRetention is how long the record of an incarnation that is no longer listed
	// is kept.
	recordRetention = 10 * time.Minute
	// maxRecords is the maximum number of incarnations with a record.
	maxRecords = 8192
)

// State is whether an endpoint accepts new requests.
type State string

// The states of an endpoint.
const (
	// StateClosed means that the endpoint gets no new requests.
	StateClosed State = "closed"
	// StateLastResort means that the endpoint gets new requests only if there is no
	// other.
	StateLastResort State = "last resort"
	// StateOpen means that the endpoint gets new requests.
	StateOpen State = "open"
)

// Config configures a Registry.
type Config struct {
	// Random returns a random number in [0, 1); nil means math/rand.
	Random func() float64
	// DrainDelay is the time after which a stopping endpoint must get no more requests.
	// The Registry closes the endpoint after lastResortRatio of it.
	DrainDelay time.Duration
	// EntryTimeout is the time after which the entry of a lost endpoint is removed from
	// the list.
	EntryTimeout time.Duration
	// Now returns the current time.
	Now func() time.Time
}

// record is the known state of one incarnation of an endpoint. Times are zero for none.
type record struct {
	// drainedAt is when the endpoint was first listed as draining. This incarnation gets
	// no new requests even if it is listed as ready later.
	drainedAt time.Time
	// unlisted is true if the endpoint is not in the list; lastListedEra is the store era
	// in which it was listed last.
	unlisted      bool
	lastListedEra int64
	// stoppingAt is when the endpoint announced that it is stopping.
	stoppingAt time.Time
	// pausedAt and pausedUntil are the start and the end of the last pause that the
	// endpoint asked for.
	pausedAt    time.Time
	pausedUntil time.Time
	// relistedAt is when the endpoint was listed again in a later store era than the one
	// in which it was removed.
	relistedAt time.Time
	// updatedAt is when the record last changed, other than by the endpoint being listed
	// again.
	updatedAt time.Time
}

// Registry records the incarnations of endpoints that may not accept requests normally.
// It is safe for concurrent use; reads take no locks.
type Registry struct {
	cfg     Config
	records atomic.Pointer[map[savorypinfleet.Incarnation]record]

	// mu serialises changes of records and guards era.
	mu  sync.Mutex
	era int64
}

// New returns a Registry in which all endpoints are open.
func New(cfg Config) *Registry {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	r := &Registry{cfg: cfg}
	r.records.Store(&map[savorypinfleet.Incarnation]record{})
	return r
}

// updateRecords replaces the records by a copy to which update was applied. The caller
// must hold r.mu.
func (r *Registry) updateRecords(update func(records map[savorypinfleet.Incarnation]record)) {
	records := maps.Clone(*r.records.Load())
	update(records)
	r.prune(records)
	r.records.Store(&records)
}

// prune removes expired records, and arbitrary ones while there are more than
// maxRecords.
func (r *Registry) prune(records map[savorypinfleet.Incarnation]record) {
	now := r.cfg.Now()
	for incarnation, rec := range records {
		if rec.unlisted && now.Sub(rec.updatedAt) > recordRetention || len(records) > maxRecords {
			delete(records, incarnation)
		}
	}
}

// updateRecord applies update to the record of one endpoint.
func (r *Registry) updateRecord(e *savorypinfleet.Endpoint, update func(*record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateRecords(func(records map[savorypinfleet.Incarnation]record) {
		rec := records[e.Incarnation()]
		rec.updatedAt = r.cfg.Now()
		update(&rec)
		records[e.Incarnation()] = rec
	})
}

// MarkStopping records that an endpoint announced in a response that it is stopping. It
// reports whether this is new.
func (r *Registry) MarkStopping(e *savorypinfleet.Endpoint) bool {
	if rec := r.recordOf(e); !rec.stoppingAt.IsZero() {
		return false
	}
	r.updateRecord(e, func(rec *record) { rec.stoppingAt = r.cfg.Now() })
	return true
}

// Pause records that an endpoint asked for no requests for the duration d. It reports
// whether the endpoint was not paused before.
func (r *Registry) Pause(e *savorypinfleet.Endpoint, d time.Duration) bool {
	now := r.cfg.Now()
	alreadyPaused := now.Before(r.recordOf(e).pausedUntil)
	r.updateRecord(e, func(rec *record) {
		if !alreadyPaused {
			rec.pausedAt = now
		}
		if until := now.Add(d); until.After(rec.pausedUntil) {
			rec.pausedUntil = until
		}
	})
	return !alreadyPaused
}

// UpdateList records a new endpoint list that the store returned in the given era. An
// endpoint that is listed again within an era had only lapsed and is treated as before.
// The list of a later era may come from an old copy of the store and contain endpoints
// that have left since. An endpoint that had been removed in an earlier era is therefore
// closed for EntryTimeout, after which its entry lapses again if the endpoint is lost,
// and one that was draining is never open again.
func (r *Registry) UpdateList(old, next *savorypinfleet.Directory, era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	draining, removed := next.NewlyDraining(old), old.Difference(next)
	if len(draining) == 0 && len(removed) == 0 && len(*r.records.Load()) == 0 {
		r.era = max(r.era, era)
		return
	}
	now := r.cfg.Now()
	r.updateRecords(func(records map[savorypinfleet.Incarnation]record) {
		for _, e := range draining {
			rec := records[e.Incarnation()]
			if rec.drainedAt.IsZero() {
				rec.drainedAt = now
			}
			rec.updatedAt = now
			records[e.Incarnation()] = rec
		}
		for _, e := range removed {
			rec := records[e.Incarnation()]
			rec.unlisted, rec.lastListedEra, rec.updatedAt = true, r.era, now
			records[e.Incarnation()] = rec
		}
		for _, e := range next.All() {
			rec, ok := records[e.Incarnation()]
			if !ok || !rec.unlisted {
				continue
			}
			if era > rec.lastListedEra {
				rec.relistedAt = now
			}
			rec.unlisted = false
			records[e.Incarnation()] = rec
		}
	})
	r.era = max(r.era, era)
}

func (r *Registry) recordOf(e *savorypinfleet.Endpoint) record {
	return (*r.records.Load())[e.Incarnation()]
}

// State returns whether an endpoint accepts new requests now. For a while after a pause
// the result is random, so that not all requests arrive at once.
func (r *Registry) State(e *savorypinfleet.Endpoint) State {
	records := *r.records.Load()
	if len(records) == 0 {
		return StateOpen
	}
	rec, ok := records[e.Incarnation()]
	if !ok {
		return StateOpen
	}
	return r.state(rec, r.cfg.Now())
}

func (r *Registry) state(rec record, now time.Time) State {
	switch r.hold(rec, now) {
	case HoldPaused, HoldRelisted:
		return StateClosed
	case HoldStopping:
		return r.stoppingState(rec, now)
	case HoldRamp:
		if r.skippedByRamp(rec, now) {
			return StateLastResort
		}
	case HoldNone:
	}
	return StateOpen
}

// stoppingState returns the state of a stopping endpoint.
func (r *Registry) stoppingState(rec record, now time.Time) State {
	limit := time.Duration(lastResortRatio * float64(r.cfg.DrainDelay))
	for _, at := range []time.Time{rec.stoppingAt, rec.drainedAt} {
		if !at.IsZero() && now.Sub(at) >= limit {
			return StateClosed
		}
	}
	return StateLastResort
}

// ramp returns the time after a pause in which the share of an endpoint grows, and the part of it
// that has passed.
func (rec record) ramp(now time.Time) (ramp, elapsed time.Duration) {
	return min(maxRamp, rec.pausedUntil.Sub(rec.pausedAt)), now.Sub(rec.pausedUntil)
}

// skippedByRamp reports whether a request skips an endpoint whose share of the requests
// is still growing after a pause.
func (r *Registry) skippedByRamp(rec record, now time.Time) bool {
	ramp, elapsed := rec.ramp(now)
	return r.cfg.Random() >= float64(elapsed)/float64(ramp)
}

// CountNotOpen returns the number of endpoints in a directory that are not open.
func (r *Registry) CountNotOpen(d *savorypinfleet.Directory) int {
	count := 0
	for _, e := range d.All() {
		if r.State(e) != StateOpen {
			count++
		}
	}
	return count
}

// Paused reports whether an endpoint is in a pause that it asked for.
func (r *Registry) Paused(e *savorypinfleet.Endpoint) bool {
	return r.cfg.Now().Before(r.recordOf(e).pausedUntil)
}

// RetryAfter returns the time after which a caller may retry if all given endpoints are
// paused: the time to the end of the first pause plus a random delay, so that callers do
// not return all at once. It returns false if endpoints is empty or any of them is not
// paused.
func (r *Registry) RetryAfter(endpoints []*savorypinfleet.Endpoint) (time.Duration, bool) {
	now := r.cfg.Now()
	var shortest time.Duration
	for i, e := range endpoints {
		remaining := r.recordOf(e).pausedUntil.Sub(now)
		if remaining <= 0 {
			return 0, false
		}
		if i == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	if shortest == 0 {
		return 0, false
	}
	return r.Spread(shortest), true
}

// Spread returns a delay plus a random one, so that callers do not return all at once.
func (r *Registry) Spread(delay time.Duration) time.Duration {
	spread := max(minRetrySpread, time.Duration(retrySpreadRatio*float64(delay)))
	return delay + time.Duration(r.cfg.Random()*float64(spread))
}
