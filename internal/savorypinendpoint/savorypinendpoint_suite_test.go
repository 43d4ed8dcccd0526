package savorypinendpoint_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestSavorypinendpoint(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinendpoint")
}
