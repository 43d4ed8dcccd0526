// Package savorypinrefusal counts the refusals of requests by reason, so that
// operators can query them.
package savorypinrefusal

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// MaxRefusals is the largest number of refusals that a Counter holds.
const MaxRefusals = 4096

// Refusal counts the refused requests of an organisation for one kind of error and
// one object. Last and Reason are the time and the reason of the last one.
type Refusal struct {
	Kind         savorypin.ErrorKind `json:"kind"`
	Last         time.Time           `json:"last"`
	Object       string              `json:"object"`
	Organisation string              `json:"organisation"`
	Reason       string              `json:"reason"`
	Total        int64               `json:"total"`
}

// State is the section of the state dump about refusals.
type State struct {
	Refusals []Refusal `json:"refusals"`
}

type refusalKey struct {
	kind         savorypin.ErrorKind
	object       string
	organisation string
}

// Counter counts refusals by organisation, kind of error and object. It is safe for
// concurrent use.
type Counter struct {
	mu       sync.Mutex
	refusals map[refusalKey]*Refusal
}

// Record counts an error that is returned to a caller if it is a refusal. If the
// counter is full, it removes the oldest refusal.
func (c *Counter) Record(organisation string, err error, now time.Time) {
	var e *savorypin.Error
	if !errors.As(err, &e) || (e.Kind != savorypin.KindLimited && e.Kind != savorypin.KindNotRun) {
		return
	}
	key := refusalKey{kind: e.Kind, object: e.Object, organisation: organisation}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusals == nil {
		c.refusals = map[refusalKey]*Refusal{}
	}
	refusal, ok := c.refusals[key]
	if !ok {
		if len(c.refusals) >= MaxRefusals {
			c.removeOldest()
		}
		refusal = &Refusal{Kind: e.Kind, Object: e.Object, Organisation: organisation}
		c.refusals[key] = refusal
	}
	refusal.Last = now
	refusal.Reason = e.Err.Error()
	refusal.Total++
}

// removeOldest removes the refusal with the oldest Last. The caller holds c.mu.
func (c *Counter) removeOldest() {
	var oldest refusalKey
	var at time.Time
	for key, refusal := range c.refusals {
		if at.IsZero() || refusal.Last.Before(at) {
			oldest = key
			at = refusal.Last
		}
	}
	delete(c.refusals, oldest)
}

// State returns the refusals, sorted by organisation, kind and object.
func (c *Counter) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{Refusals: []Refusal{}}
	for _, refusal := range c.refusals {
		s.Refusals = append(s.Refusals, *refusal)
	}
	slices.SortFunc(s.Refusals, func(a, b Refusal) int {
		return cmp.Or(
			cmp.Compare(a.Organisation, b.Organisation),
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Object, b.Object),
		)
	})
	return s
}
