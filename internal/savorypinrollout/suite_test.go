package savorypinrollout_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestRollout(t *testing.T) {
	savorypintest.RunSuite(t, "Rollout")
}
