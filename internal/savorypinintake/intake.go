// Package savorypinintake knows which endpoints take new requests, beyond what
// the platform's list of endpoints says at the moment: those that said in an answer
// that they stop, those that asked for a pause, and those that had left before the
// platform's store returned from an older copy. It uses no network and no clock of
// its own.
package savorypinintake

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
)

// Settings of the intake.
const (
	// lastResortPart is the part of the drain delay for which an endpoint that stops
	// is used if there is no other.
	lastResortPart = 0.5
	// rampMost bounds the time after a pause in which an endpoint gets a growing
	// share of the requests; it is as long as the pause at the most.
	rampMost = 2 * time.Second
	// spreadLeast is the least time over which the return of refused callers is
	// spread; longer pauses spread it over spreadPart of them.
	spreadLeast = 200 * time.Millisecond
	spreadPart  = 0.25
	// rememberTime is how long an incarnation is remembered that is listed no more.
	rememberTime = 10 * time.Minute
	// mostRemembered bounds the incarnations that are remembered.
	mostRemembered = 8192
)

// State says whether an endpoint takes new requests.
type State string

// The states, in sorted order.
const (
	// StateClosed means that it gets none.
	StateClosed State = "closed"
	// StateLastResort means that it gets them if there is no other.
	StateLastResort State = "last resort"
	// StateOpen means that it gets them.
	StateOpen State = "open"
)

// Config configures a Register.
type Config struct {
	// Chance returns a random number from 0 up to 1; nil means math/rand.
	Chance func() float64
	// DrainDelay is the time after which an endpoint that stops gets no requests.
	DrainDelay time.Duration
	// LapseTime is the time after which the entry of a lost endpoint is gone from the
	// list.
	LapseTime time.Duration
	// Now is the clock.
	Now func() time.Time
}

// entry is what is known of an incarnation.
type entry struct {
	// drainedAt is when it was first listed as draining; zero if it was not. It does
	// not take new requests again.
	drainedAt time.Time
	// gone says that it is not listed, and goneEra in which era of the store it was
	// listed last.
	gone    bool
	goneEra int64
	// leftAt is when it said that it stops; zero if it did not.
	leftAt time.Time
	// pausedAt and pausedUntil bound the pause that it asked for last.
	pausedAt    time.Time
	pausedUntil time.Time
	// relistedAt is when it was listed again in a later era than it was gone in.
	relistedAt time.Time
	// seenAt is when something was noted last.
	seenAt time.Time
}

// Register holds the incarnations that do not simply take requests. It is safe for
// concurrent use, and requests read it without locks.
type Register struct {
	cfg     Config
	entries atomic.Pointer[map[savorypinfleet.Incarnation]entry]

	// mu serialises changes.
	mu  sync.Mutex
	era int64
}

// New returns a register in which all endpoints take requests.
func New(cfg Config) *Register {
	if cfg.Chance == nil {
		cfg.Chance = rand.Float64
	}
	r := &Register{cfg: cfg}
	r.entries.Store(&map[savorypinfleet.Incarnation]entry{})
	return r
}

// change lets some entries be changed. The caller holds r.mu.
func (r *Register) change(do func(entries map[savorypinfleet.Incarnation]entry)) {
	entries := maps.Clone(*r.entries.Load())
	do(entries)
	r.prune(entries)
	r.entries.Store(&entries)
}

// prune drops entries that have become old, and any if there are too many.
func (r *Register) prune(entries map[savorypinfleet.Incarnation]entry) {
	now := r.cfg.Now()
	for incarnation, known := range entries {
		if known.gone && now.Sub(known.seenAt) > rememberTime || len(entries) > mostRemembered {
			delete(entries, incarnation)
		}
	}
}

