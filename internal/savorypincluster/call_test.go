package savorypincluster_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinclaim"
	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypinentry"
	"savorypin/pkg/savorypinclient"
)

// withTwoLedgerAgents makes two agents serve the ledger.
func withTwoLedgerAgents(cfg *savorypincluster.Config) {
	cfg.LedgerAgents = 2
}

// callSale makes a sale through an entry. It returns the outcome that the caller
// got: "done", "replayed" or the kind of the error.
func callSale(ctx context.Context, c *savorypincluster.Cluster, entry int, key string) (string, savorypinclient.Answer, error) {
	answer, err := c.Client(entry).Call(ctx, savorypincluster.Ledger, "sale", key, map[string]int{"crib": 7})
	switch kind := errorKind(err); {
	case err != nil:
		return string(kind), answer, err
	case answer.Replayed():
		return "replayed", answer, nil
	default:
		return "done", answer, nil
	}
}

func errorKind(err error) savorypinclient.Kind {
	var e *savorypinclient.Error
	if errors.As(err, &e) {
		return e.Kind()
	}
	return "connection failed"
}

// runCount returns how often the ledger ran the sale of a key.
func runCount(c *savorypincluster.Cluster, key string) int {
	return c.Ledger().Runs()[savorypincluster.Organisation+"/"+key]
}

// startSale starts a sale that takes a second and returns when the first agent runs
// it. The returned channel receives its outcome.
func startSale(ctx context.Context, c *savorypincluster.Cluster, entry int, key string) <-chan string {
	c.Ledger().SetDelay(time.Second)
	result := make(chan string, 1)
	go func() {
		outcome, _, _ := callSale(ctx, c, entry, key)
		result <- outcome
	}()
	Eventually(func() int64 { return runningAttempts(c) }, waitTimeout).Should(BeEquivalentTo(1))
	return result
}

// runningAttempts returns how many attempts the first agent runs.
func runningAttempts(c *savorypincluster.Cluster) int64 {
	return int64(c.Agents()[0].Daemon().States()["attempts"].(savorypinclaim.AttemptLogState).Running)
}

// waitShardsLoaded waits until each shard of the claims has one committer that
// has loaded it.
func waitShardsLoaded(c *savorypincluster.Cluster) {
	Eventually(func() [2]int {
		committers, loaded := 0, 0
		for _, e := range c.Entries() {
			for _, s := range e.Daemon().States()["claims"].([]savorypinclaim.ShardState) {
				if s.Committer {
					committers++
				}
				if s.Committer && s.Loaded {
					loaded++
				}
			}
		}
		return [2]int{committers, loaded}
	}, waitTimeout).Should(Equal([2]int{savorypinclaim.Shards, savorypinclaim.Shards}))
}

// waitOutcomesWritten waits until no entry has an outcome left to send or to write. It looks at those
// that are sent first, since they are written afterwards.
func waitOutcomesWritten(c *savorypincluster.Cluster) {
	Eventually(func() int {
		waiting := 0
		for _, e := range c.Entries() {
			waiting += int(e.Daemon().States()["entry"].(savorypinentry.State).PendingSettlements)
		}
		for _, e := range c.Entries() {
			for _, s := range e.Daemon().States()["claims"].([]savorypinclaim.ShardState) {
				waiting += s.Waiting
			}
		}
		return waiting
	}, waitTimeout).Should(BeZero())
}

