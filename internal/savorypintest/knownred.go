package savorypintest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
)

const (
	// knownRedFile lists the specs that fail for a fault that isn't fixed yet. It is in the
	// module's root.
	knownRedFile = "KNOWN-RED.txt"
	// knownRedVariable makes suites run the listed specs if it is set.
	knownRedVariable = "SAVORYPIN_KNOWN_RED"
	// knownRedPrefix begins the line of an entry that names the spec, as PACKAGE: FULL TEXT.
	knownRedPrefix = "test: "
)

// errNoModule means that no directory above the current one contains a go.mod file.
var errNoModule = errors.New("no go.mod above the current directory")

// knownFailure is a spec that is listed as failing.
type knownFailure struct {
	// dir is the directory of the package, relative to the module's root, with slashes.
	dir string
	// text is the full text of the spec.
	text string
}

// parseKnownRed returns the specs that a list names. Other lines describe the entries for
// readers.
func parseKnownRed(r io.Reader) ([]knownFailure, error) {
	var failures []knownFailure
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		entry, ok := strings.CutPrefix(lines.Text(), knownRedPrefix)
		if !ok {
			continue
		}
		dir, text, ok := strings.Cut(entry, ": ")
		if !ok {
			return nil, fmt.Errorf("%s: %q is not PACKAGE: FULL TEXT", knownRedFile, entry)
		}
		failures = append(failures, knownFailure{dir: strings.TrimPrefix(dir, "./"), text: text})
	}
	return failures, lines.Err()
}

// moduleRoot returns the module's root and the current directory relative to it, with slashes.
func moduleRoot() (root, dir string, err error) {
	wd, err := os.Getwd()
	if err != nil {
		return "", "", err
	}
	for root = wd; ; root = filepath.Dir(root) {
		if _, err := os.Stat(filepath.Join(root, "go.mod")); err == nil {
			break
		}
		if root == filepath.Dir(root) {
			return "", "", fmt.Errorf("%w: %s", errNoModule, wd)
		}
	}
	rel, err := filepath.Rel(root, wd)
	return root, filepath.ToSlash(rel), err
}

// knownFailures returns all listed specs and the directory of the package under test.
func knownFailures() ([]knownFailure, string, error) {
	root, dir, err := moduleRoot()
	if err != nil {
		return nil, "", err
	}
	list, err := os.ReadFile(filepath.Join(root, knownRedFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, dir, nil
	}
	if err != nil {
		return nil, "", err
	}
	failures, err := parseKnownRed(bytes.NewReader(list))
	return failures, dir, err
}

// listedIn returns the texts of the listed specs of a package.
func listedIn(failures []knownFailure, dir string) []string {
	var texts []string
	for _, f := range failures {
		if f.dir == dir {
			texts = append(texts, f.text)
		}
	}
	return texts
}

// missingSpecs returns the texts that are not among the texts of the specs.
func missingSpecs(listed, specs []string) []string {
	return slices.DeleteFunc(slices.Clone(listed), func(text string) bool { return slices.Contains(specs, text) })
}

// skipKnownFailures makes the suite skip exactly the listed specs, unless the environment says
// to run them, and fail if the list names a spec that doesn't exist.
func skipKnownFailures(listed []string) {
	if len(listed) == 0 {
		return
	}
	run := os.Getenv(knownRedVariable) != ""
	ginkgo.BeforeEach(func() {
		if !run && slices.Contains(listed, ginkgo.CurrentSpecReport().FullText()) {
			ginkgo.Skip("listed in " + knownRedFile)
		}
	})
	ginkgo.ReportAfterSuite("known failures", func(report ginkgo.Report) {
		var specs []string
		for _, spec := range report.SpecReports {
			specs = append(specs, spec.FullText())
		}
		if missing := missingSpecs(listed, specs); len(missing) > 0 {
			ginkgo.Fail(fmt.Sprintf("%s names specs that don't exist: %q", knownRedFile, missing))
		}
	})
}
