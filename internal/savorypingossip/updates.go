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

// Settings of updates.
const (
	// refreshHeartbeats is the number of heartbeat intervals after which an unchanged part is
	// published again, for gateways that missed it or have just started.
	refreshHeartbeats = 3
	// maxUpdateBodyBytes bounds the body of an update.
	maxUpdateBodyBytes = 8 << 10
	// maxUpdateHeaderBytes bounds the encoded size of the other fields of an update.
	maxUpdateHeaderBytes = 96
)

// updateKey identifies an origin and part. A newer update of the same key replaces an older one.
type updateKey struct {
	origin string
	part   Part
}

// storedUpdate is an update with the time at which it was published or received.
type storedUpdate struct {
	storedAt time.Time
	// forwarded says that it was sent in a round. One round is enough, as the receivers forward
	// the update to nearly all gateways and the refresh reaches the others.
	forwarded bool
	update    Update
}

// PublishIntervals bound how often a part is published.
type PublishIntervals struct {
	// Min is the minimum time between two updates.
	Min time.Duration
	// Refresh is the time after which an unchanged part is published again.
	Refresh time.Duration
}

// publishIntervalsOf returns the intervals of a part for a heartbeat interval.
func publishIntervalsOf(part Part, heartbeat time.Duration) PublishIntervals {
	switch part {
	case PartHeartbeat:
		return PublishIntervals{Min: heartbeat, Refresh: heartbeat}
	case PartBudget, PartLimit:
		return PublishIntervals{Min: heartbeat, Refresh: refreshHeartbeats * heartbeat}
	case PartLoad:
		// Load changes often. Large fleets, whose heartbeat interval is longer, publish it
		// less often.
		return PublishIntervals{Min: (heartbeat - minHeartbeatInterval) * 3 / 4, Refresh: refreshHeartbeats * heartbeat}
	case PartFailure, PartQuarantine, PartRollout:
	}
	return PublishIntervals{Refresh: refreshHeartbeats * heartbeat}
}

// UpdateSetConfig configures an UpdateSet.
type UpdateSetConfig struct {
	// Now returns the wall-clock time.
	Now func() time.Time
	// Origin is the address of this gateway, and Started identifies its incarnation.
	Origin  string
	Started int64
	// StaleAfter returns the age from which an update is ignored.
	StaleAfter func() time.Duration
}

// UpdateSet holds the newest updates of all gateways and tracks which are still to be
// forwarded. It is safe for concurrent use.
type UpdateSet struct {
	cfg UpdateSetConfig

	mu      sync.Mutex
	updates map[updateKey]*storedUpdate
}

// NewUpdateSet returns an empty UpdateSet.
func NewUpdateSet(cfg UpdateSetConfig) *UpdateSet {
	return &UpdateSet{cfg: cfg, updates: map[updateKey]*storedUpdate{}}
}

