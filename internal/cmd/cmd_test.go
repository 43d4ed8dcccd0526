package cmd

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Main", func() {
	for _, tc := range []struct {
		name string
		args []string
		code int
		want []string
	}{
		{"missing settings", []string{"entry"}, exitInvalid, []string{"--domain", "--key", "--name", "--operator-token", "--platform", "--region"}},
		{"a bad address", []string{"entry", "--listen", "somewhere"}, exitInvalid, []string{`--listen: "somewhere"`}},
		{"a bad endpoint", []string{"agent", "--endpoint", "name=e1;type=lamp"}, exitInvalid, []string{`type: "lamp"`, "url", "service"}},
		{"an unknown flag", []string{"entry", "--speed", "9"}, exitFailure, []string{"speed"}},
		{"an unreachable entry", []string{"get", "--entry", "http://127.0.0.1:1"}, exitUnreachable, []string{"127.0.0.1:1"}},
	} {
		It("reports "+tc.name, func() {
			var stdout, stderr bytes.Buffer
			code := Main(append([]string{"savorypin"}, tc.args...), &stdout, &stderr)
			Expect(code).To(Equal(tc.code))
			for _, want := range tc.want {
				Expect(stderr.String()).To(ContainSubstring(want))
			}
		})
	}

	It("reports the file, object and field of a bad object", func() {
		file := filepath.Join(GinkgoT().TempDir(), "bad.yaml")
		text := "kind: services\nname: a\nspec: {type: plain}\n---\nkind: routes\nname: b\nspec: {service: a}\n"
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		var stdout, stderr bytes.Buffer
		code := Main([]string{"savorypin", "apply", "-f", file}, &stdout, &stderr)
		Expect(code).To(Equal(exitInvalid))
		Expect(stderr.String()).To(ContainSubstring(file))
		Expect(stderr.String()).To(ContainSubstring("routes/b"))
		Expect(stderr.String()).To(ContainSubstring("spec.route: is missing"))
		Expect(stdout.String()).To(BeEmpty())
	})
})
