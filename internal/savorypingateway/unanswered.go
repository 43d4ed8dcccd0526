package savorypingateway

import (
	"errors"
	"net/http"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

// errNoResponse means that the gateway has no response for a caller that still waits for one.
var errNoResponse = errors.New("request ended without a response")

// responseTracker records whether a response has begun.
type responseTracker struct {
	http.ResponseWriter
	begun bool
}

// Unwrap returns the inner writer to an http.ResponseController.
func (t *responseTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// Write writes a part of the response's body.
func (t *responseTracker) Write(p []byte) (int, error) {
	t.begun = true
	return t.ResponseWriter.Write(p)
}

// WriteHeader sends the response's header.
func (t *responseTracker) WriteHeader(status int) {
	t.begun = true
	t.ResponseWriter.WriteHeader(status)
}

// requireResponse runs a handler of a call and aborts the connection if the handler returns without a
// response, since net/http would otherwise send a success that no endpoint has sent.
func (g *Gateway) requireResponse(w http.ResponseWriter, r *http.Request, call *savorypinfleet.Call, handle func(http.ResponseWriter)) {
	start := time.Now()
	t := &responseTracker{ResponseWriter: w}
	handle(t)
	if t.begun {
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