// Publish adds an update with a part of this gateway's state, unless it was published too
// recently. An empty part is published only after a part with content. It returns an error if
// the state can't be encoded or is too long.
func (s *UpdateSet) Publish(part Part, state GatewayState, intervals PublishIntervals) error {
	body, err := msgpack.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode the %s part: %w", part, err)
	}
	if len(body) > maxUpdateBodyBytes {
		return fmt.Errorf("the %s part of %d bytes is longer than %d", part, len(body), maxUpdateBodyBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := updateKey{origin: s.cfg.Origin, part: part}
	old, published := s.updates[key]
	if !publishDue(old, body, intervals, s.cfg.Now()) {
		return nil
	}
	serial := uint64(1)
	if published {
		serial = old.update.Serial + 1
	}
	s.updates[key] = &storedUpdate{storedAt: s.cfg.Now(), update: Update{
		Body: body, Origin: s.cfg.Origin, Part: part, Serial: serial, Started: s.cfg.Started,
	}}
	return nil
}

// publishDue reports whether a part has to be published, given its last update; nil for none.
func publishDue(last *storedUpdate, body []byte, intervals PublishIntervals, now time.Time) bool {
	empty := bytes.Equal(body, emptyState)
	if last == nil {
		return !empty
	}
	interval := intervals.Min
	if bytes.Equal(last.update.Body, body) {
		if empty {
			return false
		}
		interval = intervals.Refresh
	}
	return now.Sub(last.storedAt) >= interval
}

// emptyState is the encoding of a GatewayState without content: an empty map.
var emptyState = []byte{0x80}

// IsNewer reports whether an update is valid and newer than the stored one.
func (s *UpdateSet) IsNewer(update Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isNewer(update)
}

func (s *UpdateSet) isNewer(update Update) bool {
	if update.Origin == s.cfg.Origin || update.Age < 0 || time.Duration(update.Age) >= s.cfg.StaleAfter() ||
		len(update.Body) > maxUpdateBodyBytes || !slices.Contains(parts, update.Part) {
		return false
	}
	old, ok := s.updates[updateKey{origin: update.Origin, part: update.Part}]
	switch {
	case !ok:
		return len(s.updates) < len(parts)*maxPeers
	case update.Started == old.update.Started:
		return update.Serial > old.update.Serial
	default:
		// Incarnations are ordered by wall-clock time, and the clock may have been set back.
		// Once the stored update is this old, no update of its incarnation is forwarded any
		// more, so an earlier start is that of a new incarnation.
		return update.Started > old.update.Started || s.cfg.Now().Sub(old.storedAt) >= s.cfg.StaleAfter()
	}
}

// Apply stores an update if it is newer than the stored one. It reports whether it was stored;
// the caller then has to process it.
func (s *UpdateSet) Apply(update Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isNewer(update) {
		return false
	}
	s.updates[updateKey{origin: update.Origin, part: update.Part}] = &storedUpdate{storedAt: s.cfg.Now(), update: update}
	return true
}

// TakeRound returns the updates to be sent in a round, by priority, up to a total size in
// bytes, and marks them as forwarded. Those that don't fit are left for the next round.
func (s *UpdateSet) TakeRound(maxBytes int) []Update {
	return s.collect(maxBytes, func(u *storedUpdate) bool { return !u.forwarded }, func(u *storedUpdate) { u.forwarded = true })
}

// Snapshot returns the updates that aren't stale, for a gateway that has just started, up to a
// total size in bytes. It includes those that were forwarded already.
func (s *UpdateSet) Snapshot(maxBytes int) []Update {
	now, staleAfter := s.cfg.Now(), s.cfg.StaleAfter()
	fresh := func(u *storedUpdate) bool { return time.Duration(u.update.Age)+now.Sub(u.storedAt) < staleAfter }
	return s.collect(maxBytes, fresh, func(*storedUpdate) {})
}

// collect returns the updates that include selects, by priority, up to a total size of
// remainingBytes. It calls onTake for each.
func (s *UpdateSet) collect(remainingBytes int, include func(*storedUpdate) bool, onTake func(*storedUpdate)) []Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.expire(now)
	var updates []Update
	for _, u := range s.byPriority(include) {
		remainingBytes -= len(u.update.Body) + maxUpdateHeaderBytes
		if remainingBytes < 0 {
			break
		}
		onTake(u)
		update := u.update
		update.Age += Age(now.Sub(u.storedAt))
		updates = append(updates, update)
	}
	return updates
}

// expire removes the updates of other gateways that were received longer than forgetAfter ago.
// The caller holds s.mu.
func (s *UpdateSet) expire(now time.Time) {
	for key, u := range s.updates {
		if key.origin != s.cfg.Origin && now.Sub(u.storedAt) > forgetAfter {
			delete(s.updates, key)
		}
	}
}

// byPriority returns the included updates, ordered by the priority of their part and then by
// age, the oldest first. The caller holds s.mu.
func (s *UpdateSet) byPriority(include func(*storedUpdate) bool) []*storedUpdate {
	var stored []*storedUpdate
	for _, u := range s.updates {
		if include(u) {
			stored = append(stored, u)
		}
	}
	slices.SortFunc(stored, func(a, b *storedUpdate) int {
		return cmp.Or(
			cmp.Compare(slices.Index(parts, a.update.Part), slices.Index(parts, b.update.Part)),
			a.storedAt.Compare(b.storedAt),
			cmp.Compare(a.update.Origin, b.update.Origin),
		)
	})
	return stored
}
