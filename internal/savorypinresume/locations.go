package savorypinresume

import (
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// Location is the agent that runs the newest attempt of a generation. A generation has
// one only if it no longer runs on the agent that is part of its id.
type Location struct {
	// Address is the address at which other daemons reach the agent.
	Address string `msgpack:"addr"`
	// Agent is the name of the agent.
	Agent string `msgpack:"ag"`
	// Attempt is the newest attempt.
	Attempt savorypin.AttemptID `msgpack:"at"`
	// Expires is the time after which no caller requests the generation any more,
	// by the clock of the daemon that stores the location.
	Expires time.Time `msgpack:"-"`
	// Generation is the generation.
	Generation savorypin.GenerationID `msgpack:"g"`
}

// LocationTable is an in-memory table of locations with a maximum size. It is safe for
// concurrent use.
type LocationTable struct {
	limit int

	mu        sync.Mutex
	locations map[savorypin.GenerationID]Location
}

// NewLocationTable returns an empty table for at most limit locations.
func NewLocationTable(limit int) *LocationTable {
	return &LocationTable{limit: limit, locations: map[savorypin.GenerationID]Location{}}
}

// Get returns the location of a generation.
func (t *LocationTable) Get(id savorypin.GenerationID) (Location, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	location, ok := t.locations[id]
	return location, ok
}

// Len returns the number of locations.
func (t *LocationTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.locations)
}

// Put stores a location unless the table has one of the same or a newer attempt. A full
// table drops an arbitrary location, since a generation without one can still be
// found by a search of all agents.
func (t *LocationTable) Put(location Location) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.locations[location.Generation]
	if ok && current.Attempt.Compare(location.Attempt) >= 0 {
		return
	}
	if !ok && len(t.locations) >= t.limit {
		for id := range t.locations {
			delete(t.locations, id)
			break
		}
	}
	t.locations[location.Generation] = location
}

// Sweep drops the locations that have expired.
func (t *LocationTable) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, location := range t.locations {
		if location.Expires.Before(now) {
			delete(t.locations, id)
		}
	}
}
