package savorypincluster_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinstandin"
	"savorypin/pkg/savorypinclient"
)

// withStopGrace returns an option that sets how long running work may take to
// finish at a stop.
func withStopGrace(d time.Duration) func(*savorypincluster.Config) {
	return func(cfg *savorypincluster.Config) { cfg.StopGrace = d }
}

// generateWhole requests an answer from an entry without streaming and returns the
// HTTP status and the tokens.
func generateWhole(ctx context.Context, url string, n int) (int, []int32, error) {
	body, err := json.Marshal(savorypinclient.Request{
		MaxTokens: n, Prompt: "a prompt", Seed: 7, Service: savorypincluster.Service,
	})
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/generations", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	var answer struct {
		Tokens []int32 `json:"tokens"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return resp.StatusCode, answer.Tokens, err
}

var _ = Describe("A planned stop", func() {
	const tokens = 100
	want := savorypinstandin.Answer(savorypincluster.Model, 7, "a prompt", tokens)

	for _, tc := range []struct {
		name   string
		grace  time.Duration
		outage bool
		stop   func(*savorypincluster.Cluster) <-chan struct{}
		// maxAttempts is the largest number of attempts that the answer may take.
		maxAttempts int
	}{
		{
			"of an agent lets a short answer finish", time.Minute, false,
			func(c *savorypincluster.Cluster) <-chan struct{} {
				a := busiestAgent(c)
				a.Daemon().Stop()
				return a.Done()
			}, 1,
		},
		{
			"of an agent lets another agent continue a long answer after the last token sent", time.Millisecond, false,
			func(c *savorypincluster.Cluster) <-chan struct{} {
				a := busiestAgent(c)
				a.Daemon().Stop()
				return a.Done()
			}, 2,
		},
		{
			"of an agent works during an outage of the platform", time.Millisecond, true,
			func(c *savorypincluster.Cluster) <-chan struct{} {
				a := busiestAgent(c)
				a.Daemon().Stop()
				return a.Done()
			}, 2,
		},
		{
			"of an entry moves its callers to another entry", time.Millisecond, false,
			func(c *savorypincluster.Cluster) <-chan struct{} {
				c.Entries()[0].Daemon().Stop()
				return c.Entries()[0].Done()
			}, 1,
		},
		{
			"of an entry and the agent on the same host interrupts no answer", time.Millisecond, false,
			func(c *savorypincluster.Cluster) <-chan struct{} {
				a := busiestAgent(c)
				a.Daemon().Stop()
				c.Entries()[0].Daemon().Stop()
				<-c.Entries()[0].Done()
				return a.Done()
			}, 2,
		},
	} {
		It(tc.name, func(ctx SpecContext) {
			c := startCluster(ctx, 2, 3, withStopGrace(tc.grace))
			c.Platform().SetOutage(tc.outage)
			var stopped <-chan struct{}
			got, result, err := streamTokens(ctx, c.Client(), tokens, func(n int) {
				if n == tokens/4 {
					stopped = tc.stop(c)
				}
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
			Expect(result.Attempts).To(BeNumerically("<=", tc.maxAttempts))
			Eventually(stopped, orderTimeout).Should(BeClosed())
		})
	}

	It("of an entry waits for callers that can't attach to another entry", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 2, withStopGrace(time.Millisecond))
		type answer struct {
			err    error
			status int
			tokens []int32
		}
		answers := make(chan answer, 1)
		go func() {
			var a answer
			a.status, a.tokens, a.err = generateWhole(ctx, c.Entries()[0].URL(), tokens)
			answers <- a
		}()
		Eventually(func() int { return runningRequests(c) }, orderTimeout).Should(Equal(1))
		c.Entries()[0].Daemon().Stop()
		var a answer
		Eventually(answers, orderTimeout).Should(Receive(&a))
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.tokens).To(Equal(want))
		Eventually(c.Entries()[0].Done(), orderTimeout).Should(BeClosed())
	})

	It("of an agent keeps new work away from the agent at once", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 2, withStopGrace(time.Minute))
		leaving := c.Agents()[0]
		_, _, err := streamTokens(ctx, c.Client(), 2, func(int) {})
		Expect(err).NotTo(HaveOccurred())
		leaving.Daemon().Stop()
		before, _ := leaving.Engine.Requests()
		for range 10 {
			_, _, err := streamTokens(ctx, c.Client(), 2, func(int) {})
			Expect(err).NotTo(HaveOccurred())
		}
		after, _ := leaving.Engine.Requests()
		Expect(after).To(Equal(before))
	})

	It("begins when the platform marks the host as leaving", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 2, withStopGrace(time.Minute))
		leaving := c.Agents()[1]
		c.Platform().SetHosts([]savorypinplatform.Host{{
			Addresses: []string{leaving.Daemon().Self().Address},
			Leaving:   true,
			Name:      "host-1",
		}})
		Eventually(leaving.Done(), waitTimeout).Should(BeClosed())
		got, _, err := streamTokens(ctx, c.Client(), tokens, func(int) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
	})
})
