// Package savorypinconfig decides which configuration is in force at a daemon.
// The platform's versions order all writes. An older version never replaces a
// newer one, and a deletion keeps its version, so that a delayed copy of the object
// cannot undo it.
package savorypinconfig

import (
	"maps"
	"sync"
	"sync/atomic"

	"savorypin/internal/savorypin"
)

// Store holds the configuration in force. It is copy-on-write: readers get a Snapshot
// without a lock, and writers replace it by a changed copy.
type Store struct {
	mu       sync.Mutex
	snapshot atomic.Pointer[Snapshot]
}

// NewStore returns a store without objects.
func NewStore() *Store {
	s := &Store{}
	s.snapshot.Store(newSnapshot(map[savorypin.Key]storedObject{}))
	return s
}

// Apply stores the objects that are newer than the stored ones and returns them. They
// are in force when it returns.
func (s *Store) Apply(objects ...savorypin.Object) []savorypin.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(objects)
}

// apply does the work of Apply; s.mu must be held. It copies the map of objects only if
// an object has changed.
func (s *Store) apply(objects []savorypin.Object) []savorypin.Object {
	old := s.snapshot.Load()
	var changed []savorypin.Object
	for _, o := range objects {
		if stored, ok := old.objects[o.Key]; !ok || stored.object.Version < o.Version {
			changed = append(changed, o)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	next := maps.Clone(old.objects)
	changed = changed[:0]
	for _, o := range objects {
		if stored, ok := next[o.Key]; ok && stored.object.Version >= o.Version {
			continue
		}
		next[o.Key] = newStoredObject(o)
		changed = append(changed, o)
	}
	s.snapshot.Store(newSnapshot(next))
	return changed
}

// ApplyList applies a complete list of one kind at a version of the platform and returns
// the objects that have changed. A stored object that is not newer than the list and
// not in it was deleted while no watch was open. The deletion gets the version of the
// list, since its own is not known.
func (s *Store) ApplyList(kind savorypin.Kind, objects []savorypin.Object, version int64) []savorypin.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[savorypin.Key]bool{}
	for _, o := range objects {
		listed[o.Key] = true
	}
	for key, stored := range s.snapshot.Load().objects {
		if key.Kind != kind || listed[key] || stored.object.Deleted || stored.object.Version > version {
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

// Versions returns the version of each stored object, deletions included.
func (s *Store) Versions() map[savorypin.Key]int64 {
	versions := map[savorypin.Key]int64{}
	for key, stored := range s.Snapshot().objects {
		versions[key] = stored.object.Version
	}
	return versions
}
