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
	// firstIndex is the index of the first token that the attempt itself produces.
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
	readers      map[*attemptReader]bool
	finishReason savorypin.FinishReason
	// endSent reports that all tokens and the end of the attempt were passed to a
	// stream. The stream may have failed to send the end.
	endSent bool
	tokens  savorypinresume.Tokens
}

// readRequest is what a stream requests of an attempt.
type readRequest struct {
	next   int
	term   uint64
	window int
}

// attemptReader is a stream that reads an attempt. Its fields are guarded by the
// attempt's mutex.
type attemptReader struct {
	acked      int
	changed    chan struct{}
	superseded bool
	term       uint64
	window     int
}

func newGenerationAttempt(start savorypinmember.Start, size int) *generationAttempt {
	g := &generationAttempt{
		firstIndex:    len(start.Delivered),
		deadline:      time.Now().Add(start.RemainingWait),
		lastUsed:      time.Now(),
		readers:       map[*attemptReader]bool{},
		reservedBytes: size,
		start:         start,
	}
	g.tokens.Append(start.Delivered)
	g.start.Delivered = nil
	return g
}

func (g *generationAttempt) generate(ctx context.Context, engine *savorypinendpoint.Engine) {
	defer g.cancel()
	reason, err := engine.Generate(ctx, savorypinendpoint.Request{
		Delivered:   g.tokens.Slice(0, g.firstIndex),
		MaxTokens:   g.start.Generation.MaxTokens,
		Model:       g.start.Model,
		Priority:    g.start.Generation.Priority,
		Prompt:      g.start.Generation.Prompt,
		Seed:        g.start.Generation.Seed,
		Temperature: g.start.Generation.Temperature,
	}, g.appendTokens)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = true
	g.err = engineError(g.start.Endpoint, err)
	if g.handedOver && err != nil {
		g.err = savorypin.Errorf(savorypin.KindUnreachable, g.start.Endpoint, "agent is stopping")
	}
	g.lastUsed = time.Now()
	g.finishReason = reason
	g.notifyReaders()
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

func (g *generationAttempt) appendTokens(tokens []savorypin.Token) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens.Append(tokens)
	g.notifyReaders()
	return nil
}

// usedBytes returns the memory that the attempt uses, in bytes.
func (g *generationAttempt) usedBytes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens.Bytes() + len(g.start.Generation.Prompt)
}

// notifyReaders wakes up all waiting readers. The caller holds g.mu.
func (g *generationAttempt) notifyReaders() {
	for reader := range g.readers {
		select {
		case reader.changed <- struct{}{}:
		default:
		}
	}
}

// serve sends the tokens from an index on, and then the end of the attempt, until the
// reader closes the stream.
func (g *generationAttempt) serve(ctx context.Context, s *savorypinmember.Stream, req readRequest) error {
	reader := g.addReader(req)
	defer g.removeReader(reader)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		g.readAcks(ctx, s, reader)
	}()
	next := req.next
	for {
		batch, end, err := g.nextBatch(next, reader)
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
			msg := savorypinmember.Tokens{Attempt: g.start.Attempt.ID, First: next, Tokens: batch}
			if err := s.Send(ctx, savorypinmember.FrameTokens, &msg); err != nil {
				return nil // The reader has disconnected and may attach again.
			}
			next += len(batch)
			continue
		}
		select {
		case <-reader.changed:
		case <-closed:
			return nil
		}
	}
}

// nextBatch returns the next tokens for a reader, or the end of the attempt, or
// neither if the reader has to wait.
func (g *generationAttempt) nextBatch(next int, reader *attemptReader) ([]savorypin.Token, *savorypinmember.Done, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := string(g.start.Attempt.Generation)
	if reader.superseded {
		return nil, nil, savorypin.Errorf(savorypin.KindConflict, id, "another entry has taken over")
	}
	if next > g.tokens.Len() {
		return nil, nil, savorypin.Errorf(savorypin.KindInvalid, id, "index %d is beyond %d", next, g.tokens.Len())
	}
	last := min(g.tokens.Len(), reader.acked+reader.window, next+maxBatchTokens)
	if last > next {
		return g.tokens.Slice(next, last), nil, nil
	}
	if g.done && next == g.tokens.Len() {
		g.endSent = true
		if g.err != nil {
			return nil, nil, g.err
		}
		return nil, &savorypinmember.Done{Attempt: g.start.Attempt.ID, Length: next, Reason: g.finishReason}, nil
	}
	return nil, nil, nil
}

