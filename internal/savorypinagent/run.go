package savorypinagent

import (
	"context"
	"errors"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinendpoint"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinresume"
)

// maxBatchTokens is the largest number of tokens in one frame.
const maxBatchTokens = 128

// run is one attempt at a generation and what it has produced.
type run struct {
	base     int
	cancel   context.CancelFunc
	deadline time.Time
	// size is the memory that is reserved; it is guarded by the agent's mutex.
	size  int
	start savorypinmember.Start

	mu   sync.Mutex
	done bool
	// dropped says that an entry no longer needs the attempt.
	dropped bool
	err     error
	// handedOver says that another endpoint is to go on.
	handedOver bool
	lastUsed   time.Time
	readers    map[*readerState]bool
	reason     savorypin.FinishReason
	// told says that a reader has got all tokens and how the attempt ended.
	told   bool
	tokens savorypinresume.Tokens
}

// reader is what a stream asks of a run.
type reader struct {
	next   int
	term   uint64
	window int
}

// readerState is a stream that reads a run. Its fields are guarded by the
// run's mutex.
type readerState struct {
	acked      int
	changed    chan struct{}
	superseded bool
	term       uint64
	window     int
}

func newRun(start savorypinmember.Start, size int) *run {
	r := &run{
		base:     len(start.Delivered),
		deadline: time.Now().Add(start.Within),
		lastUsed: time.Now(),
		readers:  map[*readerState]bool{},
		size:     size,
		start:    start,
	}
	r.tokens.Append(start.Delivered)
	r.start.Delivered = nil
	return r
}

func (r *run) generate(ctx context.Context, engine *savorypinendpoint.Engine) {
	defer r.cancel()
	reason, err := engine.Generate(ctx, savorypinendpoint.Request{
		Delivered:   r.tokens.Slice(0, r.base),
		MaxTokens:   r.start.Generation.MaxTokens,
		Model:       r.start.Model,
		Priority:    r.start.Generation.Priority,
		Prompt:      r.start.Generation.Prompt,
		Seed:        r.start.Generation.Seed,
		Temperature: r.start.Generation.Temperature,
	}, r.produce)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	r.err = translateEngine(r.start.Endpoint, err)
	if r.handedOver && err != nil {
		r.err = savorypin.Errorf(savorypin.KindUnreachable, r.start.Endpoint, "agent is stopping")
	}
	r.lastUsed = time.Now()
	r.reason = reason
	r.wake()
}

// translateEngine turns an error of an engine into one of the core.
func translateEngine(endpoint string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, savorypinendpoint.ErrRefused), errors.Is(err, savorypinendpoint.ErrNotSent):
		return savorypin.Errorf(savorypin.KindNotRun, endpoint, "%w", err)
	default:
		return savorypin.Errorf(savorypin.KindIncomplete, endpoint, "%w", err)
	}
}

func (r *run) produce(tokens []savorypin.Token) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens.Append(tokens)
	r.wake()
	return nil
}

// bytes returns the memory that the attempt takes.
func (r *run) bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens.Bytes() + len(r.start.Generation.Prompt)
}

// wake lets all readers look again. The caller holds r.mu.
func (r *run) wake() {
	for state := range r.readers {
		select {
		case state.changed <- struct{}{}:
		default:
		}
	}
}

// serve streams the tokens from an index on until the attempt has ended and
// the reader has closed the stream.
func (r *run) serve(ctx context.Context, s *savorypinmember.Stream, want reader) error {
	state := r.enter(want)
	defer r.leave(state)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		r.readAcks(ctx, s, state)
	}()
	next := want.next
	for {
		batch, end, err := r.take(next, state)
		if err != nil {
			return err
		}
		if end != nil {
			if err := s.Send(ctx, savorypinmember.FrameDone, end); err != nil {
				return nil // The reader has gone; it attaches again if it lives.
			}
			<-gone
			return nil
		}
		if len(batch) > 0 {
			msg := savorypinmember.Tokens{Attempt: r.start.Attempt.ID, First: next, Tokens: batch}
			if err := s.Send(ctx, savorypinmember.FrameTokens, &msg); err != nil {
				return nil // The reader has gone; it attaches again if it lives.
			}
			next += len(batch)
			continue
		}
		select {
		case <-state.changed:
		case <-gone:
			return nil
		}
	}
}

