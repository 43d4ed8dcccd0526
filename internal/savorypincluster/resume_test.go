package savorypincluster_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinstandin"
	"savorypin/pkg/savorypinclient"
)

// waitTimeout bounds waits for events that need no further action of the spec.
const waitTimeout = time.Minute

// decodedTokens returns the number of tokens that all engines have decoded.
func decodedTokens(c *savorypincluster.Cluster) int {
	sum := 0
	for _, a := range c.Agents() {
		n, _ := a.Engine.TokenCounts()
		sum += n
	}
	return sum
}

// runningRequests returns the number of requests running on all engines.
func runningRequests(c *savorypincluster.Cluster) int {
	sum := 0
	for _, a := range c.Agents() {
		_, n := a.Engine.Requests()
		sum += n
	}
	return sum
}

// counterValue returns the value of a counter of an entry.
func counterValue(c *savorypincluster.Cluster, entry int, name string) int64 {
	return metrics.GetOrRegisterCounter(name, c.Entries()[entry].Daemon().Metrics()).Count()
}

// withNetwork returns an option that makes the entries dial through a network.
func withNetwork(n *network) func(*savorypincluster.Config) {
	return func(cfg *savorypincluster.Config) { cfg.Dial = n.Dial }
}

func setResume(c *savorypincluster.Cluster, policy savorypin.ResumePolicy) {
	Expect(applyResume(c, policy)).To(Succeed())
}

