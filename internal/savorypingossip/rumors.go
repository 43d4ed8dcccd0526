package savorypingossip

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Settings of rumors.
const (
	// refreshBeats is after how many heartbeats a part is told again that has not
	// changed, for gateways that missed it or have just started.
	refreshBeats = 3
	// rumorBytes bounds the body of a rumor.
	rumorBytes = 8 << 10
	// headBytesMost bounds what a rumor takes beside its body.
	headBytesMost = 96
)

// rumorKey names what a rumor replaces.
type rumorKey struct {
	origin string
	part   Part
}

// heldRumor is a rumor with when it was heard.
type heldRumor struct {
	at time.Time
	// passed says that it was passed on in a round. With the receivers of one round it
	// reaches nearly all; the refresh reaches the rest.
	passed bool
	rumor  Rumor
}

// Pace is how often a part is told.
type Pace struct {
	// Least is the least time between two tellings.
	Least time.Duration
	// Refresh is after how long a part is told again that has not changed.
	Refresh time.Duration
}

// paceOf returns the pace of a part for a time between two heartbeats.
func paceOf(part Part, beat time.Duration) Pace {
	switch part {
	case PartAlive:
		return Pace{Least: beat, Refresh: beat}
	case PartBudget:
		return Pace{Least: beat, Refresh: refreshBeats * beat}
	case PartWork:
		// It changes often: large fleets, whose beat is longer, tell of it less often.
		return Pace{Least: (beat - beatLeast) * 3 / 4, Refresh: refreshBeats * beat}
	case PartFailure, PartRollout:
	}
	return Pace{Refresh: refreshBeats * beat}
}

// RumorsConfig configures Rumors.
type RumorsConfig struct {
	// Now is the clock.
	Now func() time.Time
	// Origin and Started are those of this gateway.
	Origin  string
	Started int64
	// Stale is the age from which a rumor is ignored.
	Stale func() time.Duration
}

// Rumors holds the newest rumors and knows which are to be passed on. It is safe
// for concurrent use.
type Rumors struct {
	cfg RumorsConfig

	mu   sync.Mutex
	held map[rumorKey]*heldRumor
}

// NewRumors returns rumors of which none was heard.
func NewRumors(cfg RumorsConfig) *Rumors {
	return &Rumors{cfg: cfg, held: map[rumorKey]*heldRumor{}}
}

// Tell lets a part of what this gateway tells spread at its pace. A part that is
// empty is told once.
func (r *Rumors) Tell(part Part, news News, pace Pace) error {
	body, err := msgpack.Marshal(news)
	if err != nil {
		return fmt.Errorf("encode news of %s: %w", part, err)
	}
	if len(body) > rumorBytes {
		return fmt.Errorf("news of %s have %d bytes of at most %d", part, len(body), rumorBytes)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := rumorKey{origin: r.cfg.Origin, part: part}
	old, told := r.held[key]
	if !due(old, body, pace, r.cfg.Now()) {
		return nil
	}
	serial := uint64(1)
	if told {
		serial = old.rumor.Serial + 1
	}
	r.held[key] = &heldRumor{at: r.cfg.Now(), rumor: Rumor{
		Body: body, Origin: r.cfg.Origin, Part: part, Serial: serial, Started: r.cfg.Started,
	}}
	return nil
}

// due reports whether a part is to be told, given what was told last; nil for
// nothing.
func due(last *heldRumor, body []byte, pace Pace, now time.Time) bool {
	empty := bytes.Equal(body, emptyNews)
	if last == nil {
		return !empty
	}
	wait := pace.Least
	if bytes.Equal(last.rumor.Body, body) {
		if empty {
			return false
		}
		wait = pace.Refresh
	}
	return now.Sub(last.at) >= wait
}

// emptyNews is how news without content are encoded: a map without entries.
var emptyNews = []byte{0x80}

// Newer reports whether a rumor can be used and is newer than what is known.
func (r *Rumors) Newer(rumor Rumor) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newer(rumor)
}

func (r *Rumors) newer(rumor Rumor) bool {
	if rumor.Origin == r.cfg.Origin || rumor.Age < 0 || time.Duration(rumor.Age) >= r.cfg.Stale() ||
		len(rumor.Body) > rumorBytes || !slices.Contains(parts, rumor.Part) {
		return false
	}
	old, ok := r.held[rumorKey{origin: rumor.Origin, part: rumor.Part}]
	switch {
	case !ok:
		return len(r.held) < len(parts)*maxPeers
	case rumor.Started == old.rumor.Started:
		return rumor.Serial > old.rumor.Serial
	default:
		// The order of incarnations is by the time of day, which may have been set
		// back. What an earlier one has told is not passed on for so long.
		return rumor.Started > old.rumor.Started || r.cfg.Now().Sub(old.at) >= r.cfg.Stale()
	}
}

// Hear takes over a rumor that is newer than what is known. It reports whether it
// was, so that it has to be acted on.
func (r *Rumors) Hear(rumor Rumor) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.newer(rumor) {
		return false
	}
	r.held[rumorKey{origin: rumor.Origin, part: rumor.Part}] = &heldRumor{at: r.cfg.Now(), rumor: rumor}
	return true
}

// Round returns the rumors to be passed on in a round, the most important ones
// first, which take no more than a number of bytes. Others wait for the next
// round.
func (r *Rumors) Round(most int) []Rumor {
	return r.take(most, func(h *heldRumor) bool { return !h.passed }, func(h *heldRumor) { h.passed = true })
}

// All returns rumors for a gateway that has just started, whether they are to be
// passed on or not.
func (r *Rumors) All(most int) []Rumor {
	now, stale := r.cfg.Now(), r.cfg.Stale()
	fresh := func(h *heldRumor) bool { return time.Duration(h.rumor.Age)+now.Sub(h.at) < stale }
	return r.take(most, fresh, func(*heldRumor) {})
}

func (r *Rumors) take(most int, wanted func(*heldRumor) bool, taken func(*heldRumor)) []Rumor {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	r.forget(now)
	var rumors []Rumor
	for _, h := range r.ordered(wanted) {
		most -= len(h.rumor.Body) + headBytesMost
		if most < 0 {
			break
		}
		taken(h)
		rumor := h.rumor
		rumor.Age += Age(now.Sub(h.at))
		rumors = append(rumors, rumor)
	}
	return rumors
}

// forget drops the rumors of gateways that have long been silent. The caller holds
// r.mu.
func (r *Rumors) forget(now time.Time) {
	for key, h := range r.held {
		if key.origin != r.cfg.Origin && now.Sub(h.at) > forgetTime {
			delete(r.held, key)
		}
	}
}

// ordered returns the rumors that are wanted, the most important ones first and
// among those the ones that wait longest. The caller holds r.mu.
func (r *Rumors) ordered(wanted func(*heldRumor) bool) []*heldRumor {
	var held []*heldRumor
	for _, h := range r.held {
		if wanted(h) {
			held = append(held, h)
		}
	}
	slices.SortFunc(held, func(a, b *heldRumor) int {
		return cmp.Or(
			cmp.Compare(slices.Index(parts, a.rumor.Part), slices.Index(parts, b.rumor.Part)),
			a.at.Compare(b.at),
			cmp.Compare(a.rumor.Origin, b.rumor.Origin),
		)
	})
	return held
}
