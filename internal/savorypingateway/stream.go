package savorypingateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinforecast"
	"savorypin/internal/savorypinquarantine"
)

// Parameters of streams.
const (
	// endpointRetryInterval is the time between two attempts to choose an endpoint.
	endpointRetryInterval = 50 * time.Millisecond
	// failureReadTimeout limits the time to read the body of an endpoint's error response.
	failureReadTimeout = 2 * time.Second
)

// Errors that end a stream or one of its attempts.
var (
	errBudgetSpent      = errors.New("retry budget is spent")
	errMissingEvents    = errors.New("events are missing")
	errReplaced         = errors.New("another incarnation answers")
	errNotRun           = errors.New("endpoint did not run the request")
	errStalled          = errors.New("endpoint's host answers but the stream has stalled")
	errUnreachable      = errors.New("endpoint is silent")
	errEndpointFailed   = errors.New("endpoint responded with an error")
	errCallerWrite      = errors.New("write to caller failed")
	errConfined         = errors.New("part of the prompt is in quarantine")
	errRequestConfined  = errors.New("request is in quarantine")
	errSuspect          = errors.New("request is suspect of crashing endpoints")
	errCrashes          = errors.New("request has crashed endpoints")
	errDeadlineTooClose = errors.New("not enough time is left for the rest")
)

// stream is a request whose response is a sequence of events, over all of its attempts.
type stream struct {
	// attemptEvents is the number of events that the current attempt has added.
	attemptEvents int
	// backup is the endpoint that holds a copy of the run's KV cache, set with the first event
	// of an attempt; nil if there is none.
	backup *savorypinfleet.Endpoint
	// confinement is why the request was not sent, or not sent again; nil if it was for other
	// reasons.
	confinement *savorypinquarantine.Confinement
	// crashed is the number of endpoints that crashed before the answer had begun there.
	crashed atomic.Int32
	// headerSent is set once the response header was sent to the caller.
	headerSent bool
	// fullPrefill is set if the endpoint of the last attempt had to prefill the whole prompt.
	fullPrefill bool
	// firstEventDelay is the time from the request to the first event.
	firstEventDelay time.Duration
	// longestPause is the longest time between two events that were sent to the caller.
	longestPause time.Duration
	// failure is an endpoint's error response, which is sent to the caller if no attempt
	// succeeds.
	failure *outcome
	gateway *Gateway
	// crashChecks are those of the endpoints whose connections broke before the answer had begun there.
	crashChecks crashChecks
	// lastEventAt is when the last event was sent to the caller, or when the request arrived
	// if none was.
	lastEventAt time.Time
	// lastEventID is the number of the last event that was sent to the caller.
	lastEventID int64
	// mayHaveRun is set if an endpoint may have run the request.
	mayHaveRun bool
	// probe is set if the request is a probe of subjects in quarantine.
	probe *savorypinquarantine.Probe
	// place is room at an endpoint that is kept until the next attempt begins; nil if there is none.
	place *place
	req   *request
	rc    *http.ResponseController
	// repeatTaken is set if the next attempt is already counted in the retry budget.
	repeatTaken bool
	attempts    int
	// sequel is set if the current attempt comes after the request may have crashed an endpoint.
	sequel bool
	// stalledAttempts is the number of attempts that were abandoned although their hosts
	// answered.
	stalledAttempts int
	tried           map[string]bool
	w               http.ResponseWriter
	// waitRefusal is the refusal of a stream that did not get a place in time; nil if it isn't one.
	waitRefusal *refusal
}

