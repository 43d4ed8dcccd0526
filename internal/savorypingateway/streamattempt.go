package savorypingateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// attempt relays what one endpoint answers. It returns nil if the answer is
// complete.
func (s *stream) attempt(ctx context.Context, e *savorypinfleet.Endpoint, restore bool) error {
	g := s.gateway
	s.tried[e.ID()] = true
	conn, err := g.connect(ctx, e)
	if err != nil {
		return err
	}
	if s.sent > 0 && !g.budgets.of(s.req.service.Name()).Spend() {
		g.pool.Put(conn, 0)
		return errBudget
	}
	defer context.AfterFunc(ctx, conn.Close)()
	var backup *savorypinfleet.Endpoint
	if s.req.service.Backups() {
		backup = g.picker.ChooseBackup(e, g.query(s.req, s.tried))
	}
	tokens := s.req.call.PromptTokens
	if restore || g.picker.HasRead(e, s.req.call.Prompt) {
		tokens = 0
	}
	s.fresh = tokens > 0
	waiting := g.picker.Waiting(e)
	work := g.picker.Begin(e, backup, tokens)
	defer work.End()
	w := g.watch(ctx, s.req, e, conn, s.stuck)
	defer w.stop()
	s.sent++
	a := savorypinfleet.Attempt{
		Backup: backup, Call: s.req.call, Deadline: s.req.left(), Endpoint: e, LastEvent: s.lastEvent(),
		Organisation: s.req.organisation, Priority: noPriority, Restore: restore,
	}
	if s.last > 0 {
		a.Priority = resumePriority
	}
	s.logSent(a, waiting)
	began := time.Now()
	g.rollouts.Sent(e.Service(), e.Version())
	err = s.exchange(conn, a, w, work.Read)
	if err == nil {
		g.picker.Clear(e)
		g.noteVersion(s.req, e, false, time.Since(began))
		return nil
	}
	conn.Close()
	if ctx.Err() != nil {
		return err
	}
	return s.ended(e, w, err, time.Since(began))
}

// ended takes note of why an attempt at an endpoint ended, and returns that.
func (s *stream) ended(e *savorypinfleet.Endpoint, w *watch, err error, took time.Duration) error {
	g := s.gateway
	if !errors.Is(err, errOther) && !errors.Is(err, errNotRun) {
		g.noteVersion(s.req, e, true, took)
	}
	switch {
	case w.lost.Load():
		err = errSilent
		g.endpointFailed(e, err.Error())
	case w.stuck.Load():
		// The answer was lost, or the engine hangs; others get theirs from there.
		err = errStuck
		s.stuck++
	case errors.Is(err, errOther):
		g.picker.Replaced(e)
		g.endpointFailed(e, err.Error())
	case errors.Is(err, errNotRun), errors.Is(err, errNoCaller), errors.Is(err, errFailed):
	case noAnswer(err):
		g.endpointDistrusted(e, err.Error())
	default:
		g.brokeOff(e, err.Error())
	}
	return err
}

// lastEvent is the number of the last event that the caller has, as it is sent.
func (s *stream) lastEvent() string {
	if s.last == 0 {
		return s.req.call.LastEvent
	}
	return strconv.FormatInt(s.last, 10)
}

// exchange sends the request and relays the events of the answer.
func (s *stream) exchange(conn *savorypinpool.Conn, a savorypinfleet.Attempt, w *watch, read func()) error {
	before := s.mayHaveRun
	s.mayHaveRun = true
	if err := conn.Send(wireRequest(s.gateway.cfg.Codec, a), s.req.until); err != nil {
		return err
	}
	resp, err := conn.Receive(s.req.call.Method) //nolint:bodyclose // closing would wait for the rest; the connection is closed instead
	if err != nil {
		return err
	}
	reply := s.gateway.cfg.Codec.DecodeReply(resp)
	if !related(conn, reply, s.req.call) {
		return savorypinpool.ErrUnrelated
	}
	s.gateway.noteIntake(a.Endpoint, s.req.call, resp.StatusCode, reply)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		s.mayHaveRun = before
		return errOther
	case reply.NotRun:
		s.mayHaveRun = before
		return errNotRun
	case resp.StatusCode != http.StatusOK:
		return s.failed(conn, resp)
	case reply.Encoded, !reply.Signed:
		return errUnsigned
	}
	if err := s.relay(resp, a, w, read); err != nil {
		return err
	}
	s.gateway.giveBack(conn, idleTime(conn, resp, reply))
	return nil
}

// failed keeps an endpoint's failure.
func (s *stream) failed(conn *savorypinpool.Conn, resp *http.Response) error {
	if err := conn.SetReadDeadline(time.Now().Add(failureTime)); err != nil {
		return err
	}
	body, err := s.req.bodies.read(resp.Body)
	if err != nil {
		return err
	}
	s.failure = &outcome{body: body, kind: outcomeAnswered, resp: resp}
	return fmt.Errorf("%w: status %d", errFailed, resp.StatusCode)
}

// relay passes whole events on, each once.
func (s *stream) relay(resp *http.Response, a savorypinfleet.Attempt, w *watch, read func()) error {
	events := newEventReader(resp.Body)
	first := true
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !e.advances(s.last) {
			// A comment keeps no stream alive, and the caller has the event.
			continue
		}
		if first {
			first = false
			read()
			s.noteFirst(a)
			s.gateway.picker.PromptRead(a.Endpoint, s.req.call.Prompt)
			// A request that has not begun to run has no memory to copy.
			s.backup = a.Backup
		}
		w.event()
		s.gateway.picker.Clear(a.Endpoint)
		if e.id > s.last+1 {
			return fmt.Errorf("%w: %d after %d", errGap, e.id, s.last)
		}
		w.rest()
		err = s.deliver(resp, e, !events.buffered())
		w.resume()
		if err != nil {
			return fmt.Errorf("%w: %w", errNoCaller, err)
		}
	}
}

// noteFirst takes note of the first event of an attempt.
func (s *stream) noteFirst(a savorypinfleet.Attempt) {
	pause := time.Since(s.lastAt)
	if s.sent == 1 {
		s.gateway.counters.firstEvent.Update(pause)
		return
	}
	s.gateway.counters.resumeGap.Update(pause)
	s.gateway.log.Emit(savorypinevent.StreamResumed{
		Age: time.Since(s.req.arrived), Endpoint: a.Endpoint.ID(), Event: s.last, ID: s.req.call.ID, Pause: pause, Restored: a.Restore,
	})
}

// notePause takes note of the time since the last event.
func (s *stream) notePause(now time.Time) {
	pause := now.Sub(s.lastAt)
	s.lastAt = now
	if s.firstAfter == 0 {
		s.firstAfter = pause
		return
	}
	s.longestPause = max(s.longestPause, pause)
}

// deliver sends an event to the caller.
func (s *stream) deliver(resp *http.Response, e event, flush bool) error {
	if !s.begun {
		s.begun = true
		s.gateway.cfg.Codec.EncodeReply(s.w.Header(), resp, s.req.call)
		s.w.WriteHeader(resp.StatusCode)
	}
	if _, err := s.w.Write(e.raw); err != nil {
		return err
	}
	s.notePause(time.Now())
	if e.id > 0 {
		s.last = e.id
	}
	if !flush {
		return nil
	}
	return s.rc.Flush()
}
