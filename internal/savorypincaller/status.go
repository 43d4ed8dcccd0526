package savorypincaller

import (
	"context"
	"net/http"
)

// statusWriterKey is the context key of a request's statusWriter.
type statusWriterKey struct{}

// statusWriter replaces the status of a successful response with the status that
// the endpoint returned, because each of goa's responses has one fixed status.
type statusWriter struct {
	http.ResponseWriter

	status int
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader writes the endpoint's status if one was set and status is 200.
func (w *statusWriter) WriteHeader(status int) {
	if status == http.StatusOK && w.status != 0 {
		status = w.status
	}
	w.ResponseWriter.WriteHeader(status)
}

// withStatus returns middleware that lets the methods of the API set the status of
// the response by setStatus.
func withStatus(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &statusWriter{ResponseWriter: w}
		next.ServeHTTP(writer, r.WithContext(context.WithValue(r.Context(), statusWriterKey{}, writer)))
	})
}

// setStatus sets the status of a successful response to the request of ctx.
func setStatus(ctx context.Context, status int) {
	if w, ok := ctx.Value(statusWriterKey{}).(*statusWriter); ok {
		w.status = status
	}
}
