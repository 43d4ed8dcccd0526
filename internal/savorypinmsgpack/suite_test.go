package savorypinmsgpack_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestMsgpack(t *testing.T) {
	savorypintest.RunSuite(t, "Msgpack")
}
