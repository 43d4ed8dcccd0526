package savorypinagent

import (
	"context"
	"errors"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinendpoint"
	"savorypin/internal/savorypinmember"
)

// maxBatchTokens is the largest number of tokens in one frame.
const maxBatchTokens = 256

// run is one attempt at a generation and what it has produced.
type run struct {
	cancel context.CancelFunc
	start  savorypinmember.Start

	mu       sync.Mutex
	acked    int
	changed  chan struct{}
	done     bool
	err      error
	lastUsed time.Time
	readers  int
	reason   savorypin.FinishReason
	tokens   []savorypin.Token
}

func (a *Agent) handleStart(ctx context.Context, s *savorypinmember.Stream, first savorypinmember.Frame) error {
	start, err := savorypinmember.Decode[savorypinmember.Start](first)
	if err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "start", "%w", err)
	}
	r, err := a.begin(start)
	if err != nil {
		return err
	}
	return r.serve(ctx, s, len(start.Delivered), start.Window)
}

func (a *Agent) handleAttach(ctx context.Context, s *savorypinmember.Stream, first savorypinmember.Frame) error {
	attach, err := savorypinmember.Decode[savorypinmember.Attach](first)
	if err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "attach", "%w", err)
	}
	a.mu.Lock()
	r, ok := a.runs[attach.Attempt]
	a.mu.Unlock()
	if !ok {
		return savorypin.Errorf(savorypin.KindNotFound, string(attach.Attempt.Generation), "attempt %d is not here", attach.Attempt.Number)
	}
	return r.serve(ctx, s, attach.From, attach.Window)
}

func (a *Agent) handleFind(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Find,
) (savorypinmember.Found, error) {
	a.mu.Lock()
	var newest *run
	for id, r := range a.runs {
		if id.Generation == req.Generation && (newest == nil || id.Number > newest.start.Attempt.Number) {
			newest = r
		}
	}
	a.mu.Unlock()
	if newest == nil {
		return savorypinmember.Found{}, savorypin.Errorf(savorypin.KindNotFound, string(req.Generation), "generation is not here")
	}
	return newest.found(), nil
}

// begin starts the attempt, or returns it if it is running already.
func (a *Agent) begin(start savorypinmember.Start) (*run, error) {
	e, ok := a.endpoints[start.Endpoint]
	if !ok || e.engine == nil {
		return nil, savorypin.Errorf(savorypin.KindNotRun, start.Endpoint, "no such engine beside this agent")
	}
	if a.daemon.Draining() {
		return nil, savorypin.Errorf(savorypin.KindNotRun, a.daemon.Settings().Name, "agent is stopping")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.runs[start.Attempt]; ok {
		return r, nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), start.Deadline)
	r := &run{
		acked:    len(start.Delivered),
		cancel:   cancel,
		changed:  make(chan struct{}),
		lastUsed: time.Now(),
		start:    start,
	}
	a.runs[start.Attempt] = r
	go r.generate(ctx, e.engine)
	return r, nil
}

func (r *run) generate(ctx context.Context, engine *savorypinendpoint.Engine) {
	defer r.cancel()
	reason, err := engine.Generate(ctx, savorypinendpoint.Request{
		Delivered:   r.start.Delivered,
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
	r.reason = reason
	r.wake()
}

// translateEngine turns an error of an engine into one of the core.
func translateEngine(endpoint string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, savorypinendpoint.ErrRefused):
		return savorypin.Errorf(savorypin.KindNotRun, endpoint, "%w", err)
	default:
		return savorypin.Errorf(savorypin.KindIncomplete, endpoint, "%w", err)
	}
}

func (r *run) produce(tokens []savorypin.Token) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, tokens...)
	r.wake()
	return nil
}

// wake lets all readers look again. The caller holds r.mu.
func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// serve streams the tokens from an index on until the attempt has ended and
// all of them are acknowledged.
func (r *run) serve(ctx context.Context, s *savorypinmember.Stream, from, window int) error {
	r.enter(from)
	defer r.leave()
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		r.readAcks(ctx, s)
	}()
	next := from
	for {
		batch, end, changed, err := r.take(next, window)
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
			msg := savorypinmember.Tokens{Attempt: r.start.Attempt, First: next, Tokens: batch}
			if err := s.Send(ctx, savorypinmember.FrameTokens, msg); err != nil {
				return nil // The reader has gone; it attaches again if it lives.
			}
			next += len(batch)
			continue
		}
		select {
		case <-changed:
		case <-gone:
			return nil
		}
	}
}

// take returns the next batch for a reader, or the end of the attempt, or a
// channel that is closed when there may be more.
func (r *run) take(next, window int) ([]savorypin.Token, *savorypinmember.Done, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	base := len(r.start.Delivered)
	if next < base || next > base+len(r.tokens) {
		return nil, nil, nil, savorypin.Errorf(savorypin.KindInvalid, string(r.start.Attempt.Generation),
			"index %d is outside of %d to %d", next, base, base+len(r.tokens))
	}
	last := min(base+len(r.tokens), r.acked+window, next+maxBatchTokens)
	if last > next {
		batch := make([]savorypin.Token, last-next)
		copy(batch, r.tokens[next-base:last-base])
		return batch, nil, nil, nil
	}
	if r.done && next == base+len(r.tokens) {
		if r.err != nil {
			return nil, nil, nil, r.err
		}
		return nil, &savorypinmember.Done{Attempt: r.start.Attempt, Length: next, Reason: r.reason}, nil, nil
	}
	return nil, nil, r.changed, nil
}

// readAcks reads what the entry says until the stream ends.
func (r *run) readAcks(ctx context.Context, s *savorypinmember.Stream) {
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
			r.acknowledge(ack.Next)
		case savorypinmember.FrameCancel:
			r.cancel()
			return
		}
	}
}

func (r *run) acknowledge(next int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = max(r.acked, next)
	r.wake()
}

func (r *run) enter(from int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = from
	r.readers++
}

func (r *run) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastUsed = time.Now()
	r.readers--
}

// abandoned reports whether nobody has read the attempt for long.
func (r *run) abandoned(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && now.Sub(r.lastUsed) > retainFor
}

func (r *run) finished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done && r.readers == 0
}

func (r *run) found() savorypinmember.Found {
	r.mu.Lock()
	defer r.mu.Unlock()
	delivered := append([]savorypin.Token{}, r.start.Delivered...)
	return savorypinmember.Found{
		Attempt:    r.start.Attempt,
		Deadline:   r.start.Deadline,
		Delivered:  append(delivered, r.tokens...),
		Endpoint:   r.start.Endpoint,
		Generation: r.start.Generation,
		Model:      r.start.Model,
		Version:    r.start.Version,
	}
}

func (r *run) state() AttemptState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return AttemptState{
		Attempt:    r.start.Attempt.Number,
		Endpoint:   r.start.Endpoint,
		Finished:   r.done,
		Generation: r.start.Attempt.Generation,
		Produced:   len(r.tokens),
		Version:    r.start.Version,
	}
}
