package savorypinexplain_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestExplain(t *testing.T) {
	savorypintest.RunSuite(t, "Explain")
}
