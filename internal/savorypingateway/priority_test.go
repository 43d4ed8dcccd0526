package savorypingateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
)

var _ = Describe("The priority of an attempt", func() {
	for _, c := range []struct {
		name     string
		priority priority
		resumed  bool
		want     int
	}{
		{"is left to the endpoint where all streams have the same", priority{}, false, noPriority},
		{"goes up where all streams have the same and it is resumed", priority{}, true, resumePriority},
		{"is the highest for a resumed stream of the highest priority", priority{distinct: true}, true, 0},
		{"is lower for a new stream of the highest priority", priority{distinct: true}, false, 1},
		{"is lower for a resumed stream of the next priority", priority{distinct: true, rank: 1}, true, 2},
		{"is the lowest for new streams of all low priorities", priority{distinct: true, rank: 9}, false, 9},
	} {
		It(c.name, func() {
			Expect(c.priority.forAttempt(c.resumed)).To(Equal(c.want))
		})
	}
})

var _ = Describe("The memory that a request reserves", func() {
	for _, c := range []struct {
		name           string
		prompt, output int
		distinct       bool
		want           int
	}{
		{"is that of its prompt and its response", 8000, 1000, true, 9000},
		{"is at most that of an engine", 1 << 24, 1 << 24, true, 88000},
		{"is none where all streams have the same priority", 8000, 1000, false, 0},
		{"is none if the caller names no numbers", 0, 0, true, 0},
	} {
		It(c.name, func() {
			r := &request{
				call:     &savorypinfleet.Call{PromptTokens: c.prompt, OutputTokens: c.output},
				priority: priority{distinct: c.distinct},
				service:  savorypinfleet.NewService(savorypinfleet.ServiceConfig{MemoryTokens: 88000, Name: "llm"}),
			}
			Expect(r.reserveTokens()).To(Equal(c.want))
		})
	}
})
