package savorypincluster_test

import (
	"context"
	"io"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypinstandin"
	"savorypin/pkg/savorypinclient"
)

// startCluster starts a cluster with fast engines and applies the configuration
// of its services. Options change the configuration of the cluster.
func startCluster(ctx context.Context, entries, agents int, options ...func(*savorypincluster.Config)) *savorypincluster.Cluster {
	cfg := savorypincluster.Config{
		Agents: agents,
		Engine: savorypinstandin.EngineConfig{
			Models:           []string{savorypincluster.Model},
			PrefillPerSecond: 100_000,
			Slots:            16,
			TokensPerSecond:  200,
		},
		Entries: entries,
		Logger:  log.New(io.Discard),
		Places: []savorypincluster.Place{
			{Domain: "d1", Region: "r1"},
			{Domain: "d2", Region: "r1"},
			{Domain: "d3", Region: "r2"},
		},
	}
	for _, option := range options {
		option(&cfg)
	}
	c, err := savorypincluster.Start(context.WithoutCancel(ctx), cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.Configure()).To(Succeed())
	return c
}

// streamPrompt is the prompt of streamTokens. It differs from the prompts of
// startLoad, so that countStreams can distinguish their requests.
const streamPrompt = "a prompt"

// streamTokens runs one generation of n tokens and returns the ids of the tokens
// received. It calls progress with the number of tokens after each one.
func streamTokens(
	ctx context.Context,
	client *savorypinclient.Client,
	n int,
	progress func(int),
) ([]int32, savorypinclient.Result, error) {
	var got []int32
	result, err := client.Stream(ctx, savorypinclient.Request{
		MaxTokens: n,
		Prompt:    streamPrompt,
		Seed:      7,
		Service:   savorypincluster.Service,
	}, func(token savorypinclient.Token) error {
		got = append(got, token.ID)
		progress(len(got))
		return nil
	})
	return got, result, err
}

// busiestAgent returns the agent whose engine runs the most requests.
func busiestAgent(c *savorypincluster.Cluster) *savorypincluster.Agent {
	best := c.Agents()[0]
	maxRunning := -1
	for _, a := range c.Agents() {
		if _, running := a.Engine.Requests(); running > maxRunning {
			best = a
			maxRunning = running
		}
	}
	return best
}

var _ = Describe("Generation", func() {
	const tokens = 60
	want := savorypinstandin.Answer(savorypincluster.Model, 7, "a prompt", tokens)

	for _, tc := range []struct {
		name string
		fail func(*savorypincluster.Cluster)
	}{
		{"an agent is killed", func(c *savorypincluster.Cluster) { busiestAgent(c).Kill() }},
		{"an engine is killed", func(c *savorypincluster.Cluster) { busiestAgent(c).Engine.Kill() }},
		{"an engine stalls", func(c *savorypincluster.Cluster) { busiestAgent(c).Engine.SetStalled(true) }},
		{"the entry is killed", func(c *savorypincluster.Cluster) { c.Entries()[0].Kill() }},
		{"the platform has an outage", func(c *savorypincluster.Cluster) { c.Platform().SetOutage(true) }},
	} {
		It("is complete when "+tc.name, func(ctx SpecContext) {
			c := startCluster(ctx, 2, 3)
			got, _, err := streamTokens(ctx, c.Client(), tokens, func(n int) {
				if n == tokens/3 {
					tc.fail(c)
				}
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
		})
	}
})
