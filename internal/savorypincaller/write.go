package savorypincaller

import (
	"net/http"
	"time"
)

// writeTimeout is how long a caller may take nothing of what is written to it.
const writeTimeout = 30 * time.Second

// limitWrites bounds each write to a caller, so that one that has stopped
// reading gives up its generation. It gets back-pressure until then.
func limitWrites(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&limitedWriter{ResponseWriter: w, controller: http.NewResponseController(w)}, r)
	})
}

// limitedWriter is a response writer with a deadline for each write.
type limitedWriter struct {
	http.ResponseWriter

	controller *http.ResponseController
}

// Flush sends what is buffered.
func (w *limitedWriter) Flush() {
	// A write that fails shows at the next one.
	_ = w.controller.Flush()
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *limitedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// Write writes within the time limit.
func (w *limitedWriter) Write(data []byte) (int, error) {
	// A writer without deadlines, as in tests, is used without.
	_ = w.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.ResponseWriter.Write(data)
}
