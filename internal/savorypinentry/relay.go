package savorypinentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinresume"
	"savorypin/internal/savorypinroute"
)

// Settings of the relay.
const (
	// relayRetainFor is how long a relay without readers is kept.
	relayRetainFor = 15 * time.Second
	// retryPause is the pause before the choice of an endpoint is tried again.
	retryPause = 100 * time.Millisecond
	// stallAfter is the gap between tokens after which an attempt is taken as
	// stalled.
	stallAfter = 2 * time.Second
	// windowTokens is how many tokens an agent may send ahead.
	windowTokens = 4096
)

// Request is what a caller asks to be generated.
type Request struct {
	// Generation is what to generate; its id is set by Start.
	Generation savorypin.Generation
	// Timeout is how long the caller waits; zero if the caller states none.
	Timeout time.Duration
}

// End is how a generation ended.
type End struct {
	// Err is why the answer is not whole; nil if it is.
	Err error
	// Reason is why the answer ended.
	Reason savorypin.FinishReason
}

// Relay carries one generation from endpoints to readers.
type Relay struct {
	cancel   context.CancelFunc
	deadline time.Time
	entry    *Entry
	gen      savorypin.Generation

	mu       sync.Mutex
	changed  chan struct{}
	clock    *attemptClock
	end      *End
	failed   map[string]bool
	lastUsed time.Time
	log      savorypinresume.Log
	readers  int
	resumes  int
	version  string
}

// Start begins a generation.
func (e *Entry) Start(req Request) (*Relay, error) {
	spec, ok := e.daemon.Config().Service(req.Generation.Service)
	if !ok || spec.Type != savorypin.ServiceGeneration {
		return nil, savorypin.Errorf(savorypin.KindNotFound, req.Generation.Service, "no such generating service")
	}
	if !e.daemon.Ready() {
		return nil, savorypin.Errorf(savorypin.KindNotRun, e.cfg.Settings.Name, "entry is not ready").WithRetryAfter(time.Second)
	}
	admission, err := e.admit(req.Generation.Organisation, req.Generation.MaxTokens)
	if err != nil {
		return nil, err
	}
	version := e.chooseVersion(req.Generation, savorypin.PurposeFirst)
	need := e.generationNeed(req.Generation, version, savorypin.PurposeFirst, nil)
	candidate, err := e.place(need, timeout(req.Timeout, spec))
	if err != nil {
		admission.Cancel()
		return nil, err
	}
	req.Generation.ID = savorypin.NewGenerationID(candidate.Member().Name)
	req.Generation.Priority = spec.Priority
	r := e.newRelay(req.Generation, time.Now().Add(timeout(req.Timeout, spec)))
	r.version = version
	go func() {
		defer func() { admission.Release(r.length()) }()
		r.run(&candidate)
	}()
	return r, nil
}

func (e *Entry) newRelay(gen savorypin.Generation, deadline time.Time) *Relay {
	r := &Relay{
		cancel:   func() {},
		changed:  make(chan struct{}),
		clock:    &attemptClock{},
		deadline: deadline,
		entry:    e,
		failed:   map[string]bool{},
		gen:      gen,
		lastUsed: time.Now(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relays[gen.ID] = r
	return r
}

// Find returns the relay of a generation. If this entry has none, it looks for
// the generation at the agent that the id names and takes it over.
func (e *Entry) Find(ctx context.Context, id savorypin.GenerationID) (*Relay, error) {
	e.mu.Lock()
	r, ok := e.relays[id]
	e.mu.Unlock()
	if ok {
		return r, nil
	}
	m, ok := e.daemon.Members().Get(id.Agent())
	if !ok {
		return nil, savorypin.Errorf(savorypin.KindNotFound, string(id), "no such generation")
	}
	found, err := savorypinmember.Call[savorypinmember.Find, savorypinmember.Found](
		ctx, e.daemon.Transport(), m.State().Address, savorypinmember.FrameFind, savorypinmember.Find{Generation: id})
	if err != nil {
		return nil, savorypin.Errorf(savorypin.KindNotFound, string(id), "no such generation: %w", err)
	}
	r = e.newRelay(found.Generation, found.Deadline)
	r.version = found.Version
	r.log.Begin(found.Attempt.Number)
	if _, err := r.log.Offer(found.Attempt.Number, 0, found.Delivered); err != nil {
		return nil, savorypin.Errorf(savorypin.KindIncomplete, string(id), "%w", err)
	}
	go r.adopt(m.State(), found)
	return r, nil
}

// Cancel ends a generation.
func (e *Entry) Cancel(ctx context.Context, id savorypin.GenerationID) error {
	r, err := e.Find(ctx, id)
	if err != nil {
		return err
	}
	r.finish(End{Reason: savorypin.FinishCancelled})
	return nil
}

// Generation returns what is generated.
func (r *Relay) Generation() savorypin.Generation {
	return r.gen
}

// Version returns the version that generates.
func (r *Relay) Version() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// length returns the number of tokens so far.
func (r *Relay) length() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Len()
}

// Attempts returns the number of attempts so far.
func (r *Relay) Attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Attempt()
}

