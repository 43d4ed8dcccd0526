package savorypinmirror_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestMirror(t *testing.T) {
	savorypintest.RunSuite(t, "Mirror")
}