// readAcks handles acknowledgements and cancellation by the entry until the stream
// ends.
func (g *generationAttempt) readAcks(ctx context.Context, s *savorypinmember.Stream, reader *attemptReader) {
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
			g.acknowledge(reader, ack.Next)
		case savorypinmember.FrameCancel:
			g.cancel()
			return
		}
	}
}

func (g *generationAttempt) acknowledge(reader *attemptReader, next int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	reader.acked = max(reader.acked, next)
	g.notifyReaders()
}

func (g *generationAttempt) addReader(req readRequest) *attemptReader {
	g.mu.Lock()
	defer g.mu.Unlock()
	reader := &attemptReader{acked: req.next, changed: make(chan struct{}, 1), term: req.term, window: req.window}
	g.readers[reader] = true
	return reader
}

func (g *generationAttempt) removeReader(reader *attemptReader) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.readers, reader)
	g.lastUsed = time.Now()
}

// supersede ends the streams of entries with a lower term.
func (g *generationAttempt) supersede(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for reader := range g.readers {
		if reader.term < term {
			reader.superseded = true
		}
	}
	g.notifyReaders()
}

// handOver ends the attempt so that its entry continues the generation at another
// endpoint.
func (g *generationAttempt) handOver() {
	g.mu.Lock()
	g.handedOver = true
	g.mu.Unlock()
	g.cancel()
}

// drop ends the attempt because no entry needs it any more.
func (g *generationAttempt) drop() {
	g.mu.Lock()
	g.dropped = true
	g.mu.Unlock()
	g.cancel()
}

// expired reports whether nobody has read the attempt for longer than the grace
// period, or for longer than attemptRetention if it has ended.
func (g *generationAttempt) expired(now time.Time, grace time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.done {
		grace = attemptRetention
	}
	return len(g.readers) == 0 && now.Sub(g.lastUsed) > grace
}

// allowsExit reports whether the agent may exit without losing the attempt: its
// successful end was passed to the stream of an entry, or an entry has dropped it
// because the generation continues elsewhere, or nobody has read it for longer than
// the grace period. Sending a failure to an entry is not enough, since the entry may
// stop before it has started another attempt.
func (g *generationAttempt) allowsExit(now time.Time, grace time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.done || len(g.readers) > 0 {
		return false
	}
	return (g.endSent && g.err == nil) || g.dropped || now.Sub(g.lastUsed) > grace
}

func (g *generationAttempt) evictable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.done && len(g.readers) == 0
}

func (g *generationAttempt) heldMessage() savorypinmember.HeldAttempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	lineage := append(savorypin.Lineage{}, g.start.Lineage...)
	if g.tokens.Len() > g.firstIndex {
		lineage = append(lineage, savorypin.Segment{Attempt: g.start.Attempt.ID, First: g.firstIndex})
	}
	return savorypinmember.HeldAttempt{
		Attempt:       g.start.Attempt.ID,
		Endpoint:      g.start.Endpoint,
		Generation:    g.start.Generation,
		Lineage:       lineage,
		Model:         g.start.Model,
		Tokens:        g.tokens.Slice(0, g.tokens.Len()),
		Version:       g.start.Version,
		RemainingWait: time.Until(g.deadline),
	}
}

func (g *generationAttempt) state() AttemptState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return AttemptState{
		Attempt:    g.start.Attempt.ID.String(),
		Endpoint:   g.start.Endpoint,
		Finished:   g.done,
		Generation: g.start.Attempt.Generation,
		Produced:   g.tokens.Len() - g.firstIndex,
		Readers:    len(g.readers),
		Version:    g.start.Version,
	}
}
