package savorypinentry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinresume"
	"savorypin/internal/savorypinroute"
)

// Times and sizes of attempts.
const (
	// ackTokens is how many tokens are acknowledged at once.
	ackTokens = windowTokens / 4
	// dialTimeout bounds the opening of a connection to an agent.
	dialTimeout = 500 * time.Millisecond
	// dropPause is the first pause between tries to end an attempt elsewhere.
	dropPause = 500 * time.Millisecond
	// dropTimeout bounds the message that ends an attempt elsewhere.
	dropTimeout = 2 * time.Second
	// quietLimit is how long a connection may be quiet until another one is
	// tried. A live connection is heard of every 250 ms and a round trip.
	quietLimit = 350 * time.Millisecond
	// windowTokens is how many tokens an agent may send ahead.
	windowTokens = 512
)

// errReplaced ends a stream because a newer one serves its attempt.
var errReplaced = errors.New("a newer stream serves the attempt")

// stream is the stream that serves an attempt.
type stream struct {
	address   string
	attempt   savorypin.AttemptID
	cancel    context.CancelCauseFunc
	candidate savorypinroute.Candidate
	clock     *attemptClock
	conn      atomic.Pointer[savorypinmember.Conn]
	purpose   savorypin.Purpose
	ticket    *savorypinresume.Ticket
}

// silent reports whether nothing at all has come lately on the connection of
// an attempt. The caller holds r.mu.
func (r *Relay) silent(id savorypin.AttemptID) bool {
	s, ok := r.streams[id]
	if !ok {
		return false
	}
	conn := s.conn.Load()
	return conn != nil && conn.Quiet() > quietLimit
}

// do carries out what the machine decided. The caller holds r.mu; nothing here
// blocks.
func (r *Relay) do(actions []savorypinresume.Action) {
	for _, action := range actions {
		switch action.Kind {
		case savorypinresume.ActionAttach:
			r.attach(action)
		case savorypinresume.ActionCancel:
			r.drop(action)
		case savorypinresume.ActionFinish:
			r.finished()
		case savorypinresume.ActionPlace:
			go r.place(action.Purpose)
		}
	}
	r.arm()
}

// startAt starts an attempt at an endpoint. The caller holds r.mu.
func (r *Relay) startAt(candidate savorypinroute.Candidate, purpose savorypin.Purpose, ticket *savorypinresume.Ticket) bool {
	now := time.Now()
	log := r.machine.Log()
	id, ok := r.machine.Placed(now, candidate.Endpoint().Name, r.firstTokenWithin(candidate, log.Len()))
	if !ok {
		return false
	}
	s := &stream{
		address:   candidate.Member().Address,
		attempt:   id,
		candidate: candidate,
		clock:     newAttemptClock(candidate, purpose, now),
		purpose:   purpose,
		ticket:    ticket,
	}
	start := savorypinmember.Start{
		Attempt:    savorypinmember.Attempt{Generation: r.gen.ID, ID: id},
		Delivered:  log.Tokens(0),
		Endpoint:   candidate.Endpoint().Name,
		Generation: r.gen,
		Lineage:    log.Lineage(),
		Model:      r.model,
		Version:    r.version,
		Window:     windowTokens,
		Within:     time.Until(r.deadline),
	}
	r.entry.countAttempt(s, r.gen, log)
	r.follow(s, savorypinmember.FrameStart, start)
	r.arm()
	return true
}

// attach asks for an attempt's tokens on a new stream. The caller holds r.mu.
func (r *Relay) attach(action savorypinresume.Action) {
	old, ok := r.streams[action.Attempt]
	if !ok {
		return
	}
	old.cancel(errReplaced)
	next := &stream{
		address:   old.address,
		attempt:   old.attempt,
		candidate: old.candidate,
		clock:     old.clock,
		purpose:   old.purpose,
	}
	r.entry.daemon.Transport().Renew(next.address, quietLimit)
	r.entry.count("resume.attaches", 1)
	r.follow(next, savorypinmember.FrameAttach, savorypinmember.Attach{
		Attempt: savorypinmember.Attempt{Generation: r.gen.ID, ID: action.Attempt},
		From:    action.From,
		Term:    r.machine.Term(),
		Window:  windowTokens,
	})
}

