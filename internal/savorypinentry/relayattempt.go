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

// Timeouts, delays and window sizes of attempts.
const (
	// ackTokens is the number of received tokens after which an acknowledgement is
	// sent.
	ackTokens = windowTokens / 4
	// dialTimeout bounds the opening of a connection to an agent.
	dialTimeout = 500 * time.Millisecond
	// dropRetryDelay is the initial delay between retries of dropping an attempt.
	dropRetryDelay = 500 * time.Millisecond
	// dropTimeout bounds one request to drop an attempt and the storing of a location.
	dropTimeout = 2 * time.Second
	// connReceiveTimeout is how long a connection may receive nothing before the relay
	// opens another one. A working connection receives something every 250 ms plus a
	// round trip.
	connReceiveTimeout = 350 * time.Millisecond
	// windowTokens is the maximum number of unacknowledged tokens that an agent may
	// send.
	windowTokens = 512
)

// errReplaced is the cancellation cause of a stream whose attempt is served by a newer
// stream, or whose generation has ended in this entry.
var errReplaced = errors.New("a newer stream serves the attempt")

// stream is a transport stream from the agent that runs an attempt.
type stream struct {
	address      string
	attempt      savorypin.AttemptID
	cancel       context.CancelCauseFunc
	candidate    savorypinroute.Candidate
	stats        *attemptStats
	conn         atomic.Pointer[savorypinmember.Conn]
	purpose      savorypin.Purpose
	queuedResume *savorypinresume.QueuedResume
}

// connUnresponsive reports whether the connection of an attempt has received nothing
// for connReceiveTimeout. The caller holds r.mu.
func (r *Relay) connUnresponsive(id savorypin.AttemptID) bool {
	s, ok := r.streams[id]
	if !ok {
		return false
	}
	conn := s.conn.Load()
	return conn != nil && conn.IdleTime() > connReceiveTimeout
}

// apply carries out the actions that the state machine returned. It does not block.
// The caller holds r.mu.
func (r *Relay) apply(actions []savorypinresume.Action) {
	for _, action := range actions {
		switch action.Kind {
		case savorypinresume.ActionAttach:
			r.attach(action)
		case savorypinresume.ActionCancel:
			r.drop(action)
		case savorypinresume.ActionFinish:
			r.finish()
		case savorypinresume.ActionPlace:
			go r.placeNext(action.Purpose)
		}
	}
	r.armTimer()
}

// startAt starts an attempt at an endpoint. The caller holds r.mu.
func (r *Relay) startAt(candidate savorypinroute.Candidate, purpose savorypin.Purpose, queuedResume *savorypinresume.QueuedResume) bool {
	now := time.Now()
	log := r.machine.Log()
	id, ok := r.machine.Placed(now, candidate.Endpoint().Name, r.firstTokenTimeout(candidate, log.Len()))
	if !ok {
		return false
	}
	s := &stream{
		address:      candidate.Member().Address,
		attempt:      id,
		candidate:    candidate,
		stats:        newAttemptStats(candidate, purpose, now),
		purpose:      purpose,
		queuedResume: queuedResume,
	}
	start := savorypinmember.Start{
		Attempt:       savorypinmember.Attempt{Generation: r.gen.ID, ID: id},
		Delivered:     log.Tokens(0),
		Endpoint:      candidate.Endpoint().Name,
		Generation:    r.gen,
		Lineage:       log.Lineage(),
		Model:         r.model,
		Version:       r.version,
		Window:        windowTokens,
		RemainingWait: time.Until(r.deadline),
	}
	r.entry.countAttempt(s, r.gen, log)
	r.openStream(s, savorypinmember.FrameStart, start)
	r.armTimer()
	return true
}

// attach requests the tokens of a running attempt on a new stream. The caller holds
// r.mu.
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
		stats:     old.stats,
		purpose:   old.purpose,
	}
	r.entry.daemon.Transport().ReplaceIfIdle(next.address, connReceiveTimeout)
	r.entry.count("resume.attaches", 1)
	r.openStream(next, savorypinmember.FrameAttach, savorypinmember.Attach{
		Attempt: savorypinmember.Attempt{Generation: r.gen.ID, ID: action.Attempt},
		From:    action.From,
		Term:    r.machine.Term(),
		Window:  windowTokens,
	})
}

// drop ends an attempt that the state machine has cancelled. The caller holds r.mu.
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

// dropError returns the error that a dropped attempt is recorded with; nil if it was
// superseded or cancelled, since that is no fault of its endpoint.
func (r *Relay) dropError(s *stream, cause savorypinresume.Cause) error {
	if cause == savorypinresume.CauseSuperseded {
		return nil
	}
	return savorypin.Errorf(savorypin.KindIncomplete, s.candidate.Endpoint().Name, "attempt failed: %s", cause)
}

