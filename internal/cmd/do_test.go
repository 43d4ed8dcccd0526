package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypinstandin"
)

var _ = Describe("do", func() {
	var (
		c   *savorypincluster.Cluster
		run func(args ...string) (int, string, string)
	)

	BeforeEach(func(ctx SpecContext) {
		var err error
		c, err = savorypincluster.Start(context.WithoutCancel(ctx), savorypincluster.Config{
			Agents: 2,
			Engine: savorypinstandin.EngineConfig{
				Models: []string{savorypincluster.Model}, PrefillPerSecond: 100_000, Slots: 8, TokensPerSecond: 200,
			},
			Entries: 1,
			Logger:  log.New(io.Discard),
			Places:  []savorypincluster.Place{{Domain: "d1", Region: "r1"}, {Domain: "d2", Region: "r2"}},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.Configure()).To(Succeed())
		run = func(args ...string) (int, string, string) {
			var stdout, stderr bytes.Buffer
			all := append([]string{
				"savorypin", "do", "--entry", c.URLs()[0], "--operator-token", savorypincluster.OperatorToken, "--by", "amal",
			}, args...)
			code := Main(all, &stdout, &stderr)
			return code, stdout.String(), stderr.String()
		}
	})

	It("answers queries, orders and explains a move, and refuses a second move of the same name", func() {
		code, out, errOut := run("-o", "json", "show endpoints where region = r2")
		Expect(code).To(Equal(exitOK), errOut)
		var records []map[string]string
		Expect(json.Unmarshal([]byte(out), &records)).To(Succeed())
		Expect(records).To(HaveLen(1))
		Expect(records[0]["name"]).To(Equal("engine-1"))

		_, err := c.Apply(savorypin.KindVersion, "assistant-v2", savorypin.VersionSpec{Model: "assistant-2", Service: savorypincluster.Service})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string {
			_, out, _ := run("-o", "json", "count versions")
			return out
		}, "30s").Should(ContainSubstring(`"count": "2"`))

		order := "move assistant from assistant-v1 to assistant-v2 as night in 30m"
		code, out, _ = run("--dry-run", order)
		Expect(code).To(Equal(exitOK))
		Expect(out).To(ContainSubstring("would write moves/night"))
		code, out, errOut = run(order)
		Expect(code).To(Equal(exitOK), errOut)
		Expect(out).To(ContainSubstring("ordered by amal"))
		Eventually(func() int {
			code, _, _ := run(order)
			return code
		}, "30s").Should(Equal(exitConflict))
		code, out, errOut = run("explain move night")
		Expect(code).To(Equal(exitOK), errOut)
		Expect(out).To(ContainSubstring("as of entry-0"))
	})

	for _, tc := range []struct {
		statement string
		code      int
		want      string
	}{
		{"drain engine-9", exitNotFound, "engine-9"},
		{"limit shops tokens=many", exitInvalid, "column 20"},
		{"move assistant from assistant-v1 to nothing in 3m", exitInvalid, `column 37: no version "nothing"`},
		{"rollback nothing", exitNotFound, "moves/nothing"},
		{"show lamps", exitInvalid, "^"},
		{"stop nobody", exitNotFound, "stop"},
	} {
		It("refuses "+tc.statement, func() {
			code, _, errOut := run(tc.statement)
			Expect(code).To(Equal(tc.code), errOut)
			Expect(errOut).To(ContainSubstring(tc.want))
		})
	}

	It("lists the statements of the language for help", func() {
		code, out, errOut := run("help")
		Expect(code).To(Equal(exitOK), errOut)
		Expect(out).To(ContainSubstring("rollback MOVE"))
	})

	It("explains the refusals of an organisation", func(ctx SpecContext) {
		_, err := c.Apply(savorypin.KindOrganisation, savorypincluster.Organisation, savorypin.OrganisationSpec{RequestsPerSecond: 0.001})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() error {
			_, err := c.Client(0).Call(ctx, savorypincluster.Ledger, "stock", "", struct{}{})
			return err
		}, "30s").Should(MatchError(ContainSubstring("limited")))
		code, out, errOut := run("explain refusals shops")
		Expect(code).To(Equal(exitOK), errOut)
		Expect(out).To(ContainSubstring("limit of requests is reached"))
	})

	It("sets limits and drains endpoints", func() {
		code, out, errOut := run("limit shops tokens=500 weight=2")
		Expect(code).To(Equal(exitOK), errOut)
		Expect(out).To(ContainSubstring("organisations/shops"))
		code, _, errOut = run("drain engine-1")
		Expect(code).To(Equal(exitOK), errOut)
		Eventually(func() bool { return c.Entries()[0].Daemon().Config().Endpoint("engine-1").Drain }, "30s").Should(BeTrue())
		Eventually(func() string { return strings.Join(c.Agents()[1].Engine.Orders(), " ") }, "30s").Should(ContainSubstring("drain"))
		drained := func() bool { return c.Agents()[1].Daemon().Self().Endpoints[0].Drained }
		Eventually(drained, "30s").Should(BeTrue())
		code, _, errOut = run("undrain engine-1")
		Expect(code).To(Equal(exitOK), errOut)
		Eventually(drained, "30s").Should(BeFalse())
	})
})
