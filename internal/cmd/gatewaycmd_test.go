package cmd

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The gateway command", func() {
	run := func(args ...string) error {
		c := &Config{stderr: GinkgoWriter, stdout: &strings.Builder{}}
		return c.rootCmd().Run(context.Background(), append([]string{"savorypin", "gateway"}, args...))
	}

	It("reports the path of a settings file that it can't read", func() {
		err := run("--settings", "/nowhere/settings.yaml")
		Expect(err).To(MatchError(ContainSubstring("/nowhere/settings.yaml")))
		Expect(exitCode(err)).To(Equal(exitInvalid))
	})

	for _, tc := range []struct {
		args []string
		want string
	}{
		{[]string{"--peer-key", "short"}, "--peer-key: is shorter than 16 bytes"},
		{[]string{"--peer-key", "a key of the gateways", "--peer-key-also", "short"}, "--peer-key-also: is shorter"},
		{[]string{"--peer-key-also", "a key of the gateways"}, "--peer-key-also: needs --peer-key"},
	} {
		It("refuses "+strings.Join(tc.args, " "), func() {
			err := run(tc.args...)
			Expect(err).To(MatchError(ContainSubstring(tc.want)))
			Expect(exitCode(err)).To(Equal(exitInvalid))
		})
	}

	It("reports the fields that are missing in the settings file", func() {
		file := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(os.WriteFile(file, []byte("zone: a"), 0o600)).To(Succeed())
		err := run("--settings", file)
		Expect(err).To(MatchError(ContainSubstring("missing: ip, listen.front")))
		Expect(exitCode(err)).To(Equal(exitInvalid))
	})
})
