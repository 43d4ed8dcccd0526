package savorypinpool_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestPool(t *testing.T) {
	savorypintest.RunSuite(t, "Pool")
}
