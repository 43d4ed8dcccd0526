package savorypinentry

import (
	"context"
	"errors"
	"time"

	"savorypin/internal/savorypin"
)

// maxReadTokens is the largest number of tokens that a reader gets at once.
const maxReadTokens = 256

// ErrMoved means that another entry relays the generation now. Its caller may
// attach again.
var ErrMoved = errors.New("another entry relays the generation")

// Reader reads an answer from a position on. It is not safe for concurrent
// use.
type Reader struct {
	changed  chan struct{}
	position savorypin.EventID
	relay    *Relay
	// stays says that the caller can't attach through another entry.
	stays bool
}

// Open returns a reader that goes on after a position. It must be closed. At a
// planned stop its caller may be told to attach to another entry.
func (r *Relay) Open(position savorypin.EventID) *Reader {
	return r.open(position, false)
}

// OpenWhole returns a reader like Open, but for a caller that waits for the
// whole answer and can't attach through another entry. A planned stop waits for
// it.
func (r *Relay) OpenWhole(position savorypin.EventID) *Reader {
	return r.open(position, true)
}

func (r *Relay) open(position savorypin.EventID, stays bool) *Reader {
	r.mu.Lock()
	defer r.mu.Unlock()
	reader := &Reader{changed: make(chan struct{}, 1), position: position, relay: r, stays: stays}
	r.readers[reader] = true
	return reader
}

// stays reports whether a caller waits for the whole answer here. The caller
// holds r.mu.
func (r *Relay) stays() bool {
	for reader := range r.readers {
		if reader.stays {
			return true
		}
	}
	return false
}

// Close ends the reader. A generation that nobody reads is cancelled after a
// grace.
func (r *Reader) Close() {
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	delete(r.relay.readers, r)
	r.relay.lastUsed = time.Now()
}

// Position returns the position after the tokens that were read.
func (r *Reader) Position() savorypin.EventID {
	return r.position
}

// Next returns further tokens, all of one attempt, or the end of the answer
// once there are none. It waits until there is either.
func (r *Reader) Next(ctx context.Context) ([]savorypin.Token, *End, error) {
	for {
		tokens, end, err := r.poll()
		if len(tokens) > 0 || end != nil || err != nil {
			return tokens, end, err
		}
		select {
		case <-r.changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// poll returns what there is.
func (r *Reader) poll() ([]savorypin.Token, *End, error) {
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	log, end := r.relay.machine.Log(), r.relay.machine.End()
	next := r.position.Next()
	if next <= log.Len() && !log.Continues(r.position) {
		return nil, nil, savorypin.Errorf(savorypin.KindNotFound, string(r.relay.gen.ID),
			"the rest of the answer after token %d is lost", next)
	}
	if next < log.Len() {
		tokens, attempt := log.Read(next, maxReadTokens)
		r.position = savorypin.NewEventID(r.relay.gen.ID, next+len(tokens), attempt)
		return tokens, nil, nil
	}
	switch {
	case end == nil:
		return nil, nil, nil
	case savorypin.KindOf(end.Err) == savorypin.KindConflict && end.Err != nil:
		return nil, nil, ErrMoved
	case next > log.Len() && end.Err == nil:
		return nil, nil, savorypin.Errorf(savorypin.KindIncomplete, string(r.relay.gen.ID),
			"the answer has %d tokens, not %d", log.Len(), next)
	}
	return nil, end, nil
}