// take returns the next batch for a reader, or the end of the attempt, or
// neither if the reader has to wait.
func (r *run) take(next int, state *readerState) ([]savorypin.Token, *savorypinmember.Done, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := string(r.start.Attempt.Generation)
	if state.superseded {
		return nil, nil, savorypin.Errorf(savorypin.KindConflict, id, "another entry has taken over")
	}
	if next > r.tokens.Len() {
		return nil, nil, savorypin.Errorf(savorypin.KindInvalid, id, "index %d is beyond %d", next, r.tokens.Len())
	}
	last := min(r.tokens.Len(), state.acked+state.window, next+maxBatchTokens)
	if last > next {
		return r.tokens.Slice(next, last), nil, nil
	}
	if r.done && next == r.tokens.Len() {
		r.told = true
		if r.err != nil {
			return nil, nil, r.err
		}
		return nil, &savorypinmember.Done{Attempt: r.start.Attempt.ID, Length: next, Reason: r.reason}, nil
	}
	return nil, nil, nil
}

// readAcks reads what the entry says until the stream ends.
func (r *run) readAcks(ctx context.Context, s *savorypinmember.Stream, state *readerState) {
	for {
		f, err := s.Receive(ctx)
		if err != nil {
			return
		}
		switch f.Kind {
		case savorypinmember.FrameAck:
			ack, err := savorypinmember.Decode[savorypinmember.Ack](f)
			if err != nil {
				return
			}
			r.acknowledge(state, ack.Next)
		case savorypinmember.FrameCancel:
			r.cancel()
			return
		}
	}
}

func (r *run) acknowledge(state *readerState, next int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state.acked = max(state.acked, next)
	r.wake()
}

func (r *run) enter(want reader) *readerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := &readerState{acked: want.next, changed: make(chan struct{}, 1), term: want.term, window: want.window}
	r.readers[state] = true
	return state
}

func (r *run) leave(state *readerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.readers, state)
	r.lastUsed = time.Now()
}

// supersede ends the streams of entries with a lower term.
func (r *run) supersede(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for state := range r.readers {
		if state.term < term {
			state.superseded = true
		}
	}
	r.wake()
}

// handOver ends the attempt so that its entry goes on at another endpoint.
func (r *run) handOver() {
	r.mu.Lock()
	r.handedOver = true
	r.mu.Unlock()
	r.cancel()
}

// drop ends the attempt because no entry needs it any more.
func (r *run) drop() {
	r.mu.Lock()
	r.dropped = true
	r.mu.Unlock()
	r.cancel()
}

// abandoned reports whether nobody has read the attempt for long. A running
// one has a grace.
func (r *run) abandoned(now time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		grace = retainFor
	}
	return len(r.readers) == 0 && now.Sub(r.lastUsed) > grace
}

// settled reports whether the agent may exit as far as the attempt goes: an
// entry has its end, or goes on with it elsewhere, or none has asked within the
// grace. That an entry was told of a failure is not enough, since it may stop
// before it has acted on it.
func (r *run) settled(now time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.done || len(r.readers) > 0 {
		return false
	}
	return (r.told && r.err == nil) || r.dropped || now.Sub(r.lastUsed) > grace
}

func (r *run) finished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done && len(r.readers) == 0
}

func (r *run) held() savorypinmember.Held {
	r.mu.Lock()
	defer r.mu.Unlock()
	lineage := append(savorypin.Lineage{}, r.start.Lineage...)
	if r.tokens.Len() > r.base {
		lineage = append(lineage, savorypin.Segment{Attempt: r.start.Attempt.ID, First: r.base})
	}
	return savorypinmember.Held{
		Attempt:    r.start.Attempt.ID,
		Endpoint:   r.start.Endpoint,
		Generation: r.start.Generation,
		Lineage:    lineage,
		Model:      r.start.Model,
		Tokens:     r.tokens.Slice(0, r.tokens.Len()),
		Version:    r.start.Version,
		Within:     time.Until(r.deadline),
	}
}

func (r *run) state() AttemptState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return AttemptState{
		Attempt:    r.start.Attempt.ID.String(),
		Endpoint:   r.start.Endpoint,
		Finished:   r.done,
		Generation: r.start.Attempt.Generation,
		Produced:   r.tokens.Len() - r.base,
		Readers:    len(r.readers),
		Version:    r.start.Version,
	}
}
