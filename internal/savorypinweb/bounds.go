// Package savorypinweb bounds what HTTP callers can make a daemon hold: the
// size of a body, the time that it takes to arrive, and the time that a caller
// takes to read what is sent to it.
package savorypinweb

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// Limits of requests and answers.
const (
	// MaxBodyBytes is the longest body of a request.
	MaxBodyBytes = 4 << 20
	// bodyTimeout is how long a body may take to arrive.
	bodyTimeout = 30 * time.Second
	// writeTimeout is how long a caller may take to read one part of an answer.
	writeTimeout = 30 * time.Second
)

// Bound returns a handler that reads each body whole before it calls next, and
// bounds each write. The timeouts of net/http's server do not fit, because they
// also bound the length of a streamed answer.
func Bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		body, err := readBody(controller, w, r)
		if err != nil {
			refuse(w, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(&boundedWriter{ResponseWriter: w, controller: controller}, r)
	})
}

func readBody(controller *http.ResponseController, w http.ResponseWriter, r *http.Request) ([]byte, error) {
	// A writer without deadlines, as in tests, has nothing to bound.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	return body, err
}

func refuse(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, `{"kind":"invalid","message":"body can't be read: `+http.StatusText(status)+`"}`+"\n")
}

// boundedWriter sets a deadline before each write.
type boundedWriter struct {
	http.ResponseWriter

	controller *http.ResponseController
}

// Unwrap lets a response controller find the methods of the writer below.
func (w *boundedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// Write writes part of an answer.
func (w *boundedWriter) Write(data []byte) (int, error) {
	// A writer without deadlines, as in tests, has nothing to bound.
	_ = w.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.ResponseWriter.Write(data)
}
