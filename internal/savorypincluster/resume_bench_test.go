package savorypincluster_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypinstandin"
)

// BenchmarkResume measures, at the caller, the longest gap between two tokens of
// an answer during which a fault is injected, and the number of tokens decoded in
// excess of the answer's length. Engines decode a token every 20 ms.
func BenchmarkResume(b *testing.B) {
	for _, tc := range []struct {
		name  string
		fault func(c *savorypincluster.Cluster, n *network)
	}{
		{"nothing", func(*savorypincluster.Cluster, *network) {}},
		{"agent-killed", func(c *savorypincluster.Cluster, _ *network) { go busiestAgent(c).Kill() }},
		{"connection-silent", func(c *savorypincluster.Cluster, n *network) {
			n.Blackhole(busiestAgent(c).Daemon().Self().Address, false)
		}},
		{"engine-killed", func(c *savorypincluster.Cluster, _ *network) { busiestAgent(c).Engine.Kill() }},
		{"engine-stalled", func(c *savorypincluster.Cluster, _ *network) { busiestAgent(c).Engine.SetStalled(true) }},
		{"entry-and-agent-killed", func(c *savorypincluster.Cluster, _ *network) {
			a := busiestAgent(c)
			go a.Kill()
			go c.Entries()[0].Kill()
		}},
		{"entry-killed", func(c *savorypincluster.Cluster, _ *network) { go c.Entries()[0].Kill() }},
		{"host-silent", func(c *savorypincluster.Cluster, n *network) {
			n.Blackhole(busiestAgent(c).Daemon().Self().Address, true)
		}},
	} {
		for _, policy := range []savorypin.ResumePolicy{savorypin.ResumeFrugal, savorypin.ResumeLatency} {
			b.Run(tc.name+"/"+string(policy), func(b *testing.B) {
				for b.Loop() {
					gap, extra := runWithFault(b, policy, tc.fault)
					b.ReportMetric(float64(gap.Milliseconds()), "gap-ms")
					b.ReportMetric(float64(extra), "extra-tokens")
				}
			})
		}
	}
}

// runWithFault runs one generation and injects a fault halfway through it.
func runWithFault(
	b *testing.B,
	policy savorypin.ResumePolicy,
	fault func(*savorypincluster.Cluster, *network),
) (gap time.Duration, extra int) {
	const tokens = 150
	ctx := context.Background()
	n := &network{blackholed: map[string]bool{}, gates: map[string][]*gate{}, listeners: map[string]net.Listener{}}
	defer n.close()
	c, err := savorypincluster.Start(ctx, savorypincluster.Config{
		Agents: 3,
		Dial:   n.Dial,
		Engine: savorypinstandin.EngineConfig{
			Models: []string{savorypincluster.Model}, PrefillPerSecond: 8000, Slots: 16, TokensPerSecond: 50,
		},
		Entries: 2,
		Logger:  log.New(io.Discard),
		Places:  []savorypincluster.Place{{Domain: "d1", Region: "r1"}, {Domain: "d2", Region: "r1"}, {Domain: "d3", Region: "r1"}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	if err := c.Configure(); err != nil {
		b.Fatal(err)
	}
	if err := applyResume(c, policy); err != nil {
		b.Fatal(err)
	}
	before := decodedTokens(c)
	last := time.Time{}
	_, _, err = streamTokens(ctx, c.Client(), tokens, func(i int) {
		now := time.Now()
		if !last.IsZero() {
			gap = max(gap, now.Sub(last))
		}
		last = now
		if i == tokens/2 {
			fault(c, n)
		}
	})
	if err != nil {
		b.Fatal(err)
	}
	return gap, decodedTokens(c) - before - tokens
}