// Read returns the tokens from an index on, or the end of the generation once
// there are none. It waits until there is either.
func (r *Relay) Read(ctx context.Context, from int) ([]savorypin.Token, *End, error) {
	r.enter()
	defer r.leave()
	for {
		r.mu.Lock()
		tokens, end, changed := r.log.Tokens(from), r.end, r.changed
		r.mu.Unlock()
		if len(tokens) > 0 {
			return tokens, nil, nil
		}
		if end != nil {
			return nil, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// run makes attempts until one finishes the answer or the caller's time is up.
func (r *Relay) run(first *savorypinroute.Candidate) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	r.setCancel(cancel)
	for {
		candidate, ok := r.choose(first)
		first = nil
		if ok {
			err := r.attempt(ctx, candidate)
			if err == nil || r.settled() {
				return
			}
			r.entry.daemon.Logger().Warn("Attempt failed",
				"request", r.gen.ID, "attempt", r.Attempts(), "endpoint", candidate.Endpoint().Name, "err", err)
			r.avoid(candidate.Endpoint().Name)
		}
		select {
		case <-ctx.Done():
			r.finish(End{Err: r.expired()})
			return
		case <-time.After(r.pause(ok)):
		}
	}
}

// adopt goes on with an attempt that another entry began.
func (r *Relay) adopt(agent savorypin.MemberState, found savorypinmember.Found) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	r.setCancel(cancel)
	err := r.attach(ctx, agent.Address)
	cancel()
	if err != nil && !r.settled() {
		r.avoid(found.Endpoint)
		r.run(nil)
	}
}

func (r *Relay) choose(first *savorypinroute.Candidate) (savorypinroute.Candidate, bool) {
	if first != nil {
		return *first, true
	}
	r.mu.Lock()
	need := r.entry.generationNeed(r.gen, r.version, r.purpose(), r.failed)
	r.mu.Unlock()
	return r.entry.pick(need)
}

// purpose says why the next attempt is made. The caller holds r.mu.
func (r *Relay) purpose() savorypin.Purpose {
	switch {
	case r.log.Len() > 0:
		return savorypin.PurposeResume
	case r.log.Attempt() > 0:
		return savorypin.PurposeRetry
	default:
		return savorypin.PurposeFirst
	}
}

// avoid remembers that an endpoint failed this generation.
func (r *Relay) avoid(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[endpoint] = true
	r.resumes++
}

// pause returns how long to wait before the next attempt. Where no endpoint is
// left, those that failed may be tried again.
func (r *Relay) pause(tried bool) time.Duration {
	if tried {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = map[string]bool{}
	return retryPause
}

// expired returns the error of a generation whose time is up.
func (r *Relay) expired() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log.Len() > 0 {
		return savorypin.Errorf(savorypin.KindIncomplete, string(r.gen.ID), "time is up after %d tokens", r.log.Len())
	}
	return savorypin.Errorf(savorypin.KindNotRun, string(r.gen.ID), "time is up before the first token")
}

func (r *Relay) attempt(ctx context.Context, candidate savorypinroute.Candidate) error {
	r.mu.Lock()
	r.clock = newAttemptClock(candidate, r.purpose(), time.Now())
	r.mu.Unlock()
	err := r.stream(ctx, candidate.Member().Address, savorypinmember.FrameStart, r.begin(candidate))
	r.mu.Lock()
	observation := r.clock.observation(r.gen, r.version, err)
	r.mu.Unlock()
	r.entry.observe(observation)
	return err
}

func (r *Relay) attach(ctx context.Context, address string) error {
	r.mu.Lock()
	attach := savorypinmember.Attach{
		Attempt: savorypinmember.Attempt{Generation: r.gen.ID, Number: r.log.Attempt()},
		From:    r.log.Len(),
		Window:  windowTokens,
	}
	r.mu.Unlock()
	return r.stream(ctx, address, savorypinmember.FrameAttach, attach)
}

func (r *Relay) begin(candidate savorypinroute.Candidate) savorypinmember.Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Begin(r.log.Attempt() + 1)
	version, _ := r.entry.daemon.Config().Version(r.version)
	return savorypinmember.Start{
		Attempt:    savorypinmember.Attempt{Generation: r.gen.ID, Number: r.log.Attempt()},
		Deadline:   r.deadline,
		Delivered:  r.log.Tokens(0),
		Endpoint:   candidate.Endpoint().Name,
		Generation: r.gen,
		Model:      version.Model,
		Version:    r.version,
		Window:     windowTokens,
	}
}

