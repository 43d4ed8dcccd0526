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

// maxBatchTokens is the maximum number of tokens in one frame.
const maxBatchTokens = 128

// generationAttempt is one attempt at a generation and the tokens that it has
// produced.
type generationAttempt struct {
	firstIndex int
	cancel     context.CancelFunc
	deadline   time.Time
	// reservedBytes is the memory reserved for the attempt; it is guarded by the
	// agent's mutex.
	reservedBytes int
	start         savorypinmember.Start

	mu   sync.Mutex
	done bool
	// dropped reports that an entry no longer needs the attempt.
	dropped bool
	err     error
	// handedOver reports that another endpoint is to continue the generation.
	handedOver   bool
	lastUsed     time.Time
	readers      map[*readerState]bool
	finishReason savorypin.FinishReason
	// endSent reports that a reader has received all tokens and how the attempt ended.
	endSent bool
	tokens  savorypinresume.Tokens
}

// readRequest is what a stream requests of an attempt.
type readRequest struct {
	next   int
	term   uint64
	window int
}

// readerState is a stream that reads an attempt. Its fields are guarded by the
// attempt's mutex.
type readerState struct {
	acked      int
	changed    chan struct{}
	superseded bool
	term       uint64
	window     int
}

func newGenerationAttempt(start savorypinmember.Start, size int) *generationAttempt {
	r := &generationAttempt{
		firstIndex:    len(start.Delivered),
		deadline:      time.Now().Add(start.RemainingWait),
		lastUsed:      time.Now(),
		readers:       map[*readerState]bool{},
		reservedBytes: size,
		start:         start,
	}
	r.tokens.Append(start.Delivered)
	r.start.Delivered = nil
	return r
}

func (r *generationAttempt) generate(ctx context.Context, engine *savorypinendpoint.Engine) {
	defer r.cancel()
	reason, err := engine.Generate(ctx, savorypinendpoint.Request{
		Delivered:   r.tokens.Slice(0, r.firstIndex),
		MaxTokens:   r.start.Generation.MaxTokens,
		Model:       r.start.Model,
		Priority:    r.start.Generation.Priority,
		Prompt:      r.start.Generation.Prompt,
		Seed:        r.start.Generation.Seed,
		Temperature: r.start.Generation.Temperature,
	}, r.appendTokens)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	r.err = engineError(r.start.Endpoint, err)
	if r.handedOver && err != nil {
		r.err = savorypin.Errorf(savorypin.KindUnreachable, r.start.Endpoint, "agent is stopping")
	}
	r.lastUsed = time.Now()
	r.finishReason = reason
	r.notifyReaders()
}

// engineError converts an error of an engine to a savorypin.Error.
func engineError(endpoint string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, savorypinendpoint.ErrRefused), errors.Is(err, savorypinendpoint.ErrNotSent):
		return savorypin.Errorf(savorypin.KindNotRun, endpoint, "%w", err)
	default:
		return savorypin.Errorf(savorypin.KindIncomplete, endpoint, "%w", err)
	}
}

func (r *generationAttempt) appendTokens(tokens []savorypin.Token) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens.Append(tokens)
	r.notifyReaders()
	return nil
}

// usedBytes returns the memory that the attempt uses, in bytes.
func (r *generationAttempt) usedBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens.Bytes() + len(r.start.Generation.Prompt)
}

// notifyReaders wakes up all waiting readers. The caller holds r.mu.
func (r *generationAttempt) notifyReaders() {
	for state := range r.readers {
		select {
		case state.changed <- struct{}{}:
		default:
		}
	}
}

// serve sends the tokens from an index on, and then the end of the attempt, until the
// reader closes the stream.
func (r *generationAttempt) serve(ctx context.Context, s *savorypinmember.Stream, req readRequest) error {
	state := r.addReader(req)
	defer r.removeReader(state)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		r.readAcks(ctx, s, state)
	}()
	next := req.next
	for {
		batch, end, err := r.nextBatch(next, state)
		if err != nil {
			return err
		}
		if end != nil {
			if err := s.Send(ctx, savorypinmember.FrameDone, end); err != nil {
				return nil // The reader has disconnected and may attach again.
			}
			<-closed
			return nil
		}
		if len(batch) > 0 {
			msg := savorypinmember.Tokens{Attempt: r.start.Attempt.ID, First: next, Tokens: batch}
			if err := s.Send(ctx, savorypinmember.FrameTokens, &msg); err != nil {
				return nil // The reader has disconnected and may attach again.
			}
			next += len(batch)
			continue
		}
		select {
		case <-state.changed:
		case <-closed:
			return nil
		}
	}
}

