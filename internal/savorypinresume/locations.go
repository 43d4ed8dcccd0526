package savorypinresume

import (
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// Place is the agent that runs the newest attempt of a generation. A generation has
// one only if it no longer runs on the agent that is part of its id.
type Place struct {
	// Address is the address at which other daemons reach the agent.
	Address string `msgpack:"addr"`
	// Agent is the name of the agent.
	Agent string `msgpack:"ag"`
	// Attempt is the newest attempt.
	Attempt savorypin.AttemptID `msgpack:"at"`
	// Expires is the time after which no caller requests the generation any more,
	// by the clock of the daemon that stores the place.
	Expires time.Time `msgpack:"-"`
	// Generation is the generation.
	Generation savorypin.GenerationID `msgpack:"g"`
}

// Places is an in-memory table of places with a maximum size. It is safe for
// concurrent use.
type Places struct {
	limit int

	mu     sync.Mutex
	places map[savorypin.GenerationID]Place
}

// NewPlaces returns an empty table for at most limit places.
func NewPlaces(limit int) *Places {
	return &Places{limit: limit, places: map[savorypin.GenerationID]Place{}}
}

// Get returns the place of a generation.
func (p *Places) Get(id savorypin.GenerationID) (Place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	place, ok := p.places[id]
	return place, ok
}

// Len returns the number of places.
func (p *Places) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.places)
}

// Put stores a place unless the table has one of the same or a newer attempt. A full
// table drops an arbitrary place, since a generation without a place can still be
// found by a search of all agents.
func (p *Places) Put(place Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.places[place.Generation]
	if ok && current.Attempt.Compare(place.Attempt) >= 0 {
		return
	}
	if !ok && len(p.places) >= p.limit {
		for id := range p.places {
			delete(p.places, id)
			break
		}
	}
	p.places[place.Generation] = place
}

// Sweep drops the places that have expired.
func (p *Places) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, place := range p.places {
		if place.Expires.Before(now) {
			delete(p.places, id)
		}
	}
}
