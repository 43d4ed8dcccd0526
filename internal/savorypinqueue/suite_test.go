package savorypinqueue_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestQueue(t *testing.T) {
	savorypintest.RunSuite(t, "Queue")
}
