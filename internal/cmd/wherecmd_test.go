package cmd

import (
	"bytes"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("where", func() {
	// serve starts a fake gateway and returns its address. The query that it gets is stored.
	serve := func(status int, body string, query *string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Method).To(Equal(http.MethodGet))
			Expect(r.URL.Path).To(Equal("/where"))
			*query = r.URL.RawQuery
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		DeferCleanup(server.Close)
		return server.Listener.Addr().String()
	}
	run := func(args ...string) (code int, stdout, stderr string) {
		var out, errs bytes.Buffer
		code = Main(append([]string{"savorypin", "where"}, args...), &out, &errs)
		return code, out.String(), errs.String()
	}
	const refused = `{"gateway":"edge-1","outcome":"refused","refusal":{"reason":"no route","status":404},"ages":{}}`

	It("sends the description of the request and shows the answer", func() {
		var query string
		address := serve(http.StatusOK, refused, &query)
		code, stdout, stderr := run(address, "--host", "h", "--path", "/x?a=b", "--organisation", "shops", "--method", "GET", "--prompt-tokens", "9",
			"--output-tokens", "8", "--part", "aa", "--part", "bb", "--body-bytes", "7", "--deadline", "2s")
		Expect(code).To(Equal(exitOK), stderr)
		Expect(stdout).To(ContainSubstring("outcome       refused with 404: no route\ngateway       edge-1\n"))
		Expect(query).To(Equal("body-bytes=7&deadline=2s&host=h&method=GET&organisation=shops&output-tokens=8&part=aa&part=bb&path=%2Fx%3Fa%3Db&prompt-tokens=9"))
	})

	It("prints the answer as JSON", func() {
		var query string
		address := serve(http.StatusOK, refused, &query)
		code, stdout, stderr := run(address, "--host", "h", "--path", "/x", "--output", "json")
		Expect(code).To(Equal(exitOK), stderr)
		Expect(stdout).To(MatchJSON(refused))
	})

	// These guard against a misleading answer to a question that was not asked as intended.
	for _, c := range []struct {
		name   string
		args   []string
		status int
		body   string
		code   int
		want   string
	}{
		{"a missing host", []string{"--path", "/x"}, 200, refused, exitFailure, "host"},
		{"a path without a slash", []string{"--host", "h", "--path", "x"}, 200, refused, exitInvalid, "path: doesn't begin with a slash"},
		{"negative tokens", []string{"--host", "h", "--path", "/x", "--prompt-tokens", "-1"}, 200, refused, exitInvalid, "prompt-tokens: is out of bounds"},
		{"tokens that aren't a number", []string{"--host", "h", "--path", "/x", "--output-tokens", "many"}, 200, refused, exitFailure, "many"},
		{"an unknown output format", []string{"--host", "h", "--path", "/x", "-o", "xml"}, 200, refused, exitInvalid, `"xml" is not json, table or yaml`},
		{
			"an unknown organisation",
			[]string{"--host", "h", "--path", "/x"},
			404, `{"kind":"not_found","message":"organisation: \"x\" is not configured"}`, exitNotFound, `"x" is not configured`,
		},
		{"a daemon that doesn't know the question", []string{"--host", "h", "--path", "/x"}, 404, "404 page not found", exitUnreachable, "status 404"},
	} {
		It("reports "+c.name, func() {
			var query string
			code, stdout, stderr := run(append([]string{serve(c.status, c.body, &query)}, c.args...)...)
			Expect(code).To(Equal(c.code), stderr)
			Expect(stderr).To(ContainSubstring(c.want))
			Expect(stdout).NotTo(ContainSubstring("outcome"))
		})
	}

	for _, c := range []struct {
		name, address string
		code          int
		want          string
	}{
		{"an address that is none", "edge-1", exitInvalid, `"edge-1" is not an IP address and port`},
		{"a gateway that isn't there", "127.0.0.1:1", exitUnreachable, "127.0.0.1:1"},
	} {
		It("reports "+c.name, func() {
			code, _, stderr := run(c.address, "--host", "h", "--path", "/x")
			Expect(code).To(Equal(c.code))
			Expect(stderr).To(ContainSubstring(c.want))
		})
	}
})
