package savorypingossip_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestGossip(t *testing.T) {
	savorypintest.RunSuite(t, "Gossip")
}
