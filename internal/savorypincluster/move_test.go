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
	moveName        = "night"
	moveTimeout     = "60s"
	newModel        = "assistant-new"
	newVersion      = "assistant-new-v1"
	planPrompt      = "plan"
	streamTimeoutMS = 3000
	// decodeRate is the number of tokens per second that an engine generates for
	// each request.
	decodeRate = 200
	// busyDecodeRate is so low that requests spend nearly all of their time at the
	// engines. The load of the engines then depends on the number of callers and
	// not on the speed of the machine.
	busyDecodeRate = 10
)

// faultFunc returns the fault to inject into a request.
type faultFunc func(model string, prompt []int32, running int) savorypinstandin.Fault

// startMove starts a cluster whose engines have the given models loaded, and a
// move that gives the new version a share at once.
func startMove(ctx context.Context, share float64, models func(int) []string) *savorypincluster.Cluster {
	return startMoveAtRate(ctx, share, decodeRate, models)
}

// startMoveAtRate is like startMove, but its engines generate the given number of
// tokens per second for each request.
func startMoveAtRate(ctx context.Context, share, rate float64, models func(int) []string) *savorypincluster.Cluster {
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
	applyMove(c, savorypin.MoveGo, share)
	expectMoveState(c, savorypin.MoveRunning)
	return c
}

// applyMove writes the move with an action, as an operator would. It retries on a
// conflict, which occurs if the controller writes the move at the same time.
func applyMove(c *savorypincluster.Cluster, action savorypin.MoveAction, share float64) {
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
	}, moveTimeout).Should(Succeed())
}

// expectMoveState waits until a state of the move is in force at all entries.
func expectMoveState(c *savorypincluster.Cluster, state savorypin.MoveState) {
	for _, e := range c.Entries() {
		Eventually(func() savorypin.MoveState { return moveStatusAt(e).State }, moveTimeout).Should(Equal(state))
	}
}

func bothModels(int) []string {
	return []string{savorypincluster.Model, newModel}
}

// moveStatus returns the status of the move that is in force at the first entry.
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

