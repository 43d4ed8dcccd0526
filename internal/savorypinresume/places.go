package savorypinresume

import (
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// Place says which agent runs the newest attempt at a generation that has
// moved away from the agent that its id names.
type Place struct {
	// Address is the agent's address for other daemons.
	Address string `msgpack:"addr"`
	// Agent is the name of the agent.
	Agent string `msgpack:"ag"`
	// Attempt is the newest attempt.
	Attempt savorypin.AttemptID `msgpack:"at"`
	// Expires is when nobody asks for the generation any more, by the clock of
	// the daemon that holds the place.
	Expires time.Time `msgpack:"-"`
	// Generation is the generation.
	Generation savorypin.GenerationID `msgpack:"g"`
}

// Places is a bounded table of places in memory. It is safe for concurrent
// use.
type Places struct {
	limit int

	mu     sync.Mutex
	places map[savorypin.GenerationID]Place
}

// NewPlaces returns a table that holds at most limit places.
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

// Put takes over a place unless a newer one is held. A full table drops an
// arbitrary place: the generation can still be found by asking all agents.
func (p *Places) Put(place Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, ok := p.places[place.Generation]
	if ok && held.Attempt.Compare(place.Attempt) >= 0 {
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
