package savorypingateway

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A plain request without an answer", func() {
	for _, c := range []struct {
		name   string
		left   time.Duration
		kind   outcomeKind
		status int
	}{
		{"that was never sent", time.Hour, outcomeUnsent, http.StatusServiceUnavailable},
		{"that was not run", time.Hour, outcomeNotRun, http.StatusServiceUnavailable},
		{"that may have run", time.Hour, outcomeUnknown, http.StatusBadGateway},
		{"whose read ended at its deadline, before its context did", 0, outcomeUnknown, http.StatusGatewayTimeout},
	} {
		It(c.name+" is told so", func() {
			req := &request{until: time.Now().Add(c.left)}
			Expect(plainRefusal(req, &outcome{kind: c.kind}, retrySoon).status).To(Equal(c.status))
		})
	}
})
