package savorypinpick_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinhazard"
	"savorypin/internal/savorypinpick"
)

// benchEndpoints is the number of endpoints of the largest deployment.
const benchEndpoints = 600

// BenchmarkChoose guards the cost of a decision against what its explanation needs, and operators'
// questions against a cost that slows down callers' requests.
func BenchmarkChoose(b *testing.B) {
	now := time.Unix(1000, 0)
	picker := savorypinpick.New(savorypinpick.Config{
		Gateways: func() int { return 30 }, Hazard: savorypinhazard.New([]string{"a", "b", "c"}),
		ListConfirmedAt: func() time.Time { return now }, Now: func() time.Time { return now },
		PromptRetention: 10 * time.Second, Region: "near", Regions: map[string]string{"a": "near", "b": "near", "c": "far"},
		SuspectTimeout: 3600 * time.Millisecond,
	})
	var endpoints []*savorypinfleet.Endpoint
	for i := range benchEndpoints {
		domain := []string{"a", "b", "c"}[i%3]
		e := savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Domain: domain, ID: strconv.Itoa(i), Service: "llm", Slots: 4,
		})
		endpoints = append(endpoints, e)
		picker.Begin(e, nil, i%7*1000).Reserve(i % 5 * 20000)
	}
	for _, c := range []struct {
		name  string
		query savorypinpick.Query
	}{
		{"stream", savorypinpick.Query{Candidates: endpoints, MemoryTokens: 88000, PromptID: "p", PromptTokens: promptTokens, ReserveTokens: 9000}},
		{"full", savorypinpick.Query{Candidates: endpoints, MemoryTokens: 8000, PromptID: "p", PromptTokens: promptTokens, ReserveTokens: 9000}},
		{"plain", savorypinpick.Query{Candidates: endpoints, Plain: true}},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				picker.Choose(c.query)
			}
		})
		b.Run("explain "+c.name, func(b *testing.B) {
			for b.Loop() {
				picker.Explain(c.query)
			}
		})
	}
}
