package savorypintest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSavorypintest(t *testing.T) {
	RunSuite(t, "Test setup")
}

var _ = Describe("The list of known failures", func() {
	for _, c := range []struct {
		name, text string
		expected   []knownFailure
	}{
		{"may be empty", "", nil},
		{
			"names specs by package and full text",
			"test: ./platform: A stream ends\ncommand: go test ./platform\nseen: it doesn't\n\ntest: internal/savorypinpick: Choose: fast ones\n",
			[]knownFailure{{dir: "platform", text: "A stream ends"}, {dir: "internal/savorypinpick", text: "Choose: fast ones"}},
		},
	} {
		It(c.name, func() {
			failures, err := parseKnownRed(strings.NewReader(c.text))
			Expect(err).NotTo(HaveOccurred())
			Expect(failures).To(Equal(c.expected))
		})
	}

	It("rejects an entry without a package", func() {
		_, err := parseKnownRed(strings.NewReader("test: a stream ends"))
		Expect(err).To(HaveOccurred())
	})

	It("fails a suite for entries that name none of its specs", func() {
		Expect(missingSpecs([]string{"a", "b"}, []string{"b", "c"})).To(Equal([]string{"a"}))
		Expect(missingSpecs([]string{"b"}, []string{"b", "c"})).To(BeEmpty())
	})

	It("names only packages whose suites read the list", func() {
		root, _, err := moduleRoot()
		Expect(err).NotTo(HaveOccurred())
		failures, _, err := knownFailures()
		Expect(err).NotTo(HaveOccurred())
		for _, f := range failures {
			Expect(callsRunSuite(filepath.Join(root, filepath.FromSlash(f.dir)))).To(BeTrue(), f.dir)
		}
	})
})

// callsRunSuite reports whether a test file in a directory calls RunSuite.
func callsRunSuite(dir string) bool {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	Expect(err).NotTo(HaveOccurred())
	for _, name := range files {
		data, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		if strings.Contains(string(data), "RunSuite(t, ") {
			return true
		}
	}
	return false
}
