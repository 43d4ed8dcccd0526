package savorypincaller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypincaller"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinentry"
	"savorypin/internal/savorypintest"
)

func Test(t *testing.T) {
	savorypintest.RunSuite(t, "savorypincaller")
}

// newHandler returns the handler of an entry that was not started and so has no
// configuration.
func newHandler() (http.Handler, error) {
	entry, err := savorypinentry.New(savorypinentry.Config{
		AnonymousOrganisation: "shops",
		Logger:                log.New(io.Discard),
		Settings: savorypindaemon.Settings{
			HTTP: "127.0.0.1:0", Key: "a key of the daemons", Listen: "127.0.0.1:0", Name: "entry", OperatorToken: "operators",
		},
	})
	if err != nil {
		return nil, err
	}
	return savorypincaller.NewHandler(entry), nil
}

func post(handler http.Handler, path, body string, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header = header
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w
}

func FuzzStreamBody(f *testing.F) {
	handler, err := newHandler()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(`{"service":"assistant","prompt":"p","max_tokens":3}`)
	f.Add(`{"service":"assistant","prompt":"p","max_tokens":-3}`)
	f.Add(`{"max_tokens":1e99}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, body string) {
		w := post(handler, "/v1/generations/stream", body, http.Header{})
		if w.Code < http.StatusBadRequest {
			t.Fatalf("status %d for %q", w.Code, body)
		}
	})
}

var _ = Describe("Handler", func() {
	for _, tc := range []struct {
		name   string
		path   string
		body   string
		token  string
		status int
		want   string
	}{
		{"a body that is not JSON", "/v1/generations", `{`, "", http.StatusBadRequest, "unexpected"},
		{"a missing prompt", "/v1/generations", `{"service":"a","max_tokens":1}`, "", http.StatusBadRequest, "prompt"},
		{"a token that is not accepted", "/v1/generations", `{"service":"a","prompt":"p","max_tokens":1}`, "Bearer wrong", http.StatusUnauthorized, "unauthorized"},
		{"an operator without a token", "/operator/v1/objects", `{"kind":"services","name":"a"}`, "", http.StatusUnauthorized, "unauthorized"},
		{"an unknown service", "/v1/services/ledger/sale", `{}`, "", http.StatusNotFound, "not_found"},
		{"too many tokens", "/v1/generations", `{"service":"a","prompt":"p","max_tokens":99999999}`, "", http.StatusBadRequest, "max_tokens"},
	} {
		It("refuses "+tc.name, func() {
			handler, err := newHandler()
			Expect(err).NotTo(HaveOccurred())
			header := http.Header{}
			if tc.token != "" {
				header.Set("Authorization", tc.token)
			}
			w := post(handler, tc.path, tc.body, header)
			Expect(w.Code).To(Equal(tc.status))
			Expect(w.Body.String()).To(ContainSubstring(tc.want))
		})
	}
})