// dropAttempt asks an agent to end an attempt. If the agent does not answer, the
// request is repeated with growing delays, so that a paused host does not continue an
// attempt that nobody needs when it resumes. After the grace period the agent ends the
// attempt by itself.
func (e *Entry) dropAttempt(address string, attempt savorypinmember.Attempt) {
	for pause := dropRetryDelay; ; pause *= 2 {
		err := e.tryDrop(address, attempt)
		if err == nil {
			return
		}
		e.daemon.Logger().Debug("Failed to drop attempt on its agent", "request", attempt.Generation, "attempt", attempt.ID, "err", err)
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

// openStream opens a stream for an attempt and handles its frames in the background.
// The caller holds r.mu.
func (r *Relay) openStream(s *stream, kind savorypinmember.FrameKind, msg any) {
	ctx, cancel := context.WithCancelCause(context.Background())
	s.cancel = cancel
	r.streams[s.attempt] = s
	go func() {
		defer cancel(nil)
		var sent bool
		err := r.entry.recoverPanic("attempt", func() (err error) {
			sent, err = r.runStream(ctx, s, kind, msg)
			return err
		})
		if s.queuedResume != nil {
			s.queuedResume.Release()
		}
		r.streamEnded(s, kind, sent, err)
	}()
}

// runStream handles one stream until it ends. It reports whether the first frame was
// written to the connection.
func (r *Relay) runStream(ctx context.Context, s *stream, kind savorypinmember.FrameKind, msg any) (bool, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := r.entry.daemon.Transport().Get(dialCtx, s.address)
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
		next, done, err := r.handleFrame(s, f)
		if done || err != nil {
			return true, err
		}
		if next-acked >= ackTokens {
			acked = next
			// If the connection has ended, the next Receive returns the error.
			_ = st.SendNow(savorypinmember.FrameAck, savorypinmember.Ack{Next: next})
		}
	}
}

// handleFrame passes one frame to the state machine. It returns the number of tokens
// in the log and whether the generation has ended.
func (r *Relay) handleFrame(s *stream, f savorypinmember.Frame) (int, bool, error) {
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
		r.apply(actions)
		return r.machine.Log().Len(), r.machine.End() != nil, nil
	default:
		return 0, false, savorypin.Errorf(savorypin.KindInvalid, string(f.Kind), "unexpected frame")
	}
}

func (r *Relay) deliver(s *stream, msg savorypinmember.Tokens) int {
	now := time.Now()
	r.mu.Lock()
	taken, actions := r.machine.Tokens(now, msg.Attempt, msg.First, msg.Tokens)
	first := taken > 0 && s.stats.tokens == 0
	if taken > 0 {
		s.stats.addTokens(taken, now)
		r.notifyReaders()
	}
	r.apply(actions)
	next := r.machine.Log().Len()
	r.mu.Unlock()
	if first {
		r.firstTokenReceived(s)
	}
	if discarded := len(msg.Tokens) - taken; discarded > 0 {
		r.entry.count("resume.discarded_tokens", discarded)
	}
	return next
}

// firstTokenReceived releases the prefill capacity of the attempt and drops failed
// attempts on stopping agents. If the attempt is not the first one, it also stores on
// a few agents where the generation is running now.
func (r *Relay) firstTokenReceived(s *stream) {
	if s.queuedResume != nil {
		s.queuedResume.Release()
	}
	r.dropStopping()
	if s.attempt.Number > 1 {
		go r.entry.storeLocation(savorypinresume.Location{
			Address:    s.address,
			Agent:      s.candidate.Member().Name,
			Attempt:    s.attempt,
			Generation: r.gen.ID,
		}, time.Until(r.deadline)+relayRetention)
	}
}

// dropStopping drops the failed attempts whose agents are stopping. The agents keep
// them until then, since this entry may stop as well before the generation continues
// elsewhere.
func (r *Relay) dropStopping() {
	r.mu.Lock()
	stopping := r.stopping
	r.stopping = nil
	r.mu.Unlock()
	for _, s := range stopping {
		go r.entry.dropAttempt(s.address, savorypinmember.Attempt{Generation: r.gen.ID, ID: s.attempt})
	}
}

// streamEnded passes the end of a stream to the state machine.
func (r *Relay) streamEnded(s *stream, kind savorypinmember.FrameKind, sent bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.streams[s.attempt] != s {
		// A newer stream serves the attempt, or the attempt has been dropped.
		return
	}
	delete(r.streams, s.attempt)
	var agentErr *savorypin.Error
	switch {
	case errors.As(err, &agentErr):
		r.attemptFailed(s, now, causeOf(agentErr), agentErr)
	case sent:
		r.streams[s.attempt] = s
		r.apply(r.machine.ConnectionLost(now, s.attempt))
	case kind == savorypinmember.FrameStart:
		// Nothing was sent, so the endpoint has not seen the attempt.
		r.entry.suspects.add(s.candidate.Endpoint().Name, now)
		r.attemptFailed(s, now, savorypinresume.CauseRefused, err)
	default:
		r.entry.suspects.add(s.candidate.Endpoint().Name, now)
		r.attemptFailed(s, now, savorypinresume.CauseHost, err)
	}
}

// attemptFailed logs and records a permanently failed attempt and passes the failure
// to the state machine. The caller holds r.mu.
func (r *Relay) attemptFailed(s *stream, now time.Time, cause savorypinresume.Cause, err error) {
	r.entry.daemon.Logger().Warn("Attempt failed", "request", r.gen.ID, "attempt", s.attempt,
		"endpoint", s.candidate.Endpoint().Name, "cause", cause, "err", err)
	r.entry.count("resume.failures."+string(cause), 1)
	if cause == savorypinresume.CauseHost {
		// The host may only be paused and would continue the attempt when it resumes.
		go r.entry.dropAttempt(s.address, savorypinmember.Attempt{Generation: r.gen.ID, ID: s.attempt})
	}
	if cause == savorypinresume.CauseStopping {
		r.stopping = append(r.stopping, s)
	}
	if cause == savorypinresume.CauseStopping || cause == savorypinresume.CauseSuperseded {
		// Neither is a fault of the endpoint.
		r.observe(s, nil)
	} else {
		r.observe(s, err)
	}
	r.apply(r.machine.Failed(now, s.attempt, cause, err))
}

// observe records the result of an attempt. The caller holds r.mu.
func (r *Relay) observe(s *stream, err error) {
	if s.candidate.Endpoint().Name == "" {
		// The endpoint of an adopted attempt may not be known here.
		return
	}
	r.entry.observe(s.stats.observation(r.gen, r.version, err))
}

// causeOf returns the cause of a failed attempt from the error of its agent.
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
