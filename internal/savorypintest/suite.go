// Package savorypintest provides the test setup that the packages share.
package savorypintest

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// rapidSeed is the fixed seed of property-based tests, which makes them repeatable.
const rapidSeed = "20261204"

// RunSuite runs the specs of a package. Property-based tests use a fixed seed
// unless the flag -rapid.seed sets another one. Specs that are listed in
// KNOWN-RED.txt are skipped.
func RunSuite(t *testing.T, name string) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(rapidSeed); err != nil {
			t.Fatal(err)
		}
	}
	failures, dir, err := knownFailures()
	if err != nil {
		t.Fatal(err)
	}
	skipKnownFailures(listedIn(failures, dir))
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, name, suite, reporter)
}
