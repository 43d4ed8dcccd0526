package savorypinevent_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestEvent(t *testing.T) {
	savorypintest.RunSuite(t, "Event")
}
