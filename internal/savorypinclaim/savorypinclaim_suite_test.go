package savorypinclaim_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestSavorypinclaim(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinclaim")
}
