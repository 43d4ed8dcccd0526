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
	"savorypin/pkg/savorypinclient"
)

// withLedgers puts two agents beside the ledger.
func withLedgers(cfg *savorypincluster.Config) {
	cfg.Ledgers = 2
}

// sale makes a sale through an entry and returns what the caller was told.
func sale(ctx context.Context, c *savorypincluster.Cluster, entry int, key string) (string, savorypinclient.Answer, error) {
	answer, err := c.Client(entry).Call(ctx, savorypincluster.Ledger, "sale", key, map[string]int{"crib": 7})
	switch kind := kindOf(err); {
	case err != nil:
		return string(kind), answer, err
	case answer.Replayed():
		return "replayed", answer, nil
	default:
		return "done", answer, nil
	}
}

func kindOf(err error) savorypinclient.Kind {
	var e *savorypinclient.Error
	if errors.As(err, &e) {
		return e.Kind()
	}
	return "connection failed"
}

// runsOf returns how often a key ran.
func runsOf(c *savorypincluster.Cluster, key string) int {
	return c.Ledger().Runs()[savorypincluster.Organisation+"/"+key]
}

// startSale makes a sale that takes long and returns when it is under way.
func startSale(ctx context.Context, c *savorypincluster.Cluster, entry int, key string) <-chan string {
	c.Ledger().SetDelay(time.Second)
	told := make(chan string, 1)
	go func() {
		outcome, _, _ := sale(ctx, c, entry, key)
		told <- outcome
	}()
	Eventually(func() int64 { return underWay(c) }, generous).Should(BeEquivalentTo(1))
	return told
}

// underWay returns how many attempts the agent beside the ledger runs.
func underWay(c *savorypincluster.Cluster) int64 {
	return int64(c.Agents()[0].Daemon().States()["attempts"].(savorypinclaim.AttemptLogState).Running)
}

// loaded waits until each shard has one committer, which has read it.
func loaded(c *savorypincluster.Cluster) {
	Eventually(func() [2]int {
		committers, ready := 0, 0
		for _, e := range c.Entries() {
			for _, s := range e.Daemon().States()["claims"].([]savorypinclaim.ShardState) {
				if s.Committer {
					committers++
				}
				if s.Committer && s.Loaded {
					ready++
				}
			}
		}
		return [2]int{committers, ready}
	}, generous).Should(Equal([2]int{savorypinclaim.Shards, savorypinclaim.Shards}))
}

// settled waits until all entries have written all outcomes.
func settled(c *savorypincluster.Cluster) {
	Eventually(func() int {
		waiting := 0
		for _, e := range c.Entries() {
			for _, s := range e.Daemon().States()["claims"].([]savorypinclaim.ShardState) {
				waiting += s.Waiting
			}
		}
		return waiting
	}, generous).Should(BeZero())
}

