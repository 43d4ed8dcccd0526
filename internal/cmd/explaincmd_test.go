package cmd

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const gatewayLog = `time=2026-12-04T05:00:00.100Z level=info msg="attempt ended" gateway=edge-1 id=r1 endpoint=i-1 outcome=unknown age=90 err="connection reset"
time=2026-12-04T05:00:00.101Z level=warn msg="request refused" gateway=edge-1 id=r1 status=502 reason="endpoint failed" configuration=4 confirmationAge=10 endpoints=3 suspects=0
`

var _ = Describe("The explain command", func() {
	explain := func(stdin string, args ...string) (string, error) {
		var out strings.Builder
		c := &Config{stderr: GinkgoWriter, stdin: strings.NewReader(stdin), stdout: &out}
		err := c.rootCmd().Run(context.Background(), append([]string{"savorypin", "explain"}, args...))
		return out.String(), err
	}

	It("reads the given log files or standard input", func() {
		file := filepath.Join(GinkgoT().TempDir(), "gateway.log")
		Expect(os.WriteFile(file, []byte(gatewayLog), 0o600)).To(Succeed())
		for _, run := range []struct {
			stdin string
			args  []string
		}{{gatewayLog, []string{"r1"}}, {"", []string{"r1", file}}} {
			out, err := explain(run.stdin, run.args...)
			Expect(err).NotTo(HaveOccurred())
			Expect(out).To(HavePrefix("request r1: the gateway answered with an error of its own, status 502: endpoint failed"))
		}
	})

	for _, tc := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"a missing request ID", nil, exitInvalid, "REQUEST-ID: is missing"},
		{"a missing log file", []string{"r1", "/nowhere/gateway.log"}, exitNotFound, "/nowhere/gateway.log"},
		{"a request that is not in the logs", []string{"r2"}, exitNotFound, "no log line has the ID of the request"},
	} {
		It("refuses "+tc.name, func() {
			_, err := explain(gatewayLog, tc.args...)
			Expect(err).To(MatchError(ContainSubstring(tc.want)))
			Expect(exitCode(err)).To(Equal(tc.code))
		})
	}

	It("counts all requests by how and why they ended", func() {
		out, err := explain(gatewayLog, "--causes")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("refused with 502: endpoint failed"))
		Expect(out).To(ContainSubstring("1.000"))
	})

	It("refuses a log without gateway lines", func() {
		_, err := explain("something else", "r1")
		Expect(exitCode(err)).To(Equal(exitInvalid))
	})
})