var _ = Describe("Call that is not idempotent", func() {
	const key = "sale-1"

	It("has an unknown outcome at every entry if the ledger's answer is lost", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		c.Ledger().LoseAnswers(1)
		for entry := range 2 {
			got, _, _ := callSale(ctx, c, entry, key)
			Expect(got).To(Equal("unknown"))
		}
		Expect(runCount(c, key)).To(Equal(1))
	})

	It("is not reported as not run if the agent is killed while it runs", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		result := startSale(ctx, c, 0, key)
		Expect(c.RestartAgent(0)).To(Succeed())
		Expect(<-result).To(Equal("unknown"))
		Eventually(func() string {
			again, _, _ := callSale(ctx, c, 1, key)
			return again
		}, waitTimeout).Should(Equal("unknown"))
		Eventually(func() int { return runCount(c, key) }, waitTimeout).Should(Equal(1))
	})

	It("is replayed by another entry if its entry is killed while it runs", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		startSale(ctx, c, 0, key)
		c.Entries()[0].Kill()
		got, _, err := callSale(ctx, c, 1, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("replayed"))
		Expect(runCount(c, key)).To(Equal(1))
	})

	It("is replayed after all daemons were restarted", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		_, first, err := callSale(ctx, c, 0, key)
		Expect(err).NotTo(HaveOccurred())
		waitOutcomesWritten(c)
		Expect(c.RestartAgent(0)).To(Succeed())
		for entry := range 2 {
			Expect(c.RestartEntry(entry)).To(Succeed())
			Expect(c.WaitServing(entry)).To(Succeed())
		}
		got, again, err := callSale(ctx, c, 1, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("replayed"))
		Expect(again.Body()).To(Equal(first.Body()))
		Expect(runCount(c, key)).To(Equal(1))
	})

	It("is refused during an outage of the platform and runs afterwards", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		waitShardsLoaded(c)
		c.Platform().SetOutage(true)
		got, _, err := callSale(ctx, c, 0, key)
		Expect(got).To(Equal("not_run"))
		var e *savorypinclient.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.RetryAfter()).To(BeNumerically(">", 0))
		Expect(runCount(c, key)).To(BeZero())
		_, err = c.Client(0).Call(ctx, savorypincluster.Ledger, "stock", "", struct{}{})
		Expect(err).NotTo(HaveOccurred())
		c.Platform().SetOutage(false)
		got, _, _ = callSale(ctx, c, 1, key)
		Expect(got).To(Equal("done"))
		Expect(runCount(c, key)).To(Equal(1))
	})

	It("runs once if answers of the platform are lost", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		for i := range 5 {
			key := fmt.Sprint("sale-", i)
			c.Platform().LoseAnswers(1)
			got, _, err := callSale(ctx, c, i%2, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal("done"))
			Expect(runCount(c, key)).To(Equal(1))
		}
	})

	It("is answered by both entries if sent to both at once", func(ctx SpecContext) {
		const keys = 20
		c := startCluster(ctx, 2, 1)
		c.Ledger().SetDelay(50 * time.Millisecond)
		var wg sync.WaitGroup
		got := make([][2]string, keys)
		for i := range keys {
			for entry := range 2 {
				wg.Go(func() { got[i][entry], _, _ = callSale(ctx, c, entry, fmt.Sprint("sale-", i)) })
			}
		}
		wg.Wait()
		for i := range keys {
			Expect(got[i][:]).To(ConsistOf("done", "replayed"))
			Expect(runCount(c, fmt.Sprint("sale-", i))).To(Equal(1))
		}
	})

	It("is refused if its key was used for another request", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		_, _, err := callSale(ctx, c, 0, key)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Client(1).Call(ctx, savorypincluster.Ledger, "sale", key, map[string]int{"crib": 8})
		Expect(errorKind(err)).To(Equal(savorypinclient.KindInvalid))
		Expect(runCount(c, key)).To(Equal(1))
	})

	It("returns the endpoint's status and body, also when it is replayed", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		c.Ledger().SetStatus(http.StatusServiceUnavailable)
		_, first, err := callSale(ctx, c, 0, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Status()).To(Equal(http.StatusServiceUnavailable))
		c.Ledger().SetStatus(http.StatusOK)
		got, again, err := callSale(ctx, c, 1, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("replayed"))
		Expect(again.Status()).To(Equal(http.StatusServiceUnavailable))
		Expect(again.Body()).To(Equal(first.Body()))
		Expect(runCount(c, key)).To(Equal(1))
	})

	It("has an outcome, and asking for the outcome of a key that has not run closes the key", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		outcome := func(entry int, key string) savorypinclient.Outcome {
			outcome, err := c.Client(entry).Outcome(ctx, savorypincluster.Ledger, key)
			Expect(err).NotTo(HaveOccurred())
			return outcome
		}
		Expect(outcome(0, key)).To(Equal(savorypinclient.OutcomeNotRun))
		got, _, _ := callSale(ctx, c, 1, key)
		Expect(got).To(Equal("not_run"))
		got, _, _ = callSale(ctx, c, 1, "sale-2")
		Expect(got).To(Equal("done"))
		Expect(outcome(0, "sale-2")).To(Equal(savorypinclient.OutcomeDone))
		Expect(runCount(c, key)).To(BeZero())
		c.Platform().SetOutage(true)
		Expect(outcome(0, "sale-3")).To(Equal(savorypinclient.OutcomeUnknown))
	})

	It("is not run if no endpoint can be reached", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1)
		c.Agents()[0].Kill()
		got, _, _ := callSale(ctx, c, 0, key)
		Expect(got).To(Equal("not_run"))
		Expect(c.RestartAgent(0)).To(Succeed())
		Eventually(func() string {
			got, _, _ := callSale(ctx, c, 1, key)
			return got
		}, waitTimeout).Should(Equal("done"))
		Expect(runCount(c, key)).To(Equal(1))
	})

	It("is answered if its entry and its agent are stopped while it runs", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 1, func(cfg *savorypincluster.Config) { cfg.StopGrace = waitTimeout })
		result := startSale(ctx, c, 0, key)
		c.Agents()[0].Daemon().Stop()
		c.Entries()[0].Daemon().Stop()
		Expect(<-result).To(Equal("done"))
		Eventually(c.Entries()[0].Done(), waitTimeout).Should(BeClosed())
		Eventually(c.Agents()[0].Done(), waitTimeout).Should(BeClosed())
		retried, _, err := callSale(ctx, c, 1, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(retried).To(Equal("replayed"))
		Expect(runCount(c, key)).To(Equal(1))
	})

	It("runs on another endpoint if the first was not reached", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 2, withTwoLedgerAgents)
		c.Agents()[0].Kill()
		got, _, err := callSale(ctx, c, 0, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("done"))
		Expect(runCount(c, key)).To(Equal(1))
	})

	It("is not retried on another endpoint if the first may have run it", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 2, withTwoLedgerAgents)
		c.Ledger().LoseAnswers(1)
		got, _, _ := callSale(ctx, c, 0, key)
		Expect(got).To(Equal("unknown"))
		Expect(runCount(c, key)).To(Equal(1))
	})
})

var _ = Describe("Idempotent call", func() {
	It("is answered by another endpoint if the first one's answer is lost", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 2, withTwoLedgerAgents)
		c.Ledger().LoseAnswers(1)
		_, err := c.Client(0).Call(ctx, savorypincluster.Ledger, "stock", "", struct{}{})
		Expect(err).NotTo(HaveOccurred())
	})

	It("is answered during an outage of the platform when an agent was killed", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 2, withTwoLedgerAgents)
		c.Platform().SetOutage(true)
		c.Agents()[0].Kill()
		_, err := c.Client(0).Call(ctx, savorypincluster.Ledger, "stock", "", struct{}{})
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns the status of the endpoint when all attempts fail", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 1)
		c.Ledger().SetStatus(http.StatusBadGateway)
		answer, err := c.Client(0).Call(ctx, savorypincluster.Ledger, "stock", "", struct{}{})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status()).To(Equal(http.StatusBadGateway))
	})
})