// nextBatch returns the next tokens for a reader, or the end of the attempt, or
// neither if the reader has to wait.
func (r *generationAttempt) nextBatch(next int, state *readerState) ([]savorypin.Token, *savorypinmember.Done, error) {
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
		r.endSent = true
		if r.err != nil {
			return nil, nil, r.err
		}
		return nil, &savorypinmember.Done{Attempt: r.start.Attempt.ID, Length: next, Reason: r.finishReason}, nil
	}
	return nil, nil, nil
}

// readAcks handles acknowledgements and cancellation by the entry until the stream
// ends.
func (r *generationAttempt) readAcks(ctx context.Context, s *savorypinmember.Stream, state *readerState) {
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

func (r *generationAttempt) acknowledge(state *readerState, next int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state.acked = max(state.acked, next)
	r.notifyReaders()
}

func (r *generationAttempt) addReader(req readRequest) *readerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := &readerState{acked: req.next, changed: make(chan struct{}, 1), term: req.term, window: req.window}
	r.readers[state] = true
	return state
}

func (r *generationAttempt) removeReader(state *readerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.readers, state)
	r.lastUsed = time.Now()
}

// supersede ends the streams of entries with a lower term.
func (r *generationAttempt) supersede(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for state := range r.readers {
		if state.term < term {
			state.superseded = true
		}
	}
	r.notifyReaders()
}

// handOver ends the attempt so that its entry continues the generation at another
// endpoint.
func (r *generationAttempt) handOver() {
	r.mu.Lock()
	r.handedOver = true
	r.mu.Unlock()
	r.cancel()
}

// drop ends the attempt because no entry needs it any more.
func (r *generationAttempt) drop() {
	r.mu.Lock()
	r.dropped = true
	r.mu.Unlock()
	r.cancel()
}

// expired reports whether nobody has read the attempt for longer than the grace
// period, or for longer than attemptRetention if it has ended.
func (r *generationAttempt) expired(now time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		grace = attemptRetention
	}
	return len(r.readers) == 0 && now.Sub(r.lastUsed) > grace
}

// allowsExit reports whether the agent may exit without losing the attempt: an entry
// has received its successful end, or has dropped it because the generation continues
// elsewhere, or nobody has read it for longer than the grace period. Sending a failure
// to an entry is not enough, since the entry may stop before it has started another
// attempt.
func (r *generationAttempt) allowsExit(now time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.done || len(r.readers) > 0 {
		return false
	}
	return (r.endSent && r.err == nil) || r.dropped || now.Sub(r.lastUsed) > grace
}

func (r *generationAttempt) evictable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done && len(r.readers) == 0
}

func (r *generationAttempt) heldMessage() savorypinmember.HeldAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	lineage := append(savorypin.Lineage{}, r.start.Lineage...)
	if r.tokens.Len() > r.firstIndex {
		lineage = append(lineage, savorypin.Segment{Attempt: r.start.Attempt.ID, First: r.firstIndex})
	}
	return savorypinmember.HeldAttempt{
		Attempt:       r.start.Attempt.ID,
		Endpoint:      r.start.Endpoint,
		Generation:    r.start.Generation,
		Lineage:       lineage,
		Model:         r.start.Model,
		Tokens:        r.tokens.Slice(0, r.tokens.Len()),
		Version:       r.start.Version,
		RemainingWait: time.Until(r.deadline),
	}
}

func (r *generationAttempt) state() AttemptState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return AttemptState{
		Attempt:    r.start.Attempt.ID.String(),
		Endpoint:   r.start.Endpoint,
		Finished:   r.done,
		Generation: r.start.Attempt.Generation,
		Produced:   r.tokens.Len() - r.firstIndex,
		Readers:    len(r.readers),
		Version:    r.start.Version,
	}
}