// relayStream serves a request whose response is a sequence of events. It aborts a response
// that can't be completed, so that it does not look complete.
func (g *Gateway) relayStream(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	defer g.setWriteDeadline(w, req.deadline)()
	defer req.release()
	s := &stream{
		gateway: g, lastEventAt: req.arrived, lastEventID: req.call.LastEvent(), rc: http.NewResponseController(w), req: req,
		tried: map[string]bool{}, w: w,
	}
	defer g.picker.RecordStreamEnd(req.call.PromptID)
	caller := g.bufferFor(r, req)
	err := s.run(ctx)
	if err == nil {
		// What the caller takes beyond that says nothing about the endpoint.
		s.recordDuration()
	}
	if finishErr := caller.finish(); finishErr != nil && err == nil {
		err = fmt.Errorf("%w: %w", errCallerWrite, finishErr)
	}
	switch {
	case err == nil:
		g.counters.answered.Inc(1)
		s.logEnd(savorypinevent.KindStreamCompleted, nil)
		return
	case caller.gaveWay():
		err = errGaveWay
	case callerLeft(r):
		s.logEnd(savorypinevent.KindCallerLeft, nil)
		s.abortBegun()
		return
	}
	s.crashChecks.await(ctx)
	s.logEnd(savorypinevent.KindStreamFailed, err)
	if s.headerSent {
		g.counters.brokenOff.Inc(1)
	}
	s.abortBegun()
	s.sendFailure(err)
}

// abortBegun aborts a response that has begun. Else net/http would end it, also for a caller that has
// only closed its sending side, so that it looks complete.
func (s *stream) abortBegun() {
	if s.headerSent {
		panic(http.ErrAbortHandler)
	}
}

// sendFailure responds to a stream that failed before its response header was sent.
func (s *stream) sendFailure(err error) {
	g := s.gateway
	switch {
	case s.failure != nil:
		g.counters.failed.Inc(1)
		g.cfg.Codec.EncodeReply(s.w.Header(), s.failure.resp, s.req.call)
		s.w.WriteHeader(s.failure.resp.StatusCode)
		if _, err := s.w.Write(s.failure.body); err != nil {
			g.log.Debug("writing the error response to the caller failed", "id", s.req.call.ID, "err", err)
		}
	case s.confinement != nil:
		g.countConfined(s.confinement)
		g.refuse(s.w, s.req.call, s.req.service.Name(), confinedRefusal(s.confinement, s.mayHaveRun))
	case s.waitRefusal != nil:
		g.refuse(s.w, s.req.call, s.req.service.Name(), s.waitRefusal)
	case !s.mayHaveRun:
		g.refuse(s.w, s.req.call, s.req.service.Name(), g.streamNotRunRefusal(s.req, err))
	case g.exiting.Err() != nil:
		g.refuse(s.w, s.req.call, s.req.service.Name(), exitRefusal())
	case s.req.expired():
		g.refuse(s.w, s.req.call, s.req.service.Name(), &refusal{reason: "no answer in time", status: http.StatusGatewayTimeout})
	default:
		g.refuse(s.w, s.req.call, s.req.service.Name(), &refusal{reason: "endpoint failed", status: http.StatusBadGateway})
	}
}

// streamNotRunRefusal returns the refusal of a stream that has not run because of err.
func (g *Gateway) streamNotRunRefusal(req *request, err error) *refusal {
	if errors.Is(err, errDeadlineTooClose) {
		// No attempt can complete before the deadline.
		return notRunRefusal(errDeadlineTooClose.Error(), req.remaining())
	}
	return notRunRefusal("no endpoint took the request", g.retryDelay(req.service.Name()))
}

// run sends the request to endpoints until the response is complete.
func (s *stream) run(ctx context.Context) error {
	s.gateway.retryBudgets.forService(s.req.service.Name()).RecordFirst()
	s.probe, s.confinement = s.gateway.quarantine.Admit(s.gateway.subjects(s.req))
	if s.confinement != nil {
		return errConfined
	}
	defer s.probe.End()
	defer s.returnPlace()
	lastErr := errNotRun
	for s.attempts < s.req.route.MaxAttempts() {
		if s.mayHaveRun && !s.req.route.Retryable() {
			return lastErr
		}
		if err := s.checkQuarantine(); err != nil {
			return fmt.Errorf("%w after %w", err, lastErr)
		}
		if err := s.checkDeadline(); err != nil {
			return fmt.Errorf("%w after %w", err, lastErr)
		}
		e, restore, err := s.nextEndpoint(ctx)
		if err != nil {
			return fmt.Errorf("%w after %w", err, lastErr)
		}
		if lastErr = s.attempt(ctx, e, restore); lastErr == nil {
			return nil
		}
		if ctx.Err() != nil || errors.Is(lastErr, errCallerWrite) || errors.Is(lastErr, errBudgetSpent) {
			return lastErr
		}
		s.gateway.counters.resumed.Inc(1)
		s.gateway.log.Emit(savorypinevent.StreamBroken{
			Age: time.Since(s.req.arrived), Endpoint: e.ID(), Err: lastErr, Event: s.lastEventID, ID: s.req.call.ID,
		})
	}
	return lastErr
}