// stream opens a stream to an agent and takes what it sends until the attempt
// ends.
func (r *Relay) stream(ctx context.Context, address string, kind savorypinmember.FrameKind, msg any) error {
	conn, err := r.entry.daemon.Transport().Get(ctx, address)
	if err != nil {
		return err
	}
	s, err := conn.Open()
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send(ctx, kind, msg); err != nil {
		return err
	}
	for {
		f, err := r.receive(ctx, s)
		if err != nil {
			// The agent may live; it should not go on in vain.
			_ = s.Send(context.Background(), savorypinmember.FrameCancel, savorypinmember.Cancel{})
			return err
		}
		done, err := r.take(ctx, s, f)
		if done || err != nil {
			return err
		}
	}
}

func (r *Relay) receive(ctx context.Context, s *savorypinmember.Stream) (savorypinmember.Frame, error) {
	limited, cancel := context.WithTimeout(ctx, stallAfter)
	defer cancel()
	f, err := s.Receive(limited)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return f, savorypin.Errorf(savorypin.KindIncomplete, string(r.gen.ID), "attempt stalled for %s", stallAfter)
	}
	return f, err
}

// take handles one frame and reports whether the generation is finished.
func (r *Relay) take(ctx context.Context, s *savorypinmember.Stream, f savorypinmember.Frame) (bool, error) {
	switch f.Kind {
	case savorypinmember.FrameTokens:
		msg, err := savorypinmember.Decode[savorypinmember.Tokens](f)
		if err != nil {
			return false, err
		}
		return false, r.deliver(ctx, s, msg)
	case savorypinmember.FrameDone:
		msg, err := savorypinmember.Decode[savorypinmember.Done](f)
		if err != nil {
			return false, err
		}
		return r.complete(msg)
	default:
		return false, savorypin.Errorf(savorypin.KindInvalid, string(f.Kind), "unexpected frame")
	}
}

func (r *Relay) deliver(ctx context.Context, s *savorypinmember.Stream, msg savorypinmember.Tokens) error {
	r.mu.Lock()
	taken, err := r.log.Offer(msg.Attempt.Number, msg.First, msg.Tokens)
	next := r.log.Len()
	if taken > 0 {
		r.clock.produced(taken, time.Now())
		r.wake()
	}
	r.mu.Unlock()
	if err != nil {
		return err
	}
	return s.Send(ctx, savorypinmember.FrameAck, savorypinmember.Ack{Next: next})
}

func (r *Relay) complete(msg savorypinmember.Done) (bool, error) {
	r.mu.Lock()
	mine := msg.Attempt.Number == r.log.Attempt()
	whole := msg.Length == r.log.Len()
	r.mu.Unlock()
	if !mine || !whole {
		return false, savorypinresume.ErrGap
	}
	r.finish(End{Reason: msg.Reason})
	return true, nil
}

func (r *Relay) finish(end End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end == nil {
		r.end = &end
		r.wake()
	}
	r.cancel()
}

func (r *Relay) setCancel(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
}

// wake lets all readers look again. The caller holds r.mu.
func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) enter() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

func (r *Relay) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastUsed = time.Now()
	r.readers--
}

func (r *Relay) abandoned(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && now.Sub(r.lastUsed) > relayRetainFor
}

func (r *Relay) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end != nil
}

// RelayState is one generation in the state dump.
type RelayState struct {
	Attempt   int                    `json:"attempt"`
	Delivered int                    `json:"delivered"`
	Finished  bool                   `json:"finished"`
	ID        savorypin.GenerationID `json:"id"`
	Service   string                 `json:"service"`
	Version   string                 `json:"version"`
}

func (r *Relay) state() RelayState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RelayState{
		Attempt:   r.log.Attempt(),
		Delivered: r.log.Len(),
		Finished:  r.end != nil,
		ID:        r.gen.ID,
		Service:   r.gen.Service,
		Version:   r.version,
	}
}
