// Package savorypinmirror keeps a local copy of all objects of one kind in the platform's
// store. The copy is updated from the store or from other mirrors. It never goes back to older
// versions: it keeps the newest version of each object, and it remembers deletions so that an
// older version that arrives late does not restore a deleted object.
//
// If the store is restored from an older copy, it reuses versions and starts a new era. All
// versions in a mirror belong to one era. A mirror changes to a later era only by replacing its
// whole content with a list of all objects, and never changes to an earlier era.
package savorypinmirror

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// maxRemovals bounds the number of remembered deletions. A mirror that requests changes since a
// version gets all objects instead if later deletions may have been dropped.
const maxRemovals = 512

// State describes how current a mirror is.
type State struct {
	// Version is the store version up to which the copy is complete.
	Version int64
	// LastChangeVersion is the version of the newest change of the kind in the copy.
	LastChangeVersion int64
	// ConfirmedAt is when the request was sent whose response last confirmed that the copy is
	// complete, by the boot-time clock; zero for never.
	ConfirmedAt time.Duration
	// Era is the era of the store to which the versions belong.
	Era int64
	// CompactedVersion is the version after which all deletions are known. A copy made from a
	// list at a version lacks the deletions before that version.
	CompactedVersion int64
	// Revision counts the changes of the objects in this mirror. Unlike versions, revisions of
	// different mirrors are not comparable.
	Revision int64
}

// Relation is the relation of another copy to this one.
type Relation string

// The relations, in sorted order.
const (
	// RelationAhead means that the other copy has changes that this one lacks.
	RelationAhead Relation = "ahead"
	// RelationCovered means that this copy has all changes up to the version up to which the
	// other copy is complete, so that it may advance to that version.
	RelationCovered Relation = "covered"
	// RelationUnknown means that this copy may hold objects whose deletion the other copy no
	// longer remembers, or that the other copy is of an earlier era.
	RelationUnknown Relation = "unknown"
)

// Relate returns the relation of another copy, with the state other, to the copy with state s.
func (s State) Relate(other State) Relation {
	switch {
	case other.Era > s.Era:
		return RelationAhead
	case other.Era < s.Era:
		return RelationUnknown
	case other.LastChangeVersion > s.Version:
		return RelationAhead
	case other.CompactedVersion > s.Version:
		return RelationUnknown
	}
	return RelationCovered
}

// Delta holds the changes of a mirror since a version.
type Delta struct {
	// Version is the store version up to which the changes are complete.
	Version int64 `msgpack:"a"`
	// ConfirmedAt is when the copy was last confirmed, by the boot-time clock of its host; zero
	// for never. It isn't encoded, as other hosts have other clocks; its age is sent instead.
	ConfirmedAt time.Duration `msgpack:"-"`
	// Era is the era of the store to which the versions belong.
	Era int64 `msgpack:"e,omitempty"`
	// Full says that Objects are all objects of the kind, not only changes.
	Full    bool               `msgpack:"f"`
	Objects []savorypin.Object `msgpack:"o"`
	Removed []Removal          `msgpack:"r"`
}

// Removal is the deletion of an object.
type Removal struct {
	Name    string `msgpack:"n"`
	Version int64  `msgpack:"v"`
}

// Mirror is a copy of all objects of one kind. It is safe for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	objects map[string]savorypin.Object
	// removed holds the versions of remembered deletions by name.
	removed map[string]int64
	state   State
}

// New returns an empty mirror that was never confirmed.
func New() *Mirror {
	return &Mirror{objects: map[string]savorypin.Object{}, removed: map[string]int64{}}
}

// Apply applies one change. It ignores a change of another era or one that isn't newer than what
// the copy holds of the object, and reports whether the objects have changed.
func (m *Mirror) Apply(o savorypin.Object) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return o.Era == m.state.Era && m.apply(o)
}

func (m *Mirror) apply(o savorypin.Object) bool {
	if o.Deleted {
		return m.remove(Removal{Name: o.Name, Version: o.Version})
	}
	known, ok := m.objects[o.Name]
	if ok && known.Version >= o.Version || m.removed[o.Name] >= o.Version {
		return false
	}
	m.objects[o.Name] = o
	m.state.LastChangeVersion = max(m.state.LastChangeVersion, o.Version)
	m.state.Revision++
	return true
}

func (m *Mirror) remove(r Removal) bool {
	known, ok := m.objects[r.Name]
	if ok && known.Version > r.Version || m.removed[r.Name] >= r.Version {
		return false
	}
	if ok {
		delete(m.objects, r.Name)
		m.state.Revision++
	}
	m.removed[r.Name] = r.Version
	m.state.LastChangeVersion = max(m.state.LastChangeVersion, r.Version)
	m.prune()
	return ok
}

