// Package savorypinweb limits the resources that an HTTP caller can occupy at a daemon:
// the size of a request body, the time that it takes to arrive, and the time that the
// caller takes to read the response.
package savorypinweb

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// Limits of requests and responses.
const (
	// MaxBodyBytes is the maximum size of the body of a request.
	MaxBodyBytes = 4 << 20
	// bodyTimeout is how long the body of a request may take to arrive.
	bodyTimeout = 30 * time.Second
	// writeTimeout is how long one write of a response may be blocked by a slow caller.
	writeTimeout = 30 * time.Second
)

// Limit returns a handler that reads the whole body of a request before it calls next,
// and sets a deadline for each write of the response. The timeouts of http.Server are
// not used, because they would also limit the duration of a streamed response.
func Limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		body, err := readBody(controller, w, r)
		if err != nil {
			writeBodyError(w, err)
			return
		}
		if !Begin(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(&deadlineWriter{ResponseWriter: w, controller: controller}, r)
	})
}

func readBody(controller *http.ResponseController, w http.ResponseWriter, r *http.Request) ([]byte, error) {
	// Errors are ignored, since the response writers of some tests have no deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	return body, err
}

func writeBodyError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, `{"kind":"invalid","message":"body can't be read: `+http.StatusText(status)+`"}`+"\n")
}

// deadlineWriter is a response writer that sets a deadline before each write.
type deadlineWriter struct {
	http.ResponseWriter

	controller *http.ResponseController
}

// Unwrap returns the wrapped writer, whose methods http.ResponseController uses.
func (w *deadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// Write writes a part of the response. It fails after writeTimeout.
func (w *deadlineWriter) Write(data []byte) (int, error) {
	// Errors are ignored, since the response writers of some tests have no deadlines.
	_ = w.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.ResponseWriter.Write(data)
}