// applyResume sets the resume policy of the service and waits until it is in force
// at the entries.
func applyResume(c *savorypincluster.Cluster, policy savorypin.ResumePolicy) error {
	_, err := c.Apply(savorypin.KindService, savorypincluster.Service, savorypin.ServiceSpec{
		Resume:  policy,
		Type:    savorypin.ServiceGeneration,
		Version: savorypincluster.Version,
	})
	for _, e := range c.Entries() {
		for err == nil {
			if spec, _ := e.Daemon().Config().Service(savorypincluster.Service); spec.Resume == policy {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	return err
}

var _ = Describe("Resume", func() {
	const tokens = 300
	want := savorypinstandin.Answer(savorypincluster.Model, 7, "a prompt", tokens)

	// Guards against an engine's error in the middle of a stream that has begun, or a stream that then
	// looks complete.
	It("ends a stream that has begun with an error of its own when its engine ends and all others fail", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 2)
		var got []int32
		_, err := c.Client().Stream(ctx, savorypinclient.Request{
			MaxTokens: tokens, Prompt: streamPrompt, Seed: 7, Service: savorypincluster.Service, TimeoutMS: 3000,
		}, func(token savorypinclient.Token) error {
			got = append(got, token.ID)
			if len(got) == tokens/3 {
				killed := busiestAgent(c).Engine
				for _, a := range c.Agents() {
					a.Engine.SetFailRatio(1)
				}
				killed.Kill()
			}
			return nil
		})
		var failure *savorypinclient.Error
		Expect(errors.As(err, &failure)).To(BeTrue(), fmt.Sprint(err))
		Expect(got).To(Equal(want[:len(got)]))
		Expect(len(got)).To(BeNumerically("<", tokens))
	})

	for _, policy := range []savorypin.ResumePolicy{savorypin.ResumeFrugal, savorypin.ResumeLatency} {
		It("regenerates no token when a connection is black-holed, with policy "+string(policy), func(ctx SpecContext) {
			n := newNetwork()
			c := startCluster(ctx, 1, 2, withNetwork(n))
			setResume(c, policy)
			before := decodedTokens(c)
			got, result, err := streamTokens(ctx, c.Client(), tokens, func(i int) {
				if i == tokens/3 {
					n.Blackhole(busiestAgent(c).Daemon().Self().Address, false)
				}
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
			Expect(result.Attempts).To(Equal(1))
			Expect(decodedTokens(c) - before).To(Equal(tokens))
			Expect(counterValue(c, 0, "resume.attaches")).To(BeNumerically(">=", 1))
		})

		It("continues on another host when one is black-holed, and accepts no tokens of the old attempt when it is back, with policy "+string(policy), func(ctx SpecContext) {
			n := newNetwork()
			c := startCluster(ctx, 2, 3, withNetwork(n))
			setResume(c, policy)
			restore := func() {}
			got, result, err := streamTokens(ctx, c.Client(), tokens, func(i int) {
				switch i {
				case tokens / 3:
					restore = n.Blackhole(busiestAgent(c).Daemon().Self().Address, true)
				case tokens / 2:
					restore()
				case tokens * 2 / 3:
					c.Entries()[0].Kill()
				}
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
			Expect(result.Attempts).To(BeNumerically(">=", 2))
		})
	}

	It("completes an answer when the first agent is killed and then the entry", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 3)
		got, result, err := streamTokens(ctx, c.Client(), tokens, func(i int) {
			switch i {
			case tokens / 4:
				busiestAgent(c).Kill()
			case tokens / 2:
				c.Entries()[0].Kill()
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		Expect(result.Attaches).To(BeNumerically(">=", 1))
		Expect(counterValue(c, 1, "resume.adopted")).To(BeNumerically(">=", 1))
	})

	It("completes an answer when the entry and the agent are killed together", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 3)
		got, result, err := streamTokens(ctx, c.Client(), tokens, func(i int) {
			if i == tokens/2 {
				busiestAgent(c).Kill()
				c.Entries()[0].Kill()
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		Expect(result.Version).To(Equal(savorypincluster.Version))
	})

	It("completes all answers when a failure domain is lost", func(ctx SpecContext) {
		const callers = 30
		c := startCluster(ctx, 2, 6)
		client := c.Client()
		answers := make([][]int32, callers)
		errs := make([]error, callers)
		var begun, wg sync.WaitGroup
		begun.Add(callers)
		for i := range callers {
			wg.Go(func() {
				defer GinkgoRecover()
				answers[i], _, errs[i] = streamTokens(ctx, client, tokens, func(n int) {
					if n == tokens/4 {
						begun.Done()
					}
				})
			})
		}
		begun.Wait()
		// Entry 0 and the agents 0 and 3 are in one failure domain.
		for _, kill := range []func(){c.Entries()[0].Kill, c.Agents()[0].Kill, c.Agents()[3].Kill} {
			wg.Go(kill)
		}
		wg.Wait()
		for i := range callers {
			Expect(errs[i]).NotTo(HaveOccurred())
			Expect(answers[i]).To(Equal(want))
		}
	})

	It("counts the extra cost of resumes", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 2, func(cfg *savorypincluster.Config) {
			cfg.Places = []savorypincluster.Place{{Domain: "d1", Region: "r1"}, {Domain: "d2", Region: "r2"}}
		})
		// The router learns of new members slightly later than the membership does.
		// Until then it may know only the endpoint in the other region.
		Eventually(func() int {
			_, _, err := streamTokens(ctx, c.Client(), 1, func(int) {})
			Expect(err).NotTo(HaveOccurred())
			local, _ := c.Agents()[0].Engine.Requests()
			return local
		}, waitTimeout).Should(BeNumerically(">", 0))
		_, _, err := streamTokens(ctx, c.Client(), tokens, func(i int) {
			if i == tokens/2 {
				c.Agents()[0].Engine.Kill()
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(counterValue(c, 0, "resume.attempts.resume")).To(BeEquivalentTo(1))
		Expect(counterValue(c, 0, "resume.prefill_tokens")).To(BeNumerically(">=", tokens/2))
		Expect(counterValue(c, 0, "resume.cross_region_bytes")).To(BeNumerically(">", tokens/2))
	})

	It("continues when the caller's own connection is black-holed", func(ctx SpecContext) {
		n := newNetwork()
		c := startCluster(ctx, 2, 2)
		before := decodedTokens(c)
		client := savorypinclient.New(savorypinclient.Config{
			Entries: c.URLs(),
			HTTPClient: &http.Client{Transport: &http.Transport{
				DialContext: func(_ context.Context, _, address string) (net.Conn, error) { return n.Dial(address, waitTimeout) },
			}},
		})
		got, result, err := streamTokens(ctx, client, tokens, func(i int) {
			if i == tokens/3 {
				n.Blackhole(strings.TrimPrefix(c.URLs()[0], "http://"), false)
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		Expect(result.Attempts).To(Equal(1))
		Expect(result.Attaches).To(BeNumerically(">=", 1))
		Expect(decodedTokens(c) - before).To(Equal(tokens))
	})

	It("delivers the rest of an answer that finished after the entry was killed", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 2)
		before := decodedTokens(c)
		got, _, err := streamTokens(ctx, c.Client(), tokens, func(i int) {
			if i == tokens/3 {
				c.Entries()[0].Kill()
				Eventually(func() int { return decodedTokens(c) - before }).WithTimeout(waitTimeout).Should(Equal(tokens))
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		Expect(decodedTokens(c) - before).To(Equal(tokens))
	})

	It("lets a caller continue when another entry takes over its generation", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 2)
		before := decodedTokens(c)
		var statuses []int32
		got, result, err := streamTokens(ctx, c.Client(), tokens, func(i int) {
			if i != tokens/3 {
				return
			}
			id := unfinishedGeneration(c, 0)
			resp, err := http.Get(c.URLs()[1] + "/v1/generations/" + id + "/stream")
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			statuses = append(statuses, int32(resp.StatusCode))
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(statuses).To(Equal([]int32{http.StatusOK}))
		Expect(got).To(Equal(want))
		Expect(result.Attaches).To(BeNumerically(">=", 1))
		Expect(decodedTokens(c) - before).To(Equal(tokens))
	})

	It("completes an answer for a caller that can't attach again, when another entry takes over the generation and the caller's entry stops", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 2, func(cfg *savorypincluster.Config) { cfg.StopGrace = 10 * time.Millisecond })
		type answer struct {
			Tokens []int32 `json:"tokens"`
		}
		done := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			body := fmt.Sprintf(`{"service":"assistant","prompt":"a prompt","max_tokens":%d,"seed":7}`, tokens)
			resp, err := http.Post(c.URLs()[0]+"/v1/generations", "application/json", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			var got answer
			Expect(json.NewDecoder(resp.Body).Decode(&got)).To(Succeed())
			done <- got
		}()
		Eventually(unfinishedGeneration).WithArguments(c, 0).WithTimeout(waitTimeout).ShouldNot(BeEmpty())
		resp, err := http.Get(c.URLs()[1] + "/v1/generations/" + unfinishedGeneration(c, 0) + "/stream")
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		c.Entries()[0].Daemon().Stop()
		var got answer
		Eventually(done).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.Tokens).To(Equal(want))
		Eventually(c.Entries()[0].Done()).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("ends the attempt on a host that was black-holed when the host is back", func(ctx SpecContext) {
		n := newNetwork()
		c := startCluster(ctx, 1, 2, withNetwork(n), func(cfg *savorypincluster.Config) {
			// The agent would let the attempt run for an hour if the entry didn't
			// cancel it.
			cfg.ChangeSettings = func(s *savorypindaemon.Settings) { s.CallerGrace = time.Hour }
		})
		var lost *savorypincluster.Agent
		restore := func() {}
		got, _, err := streamTokens(ctx, c.Client(), 20_000, func(i int) {
			switch i {
			case 20:
				lost = busiestAgent(c)
				restore = n.Blackhole(lost.Daemon().Self().Address, true)
			case 60:
				restore()
				Eventually(func() int { _, running := lost.Engine.Requests(); return running }).
					WithTimeout(waitTimeout).Should(BeZero())
				_, err := http.DefaultClient.Do(cancelRequest(ctx, c))
				Expect(err).NotTo(HaveOccurred())
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got[:60]).To(Equal(savorypinstandin.Answer(savorypincluster.Model, 7, "a prompt", 60)))
	})

	It("frees the engine when the generation is cancelled", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		_, result, err := streamTokens(ctx, c.Client(), 10_000, func(i int) {
			if i != 20 {
				return
			}
			resp, err := http.DefaultClient.Do(cancelRequest(ctx, c))
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.FinishReason).To(Equal("cancelled"))
		Eventually(runningRequests).WithArguments(c).WithTimeout(waitTimeout).Should(BeZero())
	})

	It("frees the engine when the caller disconnects", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 1, func(cfg *savorypincluster.Config) {
			cfg.ChangeSettings = func(s *savorypindaemon.Settings) { s.CallerGrace = 50 * time.Millisecond }
		})
		callerCtx, disconnect := context.WithCancel(ctx)
		_, _, err := streamTokens(callerCtx, c.Client(), 10_000, func(i int) {
			if i == 20 {
				disconnect()
			}
		})
		Expect(err).To(MatchError(context.Canceled))
		Eventually(runningRequests).WithArguments(c).WithTimeout(waitTimeout).Should(BeZero())
	})

	It("does not let a caller that reads nothing delay another caller", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 1)
		body := `{"service":"assistant","prompt":"slow","max_tokens":5000}`
		resp, err := http.Post(c.URLs()[0]+"/v1/generations/stream", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Eventually(runningRequests).WithArguments(c).WithTimeout(waitTimeout).Should(Equal(1))
		got, _, err := streamTokens(ctx, c.Client(), tokens, func(int) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		_, err = io.CopyN(io.Discard, resp.Body, 1)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses new work as not run when the memory for answers is full", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 1, func(cfg *savorypincluster.Config) {
			cfg.ChangeSettings = func(s *savorypindaemon.Settings) { s.AnswerBytes = 20_000 }
		})
		before, _ := c.Agents()[0].Engine.Requests()
		_, _, err := streamTokens(ctx, c.Client(), 2000, func(int) {})
		var refused *savorypinclient.Error
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Kind()).To(Equal(savorypinclient.KindNotRun))
		Expect(refused.RetryAfter()).To(BeNumerically(">", 0))
		after, _ := c.Agents()[0].Engine.Requests()
		Expect(after).To(Equal(before))
		got, _, err := streamTokens(ctx, c.Client(), tokens, func(int) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
	})
})

// cancelRequest returns a request to the last entry that cancels the unfinished
// generation of the first entry.
func cancelRequest(ctx context.Context, c *savorypincluster.Cluster) *http.Request {
	urls := c.URLs()
	address := urls[len(urls)-1] + "/v1/generations/" + unfinishedGeneration(c, 0)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, address, nil)
	Expect(err).NotTo(HaveOccurred())
	return req
}

// unfinishedGeneration returns the id of a generation that an entry still relays,
// or an empty string.
func unfinishedGeneration(c *savorypincluster.Cluster, entry int) string {
	for _, g := range c.Entries()[entry].Relays() {
		if !g.Finished {
			return string(g.ID)
		}
	}
	return ""
}
