package savorypinclient_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/pkg/savorypinclient"
)

// scriptedEntry is a fake entry that records the requests and returns the given
// responses in order.
type scriptedEntry struct {
	requests  []string
	responses []response
}

type response struct {
	status int
	body   string
}

func (s *scriptedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Delivered []int  `json:"delivered"`
		Version   string `json:"version"`
	}
	if r.Method == http.MethodPost {
		_ = json.NewDecoder(r.Body).Decode(&body)
	}
	s.requests = append(s.requests, fmt.Sprintf("%s %s %s%v%s",
		r.Method, r.URL.Path, r.Header.Get("Last-Event-ID"), body.Delivered, body.Version))
	next := s.responses[0]
	s.responses = s.responses[1:]
	w.WriteHeader(next.status)
	fmt.Fprint(w, next.body)
}

func accepted(id, version string, index int) string {
	return fmt.Sprintf("id: %s/%d\nevent: accepted\ndata: {\"id\":%q,\"version\":%q}\n\n", id, index, id, version)
}

func token(id string, index int) string {
	return fmt.Sprintf("id: %s/%d/1-5\nevent: token\ndata: {\"id\":%d}\n\n", id, index, index)
}

func done(id string, index int) string {
	return fmt.Sprintf("id: %s/%d\nevent: done\ndata: {\"tokens\":%d}\n\n", id, index, index)
}

var _ = Describe("Stream", func() {
	const notFound = `{"kind":"not_found","message":"no such generation"}`
	for _, tc := range []struct {
		name      string
		responses []response
		tokens    []int32
		kind      savorypinclient.Kind
		requests  []string
	}{
		{
			name: "requests a generation anew when it is lost before its first token",
			responses: []response{
				{200, accepted("g", "v1", 0)},
				{404, notFound},
				{200, accepted("h", "v2", 0) + token("h", 1) + done("h", 1)},
			},
			tokens: []int32{1},
			requests: []string{
				"POST /v1/generations/stream []",
				"GET /v1/generations/g/stream g/0[]",
				"POST /v1/generations/stream []",
			},
		},
		{
			name: "resumes after the received tokens when the generation is lost",
			responses: []response{
				{200, accepted("g", "v1", 0) + token("g", 1) + token("g", 2)},
				{404, notFound},
				{503, `{"kind":"not_run","message":"no endpoint"}`},
				{200, accepted("h", "v1", 2) + token("h", 3) + done("h", 3)},
			},
			tokens: []int32{1, 2, 3},
			requests: []string{
				"POST /v1/generations/stream []",
				"GET /v1/generations/g/stream g/2/1-5[]",
				"POST /v1/generations/resume [1 2]v1",
				"POST /v1/generations/resume [1 2]v1",
			},
		},
		{
			name: "attaches again when a token is missing or repeated",
			responses: []response{
				{200, accepted("g", "v1", 0) + token("g", 1) + token("g", 3)},
				{200, accepted("g", "v1", 1) + token("g", 1)},
				{200, accepted("g", "v1", 1) + token("g", 2) + done("g", 2)},
			},
			tokens: []int32{1, 2},
			requests: []string{
				"POST /v1/generations/stream []",
				"GET /v1/generations/g/stream g/1/1-5[]",
				"GET /v1/generations/g/stream g/1/1-5[]",
			},
		},
		{
			name: "returns the error with which savorypin ended the generation",
			responses: []response{
				{200, accepted("g", "v1", 0) + token("g", 1) +
					"id: g/1\nevent: error\ndata: {\"kind\":\"incomplete\",\"message\":\"time is up\"}\n\n"},
			},
			tokens:   []int32{1},
			kind:     savorypinclient.KindIncomplete,
			requests: []string{"POST /v1/generations/stream []"},
		},
	} {
		It(tc.name, func(ctx SpecContext) {
			s := &scriptedEntry{responses: tc.responses}
			server := httptest.NewServer(s)
			DeferCleanup(server.Close)
			client := savorypinclient.New(savorypinclient.Config{Entries: []string{server.URL}, QuietAfter: time.Minute})
			var got []int32
			_, err := client.Stream(ctx, savorypinclient.Request{Prompt: "p", Service: "s"}, func(t savorypinclient.Token) error {
				got = append(got, t.ID)
				return nil
			})
			var apiErr *savorypinclient.Error
			if errors.As(err, &apiErr) {
				Expect(apiErr.Kind()).To(Equal(tc.kind))
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(tc.kind).To(BeEmpty())
			}
			Expect(got).To(Equal(tc.tokens))
			Expect(strings.Join(s.requests, "\n")).To(Equal(strings.Join(tc.requests, "\n")))
		})
	}
})
