package cmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("move", func() {
	const object = `{"kind":"moves","name":"night","version":7,
		"spec":{"service":"assistant","from":"a","to":"b","by":"2099-01-01T00:00:00Z"},
		"status":{"state":"running","share":0.05,"reason":"the share grows with time","evidence":"metric error: none","requests":41,"begun":"2026-12-04T00:00:00Z"}}`

	// serve starts a fake entry with one move and stores the object that is written
	// to it. It returns the base URL.
	serve := func(written *apiObject) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				Expect(json.NewDecoder(r.Body).Decode(written)).To(Succeed())
				Expect(json.NewEncoder(w).Encode(written)).To(Succeed())
				return
			}
			if r.URL.Path == "/operator/v1/objects" {
				_, _ = w.Write([]byte("[" + object + "]"))
				return
			}
			_, _ = w.Write([]byte("{}"))
		}))
		DeferCleanup(server.Close)
		return server.URL
	}

	for _, tc := range []struct {
		name    string
		args    []string
		code    int
		shown   []string
		written string
	}{
		{"a bad name", []string{"hold", "Night!"}, exitInvalid, nil, ""},
		{"a hold", []string{"hold", "night"}, exitOK, nil, `"action":"hold"`},
		{"a speed-up to a later deadline", []string{"speed-up", "night", "--in", "1000000h"}, exitInvalid, nil, ""},
		{"a list", []string{"list"}, exitOK, []string{"night", "running", "5 %", "grows with time"}, ""},
		{"a rollback", []string{"rollback", "night"}, exitOK, nil, `"action":"rollback"`},
		{"a speed-up by share", []string{"speed-up", "night", "--share", "0.5"}, exitOK, nil, `"minShare":0.5`},
		{"a speed-up without a value", []string{"speed-up", "night"}, exitInvalid, nil, ""},
		{"a show", []string{"show", "night"}, exitOK, []string{"evidence  metric error", "requests  41", "begun     2026-12-04T00:00:00Z"}, ""},
	} {
		It("handles "+tc.name, func() {
			var written apiObject
			var stdout, stderr bytes.Buffer
			args := append([]string{"savorypin", "move"}, tc.args...)
			code := Main(append(args, "--entry", serve(&written)), &stdout, &stderr)
			Expect(code).To(Equal(tc.code), stderr.String())
			for _, want := range tc.shown {
				Expect(stdout.String()).To(ContainSubstring(want))
			}
			Expect(string(written.Spec)).To(ContainSubstring(tc.written))
			if tc.written != "" {
				Expect(written.Version).To(Equal(int64(7)))
			}
		})
	}
})
