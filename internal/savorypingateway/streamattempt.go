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

// attempt relays the response of one endpoint. It returns nil if the response is complete.
func (s *stream) attempt(ctx context.Context, e *savorypinfleet.Endpoint, restore bool) error {
	g := s.gateway
	s.tried[e.ID()] = true
	s.attemptEvents = 0
	// An attempt that does not begin leaves its place to others.
	defer s.returnPlace()
	conn, err := g.connectFor(ctx, e, s.req)
	if err != nil {
		return err
	}
	if s.attempts > 0 && !s.repeatTaken && !g.retryBudgets.forService(s.req.service.Name()).TryRepeat() {
		g.pool.Put(conn, 0)
		return errBudgetSpent
	}
	s.repeatTaken = false
	defer context.AfterFunc(ctx, conn.Close)()
	var backup *savorypinfleet.Endpoint
	if s.req.service.Backups() {
		backup = g.picker.ChooseBackup(e, g.query(s.req, s.tried))
	}
	tokens := s.req.call.PromptTokens
	if restore || g.picker.PromptCachedAt(e, s.req.call.PromptID) {
		tokens = 0
	}
	s.fullPrefill = tokens > 0
	load := g.loadOf(e)
	s.countMemory(e, backup)
	work := g.picker.Begin(e, backup, tokens)
	work.Reserve(s.req.reserveTokens())
	s.releasePlace()
	defer g.queues.attemptEnded(s.req.service.Name())
	defer work.End()
	w := g.newWatchdog(ctx, s, e, conn, backup != nil)
	defer w.stop()
	s.attempts++
	s.sequel = s.attempts > 1 || g.suspects(s.req)
	a := savorypinfleet.Attempt{
		Backup: backup, Call: s.req.call, Deadline: s.req.remaining(), Endpoint: e, LastEventID: s.lastEventHeader(),
		Organisation: s.req.organisation, Priority: s.req.priority.forAttempt(s.lastEventID > 0), RestoreFromBackup: restore,
	}
	s.logSent(a, load)
	start := time.Now()
	g.rollouts.CountSent(e.Service(), e.Version())
	err = s.exchange(conn, a, w, work.RecordPrefill)
	if err == nil {
		g.picker.ClearSuspicion(e)
		g.recordVersionResult(s.req, e, false, time.Since(start))
		return nil
	}
	conn.Close()
	if ctx.Err() != nil {
		return err
	}
	return s.handleFailure(ctx, e, w, err, time.Since(start))
}

// handleFailure handles a failed attempt by its cause, and returns an error that names the cause.
func (s *stream) handleFailure(ctx context.Context, e *savorypinfleet.Endpoint, w *watchdog, err error, took time.Duration) error {
	g := s.gateway
	s.repeatTaken = w.repeatTaken.Load()
	if !errors.Is(err, errReplaced) && !errors.Is(err, errNotRun) && g.quarantine.Confined(g.subjects(s.req)) == nil {
		g.recordVersionResult(s.req, e, true, took)
	}
	switch {
	case w.confined.Load():
		err = errConfined
		g.abandon(s.crash(e))
	case w.unreachable.Load():
		err = errUnreachable
		g.markEndpointFailed(e, err.Error())
	case w.stalled.Load():
		// The response was lost or the engine hangs. The endpoint is not marked suspect, since
		// other requests still get their responses from it.
		err = errStalled
		s.stalledAttempts++
	case errors.Is(err, errReplaced):
		g.picker.RecordReplacement(e)
		g.markEndpointFailed(e, err.Error())
	case errors.Is(err, errNotRun), errors.Is(err, errCallerWrite), errors.Is(err, errEndpointFailed):
	case isProtocolError(err):
		g.handleProtocolError(e, err.Error())
	default:
		s.handleBrokenConnection(ctx, e, err.Error())
	}
	return err
}

// lastEventHeader returns the ID of the last event that the caller has, for the next attempt.
func (s *stream) lastEventHeader() string {
	if s.lastEventID == 0 {
		return s.req.call.LastEventID
	}
	return strconv.FormatInt(s.lastEventID, 10)
}

// exchange sends the request and relays the events of the response.
func (s *stream) exchange(conn *savorypinpool.Conn, a savorypinfleet.Attempt, w *watchdog, onFirstEvent func()) error {
	mayHaveRunBefore := s.mayHaveRun
	s.mayHaveRun = true
	if err := conn.Send(wireRequest(s.gateway.cfg.Codec, a), s.req.deadline); err != nil {
		return err
	}
	resp, err := conn.Receive(s.req.call.Method) //nolint:bodyclose // closing would wait for the rest; the connection is closed instead
	s.req.endUpload()
	if err != nil {
		return err
	}
	reply := s.gateway.cfg.Codec.DecodeReply(resp)
	if !matchesCall(conn, reply, s.req.call) {
		return savorypinpool.ErrUnrelated
	}
	s.gateway.recordAdmission(a.Endpoint, s.req.call, resp.StatusCode, reply)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		s.mayHaveRun = mayHaveRunBefore
		return errReplaced
	case reply.NotExecuted:
		s.mayHaveRun = mayHaveRunBefore
		return errNotRun
	case resp.StatusCode != http.StatusOK:
		return s.keepFailure(conn, resp)
	case reply.ContentEncoded, !reply.Signed:
		return errUnsigned
	}
	if err := s.relay(resp, a, w, onFirstEvent); err != nil {
		return err
	}
	s.gateway.releaseConn(conn, idleTimeout(conn, resp, reply))
	return nil
}

