// Package savorypinrefusal remembers why requests were refused, so that operators
// can ask.
package savorypinrefusal

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// MaxRefusals bounds the refusals that a Log remembers.
const MaxRefusals = 4096

// Refusal says how often requests of an organisation were refused for one kind
// of reason, and why the last one was.
type Refusal struct {
	Kind         savorypin.ErrorKind `json:"kind"`
	Last         time.Time           `json:"last"`
	Object       string              `json:"object"`
	Organisation string              `json:"organisation"`
	Reason       string              `json:"reason"`
	Total        int64               `json:"total"`
}

// State is the section of the state dump.
type State struct {
	Refusals []Refusal `json:"refusals"`
}

type refusalKey struct {
	kind         savorypin.ErrorKind
	object       string
	organisation string
}

// Log remembers refusals. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	totals map[refusalKey]*Refusal
}

// Note takes note of an error that a caller gets, if it is a refusal.
func (l *Log) Note(organisation string, err error, now time.Time) {
	var e *savorypin.Error
	if !errors.As(err, &e) || (e.Kind != savorypin.KindLimited && e.Kind != savorypin.KindNotRun) {
		return
	}
	key := refusalKey{kind: e.Kind, object: e.Object, organisation: organisation}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.totals == nil {
		l.totals = map[refusalKey]*Refusal{}
	}
	known, ok := l.totals[key]
	if !ok {
		if len(l.totals) >= MaxRefusals {
			l.forgetOldest()
		}
		known = &Refusal{Kind: e.Kind, Object: e.Object, Organisation: organisation}
		l.totals[key] = known
	}
	known.Last = now
	known.Reason = e.Err.Error()
	known.Total++
}

// forgetOldest forgets the refusal that is longest ago. The caller holds l.mu.
func (l *Log) forgetOldest() {
	var oldest refusalKey
	var at time.Time
	for key, known := range l.totals {
		if at.IsZero() || known.Last.Before(at) {
			oldest = key
			at = known.Last
		}
	}
	delete(l.totals, oldest)
}

// State returns the refusals, sorted by organisation.
func (l *Log) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := State{Refusals: []Refusal{}}
	for _, known := range l.totals {
		s.Refusals = append(s.Refusals, *known)
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
