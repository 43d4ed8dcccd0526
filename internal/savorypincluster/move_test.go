package savorypincluster_test

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypincontroller"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinstandin"
	"savorypin/pkg/savorypinclient"
)

const (
	moveName      = "night"
	moveLimit     = "60s"
	newModel      = "assistant-new"
	newVersion    = "assistant-new-v1"
	planPrompt    = "plan"
	streamTimeout = 3000
	// decodeRate is how many tokens a second an engine generates for a request.
	decodeRate = 200
	// busyDecodeRate lets requests spend nearly all of their time at engines, so
	// that these are as loaded as the callers mean them to be however slow the
	// machine is.
	busyDecodeRate = 10
)

// faults decides on the fault of a request.
type faults func(model string, prompt []int32, running int) savorypinstandin.Fault

// startMove starts a cluster whose engines serve models, and a move that gives
// the new version a share at once.
func startMove(ctx context.Context, share float64, models func(int) []string) *savorypincluster.Cluster {
	return startMoveAt(ctx, share, decodeRate, models)
}

// startMoveAt is startMove with engines that generate at a rate.
func startMoveAt(ctx context.Context, share, rate float64, models func(int) []string) *savorypincluster.Cluster {
	c, err := savorypincluster.Start(context.WithoutCancel(ctx), savorypincluster.Config{
		Agents:  4,
		Engine:  savorypinstandin.EngineConfig{PrefillPerSecond: 100_000, Slots: 16, TokensPerSecond: rate},
		Entries: 2,
		Logger:  log.New(io.Discard),
		Models:  models,
		Places:  []savorypincluster.Place{{Domain: "d1", Region: "r1"}, {Domain: "d2", Region: "r1"}},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	_, err = c.Apply(savorypin.KindVersion, newVersion, savorypin.VersionSpec{Model: newModel, Service: savorypincluster.Service})
	Expect(err).NotTo(HaveOccurred())
	Expect(c.Configure()).To(Succeed())
	order(c, savorypin.MoveGo, share)
	expectState(c, savorypin.MoveRunning)
	return c
}

// order orders the move as an operator would. A write of the controller that
// comes between is a conflict, after which the order is given again.
func order(c *savorypincluster.Cluster, action savorypin.MoveAction, share float64) {
	spec := savorypin.MoveSpec{
		Action:   action,
		By:       time.Now().Add(time.Hour),
		From:     savorypincluster.Version,
		MinShare: share,
		Service:  savorypincluster.Service,
		To:       newVersion,
	}
	Eventually(func() error {
		_, err := c.Apply(savorypin.KindMove, moveName, spec)
		return err
	}, moveLimit).Should(Succeed())
}

// expectState waits until all entries have a state of the move in force.
func expectState(c *savorypincluster.Cluster, state savorypin.MoveState) {
	for _, e := range c.Entries() {
		Eventually(func() savorypin.MoveState { return moveStatusAt(e).State }, moveLimit).Should(Equal(state))
	}
}

func bothModels(int) []string {
	return []string{savorypincluster.Model, newModel}
}

// moveStatus returns what the first entry has in force.
func moveStatus(c *savorypincluster.Cluster) savorypin.MoveStatus {
	return moveStatusAt(c.Entries()[0])
}

func moveStatusAt(e *savorypincluster.Entry) savorypin.MoveStatus {
	var status savorypin.MoveStatus
	o, ok := e.Daemon().Config().Object(savorypin.Key{Kind: savorypin.KindMove, Name: moveName})
	if ok && len(o.Status) > 0 {
		Expect(json.Unmarshal(o.Status, &status)).To(Succeed())
	}
	return status
}

// drive sends requests on two routes until the returned function is called,
// which returns the number of requests and of those that failed.
func drive(c *savorypincluster.Cluster, workers int) func() (sent, failed int64) {
	var sentCount, failedCount atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range workers {
		client := c.Client(i % len(c.Entries()))
		req := savorypinclient.Request{
			MaxTokens: 4, Prompt: "chat", Route: "chat", Service: savorypincluster.Service, TimeoutMS: streamTimeout,
		}
		if i%4 == 0 {
			req.Prompt, req.Route = planPrompt, planPrompt
		}
		wg.Go(func() {
			for ctx.Err() == nil {
				sentCount.Add(1)
				_, err := client.Stream(ctx, req, func(savorypinclient.Token) error { return nil })
				if err != nil && ctx.Err() == nil {
					failedCount.Add(1)
				}
			}
		})
	}
	stop := sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	DeferCleanup(stop)
	return func() (int64, int64) {
		stop()
		return sentCount.Load(), failedCount.Load()
	}
}

func breakEngines(c *savorypincluster.Cluster, f faults) {
	for _, a := range c.Agents() {
		a.Engine.SetFaults(f)
	}
}

// newRequests returns how many attempts on the new model reached an engine.
func newRequests(c *savorypincluster.Cluster) int {
	n := 0
	for _, a := range c.Agents() {
		n += a.Engine.RequestsFor(newModel)
	}
	return n
}

// rejectedAt returns how many daemons know that the move was judged bad.
func rejectedAt(c *savorypincluster.Cluster) int {
	var daemons []*savorypindaemon.Daemon
	for _, e := range c.Entries() {
		daemons = append(daemons, e.Daemon())
	}
	for _, a := range c.Agents() {
		daemons = append(daemons, a.Daemon())
	}
	n := 0
	for _, d := range daemons {
		state, _ := d.States()["moves"].(savorypincontroller.State)
		n += len(state.Rejected)
	}
	return n
}

// expectNoneNew checks that the new version gets no further work. Attempts of other
// callers that were on their way before, which have other prompts, may still arrive.
func expectNoneNew(ctx context.Context, c *savorypincluster.Cluster) {
	var further atomic.Int64
	for _, a := range c.Agents() {
		defer a.Engine.SetFaults(a.Engine.Faults())
		a.Engine.SetFaults(counting(&further, a.Engine.Faults()))
	}
	for range 50 {
		_, _, err := stream(ctx, c.Client(), 1, func(int) {})
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(further.Load()).To(BeZero())
}

// counting counts the requests of stream that reach the new model.
func counting(n *atomic.Int64, f faults) faults {
	own := savorypinstandin.Tokenize(streamPrompt)
	return func(model string, prompt []int32, running int) savorypinstandin.Fault {
		if model == newModel && slices.Equal(prompt, own) {
			n.Add(1)
		}
		return f(model, prompt, running)
	}
}

var _ = Describe("Move", func() {
	for _, tc := range []struct {
		name    string
		workers int
		rate    float64
		faults  faults
	}{
		{"fails at once", 8, decodeRate, func(model string, _ []int32, _ int) savorypinstandin.Fault {
			return savorypinstandin.Fault{Fails: model == newModel}
		}},
		{"fails on one route only", 8, decodeRate, func(model string, prompt []int32, _ int) savorypinstandin.Fault {
			return savorypinstandin.Fault{Fails: model == newModel && prompt[0] == savorypinstandin.Tokenize(planPrompt)[0]}
		}},
		{"slows under load", 48, busyDecodeRate, func(model string, _ []int32, running int) savorypinstandin.Fault {
			if model != newModel || running < 6 {
				return savorypinstandin.Fault{}
			}
			return savorypinstandin.Fault{Slow: 6}
		}},
	} {
		It("takes back a version that "+tc.name, func(ctx SpecContext) {
			c := startMoveAt(ctx, 0.2, tc.rate, bothModels)
			breakEngines(c, tc.faults)
			stop := drive(c, tc.workers)
			expectState(c, savorypin.MoveTakenBack)
			stop()
			Expect(moveStatus(c).Reason).To(ContainSubstring("worse"))
			Expect(moveStatus(c).Evidence).NotTo(BeEmpty())
			expectNoneNew(ctx, c)
		})
	}

	It("takes back a version that fails after the move was done", func(ctx SpecContext) {
		c := startMove(ctx, 0.3, bothModels)
		stop := drive(c, 8)
		Eventually(func() int { return newRequests(c) }, moveLimit).Should(BeNumerically(">", 100))
		order(c, savorypin.MoveGo, 1)
		expectState(c, savorypin.MoveDone)
		breakEngines(c, func(model string, _ []int32, _ int) savorypinstandin.Fault {
			return savorypinstandin.Fault{Fails: model == newModel}
		})
		expectState(c, savorypin.MoveTakenBack)
		stop()
		Expect(moveStatus(c).Reason).To(ContainSubstring("worse"))
		expectNoneNew(ctx, c)
	})

	It("is held, goes on and is rolled back on order", func(ctx SpecContext) {
		c := startMove(ctx, 0.3, bothModels)
		order(c, savorypin.MoveHold, 0.3)
		expectState(c, savorypin.MovePaused)
		Expect(moveStatus(c).Share).To(Equal(0.3))
		order(c, savorypin.MoveGo, 0.3)
		expectState(c, savorypin.MoveRunning)
		order(c, savorypin.MoveRollback, 0.3)
		expectState(c, savorypin.MoveTakenBack)
		expectNoneNew(ctx, c)
		order(c, savorypin.MoveGo, 1)
		expectNoneNew(ctx, c)
	})

	It("leaves a good version alone while one of its hosts fails", func(ctx SpecContext) {
		c := startMove(ctx, 0.3, bothModels)
		c.Agents()[0].Engine.SetFaults(func(string, []int32, int) savorypinstandin.Fault {
			return savorypinstandin.Fault{Fails: true}
		})
		stop := drive(c, 8)
		Eventually(func() int { return newRequests(c) }, moveLimit).Should(BeNumerically(">", 400))
		stop()
		Expect(rejectedAt(c)).To(BeZero())
		Expect(moveStatus(c).State).To(Equal(savorypin.MoveRunning))
	})

	It("gives a new version no more than its share when all good endpoints are lost", func(ctx SpecContext) {
		const share = 0.1
		c := startMove(ctx, share, func(agent int) []string {
			if agent == 3 {
				return []string{newModel}
			}
			return []string{savorypincluster.Model}
		})
		standby := c.Agents()[3].Engine
		before := standby.RequestsFor(newModel)
		for _, a := range c.Agents()[:3] {
			a.Engine.Kill()
		}
		sent, refused := 0, 0
		for sent < 200 {
			sent++
			_, err := c.Client(sent%2).Stream(ctx, savorypinclient.Request{
				MaxTokens: 1, Prompt: "chat", Service: savorypincluster.Service, TimeoutMS: 200,
			}, func(savorypinclient.Token) error { return nil })
			if err != nil {
				refused++
			}
		}
		entries := len(c.Entries())
		Expect(standby.RequestsFor(newModel) - before).To(BeNumerically("<=", int(share*float64(sent))+entries))
		Expect(refused).To(BeNumerically(">=", sent-int(share*float64(sent))-entries))
	})

	It("rejects a bad version while the platform is out, and writes it afterwards", func(ctx SpecContext) {
		c := startMove(ctx, 0.2, bothModels)
		stop := drive(c, 8)
		c.Platform().SetOutage(true)
		breakEngines(c, func(model string, _ []int32, _ int) savorypinstandin.Fault {
			return savorypinstandin.Fault{Fails: model == newModel}
		})
		daemons := len(c.Entries()) + len(c.Agents())
		Eventually(func() int { return rejectedAt(c) }, moveLimit).Should(Equal(daemons))
		stop()
		expectNoneNew(ctx, c)
		Expect(moveStatus(c).State).To(Equal(savorypin.MoveRunning))

		By("restarting a daemon that heard the verdict")
		Expect(c.RestartAgent(1)).To(Succeed())
		Eventually(func() int { return rejectedAt(c) }, moveLimit).Should(Equal(daemons))

		By("ending the outage")
		c.Platform().SetOutage(false)
		Eventually(func() savorypin.MoveState {
			platform := savorypinplatform.NewClient(savorypinplatform.Config{URL: c.PlatformURL()})
			o, err := platform.Get(ctx, savorypin.Key{Kind: savorypin.KindMove, Name: moveName})
			var status savorypin.MoveStatus
			if err == nil {
				Expect(json.Unmarshal(o.Status, &status)).To(Succeed())
			}
			return status.State
		}, moveLimit).Should(Equal(savorypin.MoveTakenBack))
	})
})
