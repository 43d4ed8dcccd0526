package savorypinbuffer_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestBuffer(t *testing.T) {
	savorypintest.RunSuite(t, "Buffer")
}
