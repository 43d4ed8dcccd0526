package savorypinretry_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestSavorypinretry(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinretry")
}