// drop ends an attempt that is no longer wanted. The caller holds r.mu.
func (r *Relay) drop(action savorypinresume.Action) {
	s, ok := r.streams[action.Attempt]
	if !ok {
		return
	}
	r.entry.count("resume.failures."+string(action.Cause), 1)
	if action.Cause == savorypinresume.CauseHost {
		r.entry.suspects.add(s.candidate.Endpoint().Name, time.Now())
	}
	s.cancel(context.Canceled)
	delete(r.streams, action.Attempt)
	r.observe(s, r.dropError(s, action.Cause))
	go r.entry.dropAttempt(s.address, savorypinmember.Attempt{Generation: r.gen.ID, ID: s.attempt})
}

// dropError returns what a dropped attempt shows of its endpoint. One that was
// superseded or cancelled shows no fault.
func (r *Relay) dropError(s *stream, cause savorypinresume.Cause) error {
	if cause == savorypinresume.CauseSuperseded {
		return nil
	}
	return savorypin.Errorf(savorypin.KindIncomplete, s.candidate.Endpoint().Name, "attempt failed: %s", cause)
}

// dropAttempt asks an agent to end an attempt. A host that is silent is asked
// again after growing pauses, so that one that was paused does not go on in
// vain when it is back; after the grace the agent ends the attempt by itself.
func (e *Entry) dropAttempt(address string, attempt savorypinmember.Attempt) {
	for pause := dropPause; ; pause *= 2 {
		err := e.tryDrop(address, attempt)
		if err == nil {
			return
		}
		e.daemon.Logger().Debug("Attempt not dropped", "request", attempt.Generation, "attempt", attempt.ID, "err", err)
		if pause >= e.cfg.Settings.Grace() {
			return
		}
		time.Sleep(pause)
	}
}

func (e *Entry) tryDrop(address string, attempt savorypinmember.Attempt) error {
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	_, err := savorypinmember.Call[savorypinmember.Drop, savorypinmember.Empty](
		ctx, e.daemon.Transport(), address, savorypinmember.FrameDrop, savorypinmember.Drop{Attempt: attempt})
	return err
}

// follow opens a stream for an attempt and takes what it brings. The caller
// holds r.mu.
func (r *Relay) follow(s *stream, kind savorypinmember.FrameKind, msg any) {
	ctx, cancel := context.WithCancelCause(context.Background())
	s.cancel = cancel
	r.streams[s.attempt] = s
	go func() {
		defer cancel(nil)
		var sent bool
		err := r.entry.contain("attempt", func() (err error) {
			sent, err = r.run(ctx, s, kind, msg)
			return err
		})
		if s.ticket != nil {
			s.ticket.Leave()
		}
		r.ended(s, kind, sent, err)
	}()
}

// run serves one stream until it ends. It reports whether the first frame was
// handed to the connection.
func (r *Relay) run(ctx context.Context, s *stream, kind savorypinmember.FrameKind, msg any) (bool, error) {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := r.entry.daemon.Transport().Get(dialing, s.address)
	cancel()
	if err != nil {
		return false, err
	}
	s.conn.Store(conn)
	st, err := conn.Open()
	if err != nil {
		return false, err
	}
	defer st.Close()
	if err := st.Send(ctx, kind, msg); err != nil {
		return false, err
	}
	acked := 0
	for {
		f, err := st.Receive(ctx)
		if err != nil {
			return true, err
		}
		next, done, err := r.take(s, f)
		if done || err != nil {
			return true, err
		}
		if next-acked >= ackTokens {
			acked = next
			// A connection that has ended shows at the next frame.
			_ = st.SendNow(savorypinmember.FrameAck, savorypinmember.Ack{Next: next})
		}
	}
}

