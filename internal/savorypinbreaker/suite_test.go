package savorypinbreaker_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func Test(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinbreaker")
}
