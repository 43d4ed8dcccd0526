package savorypinwhere_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestWhere(t *testing.T) {
	savorypintest.RunSuite(t, "Where")
}
