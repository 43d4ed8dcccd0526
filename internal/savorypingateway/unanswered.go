package savorypingateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

var (
	// errExiting means that the gateway is about to exit.
	errExiting = errors.New("gateway exits")
	// errNoResponse means that the gateway has no response for a caller that still waits for one.
	errNoResponse = errors.New("request ended without a response")
)

// responseTracker records whether a response has begun.
type responseTracker struct {
	http.ResponseWriter
	begun atomic.Bool
}

// Unwrap returns the inner writer to an http.ResponseController.
func (t *responseTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// Write writes a part of the response's body.
func (t *responseTracker) Write(p []byte) (int, error) {
	t.begun.Store(true)
	return t.ResponseWriter.Write(p)
}

// WriteHeader sends the response's header.
func (t *responseTracker) WriteHeader(status int) {
	t.begun.Store(true)
	t.ResponseWriter.WriteHeader(status)
}

// requireResponse runs a handler of a call and aborts the connection if the handler returns without a
// response, since net/http would otherwise send a success that no endpoint has sent. The request's
// context ends with the cause errExiting if there is no response when the gateway is about to exit.
func (g *Gateway) requireResponse(
	w http.ResponseWriter,
	r *http.Request,
	call *savorypinfleet.Call,
	handle func(*responseTracker, *http.Request),
) {
	start := time.Now()
	t := &responseTracker{ResponseWriter: w}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(g.exiting, func() {
		if !t.begun.Load() {
			cancel(errExiting)
		}
	})()
	handle(t, r.WithContext(ctx))
	if t.begun.Load() {
		return
	}
	if r.Context().Err() == nil {
		g.counters.unanswered.Inc(1)
		g.log.Emit(savorypinevent.RequestEnded{
			Age: time.Since(start), Configuration: g.configurationVersion(), Err: errNoResponse, ID: call.ID,
			EventKind: savorypinevent.KindRequestUnanswered,
		})
	}
	panic(http.ErrAbortHandler)
}

// callerLeft reports whether a request's caller has disconnected.
func callerLeft(r *http.Request) bool {
	return r.Context().Err() != nil && !errors.Is(context.Cause(r.Context()), errExiting)
}
