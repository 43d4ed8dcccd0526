package savorypinseal_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestSeal(t *testing.T) {
	savorypintest.RunSuite(t, "Seal")
}
