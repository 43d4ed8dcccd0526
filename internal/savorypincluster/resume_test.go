package savorypincluster_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
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

// generous bounds waits for events that come by themselves.
const generous = time.Minute

// decoded returns the number of tokens that all engines have decoded.
func decoded(c *savorypincluster.Cluster) int {
	sum := 0
	for _, a := range c.Agents() {
		n, _ := a.Engine.Computed()
		sum += n
	}
	return sum
}

// running returns the number of requests that all engines run.
func running(c *savorypincluster.Cluster) int {
	sum := 0
	for _, a := range c.Agents() {
		_, n := a.Engine.Requests()
		sum += n
	}
	return sum
}

// counter returns a counter of an entry.
func counter(c *savorypincluster.Cluster, entry int, name string) int64 {
	return metrics.GetOrRegisterCounter(name, c.Entries()[entry].Daemon().Metrics()).Count()
}

// with returns an option that sets how the entries dial.
func with(n *network) func(*savorypincluster.Config) {
	return func(cfg *savorypincluster.Config) { cfg.Dial = n.Dial }
}

// setResume sets the resume policy of the service and waits until the entries
// have it.
func setResume(c *savorypincluster.Cluster, policy savorypin.ResumePolicy) {
	_, err := c.Apply(savorypin.KindService, savorypincluster.Service, savorypin.ServiceSpec{
		Resume:  policy,
		Type:    savorypin.ServiceGeneration,
		Version: savorypincluster.Version,
	})
	Expect(err).NotTo(HaveOccurred())
	for _, e := range c.Entries() {
		Eventually(func() savorypin.ResumePolicy {
			spec, _ := e.Daemon().Config().Service(savorypincluster.Service)
			return spec.Resume
		}).WithTimeout(generous).Should(Equal(policy))
	}
}

var _ = Describe("Resume", func() {
	const tokens = 300
	want := savorypinstandin.Answer(savorypincluster.Model, 7, "a prompt", tokens)

	for _, policy := range []savorypin.ResumePolicy{savorypin.ResumeFrugal, savorypin.ResumeLatency} {
		It("regenerates no token when a connection is black-holed, with policy "+string(policy), func(ctx SpecContext) {
			n := newNetwork()
			c := start(ctx, 1, 2, with(n))
			setResume(c, policy)
			before := decoded(c)
			got, result, err := stream(ctx, c.Client(), tokens, func(i int) {
				if i == tokens/3 {
					n.Silence(busiest(c).Daemon().Self().Address, false)
				}
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
			Expect(result.Attempts).To(Equal(1))
			Expect(decoded(c) - before).To(Equal(tokens))
			Expect(counter(c, 0, "resume.attaches")).To(BeNumerically(">=", 1))
		})

		It("goes on elsewhere when a host is silent, and takes nothing when it is back, with policy "+string(policy), func(ctx SpecContext) {
			n := newNetwork()
			c := start(ctx, 2, 3, with(n))
			setResume(c, policy)
			back := func() {}
			got, result, err := stream(ctx, c.Client(), tokens, func(i int) {
				switch i {
				case tokens / 3:
					back = n.Silence(busiest(c).Daemon().Self().Address, true)
				case tokens / 2:
					back()
				case tokens * 2 / 3:
					c.Entries()[0].Kill()
				}
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
			Expect(result.Attempts).To(BeNumerically(">=", 2))
		})
	}

	It("is whole when the first agent dies and then the entry", func(ctx SpecContext) {
		c := start(ctx, 2, 3)
		got, result, err := stream(ctx, c.Client(), tokens, func(i int) {
			switch i {
			case tokens / 4:
				busiest(c).Kill()
			case tokens / 2:
				c.Entries()[0].Kill()
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		Expect(result.Attaches).To(BeNumerically(">=", 1))
		Expect(counter(c, 1, "resume.adopted")).To(BeNumerically(">=", 1))
	})

	It("gives the tail of an answer that finished after the entry died", func(ctx SpecContext) {
		c := start(ctx, 2, 2)
		before := decoded(c)
		got, _, err := stream(ctx, c.Client(), tokens, func(i int) {
			if i == tokens/3 {
				c.Entries()[0].Kill()
				Eventually(func() int { return decoded(c) - before }).WithTimeout(generous).Should(Equal(tokens))
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		Expect(decoded(c) - before).To(Equal(tokens))
	})

	It("lets a caller go on when another entry takes its generation over", func(ctx SpecContext) {
		c := start(ctx, 2, 2)
		before := decoded(c)
		var second []int32
		got, result, err := stream(ctx, c.Client(), tokens, func(i int) {
			if i != tokens/3 {
				return
			}
			id := generationOf(c, 0)
			resp, err := http.Get(c.URLs()[1] + "/v1/generations/" + id + "/stream")
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			second = append(second, int32(resp.StatusCode))
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal([]int32{http.StatusOK}))
		Expect(got).To(Equal(want))
		Expect(result.Attaches).To(BeNumerically(">=", 1))
		Expect(decoded(c) - before).To(Equal(tokens))
	})

	It("frees the engine when the generation is cancelled", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		_, result, err := stream(ctx, c.Client(), 10_000, func(i int) {
			if i != 20 {
				return
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.URLs()[1]+"/v1/generations/"+generationOf(c, 0), nil)
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.FinishReason).To(Equal("cancelled"))
		Eventually(running).WithArguments(c).WithTimeout(generous).Should(BeZero())
	})

	It("frees the engine when the caller goes away", func(ctx SpecContext) {
		c := start(ctx, 1, 1, func(cfg *savorypincluster.Config) {
			cfg.Set = func(s *savorypindaemon.Settings) { s.CallerGrace = 50 * time.Millisecond }
		})
		gone, leave := context.WithCancel(ctx)
		_, _, err := stream(gone, c.Client(), 10_000, func(i int) {
			if i == 20 {
				leave()
			}
		})
		Expect(err).To(MatchError(context.Canceled))
		Eventually(running).WithArguments(c).WithTimeout(generous).Should(BeZero())
	})

	It("does not let a caller that reads nothing hold up another", func(ctx SpecContext) {
		c := start(ctx, 1, 1)
		body := `{"service":"assistant","prompt":"slow","max_tokens":5000}`
		resp, err := http.Post(c.URLs()[0]+"/v1/generations/stream", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Eventually(running).WithArguments(c).WithTimeout(generous).Should(Equal(1))
		got, _, err := stream(ctx, c.Client(), tokens, func(int) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		_, err = io.CopyN(io.Discard, resp.Body, 1)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses new work truly when the memory for answers is full", func(ctx SpecContext) {
		c := start(ctx, 1, 1, func(cfg *savorypincluster.Config) {
			cfg.Set = func(s *savorypindaemon.Settings) { s.AnswerBytes = 20_000 }
		})
		before, _ := c.Agents()[0].Engine.Requests()
		_, _, err := stream(ctx, c.Client(), 2000, func(int) {})
		var refused *savorypinclient.Error
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Kind()).To(Equal(savorypinclient.KindNotRun))
		Expect(refused.RetryAfter()).To(BeNumerically(">", 0))
		after, _ := c.Agents()[0].Engine.Requests()
		Expect(after).To(Equal(before))
		got, _, err := stream(ctx, c.Client(), tokens, func(int) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
	})
})

// generationOf returns the id of the generation that an entry relays.
func generationOf(c *savorypincluster.Cluster, entry int) string {
	for _, g := range c.Entries()[entry].Relays() {
		if !g.Finished {
			return string(g.ID)
		}
	}
	return ""
}
