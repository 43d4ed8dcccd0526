package savorypingateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinforecast"
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
	s.fail(err)
}

// fail answers a stream that ended with an error before it began.
func (s *stream) fail(err error) {
	g := s.gateway
	switch {
	case s.failure != nil:
		g.counters.failed.Inc(1)
		g.cfg.Codec.EncodeReply(s.w.Header(), s.failure.resp, s.req.call)
		s.w.WriteHeader(s.failure.resp.StatusCode)
		if _, err := s.w.Write(s.failure.body); err != nil {
			g.log.Debug("failure not delivered", "id", s.req.call.ID, "err", err)
		}
	case !s.mayHaveRun && errors.Is(err, errTooLate):
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
