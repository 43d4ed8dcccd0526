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
	"savorypin/internal/savorypinforecast"
	"savorypin/internal/savorypinpool"
)

// Settings of streams.
const (
	// resumePriority lets streams that have begun go before new ones.
	resumePriority = 1
	// endpointPause is the time between two looks for an endpoint.
	endpointPause = 50 * time.Millisecond
	// failureTime bounds the time in which an endpoint's failure is read.
	failureTime = 2 * time.Second
)

// Errors of streams.
var (
	errBudget   = errors.New("retry budget is spent")
	errGap      = errors.New("events are missing")
	errOther    = errors.New("another incarnation answers")
	errNotRun   = errors.New("endpoint did not run the request")
	errStuck    = errors.New("endpoint lives but the stream is silent")
	errSilent   = errors.New("endpoint is silent")
	errFailed   = errors.New("endpoint answered with a failure")
	errNoCaller = errors.New("caller does not read")
	errTooLate  = errors.New("not enough time is left for the rest")
)

// stream is a request whose answer is a series of events, over all attempts.
type stream struct {
	// backup keeps a copy of the run's memory, once an event has come; nil for
	// none.
	backup *savorypinfleet.Endpoint
	// begun says that the head of the answer was sent to the caller.
	begun bool
	// fresh says that the whole prompt was read for the first attempt.
	fresh bool
	// firstAfter is the time from the request to the first event.
	firstAfter time.Duration
	// longestPause is the longest time between two events at the caller.
	longestPause time.Duration
	// failure is an endpoint's own failure, which is passed on if nothing better
	// comes.
	failure *outcome
	gateway *Gateway
	// lastAt is when the last event was sent to the caller, or when the request
	// came.
	lastAt time.Time
	// last is the number of the last event that was sent to the caller.
	last int64
	// mayHaveRun says that an endpoint may have run the request.
	mayHaveRun bool
	req        *request
	rc         *http.ResponseController
	sent       int
	// stuck is the number of attempts that were given up although their hosts
	// answered.
	stuck int
	tried map[string]bool
	w     http.ResponseWriter
}

// relayStream relays a request whose answer is a series of events. An answer
// that can't be finished is broken off, so that it does not look complete.
func (g *Gateway) relayStream(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithDeadline(r.Context(), req.until)
	defer cancel()
	defer g.boundWrites(w, req.until)()
	defer req.bodies.release()
	s := &stream{gateway: g, lastAt: req.arrived, rc: http.NewResponseController(w), req: req, tried: map[string]bool{}, w: w}
	if last, err := strconv.ParseInt(req.call.LastEvent, 10, 64); err == nil {
		s.last = last
	}
	defer g.picker.PromptDone(req.call.Prompt)
	err := s.run(ctx)
	if err == nil {
		g.counters.answered.Inc(1)
		s.learn()
		s.logEnd(savorypinevent.KindStreamCompleted, nil)
		return
	}
	if r.Context().Err() != nil {
		s.logEnd(savorypinevent.KindCallerLeft, nil)
		return
	}
	s.logEnd(savorypinevent.KindStreamFailed, err)
	if s.begun {
		g.counters.brokenOff.Inc(1)
		panic(http.ErrAbortHandler)
	}
	s.fail()
}

// fail answers a stream that has not begun.
func (s *stream) fail() {
	g := s.gateway
	switch {
	case s.failure != nil:
		g.counters.failed.Inc(1)
		g.cfg.Codec.EncodeReply(s.w.Header(), s.failure.resp, s.req.call)
		s.w.WriteHeader(s.failure.resp.StatusCode)
		if _, err := s.w.Write(s.failure.body); err != nil {
			g.log.Debug("failure not delivered", "id", s.req.call.ID, "err", err)
		}
	case !s.mayHaveRun && s.tooLate():
		// No attempt within this deadline can be whole.
		g.refuse(s.w, s.req.call, s.req.service.Name(), notRun(errTooLate.Error(), s.req.left()))
	case !s.mayHaveRun:
		g.refuse(s.w, s.req.call, s.req.service.Name(), notRun("no endpoint took the request", g.returnTime(s.req.service.Name())))
	case s.req.over():
		g.refuse(s.w, s.req.call, s.req.service.Name(), &refusal{reason: "no answer in time", status: http.StatusGatewayTimeout})
	default:
		g.refuse(s.w, s.req.call, s.req.service.Name(), &refusal{reason: "endpoint failed", status: http.StatusBadGateway})
	}
}

// run sends the request to endpoints until the answer is complete.
func (s *stream) run(ctx context.Context) error {
	s.gateway.budgets.of(s.req.service.Name()).Earn()
	lastErr := errNotRun
	for s.sent < s.req.route.MaxAttempts() {
		if s.mayHaveRun && !s.req.route.Repeatable() {
			return lastErr
		}
		if s.tooLate() {
			return fmt.Errorf("%w after %w", errTooLate, lastErr)
		}
		e, restore, err := s.next(ctx)
		if err != nil {
			return fmt.Errorf("%w after %w", err, lastErr)
		}
		if lastErr = s.attempt(ctx, e, restore); lastErr == nil {
			return nil
		}
		if ctx.Err() != nil || errors.Is(lastErr, errNoCaller) || errors.Is(lastErr, errBudget) {
			return lastErr
		}
		s.gateway.counters.resumed.Inc(1)
		s.gateway.log.Emit(savorypinevent.StreamBroken{
			Age: time.Since(s.req.arrived), Endpoint: e.ID(), Err: lastErr, Event: s.last, ID: s.req.call.ID,
		})
	}
	return lastErr
}

// tooLate reports whether the rest of the stream can't come before its deadline.
func (s *stream) tooLate() bool {
	rest := savorypinforecast.Rest{Events: s.last, OutputTokens: s.req.call.OutputTokens}
	if s.backup == nil && !s.gateway.picker.Kept(s.req.call.Prompt) {
		rest.PromptTokens = s.req.call.PromptTokens
	}
	return s.req.left() < s.gateway.forecast.Least(s.req.service.Name(), rest)
}

// learn takes note of how fast a whole stream was.
func (s *stream) learn() {
	took := time.Since(s.req.arrived)
	s.gateway.picker.Completed(took)
	if s.sent != 1 || s.req.call.LastEvent != "" {
		return
	}
	run := savorypinforecast.Run{Events: s.last, First: s.firstAfter, OutputTokens: s.req.call.OutputTokens, Took: took}
	if s.fresh {
		run.PromptTokens = s.req.call.PromptTokens
	}
	s.gateway.forecast.Observe(s.req.service.Name(), run)
}

// next returns the endpoint of the next attempt and whether it holds a copy of
// the run's memory.
func (s *stream) next(ctx context.Context) (*savorypinfleet.Endpoint, bool, error) {
	if b := s.backup; b != nil {
		s.backup = nil
		if s.gateway.restores(b) && !s.gateway.picker.Suspect(b) {
			return b, true, nil
		}
	}
	for {
		if e := s.gateway.picker.Choose(s.gateway.query(s.req, s.tried)); e != nil {
			return e, false, nil
		}
		if !s.mayHaveRun || s.gateway.returnTime(s.req.service.Name()) > s.req.left() {
			return nil, false, errNotRun
		}
		// A lost endpoint is back within seconds; what was read is worth the wait.
		clear(s.tried)
		if err := wait(ctx, endpointPause); err != nil {
			return nil, false, err
		}
	}
}

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
