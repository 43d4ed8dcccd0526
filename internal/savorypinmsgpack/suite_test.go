package savorypinmsgpack_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMsgpack(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Msgpack")
}
