package savorypinhazard_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestHazard(t *testing.T) {
	savorypintest.RunSuite(t, "Hazard")
}
