package savorypinquarantine_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestQuarantine(t *testing.T) {
	savorypintest.RunSuite(t, "Quarantine")
}
