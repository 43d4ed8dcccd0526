package savorypinentry

import (
	"context"
	"errors"
	"time"

	"savorypin/internal/savorypin"
)

// maxReadTokens is the maximum number of tokens that Next returns.
const maxReadTokens = 256

// ErrTakenOver means that another entry relays the generation now. Its caller may
// attach again.
var ErrTakenOver = errors.New("another entry relays the generation")

// Reader reads an answer from a given position. It is not safe for concurrent use.
type Reader struct {
	changed  chan struct{}
	position savorypin.EventID
	relay    *Relay
	// whole reports that the caller waits for the whole answer and can't attach
	// through another entry.
	whole bool
}

// Open returns a reader that continues after a position. It must be closed. On a
// planned stop, its Next may return ErrTakenOver, so that the caller attaches to another
// entry.
func (r *Relay) Open(position savorypin.EventID) *Reader {
	return r.open(position, false)
}

// OpenWhole is like Open, but for a caller that waits for the whole answer and can't
// attach through another entry. A planned stop waits for the reader to close.
func (r *Relay) OpenWhole(position savorypin.EventID) *Reader {
	return r.open(position, true)
}

func (r *Relay) open(position savorypin.EventID, whole bool) *Reader {
	r.mu.Lock()
	defer r.mu.Unlock()
	reader := &Reader{changed: make(chan struct{}, 1), position: position, relay: r, whole: whole}
	r.readers[reader] = true
	return reader
}

// hasWholeReader reports whether a caller waits for the whole answer at this entry.
// The caller holds r.mu.
func (r *Relay) hasWholeReader() bool {
	for reader := range r.readers {
		if reader.whole {
			return true
		}
	}
	return false
}

// Close closes the reader. A generation without readers is cancelled after a grace
// period.
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

// Next returns further tokens, all from one attempt, or the end of the answer once
// there are no more. It blocks until either is available or ctx ends.
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

// poll is Next without waiting. It returns zero values if neither tokens nor the end
// are available.
func (r *Reader) poll() ([]savorypin.Token, *End, error) {
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	log, end := r.relay.machine.Log(), r.relay.machine.End()
	next := r.position.Next()
	if next <= log.Len() && !log.CanResumeAt(r.position) {
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
		return nil, nil, ErrTakenOver
	case next > log.Len() && end.Err == nil:
		return nil, nil, savorypin.Errorf(savorypin.KindIncomplete, string(r.relay.gen.ID),
			"the answer has %d tokens, not %d", log.Len(), next)
	}
	return nil, end, nil
}