// keepFailure reads an endpoint's error response and keeps it for the caller.
func (s *stream) keepFailure(conn *savorypinpool.Conn, resp *http.Response) error {
	if err := conn.SetReadDeadline(time.Now().Add(failureReadTimeout)); err != nil {
		return err
	}
	body, err := s.req.bodies.read(resp.Body, unknownLength)
	if err != nil {
		return err
	}
	s.failure = &outcome{body: body, kind: outcomeAnswered, resp: resp}
	return fmt.Errorf("%w: status %d", errEndpointFailed, resp.StatusCode)
}

// relay sends the complete events of a response to the caller, each of them once.
func (s *stream) relay(resp *http.Response, a savorypinfleet.Attempt, w *watchdog, onFirstEvent func()) error {
	events := newEventReader(resp.Body)
	var idle idleBytes
	first := true
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			s.recordBegin(w)
			return s.end(resp, idle.comments)
		}
		if err != nil {
			return s.flushAfter(err)
		}
		if !e.advances(s.lastEventID) {
			if err := idle.add(e); err != nil {
				return s.flushAfter(err)
			}
			continue
		}
		if first {
			first = false
			onFirstEvent()
			s.recordFirstEvent(a)
			s.gateway.picker.RecordPromptCached(a.Endpoint, s.req.call.PromptID)
			// Before the first event the run has no KV cache to copy.
			s.backup = a.Backup
		}
		s.attemptEvents++
		if s.attemptEvents == beginEvents {
			s.recordBegin(w)
		}
		w.recordEvent(e.id)
		s.gateway.picker.ClearSuspicion(a.Endpoint)
		if e.id > s.lastEventID+1 {
			return s.flushAfter(fmt.Errorf("%w: %d after %d", errMissingEvents, e.id, s.lastEventID))
		}
		w.pause()
		err = s.deliver(resp, e, idle.takeComments(), !events.buffered())
		w.resume()
		if err != nil {
			return fmt.Errorf("%w: %w", errCallerWrite, err)
		}
	}
}

// recordFirstEvent records the first event of an attempt.
func (s *stream) recordFirstEvent(a savorypinfleet.Attempt) {
	pause := time.Since(s.lastEventAt)
	if s.attempts == 1 {
		s.gateway.counters.firstEvent.Update(pause)
		return
	}
	s.gateway.counters.resumeGap.Update(pause)
	s.gateway.log.Emit(savorypinevent.StreamResumed{
		Age: time.Since(s.req.arrived), Endpoint: a.Endpoint.ID(), Event: s.lastEventID, ID: s.req.call.ID, Pause: pause, Restored: a.RestoreFromBackup,
	})
}

// recordPause records the time since the last event.
func (s *stream) recordPause(now time.Time) {
	pause := now.Sub(s.lastEventAt)
	s.lastEventAt = now
	if s.firstEventDelay == 0 {
		s.firstEventDelay = pause
		return
	}
	s.longestPause = max(s.longestPause, pause)
}

// end handles the end of a response. It sends the header if there was no event to send it with.
func (s *stream) end(resp *http.Response, comments []byte) error {
	if s.attemptEvents == 0 && !framed(resp) {
		return s.flushAfter(errMayBeCutOff)
	}
	s.sendHeader(resp)
	if _, err := s.w.Write(comments); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// sendHeader sends the header of the response to the caller, unless an earlier one was sent.
func (s *stream) sendHeader(resp *http.Response) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.gateway.cfg.Codec.EncodeReply(s.w.Header(), resp, s.req.call)
	s.w.WriteHeader(resp.StatusCode)
}

// deliver sends an event to the caller, after the comments that came before it.
func (s *stream) deliver(resp *http.Response, e event, comments []byte, flush bool) error {
	s.sendHeader(resp)
	for _, p := range [][]byte{comments, e.raw} {
		if _, err := s.w.Write(p); err != nil {
			return err
		}
	}
	s.recordPause(time.Now())
	if e.id > 0 {
		s.lastEventID = e.id
	}
	if !flush {
		return nil
	}
	return s.rc.Flush()
}

// flushAfter sends the events that were written without a flush, as the rest of the next event was
// expected, and returns the error because of which it won't come.
func (s *stream) flushAfter(err error) error {
	if !s.headerSent {
		return err
	}
	if flushErr := s.rc.Flush(); flushErr != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, flushErr)
	}
	return err
}
