package savorypingateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

var _ = Describe("A handler of a caller's request", func() {
	for _, c := range []struct {
		name       string
		handle     func(http.ResponseWriter)
		answered   bool
		unanswered int64
	}{
		{"that returns without a response ends the connection and is counted", func(http.ResponseWriter) {}, false, 1},
		{"that only sets headers ends the connection and is counted", func(w http.ResponseWriter) { w.Header().Set("Retry-After", "1") }, false, 1},
		{"that panics ends the connection", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, false, 0},
		{"that writes a header responds", func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }, true, 0},
		{"that writes a body responds", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "yes") }, true, 0},
	} {
		// Guards against an empty success of net/http for a request that nothing has answered.
		It(c.name, func() {
			g := &Gateway{
				exiting:  context.Background(),
				counters: newCounters(metrics.NewRegistry()),
				log:      savorypinevent.New(savorypinevent.Config{Logger: log.New(GinkgoWriter)}),
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				g.requireResponse(w, r, &savorypinfleet.Call{}, func(w *responseTracker, _ *http.Request) { c.handle(w) })
			}))
			defer server.Close()
			resp, err := http.Post(server.URL, "text/plain", nil)
			if err == nil {
				defer resp.Body.Close()
			}
			Expect(err == nil).To(Equal(c.answered))
			Expect(g.counters.unanswered.Count()).To(Equal(c.unanswered))
		})
	}
})