// prune drops the older half of the remembered deletions if there are more than maxRemovals.
func (m *Mirror) prune() {
	if len(m.removed) <= maxRemovals {
		return
	}
	versions := make([]int64, 0, len(m.removed))
	for _, v := range m.removed {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	m.state.CompactedVersion = max(m.state.CompactedVersion, versions[len(versions)/2])
	for name, v := range m.removed {
		if v <= m.state.CompactedVersion {
			delete(m.removed, name)
		}
	}
}

// Replace applies a list of all objects that the store made at a version of an era. Objects that
// are missing from the list are removed, unless they are newer. A list of an earlier era is
// ignored. Replace reports whether anything has changed.
func (m *Mirror) Replace(objects []savorypin.Object, at, era int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replace(objects, at, era)
}

func (m *Mirror) replace(objects []savorypin.Object, at, era int64) bool {
	switch {
	case era < m.state.Era:
		return false
	case era > m.state.Era:
		m.resetToEra(objects, at, era)
		return true
	}
	changed := false
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		changed = m.apply(o) || changed
	}
	for name, o := range m.objects {
		if !listed[name] && o.Version <= at {
			changed = m.remove(Removal{Name: name, Version: at}) || changed
		}
	}
	// A list lacks the deletions of objects that this copy has never held.
	m.state.CompactedVersion = max(m.state.CompactedVersion, at)
	m.state.Version = max(m.state.Version, at)
	return changed
}

// resetToEra replaces the whole content with a list of a later era. ConfirmedAt is kept, as the
// copy was known to be complete at that time, although in the earlier era.
func (m *Mirror) resetToEra(objects []savorypin.Object, at, era int64) {
	m.objects, m.removed = map[string]savorypin.Object{}, map[string]int64{}
	m.state = State{Version: at, ConfirmedAt: m.state.ConfirmedAt, Era: era, CompactedVersion: at, Revision: m.state.Revision + 1}
	for _, o := range objects {
		o.Era = era
		m.apply(o)
	}
}

// ReplaceIfLater replaces the content of the held object of the same name with that of o if
// later(o, held) returns true. The version and era of the held object and the mirror's revision are
// kept. It is used for objects whose content has a version number from its writer: a store restored
// from an older copy may lack the latest content.
func (m *Mirror) ReplaceIfLater(o savorypin.Object, later func(a, b savorypin.Object) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.objects[o.Name]
	if !ok || !later(o, held) {
		return
	}
	o.Era, o.Version = held.Era, held.Version
	m.objects[o.Name] = o
}

// Advance records that all changes up to a version of an era have been applied.
func (m *Mirror) Advance(at, era int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era == m.state.Era {
		m.state.Version = max(m.state.Version, at)
	}
}

// Confirm records that the copy of an era was complete when a request was sent. The time is
// that of the boot-time clock.
func (m *Mirror) Confirm(sent time.Duration, era int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era == m.state.Era {
		m.state.ConfirmedAt = max(m.state.ConfirmedAt, sent)
	}
}

// State returns the state of the mirror.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Objects returns all objects, sorted by name.
func (m *Mirror) Objects() []savorypin.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objectsAfter(0)
}

// Snapshot returns all objects, sorted by name, and the state of the mirror at the same time.
func (m *Mirror) Snapshot() ([]savorypin.Object, State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objectsAfter(0), m.state
}

// objectsAfter returns the objects with a version after since, sorted by name.
func (m *Mirror) objectsAfter(since int64) []savorypin.Object {
	var objects []savorypin.Object
	for _, o := range m.objects {
		if o.Version > since {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b savorypin.Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects
}

// ChangesSince returns the changes after a version of an era, up to which the requesting mirror
// is complete. If the era differs or some deletions since then are not known, it returns all
// objects.
func (m *Mirror) ChangesSince(version, era int64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Version: m.state.Version, ConfirmedAt: m.state.ConfirmedAt, Era: m.state.Era}
	if era != m.state.Era || version < m.state.CompactedVersion {
		d.Full = true
		d.Objects = m.objectsAfter(0)
		return d
	}
	d.Objects = m.objectsAfter(version)
	for name, v := range m.removed {
		if v > version {
			d.Removed = append(d.Removed, Removal{Name: name, Version: v})
		}
	}
	slices.SortFunc(d.Removed, func(a, b Removal) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// Merge applies a delta of another mirror. It reports whether the objects have changed.
func (m *Mirror) Merge(d Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Full {
		return m.replace(d.Objects, d.Version, d.Era)
	}
	if d.Era != m.state.Era {
		return false
	}
	changed := false
	for _, o := range d.Objects {
		changed = m.apply(o) || changed
	}
	for _, r := range d.Removed {
		changed = m.remove(r) || changed
	}
	m.state.Version = max(m.state.Version, d.Version)
	return changed
}
