package savorypinpick_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestPick(t *testing.T) {
	savorypintest.RunSuite(t, "Pick")
}
