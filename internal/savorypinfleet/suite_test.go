package savorypinfleet_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestFleet(t *testing.T) {
	savorypintest.RunSuite(t, "Fleet")
}