// take hands one frame to the machine. It returns the length of the log and
// whether the generation has ended.
func (r *Relay) take(s *stream, f savorypinmember.Frame) (int, bool, error) {
	switch f.Kind {
	case savorypinmember.FrameTokens:
		msg, err := savorypinmember.Decode[savorypinmember.Tokens](f)
		if err != nil {
			return 0, false, err
		}
		r.entry.countBytes(s, len(f.Body))
		return r.deliver(s, msg), false, nil
	case savorypinmember.FrameDone:
		msg, err := savorypinmember.Decode[savorypinmember.Done](f)
		if err != nil {
			return 0, false, err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		actions := r.machine.Done(time.Now(), msg.Attempt, msg.Length, msg.Reason)
		if len(actions) > 0 && r.machine.End() != nil {
			r.observe(s, nil)
		}
		r.do(actions)
		return r.machine.Log().Len(), r.machine.End() != nil, nil
	default:
		return 0, false, savorypin.Errorf(savorypin.KindInvalid, string(f.Kind), "unexpected frame")
	}
}

func (r *Relay) deliver(s *stream, msg savorypinmember.Tokens) int {
	now := time.Now()
	r.mu.Lock()
	taken, actions := r.machine.Tokens(now, msg.Attempt, msg.First, msg.Tokens)
	first := taken > 0 && s.clock.tokens == 0
	if taken > 0 {
		s.clock.produced(taken, now)
		r.wake()
	}
	r.do(actions)
	next := r.machine.Log().Len()
	r.mu.Unlock()
	if first {
		r.begun(s)
	}
	if lost := len(msg.Tokens) - taken; lost > 0 {
		r.entry.count("resume.discarded_tokens", lost)
	}
	return next
}

// begun is called when the first token of an attempt has been taken.
func (r *Relay) begun(s *stream) {
	if s.ticket != nil {
		s.ticket.Leave()
	}
	r.dropLeaving()
	if s.attempt.Number > 1 {
		go r.entry.announce(savorypinresume.Place{
			Address:    s.address,
			Agent:      s.candidate.Member().Name,
			Attempt:    s.attempt,
			Generation: r.gen.ID,
		}, time.Until(r.deadline)+relayRetainFor)
	}
}

// dropLeaving tells agents that stop that their attempts are held elsewhere
// now. Until then they wait, since this entry may stop as well.
func (r *Relay) dropLeaving() {
	r.mu.Lock()
	leaving := r.leaving
	r.leaving = nil
	r.mu.Unlock()
	for _, s := range leaving {
		go r.entry.dropAttempt(s.address, savorypinmember.Attempt{Generation: r.gen.ID, ID: s.attempt})
	}
}

// ended tells the machine how a stream ended.
func (r *Relay) ended(s *stream, kind savorypinmember.FrameKind, sent bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.streams[s.attempt] != s {
		// A newer stream serves the attempt, or the attempt has been dropped.
		return
	}
	delete(r.streams, s.attempt)
	var told *savorypin.Error
	switch {
	case errors.As(err, &told):
		r.failed(s, now, causeOf(told), told)
	case sent:
		r.streams[s.attempt] = s
		r.do(r.machine.Lost(now, s.attempt))
	case kind == savorypinmember.FrameStart:
		// Nothing was sent, so the endpoint has not seen the attempt.
		r.entry.suspects.add(s.candidate.Endpoint().Name, now)
		r.failed(s, now, savorypinresume.CauseRefused, err)
	default:
		r.entry.suspects.add(s.candidate.Endpoint().Name, now)
		r.failed(s, now, savorypinresume.CauseHost, err)
	}
}

// failed tells the machine that an attempt has failed for good. The caller
// holds r.mu.
func (r *Relay) failed(s *stream, now time.Time, cause savorypinresume.Cause, err error) {
	r.entry.daemon.Logger().Warn("Attempt failed", "request", r.gen.ID, "attempt", s.attempt,
		"endpoint", s.candidate.Endpoint().Name, "cause", cause, "err", err)
	r.entry.count("resume.failures."+string(cause), 1)
	if cause == savorypinresume.CauseHost {
		// The host may have been paused and go on when it is back.
		go r.entry.dropAttempt(s.address, savorypinmember.Attempt{Generation: r.gen.ID, ID: s.attempt})
	}
	if cause == savorypinresume.CauseStopping {
		r.leaving = append(r.leaving, s)
	}
	if cause == savorypinresume.CauseStopping || cause == savorypinresume.CauseSuperseded {
		// Neither is a fault of the endpoint.
		r.observe(s, nil)
	} else {
		r.observe(s, err)
	}
	r.do(r.machine.Failed(now, s.attempt, cause, err))
}

// observe reports what an attempt showed. The caller holds r.mu.
func (r *Relay) observe(s *stream, err error) {
	if s.candidate.Endpoint().Name == "" {
		// The endpoint of an adopted attempt may not be known here.
		return
	}
	r.entry.observe(s.clock.observation(r.gen, r.version, err))
}

// causeOf tells why an attempt failed from what its agent said.
func causeOf(err *savorypin.Error) savorypinresume.Cause {
	switch err.Kind {
	case savorypin.KindConflict:
		return savorypinresume.CauseSuperseded
	case savorypin.KindNotFound:
		return savorypinresume.CauseMissing
	case savorypin.KindNotRun:
		return savorypinresume.CauseRefused
	case savorypin.KindUnreachable:
		return savorypinresume.CauseStopping
	default:
		return savorypinresume.CauseEngine
	}
}
