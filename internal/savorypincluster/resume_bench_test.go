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

// BenchmarkResume measures, at the caller, the longest gap between tokens of
// an answer in which something breaks, and the tokens decoded beyond a clean
// run. Engines decode a token every 20 ms.
func BenchmarkResume(b *testing.B) {
	for _, tc := range []struct {
		name  string
		fault func(c *savorypincluster.Cluster, n *network)
	}{
		{"nothing", func(*savorypincluster.Cluster, *network) {}},
		{"agent-killed", func(c *savorypincluster.Cluster, _ *network) { go busiest(c).Kill() }},
		{"connection-silent", func(c *savorypincluster.Cluster, n *network) {
			n.Silence(busiest(c).Daemon().Self().Address, false)
		}},
		{"engine-killed", func(c *savorypincluster.Cluster, _ *network) { busiest(c).Engine.Kill() }},
		{"engine-stalled", func(c *savorypincluster.Cluster, _ *network) { busiest(c).Engine.Stall(true) }},
		{"entry-and-agent-killed", func(c *savorypincluster.Cluster, _ *network) {
			a := busiest(c)
			go a.Kill()
			go c.Entries()[0].Kill()
		}},
		{"entry-killed", func(c *savorypincluster.Cluster, _ *network) { go c.Entries()[0].Kill() }},
		{"host-silent", func(c *savorypincluster.Cluster, n *network) {
			n.Silence(busiest(c).Daemon().Self().Address, true)
		}},
	} {
		for _, policy := range []savorypin.ResumePolicy{savorypin.ResumeFrugal, savorypin.ResumeLatency} {
			b.Run(tc.name+"/"+string(policy), func(b *testing.B) {
				for b.Loop() {
					gap, extra := breakOnce(b, policy, tc.fault)
					b.ReportMetric(float64(gap.Milliseconds()), "gap-ms")
					b.ReportMetric(float64(extra), "extra-tokens")
				}
			})
		}
	}
}

// breakOnce runs one generation and breaks something in its middle.
func breakOnce(
	b *testing.B,
	policy savorypin.ResumePolicy,
	fault func(*savorypincluster.Cluster, *network),
) (gap time.Duration, extra int) {
	const tokens = 150
	ctx := context.Background()
	n := &network{frozen: map[string]bool{}, gates: map[string][]*gate{}, relays: map[string]net.Listener{}}
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
	before := decoded(c)
	last := time.Time{}
	_, _, err = stream(ctx, c.Client(), tokens, func(i int) {
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
	return gap, decoded(c) - before - tokens
}
