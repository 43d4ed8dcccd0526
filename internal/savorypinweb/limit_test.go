package savorypinweb_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypintest"
	"savorypin/internal/savorypinweb"
)

func Test(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinweb")
}

var _ = Describe("Limit", func() {
	echo := savorypinweb.Limit(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))

	for _, tc := range []struct {
		name   string
		length int
		status int
	}{
		{"passes a body to the handler", 5, http.StatusOK},
		{"rejects a body that is too long", savorypinweb.MaxBodyBytes + 1, http.StatusRequestEntityTooLarge},
	} {
		It(tc.name, func() {
			server := httptest.NewServer(echo)
			DeferCleanup(server.Close)
			resp, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", tc.length)))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(tc.status))
		})
	}
})