// startLoad sends requests on two routes from a number of workers. The returned
// function stops them and returns the numbers of requests sent and failed.
func startLoad(c *savorypincluster.Cluster, workers int) func() (sent, failed int64) {
	var sentCount, failedCount atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range workers {
		client := c.Client(i % len(c.Entries()))
		req := savorypinclient.Request{
			MaxTokens: 4, Prompt: "chat", Route: "chat", Service: savorypincluster.Service, TimeoutMS: streamTimeoutMS,
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

// setFaults injects faults into the requests of all engines.
func setFaults(c *savorypincluster.Cluster, f faultFunc) {
	for _, a := range c.Agents() {
		a.Engine.SetFaults(f)
	}
}

// newModelRequests returns how many attempts on the new model reached an engine.
func newModelRequests(c *savorypincluster.Cluster) int {
	n := 0
	for _, a := range c.Agents() {
		n += a.Engine.RequestsFor(newModel)
	}
	return n
}

// rejectingDaemons returns how many daemons have a rejection of the move.
func rejectingDaemons(c *savorypincluster.Cluster) int {
	var daemons []*savorypindaemon.Daemon
	for _, e := range c.Entries() {
		daemons = append(daemons, e.Daemon())
	}
	for _, a := range c.Agents() {
		daemons = append(daemons, a.Daemon())
	}
	n := 0
	for _, d := range daemons {
		state, _ := d.States()["moves"].(savorypincontroller.MovesState)
		n += len(state.Rejected)
	}
	return n
}

// expectNewVersionUnused checks that the new version gets no further requests.
// Earlier attempts of other callers may still arrive; they have other prompts and
// aren't counted.
func expectNewVersionUnused(ctx context.Context, c *savorypincluster.Cluster) {
	var requests atomic.Int64
	for _, a := range c.Agents() {
		defer a.Engine.SetFaults(a.Engine.Faults())
		a.Engine.SetFaults(countStreams(&requests, a.Engine.Faults()))
	}
	for range 50 {
		_, _, err := streamTokens(ctx, c.Client(), 1, func(int) {})
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(requests.Load()).To(BeZero())
}

// countStreams wraps f in a function that counts in n the requests of streamTokens
// to the new model.
func countStreams(n *atomic.Int64, f faultFunc) faultFunc {
	want := savorypinstandin.Tokenize(streamPrompt)
	return func(model string, prompt []int32, running int) savorypinstandin.Fault {
		if model == newModel && slices.Equal(prompt, want) {
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
		faults  faultFunc
	}{
		{"fails from the start", 8, decodeRate, func(model string, _ []int32, _ int) savorypinstandin.Fault {
			return savorypinstandin.Fault{Fails: model == newModel}
		}},
		{"fails on one route only", 8, decodeRate, func(model string, prompt []int32, _ int) savorypinstandin.Fault {
			return savorypinstandin.Fault{Fails: model == newModel && prompt[0] == savorypinstandin.Tokenize(planPrompt)[0]}
		}},
		{"slows under load", 48, busyDecodeRate, func(model string, _ []int32, running int) savorypinstandin.Fault {
			if model != newModel || running < 6 {
				return savorypinstandin.Fault{}
			}
			return savorypinstandin.Fault{Slowdown: 6}
		}},
	} {
		It("rolls back a version that "+tc.name, func(ctx SpecContext) {
			c := startMoveAtRate(ctx, 0.2, tc.rate, bothModels)
			setFaults(c, tc.faults)
			stop := startLoad(c, tc.workers)
			expectMoveState(c, savorypin.MoveRolledBack)
			stop()
			Expect(moveStatus(c).Reason).To(ContainSubstring("worse"))
			Expect(moveStatus(c).Evidence).NotTo(BeEmpty())
			expectNewVersionUnused(ctx, c)
		})
	}

	It("rolls back a version that fails after the move was done", func(ctx SpecContext) {
		c := startMove(ctx, 0.3, bothModels)
		stop := startLoad(c, 8)
		Eventually(func() int { return newModelRequests(c) }, moveTimeout).Should(BeNumerically(">", 100))
		applyMove(c, savorypin.MoveGo, 1)
		expectMoveState(c, savorypin.MoveDone)
		setFaults(c, func(model string, _ []int32, _ int) savorypinstandin.Fault {
			return savorypinstandin.Fault{Fails: model == newModel}
		})
		expectMoveState(c, savorypin.MoveRolledBack)
		stop()
		Expect(moveStatus(c).Reason).To(ContainSubstring("worse"))
		expectNewVersionUnused(ctx, c)
	})

	It("is held, continued and rolled back by an operator", func(ctx SpecContext) {
		c := startMove(ctx, 0.3, bothModels)
		applyMove(c, savorypin.MoveHold, 0.3)
		expectMoveState(c, savorypin.MovePaused)
		Expect(moveStatus(c).Share).To(Equal(0.3))
		applyMove(c, savorypin.MoveGo, 0.3)
		expectMoveState(c, savorypin.MoveRunning)
		applyMove(c, savorypin.MoveRollback, 0.3)
		expectMoveState(c, savorypin.MoveRolledBack)
		expectNewVersionUnused(ctx, c)
		applyMove(c, savorypin.MoveGo, 1)
		expectNewVersionUnused(ctx, c)
	})

	It("does not reject a good version while one of its hosts fails", func(ctx SpecContext) {
		c := startMove(ctx, 0.3, bothModels)
		c.Agents()[0].Engine.SetFaults(func(string, []int32, int) savorypinstandin.Fault {
			return savorypinstandin.Fault{Fails: true}
		})
		stop := startLoad(c, 8)
		Eventually(func() int { return newModelRequests(c) }, moveTimeout).Should(BeNumerically(">", 400))
		stop()
		Expect(rejectingDaemons(c)).To(BeZero())
		Expect(moveStatus(c).State).To(Equal(savorypin.MoveRunning))
	})

	It("gives the new version no more than its share when all endpoints of the old one are lost", func(ctx SpecContext) {
		const share = 0.1
		c := startMove(ctx, share, func(agent int) []string {
			if agent == 3 {
				return []string{newModel}
			}
			return []string{savorypincluster.Model}
		})
		newEngine := c.Agents()[3].Engine
		before := newEngine.RequestsFor(newModel)
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
		Expect(newEngine.RequestsFor(newModel) - before).To(BeNumerically("<=", int(share*float64(sent))+entries))
		Expect(refused).To(BeNumerically(">=", sent-int(share*float64(sent))-entries))
	})

	It("rejects a bad version during an outage of the platform, and writes the rejection afterwards", func(ctx SpecContext) {
		c := startMove(ctx, 0.2, bothModels)
		stop := startLoad(c, 8)
		c.Platform().SetOutage(true)
		setFaults(c, func(model string, _ []int32, _ int) savorypinstandin.Fault {
			return savorypinstandin.Fault{Fails: model == newModel}
		})
		total := len(c.Entries()) + len(c.Agents())
		Eventually(func() int { return rejectingDaemons(c) }, moveTimeout).Should(Equal(total))
		stop()
		expectNewVersionUnused(ctx, c)
		Expect(moveStatus(c).State).To(Equal(savorypin.MoveRunning))

		By("restarting a daemon that has the rejection")
		Expect(c.RestartAgent(1)).To(Succeed())
		Eventually(func() int { return rejectingDaemons(c) }, moveTimeout).Should(Equal(total))

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
		}, moveTimeout).Should(Equal(savorypin.MoveRolledBack))
	})
})
