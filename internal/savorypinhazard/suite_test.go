package savorypinhazard_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHazard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Hazard")
}