// minDuration returns the estimated minimum time for the rest of a stream after an event, given whether an
// endpoint holds a copy of its KV cache.
func (g *Gateway) minDuration(req *request, lastEventID int64, backedUp bool) time.Duration {
	remaining := savorypinforecast.Remaining{Events: lastEventID, OutputTokens: req.call.OutputTokens}
	if !backedUp && !g.picker.PromptCached(req.call.PromptID) {
		remaining.PromptTokens = req.call.PromptTokens
	}
	return g.forecast.MinDuration(req.kind(), remaining)
}

// checkDeadline returns an error if the rest of the stream can't complete before its deadline. Now and then
// it lets a new stream pass as a probe: if it completes, the estimate was too high.
func (s *stream) checkDeadline() error {
	needed, left := s.gateway.minDuration(s.req, s.lastEventID, s.backup != nil), s.req.remaining()
	if needed <= left {
		return nil
	}
	if s.attempts == 0 && s.lastEventID == 0 && s.gateway.forecast.Probe(s.req.kind()) {
		s.gateway.counters.deadlineProbes.Inc(1)
		return nil
	}
	s.gateway.counters.deadlineRefused.Inc(1)
	return fmt.Errorf("%w: it takes %s or more, of %s", errDeadlineTooClose, needed.Round(time.Millisecond), left.Round(time.Millisecond))
}

// recordDuration records the duration of a complete stream.
func (s *stream) recordDuration() {
	took := time.Since(s.req.arrived)
	s.gateway.picker.RecordStreamDuration(took)
	if s.req.call.LastEventID != "" {
		return
	}
	completed := savorypinforecast.CompletedStream{
		Events: s.lastEventID, TimeToFirstEvent: s.firstEventDelay, OutputTokens: s.req.call.OutputTokens,
		Duration: took, PromptTokens: s.req.call.PromptTokens,
	}
	s.gateway.slowest.ObserveStream(s.req.kind(), completed)
	if s.attempts != 1 {
		return
	}
	if !s.fullPrefill {
		completed.PromptTokens = 0
	}
	s.gateway.forecast.Observe(s.req.kind(), completed)
}

// nextEndpoint returns the endpoint of the next attempt and whether it holds a copy of the run's
// KV cache.
func (s *stream) nextEndpoint(ctx context.Context) (*savorypinfleet.Endpoint, bool, error) {
	if b := s.backup; b != nil {
		s.backup = nil
		if s.gateway.canRestore(b) && !s.gateway.picker.Suspect(b) && s.gateway.takeUpload(b, s.req) &&
			s.gateway.endpointLimits.Take(b.IncarnationHash()) {
			return b, true, nil
		}
	}
	if q := s.queue(); q != nil {
		e, err := s.awaitPlace(ctx, q)
		return e, false, err
	}
	for {
		if e := s.gateway.chooseEndpoint(s.req, s.tried); e != nil {
			return e, false, nil
		}
		if !s.mayHaveRun || s.gateway.retryDelay(s.req.service.Name()) > s.req.remaining() {
			return nil, false, errNotRun
		}
		if err := s.checkQuarantine(); err != nil {
			return nil, false, err
		}
		// A lost endpoint restarts within seconds; waiting for it saves prefilling the prompt again.
		clear(s.tried)
		if err := wait(ctx, endpointRetryInterval); err != nil {
			return nil, false, err
		}
	}
}
