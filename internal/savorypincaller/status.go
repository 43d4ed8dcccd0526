package savorypincaller

import (
	"context"
	"net/http"
)

// statusKey is the context key of the statusWriter of a request.
type statusKey struct{}

// statusWriter replaces the status of a successful response by that of the
// endpoint, because goa's responses have one fixed status each.
type statusWriter struct {
	http.ResponseWriter

	status int
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader writes the status of the endpoint if one was set.
func (w *statusWriter) WriteHeader(status int) {
	if status == http.StatusOK && w.status != 0 {
		status = w.status
	}
	w.ResponseWriter.WriteHeader(status)
}

// withStatus lets the methods behind next set the status of the response.
func withStatus(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &statusWriter{ResponseWriter: w}
		next.ServeHTTP(writer, r.WithContext(context.WithValue(r.Context(), statusKey{}, writer)))
	})
}

// setStatus sets the status of the response to a request.
func setStatus(ctx context.Context, status int) {
	if w, ok := ctx.Value(statusKey{}).(*statusWriter); ok {
		w.status = status
	}
}
