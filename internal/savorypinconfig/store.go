// Package savorypinconfig decides which configuration is in force at a daemon.
// The platform's versions order all objects; an older version never replaces a
// newer one, and a deletion keeps its version so that it cannot be undone by a
// late copy of the object.
package savorypinconfig

import (
	"maps"
	"sync"
	"sync/atomic"

	"savorypin/internal/savorypin"
)

// Store holds the configuration in force. Readers take a Snapshot without a
// lock; writers copy, change and publish.
type Store struct {
	mu       sync.Mutex
	snapshot atomic.Pointer[Snapshot]
}

// NewStore returns a store without objects.
func NewStore() *Store {
	s := &Store{}
	s.snapshot.Store(newSnapshot(map[savorypin.Key]entry{}))
	return s
}

// Apply takes over the objects that are newer than those held and returns
// them. They are in force when it returns.
func (s *Store) Apply(objects ...savorypin.Object) []savorypin.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(objects)
}

func (s *Store) apply(objects []savorypin.Object) []savorypin.Object {
	old := s.snapshot.Load()
	var changed []savorypin.Object
	for _, o := range objects {
		if held, ok := old.entries[o.Key]; !ok || held.object.Version < o.Version {
			changed = append(changed, o)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	next := maps.Clone(old.entries)
	changed = changed[:0]
	for _, o := range objects {
		if held, ok := next[o.Key]; ok && held.object.Version >= o.Version {
			continue
		}
		next[o.Key] = newEntry(o)
		changed = append(changed, o)
	}
	s.snapshot.Store(newSnapshot(next))
	return changed
}

// Relist takes over a whole list of one kind at a version of the platform and
// returns what has changed. An object that is held at an older version and is
// not in the list was deleted while nobody watched; the deletion gets the
// version of the list, since its own is not known.
func (s *Store) Relist(kind savorypin.Kind, objects []savorypin.Object, version int64) []savorypin.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[savorypin.Key]bool{}
	for _, o := range objects {
		listed[o.Key] = true
	}
	for key, held := range s.snapshot.Load().entries {
		if key.Kind != kind || listed[key] || held.object.Deleted || held.object.Version > version {
			continue
		}
		objects = append(objects, savorypin.Object{Deleted: true, Key: key, Version: version})
	}
	return s.apply(objects)
}

// Snapshot returns the configuration in force.
func (s *Store) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// Versions returns the version of each object held, deletions included.
func (s *Store) Versions() map[savorypin.Key]int64 {
	versions := map[savorypin.Key]int64{}
	for key, e := range s.Snapshot().entries {
		versions[key] = e.object.Version
	}
	return versions
}
