package savorypingateway

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A plain request without a response", func() {
	for _, c := range []struct {
		name   string
		left   time.Duration
		kind   outcomeKind
		status int
	}{
		{"that was never sent", time.Hour, outcomeUnsent, http.StatusServiceUnavailable},
		{"that was not run", time.Hour, outcomeNotRun, http.StatusServiceUnavailable},
		{"that may have run", time.Hour, outcomeUnknown, http.StatusBadGateway},
		{"whose read reached the deadline before its context was done", 0, outcomeUnknown, http.StatusGatewayTimeout},
	} {
		It(c.name+" is refused with the status of that outcome", func() {
			req := &request{deadline: time.Now().Add(c.left)}
			Expect(plainRefusal(req, &outcome{kind: c.kind}, transientRetryDelay).status).To(Equal(c.status))
		})
	}
})
