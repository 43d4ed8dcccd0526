package savorypingateway

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestGateway(t *testing.T) {
	savorypintest.RunSuite(t, "Gateway")
}