var _ = Describe("Call that is not idempotent", func() {
	const key = "sale-1"

	It("is unknown to all if the ledger loses its answer", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		c.Ledger().LoseAnswers(1)
		for entry := range 2 {
			told, _, _ := sale(ctx, c, entry, key)
			Expect(told).To(Equal("unknown"))
		}
		Expect(runsOf(c, key)).To(Equal(1))
	})

	It("is not said to be not run if the agent is killed while it runs", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		told := startSale(ctx, c, 0, key)
		Expect(c.RestartAgent(0)).To(Succeed())
		Expect(<-told).To(Equal("unknown"))
		Eventually(func() string {
			again, _, _ := sale(ctx, c, 1, key)
			return again
		}, generous).Should(Equal("unknown"))
		Eventually(func() int { return runsOf(c, key) }, generous).Should(Equal(1))
	})

	It("is replayed by another entry if its entry is killed while it runs", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		startSale(ctx, c, 0, key)
		c.Entries()[0].Kill()
		told, _, err := sale(ctx, c, 1, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(told).To(Equal("replayed"))
		Expect(runsOf(c, key)).To(Equal(1))
	})

	It("is replayed after all daemons were restarted", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		_, first, err := sale(ctx, c, 0, key)
		Expect(err).NotTo(HaveOccurred())
		settled(c)
		Expect(c.RestartAgent(0)).To(Succeed())
		for entry := range 2 {
			Expect(c.RestartEntry(entry)).To(Succeed())
			Expect(c.WaitServing(entry)).To(Succeed())
		}
		told, again, err := sale(ctx, c, 1, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(told).To(Equal("replayed"))
		Expect(again.Body()).To(Equal(first.Body()))
		Expect(runsOf(c, key)).To(Equal(1))
	})

	It("is refused while the platform is out, and runs afterwards", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		loaded(c)
		c.Platform().SetOutage(true)
		told, _, err := sale(ctx, c, 0, key)
		Expect(told).To(Equal("not_run"))
		var e *savorypinclient.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.RetryAfter()).To(BeNumerically(">", 0))
		Expect(runsOf(c, key)).To(BeZero())
		_, err = c.Client(0).Call(ctx, savorypincluster.Ledger, "stock", "", struct{}{})
		Expect(err).NotTo(HaveOccurred())
		c.Platform().SetOutage(false)
		told, _, _ = sale(ctx, c, 1, key)
		Expect(told).To(Equal("done"))
		Expect(runsOf(c, key)).To(Equal(1))
	})

	It("runs once if the platform's answers are lost", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		for i := range 5 {
			key := fmt.Sprint("sale-", i)
			c.Platform().LoseAnswers(1)
			told, _, err := sale(ctx, c, i%2, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(told).To(Equal("done"))
			Expect(runsOf(c, key)).To(Equal(1))
		}
	})

	It("is answered through both entries at once", func(ctx SpecContext) {
		const keys = 20
		c := start(ctx, 2, 1)
		c.Ledger().SetDelay(50 * time.Millisecond)
		var wg sync.WaitGroup
		told := make([][2]string, keys)
		for i := range keys {
			for entry := range 2 {
				wg.Go(func() { told[i][entry], _, _ = sale(ctx, c, entry, fmt.Sprint("sale-", i)) })
			}
		}
		wg.Wait()
		for i := range keys {
			Expect(told[i][:]).To(ConsistOf("done", "replayed"))
			Expect(runsOf(c, fmt.Sprint("sale-", i))).To(Equal(1))
		}
	})

	It("is refused if its key belongs to another request", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		_, _, err := sale(ctx, c, 0, key)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Client(1).Call(ctx, savorypincluster.Ledger, "sale", key, map[string]int{"crib": 8})
		Expect(kindOf(err)).To(Equal(savorypinclient.KindInvalid))
		Expect(runsOf(c, key)).To(Equal(1))
	})

	It("has the endpoint's status and body, also when it is replayed", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		c.Ledger().SetStatus(http.StatusServiceUnavailable)
		_, first, err := sale(ctx, c, 0, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Status()).To(Equal(http.StatusServiceUnavailable))
		c.Ledger().SetStatus(http.StatusOK)
		told, again, err := sale(ctx, c, 1, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(told).To(Equal("replayed"))
		Expect(again.Status()).To(Equal(http.StatusServiceUnavailable))
		Expect(again.Body()).To(Equal(first.Body()))
		Expect(runsOf(c, key)).To(Equal(1))
	})

	It("has an outcome, and a question closes a key that has not run", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		outcome := func(entry int, key string) savorypinclient.Outcome {
			outcome, err := c.Client(entry).Outcome(ctx, savorypincluster.Ledger, key)
			Expect(err).NotTo(HaveOccurred())
			return outcome
		}
		Expect(outcome(0, key)).To(Equal(savorypinclient.OutcomeNotRun))
		told, _, _ := sale(ctx, c, 1, key)
		Expect(told).To(Equal("not_run"))
		told, _, _ = sale(ctx, c, 1, "sale-2")
		Expect(told).To(Equal("done"))
		Expect(outcome(0, "sale-2")).To(Equal(savorypinclient.OutcomeDone))
		Expect(runsOf(c, key)).To(BeZero())
		c.Platform().SetOutage(true)
		Expect(outcome(0, "sale-3")).To(Equal(savorypinclient.OutcomeUnknown))
	})

	It("is not run if no endpoint can be reached", func(ctx SpecContext) {
		c := start(ctx, 2, 1)
		c.Agents()[0].Kill()
		told, _, _ := sale(ctx, c, 0, key)
		Expect(told).To(Equal("not_run"))
		Expect(c.RestartAgent(0)).To(Succeed())
		Eventually(func() string {
			told, _, _ := sale(ctx, c, 1, key)
			return told
		}, generous).Should(Equal("done"))
		Expect(runsOf(c, key)).To(Equal(1))
	})

	It("is answered if its entry and its agent are stopped while it runs", func(ctx SpecContext) {
		c := start(ctx, 2, 1, func(cfg *savorypincluster.Config) { cfg.StopGrace = generous })
		told := startSale(ctx, c, 0, key)
		c.Agents()[0].Daemon().Stop()
		c.Entries()[0].Daemon().Stop()
		Expect(<-told).To(Equal("done"))
		Eventually(c.Entries()[0].Done(), generous).Should(BeClosed())
		Eventually(c.Agents()[0].Done(), generous).Should(BeClosed())
		told2, _, err := sale(ctx, c, 1, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(told2).To(Equal("replayed"))
		Expect(runsOf(c, key)).To(Equal(1))
	})

	It("runs on another endpoint if the first was not reached", func(ctx SpecContext) {
		c := start(ctx, 2, 2, withLedgers)
		c.Agents()[0].Kill()
		told, _, err := sale(ctx, c, 0, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(told).To(Equal("done"))
		Expect(runsOf(c, key)).To(Equal(1))
	})

	It("does not run on another endpoint if the first may have run it", func(ctx SpecContext) {
		c := start(ctx, 2, 2, withLedgers)
		c.Ledger().LoseAnswers(1)
		told, _, _ := sale(ctx, c, 0, key)
		Expect(told).To(Equal("unknown"))
		Expect(runsOf(c, key)).To(Equal(1))
	})
})

var _ = Describe("Idempotent call", func() {
	It("is answered by another endpoint if the first loses its answer", func(ctx SpecContext) {
		c := start(ctx, 1, 2, withLedgers)
		c.Ledger().LoseAnswers(1)
		_, err := c.Client(0).Call(ctx, savorypincluster.Ledger, "stock", "", struct{}{})
		Expect(err).NotTo(HaveOccurred())
	})

	It("is answered while the platform is out and an agent is dead", func(ctx SpecContext) {
		c := start(ctx, 1, 2, withLedgers)
		c.Platform().SetOutage(true)
		c.Agents()[0].Kill()
		_, err := c.Client(0).Call(ctx, savorypincluster.Ledger, "stock", "", struct{}{})
		Expect(err).NotTo(HaveOccurred())
	})

	It("has the status of the endpoint when all tries fail", func(ctx SpecContext) {
		c := start(ctx, 1, 1)
		c.Ledger().SetStatus(http.StatusBadGateway)
		answer, err := c.Client(0).Call(ctx, savorypincluster.Ledger, "stock", "", struct{}{})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status()).To(Equal(http.StatusBadGateway))
	})
})