// note changes the entry of one endpoint.
func (r *Register) note(e *savorypinfleet.Endpoint, do func(*entry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.change(func(entries map[savorypinfleet.Incarnation]entry) {
		known := entries[e.Incarnation()]
		known.seenAt = r.cfg.Now()
		do(&known)
		entries[e.Incarnation()] = known
	})
}

// Leaves takes note that an endpoint said in an answer that it stops. It reports
// whether that is news.
func (r *Register) Leaves(e *savorypinfleet.Endpoint) bool {
	if known := r.of(e); !known.leftAt.IsZero() {
		return false
	}
	r.note(e, func(known *entry) { known.leftAt = r.cfg.Now() })
	return true
}

// Pause takes note that an endpoint wants no requests for some time. It reports
// whether the endpoint took requests until now.
func (r *Register) Pause(e *savorypinfleet.Endpoint, d time.Duration) bool {
	now := r.cfg.Now()
	paused := now.Before(r.of(e).pausedUntil)
	r.note(e, func(known *entry) {
		if !paused {
			known.pausedAt = now
		}
		if until := now.Add(d); until.After(known.pausedUntil) {
			known.pausedUntil = until
		}
	})
	return !paused
}

// Listed takes note of a new list of endpoints, which the store gave in an era.
// Within an era an endpoint may lapse and be listed again. In a later era the list
// may be an old one: who had left by the earlier list stays out, for good if it was
// draining, and else until a dead endpoint's entry would have lapsed again.
func (r *Register) Listed(old, next *savorypinfleet.Directory, era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	draining, gone := next.Draining(old), old.Without(next)
	if len(draining) == 0 && len(gone) == 0 && len(*r.entries.Load()) == 0 {
		r.era = max(r.era, era)
		return
	}
	now := r.cfg.Now()
	r.change(func(entries map[savorypinfleet.Incarnation]entry) {
		for _, e := range draining {
			known := entries[e.Incarnation()]
			if known.drainedAt.IsZero() {
				known.drainedAt = now
			}
			known.seenAt = now
			entries[e.Incarnation()] = known
		}
		for _, e := range gone {
			known := entries[e.Incarnation()]
			known.gone, known.goneEra, known.seenAt = true, r.era, now
			entries[e.Incarnation()] = known
		}
		for _, e := range next.All() {
			known, ok := entries[e.Incarnation()]
			if !ok || !known.gone {
				continue
			}
			if era > known.goneEra {
				known.relistedAt = now
			}
			known.gone = false
			entries[e.Incarnation()] = known
		}
	})
	r.era = max(r.era, era)
}

func (r *Register) of(e *savorypinfleet.Endpoint) entry {
	return (*r.entries.Load())[e.Incarnation()]
}

// State returns whether an endpoint takes new requests now. After a pause the
// answer is left to chance for a while, so that not all requests come at once.
func (r *Register) State(e *savorypinfleet.Endpoint) State {
	entries := *r.entries.Load()
	if len(entries) == 0 {
		return StateOpen
	}
	known, ok := entries[e.Incarnation()]
	if !ok {
		return StateOpen
	}
	return r.state(known, r.cfg.Now())
}

func (r *Register) state(known entry, now time.Time) State {
	switch {
	case now.Before(known.pausedUntil):
		return StateClosed
	case !known.relistedAt.IsZero() && now.Sub(known.relistedAt) < r.cfg.LapseTime:
		return StateClosed
	case !known.leftAt.IsZero(), !known.drainedAt.IsZero():
		return r.leavingState(known, now)
	case r.ramping(known, now):
		return StateLastResort
	}
	return StateOpen
}

// leavingState is the state of an endpoint that stops.
func (r *Register) leavingState(known entry, now time.Time) State {
	most := time.Duration(lastResortPart * float64(r.cfg.DrainDelay))
	for _, at := range []time.Time{known.leftAt, known.drainedAt} {
		if !at.IsZero() && now.Sub(at) >= most {
			return StateClosed
		}
	}
	return StateLastResort
}

// ramping reports whether a request is not for an endpoint whose pause has ended,
// since its share still grows.
func (r *Register) ramping(known entry, now time.Time) bool {
	ramp := min(rampMost, known.pausedUntil.Sub(known.pausedAt))
	since := now.Sub(known.pausedUntil)
	return ramp > 0 && since < ramp && r.cfg.Chance() >= float64(since)/float64(ramp)
}

// Held returns how many of the endpoints of a list do not simply take requests.
func (r *Register) Held(d *savorypinfleet.Directory) int {
	held := 0
	for _, e := range d.All() {
		if r.State(e) != StateOpen {
			held++
		}
	}
	return held
}

// Paused reports whether an endpoint has asked for a pause that lasts.
func (r *Register) Paused(e *savorypinfleet.Endpoint) bool {
	return r.cfg.Now().Before(r.of(e).pausedUntil)
}

// Reopens returns when a caller may come back if all of some endpoints have asked
// for a pause: after the first of the pauses, spread over a while so that callers do
// not come all at once. It returns false if any of them has not.
func (r *Register) Reopens(endpoints []*savorypinfleet.Endpoint) (time.Duration, bool) {
	now := r.cfg.Now()
	var first time.Duration
	for i, e := range endpoints {
		left := r.of(e).pausedUntil.Sub(now)
		if left <= 0 {
			return 0, false
		}
		if i == 0 || left < first {
			first = left
		}
	}
	if first == 0 {
		return 0, false
	}
	spread := max(spreadLeast, time.Duration(spreadPart*float64(first)))
	return first + time.Duration(r.cfg.Chance()*float64(spread)), true
}
