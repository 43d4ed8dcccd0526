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

// graceOf sets how long running work may take to finish at a stop.
func graceOf(d time.Duration) func(*savorypincluster.Config) {
	return func(cfg *savorypincluster.Config) { cfg.StopGrace = d }
}

// whole asks an entry for a whole answer and returns its status and tokens.
func whole(ctx context.Context, url string, n int) (int, []int32, error) {
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
		name  string
		grace time.Duration
		out   bool
		stop  func(*savorypincluster.Cluster) <-chan struct{}
		// attempts is the largest number of attempts that the answer may take.
		attempts int
	}{
		{
			"of an agent lets a short answer finish", time.Minute, false,
			func(c *savorypincluster.Cluster) <-chan struct{} {
				a := busiest(c)
				a.Daemon().Stop()
				return a.Done()
			}, 1,
		},
		{
			"of an agent hands a long answer over at its index", time.Millisecond, false,
			func(c *savorypincluster.Cluster) <-chan struct{} {
				a := busiest(c)
				a.Daemon().Stop()
				return a.Done()
			}, 2,
		},
		{
			"of an agent works while the platform is out", time.Millisecond, true,
			func(c *savorypincluster.Cluster) <-chan struct{} {
				a := busiest(c)
				a.Daemon().Stop()
				return a.Done()
			}, 2,
		},
		{
			"of an entry hands its callers over", time.Millisecond, false,
			func(c *savorypincluster.Cluster) <-chan struct{} {
				c.Entries()[0].Daemon().Stop()
				return c.Entries()[0].Done()
			}, 1,
		},
		{
			"of an entry and the agent on the same host cuts nothing", time.Millisecond, false,
			func(c *savorypincluster.Cluster) <-chan struct{} {
				a := busiest(c)
				a.Daemon().Stop()
				c.Entries()[0].Daemon().Stop()
				<-c.Entries()[0].Done()
				return a.Done()
			}, 2,
		},
	} {
		It(tc.name, func(ctx SpecContext) {
			c := start(ctx, 2, 3, graceOf(tc.grace))
			c.Platform().SetOutage(tc.out)
			var stopped <-chan struct{}
			got, result, err := stream(ctx, c.Client(), tokens, func(n int) {
				if n == tokens/4 {
					stopped = tc.stop(c)
				}
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
			Expect(result.Attempts).To(BeNumerically("<=", tc.attempts))
			Eventually(stopped, eventuallyLimit).Should(BeClosed())
		})
	}

	It("of an entry waits for callers that can't attach elsewhere", func(ctx SpecContext) {
		c := start(ctx, 2, 2, graceOf(time.Millisecond))
		type answer struct {
			err    error
			status int
			tokens []int32
		}
		answers := make(chan answer, 1)
		go func() {
			var a answer
			a.status, a.tokens, a.err = whole(ctx, c.Entries()[0].URL(), tokens)
			answers <- a
		}()
		Eventually(func() int { return running(c) }, eventuallyLimit).Should(Equal(1))
		c.Entries()[0].Daemon().Stop()
		var a answer
		Eventually(answers, eventuallyLimit).Should(Receive(&a))
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.tokens).To(Equal(want))
		Eventually(c.Entries()[0].Done(), eventuallyLimit).Should(BeClosed())
	})

	It("of an agent takes new work away from it at once", func(ctx SpecContext) {
		c := start(ctx, 1, 2, graceOf(time.Minute))
		leaving := c.Agents()[0]
		_, _, err := stream(ctx, c.Client(), 2, func(int) {})
		Expect(err).NotTo(HaveOccurred())
		leaving.Daemon().Stop()
		before, _ := leaving.Engine.Requests()
		for range 10 {
			_, _, err := stream(ctx, c.Client(), 2, func(int) {})
			Expect(err).NotTo(HaveOccurred())
		}
		after, _ := leaving.Engine.Requests()
		Expect(after).To(Equal(before))
	})

	It("begins when the platform marks the host as leaving", func(ctx SpecContext) {
		c := start(ctx, 2, 2, graceOf(time.Minute))
		leaving := c.Agents()[1]
		c.Platform().SetHosts([]savorypinplatform.Host{{
			Addresses: []string{leaving.Daemon().Self().Address},
			Leaving:   true,
			Name:      "host-1",
		}})
		Eventually(leaving.Done(), generous).Should(BeClosed())
		got, _, err := stream(ctx, c.Client(), tokens, func(int) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
	})
})
