// Package savorypinmirror keeps a copy of all objects of a kind of the
// platform's store, fed by the store itself or by other mirrors. A copy never
// goes back: of each object the newest version stays, and a deletion is kept for
// as long as an older version might still arrive.
//
// The store may come back from an older copy of itself and give versions out again.
// It then begins another era. A mirror holds versions of one era; it passes over to
// a later one only as a whole, by a list of all objects, and never to an earlier one.
package savorypinmirror

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// maxRemovals bounds the deletions that are remembered. A mirror that asks for
// changes since before the oldest one gets all objects.
const maxRemovals = 512

// State says how far a mirror is.
type State struct {
	// At is the store's version up to which the copy is complete.
	At int64
	// Changed is the version of the newest change of the kind.
	Changed int64
	// Confirmed is when the question was sent whose answer last confirmed the
	// copy, by the boot-time clock; zero for never.
	Confirmed time.Duration
	// Era is the era of the store to which the versions belong.
	Era int64
	// Floor is the version since which all deletions are known. A copy that was
	// listed at a version does not know what was deleted before.
	Floor int64
}

// Relation says what a copy elsewhere means for this one.
type Relation string

// The relations, in sorted order.
const (
	// RelationAhead means that the other copy has changes that this one lacks.
	RelationAhead Relation = "ahead"
	// RelationCovered means that this copy has all changes up to the version up to
	// which the other one is complete.
	RelationCovered Relation = "covered"
	// RelationUnknown means that something may have been deleted of which the other
	// copy does not know, or that it is of an earlier era.
	RelationUnknown Relation = "unknown"
)

// Relate returns what a copy elsewhere that is as far as other means for this one.
func (s State) Relate(other State) Relation {
	switch {
	case other.Era > s.Era:
		return RelationAhead
	case other.Era < s.Era:
		return RelationUnknown
	case other.Changed > s.At:
		return RelationAhead
	case other.Floor > s.At:
		return RelationUnknown
	}
	return RelationCovered
}

// Delta is what has changed in a mirror since a version.
type Delta struct {
	// At is the store's version up to which the changes are complete.
	At int64 `msgpack:"a"`
	// Confirmed is when the copy was last confirmed, by the clock of its host; zero for
	// never. It means nothing elsewhere, so that its age is sent in its place.
	Confirmed time.Duration `msgpack:"-"`
	// Era is the era of the store to which the versions belong.
	Era int64 `msgpack:"e,omitempty"`
	// Full says that the objects are all there are.
	Full    bool               `msgpack:"f"`
	Objects []savorypin.Object `msgpack:"o"`
	Removed []Removal          `msgpack:"r"`
}

// Removal is the deletion of an object.
type Removal struct {
	Name    string `msgpack:"n"`
	Version int64  `msgpack:"v"`
}

// Mirror is a copy of a kind. It is safe for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	objects map[string]savorypin.Object
	removed map[string]int64
	state   State
}

// New returns an empty mirror that was never confirmed.
func New() *Mirror {
	return &Mirror{objects: map[string]savorypin.Object{}, removed: map[string]int64{}}
}

// Apply takes over one change of the mirror's era. It reports whether it is new.
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
	m.state.Changed = max(m.state.Changed, o.Version)
	return true
}

func (m *Mirror) remove(r Removal) bool {
	known, ok := m.objects[r.Name]
	if ok && known.Version > r.Version || m.removed[r.Name] >= r.Version {
		return false
	}
	delete(m.objects, r.Name)
	m.removed[r.Name] = r.Version
	m.state.Changed = max(m.state.Changed, r.Version)
	m.prune()
	return ok
}

// prune forgets the older half of the deletions when there are too many.
func (m *Mirror) prune() {
	if len(m.removed) <= maxRemovals {
		return
	}
	versions := make([]int64, 0, len(m.removed))
	for _, v := range m.removed {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	m.state.Floor = max(m.state.Floor, versions[len(versions)/2])
	for name, v := range m.removed {
		if v <= m.state.Floor {
			delete(m.removed, name)
		}
	}
}

// Replace takes over a list that the store made at a version of an era. Objects
// that are missing from it are gone, unless they are newer. It reports whether
// anything has changed.
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
		m.begin(objects, at, era)
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
	// A list does not tell of deletions of objects that were never seen.
	m.state.Floor = max(m.state.Floor, at)
	m.state.At = max(m.state.At, at)
	return changed
}

// begin puts a list of a later era in place of all that is known. When the copy was
// confirmed last stays: what was in force then is still known to have been.
func (m *Mirror) begin(objects []savorypin.Object, at, era int64) {
	m.objects, m.removed = map[string]savorypin.Object{}, map[string]int64{}
	m.state = State{At: at, Confirmed: m.state.Confirmed, Era: era, Floor: at}
	for _, o := range objects {
		o.Era = era
		m.apply(o)
	}
}

// Keep puts the content of an object in place of the one that is held under its
// name, at that one's version, if it is later by the content itself. It is for
// objects whose writers number them: the store may have come back from a copy that
// lacks the latest one.
func (m *Mirror) Keep(o savorypin.Object, later func(a, b savorypin.Object) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.objects[o.Name]
	if !ok || !later(o, held) {
		return
	}
	o.Era, o.Version = held.Era, held.Version
	m.objects[o.Name] = o
}

// Advance takes note that the changes up to a version of an era have been read.
func (m *Mirror) Advance(at, era int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era == m.state.Era {
		m.state.At = max(m.state.At, at)
	}
}

// Confirm takes note that the copy of an era was complete when a question was sent.
func (m *Mirror) Confirm(sent time.Duration, era int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era == m.state.Era {
		m.state.Confirmed = max(m.state.Confirmed, sent)
	}
}

// State says how far the mirror is.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Objects returns all objects, sorted by name.
func (m *Mirror) Objects() []savorypin.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sorted(0)
}

// sorted returns the objects with a larger version, sorted by name.
func (m *Mirror) sorted(since int64) []savorypin.Object {
	var objects []savorypin.Object
	for _, o := range m.objects {
		if o.Version > since {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b savorypin.Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects
}

// Since returns what has changed since a version of an era up to which the asker is
// complete.
func (m *Mirror) Since(version, era int64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{At: m.state.At, Confirmed: m.state.Confirmed, Era: m.state.Era}
	if era != m.state.Era || version < m.state.Floor {
		d.Full = true
		d.Objects = m.sorted(0)
		return d
	}
	d.Objects = m.sorted(version)
	for name, v := range m.removed {
		if v > version {
			d.Removed = append(d.Removed, Removal{Name: name, Version: v})
		}
	}
	slices.SortFunc(d.Removed, func(a, b Removal) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// Merge takes over what another mirror has. It reports whether anything is new.
func (m *Mirror) Merge(d Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Full {
		return m.replace(d.Objects, d.At, d.Era)
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
	m.state.At = max(m.state.At, d.At)
	return changed
}
