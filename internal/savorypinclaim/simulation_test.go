package savorypinclaim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"savorypin/internal/savorypinclaim"
)

var errLost = errors.New("message was lost")

// simulation is a system of agents, entries and a platform under a seeded
// schedule of faults.
type simulation struct {
	agents    []*fakeAgent
	ctx       context.Context
	entries   []*fakeEntry
	faultRate float64
	store     *fakeStore

	mu   sync.Mutex
	rand *rand.Rand
	// runs holds the ids of the attempts that ran, by key.
	runs map[savorypinclaim.KeyID][]string
}

// fakeAgent is the agent of an endpoint. A restart empties its log.
type fakeAgent struct {
	mu          sync.Mutex
	incarnation int64
	log         *savorypinclaim.AttemptLog
}

func (a *fakeAgent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	a.log = savorypinclaim.NewAttemptLog(savorypinclaim.AttemptLogConfig{
		Incarnation: a.incarnation,
		MaxBytes:    1 << 20,
		MaxRecords:  4,
		Now:         time.Now,
		Retention:   10 * time.Second,
	})
}

func (a *fakeAgent) current() (*savorypinclaim.AttemptLog, int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.log, a.incarnation
}

// fakeEntry is an entry, which may be paused or stopped.
type fakeEntry struct {
	cancel      context.CancelFunc
	stopped     bool
	shards      *savorypinclaim.ShardSet
	mu          sync.Mutex
	pausedUntil time.Time
	runner      *savorypinclaim.Runner
}

// waitWhilePaused blocks while the entry is paused or, once the entry is stopped,
// until ctx ends.
func (e *fakeEntry) waitWhilePaused(ctx context.Context) {
	for {
		e.mu.Lock()
		stopped, wait := e.stopped, time.Until(e.pausedUntil)
		e.mu.Unlock()
		if stopped {
			<-ctx.Done()
			return
		}
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

func (e *fakeEntry) isStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

func newSimulation(ctx context.Context, seed uint64, faultRate float64) *simulation {
	sim := &simulation{
		ctx:       ctx,
		entries:   make([]*fakeEntry, 3),
		faultRate: faultRate,
		rand:      rand.New(rand.NewPCG(seed, 2)),
		runs:      map[savorypinclaim.KeyID][]string{},
		store:     newFakeStore(seed),
	}
	sim.store.latency = 3 * time.Millisecond
	sim.store.lossRate = faultRate
	for range 2 {
		a := &fakeAgent{}
		a.restart()
		sim.agents = append(sim.agents, a)
	}
	for i := range sim.entries {
		sim.restartEntry(i)
	}
	return sim
}

func (sim *simulation) drawFault(p float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rand.Float64() < p
}

func (sim *simulation) restartEntry(i int) {
	ctx, cancel := context.WithCancel(sim.ctx)
	e := &fakeEntry{cancel: cancel}
	waitWhilePaused := func() { e.waitWhilePaused(sim.ctx) }
	e.shards = savorypinclaim.NewShardSet(savorypinclaim.ShardSetConfig{
		Await: func(ctx context.Context, address string, key savorypinclaim.KeyID, attempt string) (savorypinclaim.Verdict, error) {
			return callEntry(sim, e, func(o *fakeEntry) (savorypinclaim.Verdict, error) {
				return o.shards.Shard(key).Await(ctx, key, attempt)
			}, address)
		},
		Claim: func(ctx context.Context, address string, c savorypinclaim.Claim) (savorypinclaim.Verdict, error) {
			return callEntry(sim, e, func(o *fakeEntry) (savorypinclaim.Verdict, error) { return o.shards.Shard(c.Key).Claim(ctx, c) }, address)
		},
		MaxKeys: 1000,
		CommitterAddress: func(shard int) string {
			if shard%len(sim.entries) == i {
				return ""
			}
			return fmt.Sprint(shard % len(sim.entries))
		},
		Settle: func(_ context.Context, address string, s savorypinclaim.Settlement) error {
			_, err := callEntry(sim, e, func(o *fakeEntry) (savorypinclaim.Verdict, error) {
				o.shards.Shard(s.Key).Settle(s)
				return savorypinclaim.Verdict{}, nil
			}, address)
			return err
		},
		Shard: shardConfig(sim.store.store(waitWhilePaused)),
	})
	e.runner = savorypinclaim.NewRunner(savorypinclaim.RunnerConfig{
		Await: e.shards.Await,
		Bar: func(ctx context.Context, claimed savorypinclaim.ClaimedAttempt) (savorypinclaim.Outcome, *savorypinclaim.Answer, error) {
			waitWhilePaused()
			if sim.drawFault(sim.faultRate) {
				return "", nil, errLost
			}
			log, _ := sim.agentOf(claimed.Attempt).current()
			outcome, answer := log.Bar(ctx, claimed)
			waitWhilePaused()
			return outcome, answer, nil
		},
		Claim: e.shards.Claim,
		IsAgentLost: func(a savorypinclaim.Attempt) bool {
			_, incarnation := sim.agentOf(a).current()
			return incarnation != a.Incarnation
		},
		OutcomeTimeout: 100 * time.Millisecond,
		Settle:         func(s savorypinclaim.Settlement) { go e.shards.Settle(sim.ctx, s) },
	})
	for shard := range savorypinclaim.Shards {
		go e.shards.Run(ctx, shard)
	}
	sim.mu.Lock()
	sim.entries[i] = e
	sim.mu.Unlock()
}

// callEntry calls another entry. The request or the answer may be lost.
func callEntry(
	sim *simulation,
	from *fakeEntry,
	call func(*fakeEntry) (savorypinclaim.Verdict, error),
	address string,
) (savorypinclaim.Verdict, error) {
	from.waitWhilePaused(sim.ctx)
	sim.mu.Lock()
	to := sim.entries[int(address[0]-'0')]
	sim.mu.Unlock()
	if to.isStopped() || sim.drawFault(sim.faultRate) {
		return savorypinclaim.Verdict{}, errLost
	}
	to.waitWhilePaused(sim.ctx)
	verdict, err := call(to)
	from.waitWhilePaused(sim.ctx)
	if sim.drawFault(sim.faultRate) {
		return savorypinclaim.Verdict{}, errLost
	}
	return verdict, err
}

func (sim *simulation) agentOf(a savorypinclaim.Attempt) *fakeAgent {
	return sim.agents[int(a.Member[0]-'0')]
}

// newRequest returns a request that is sent through an entry. The request appends
// the ids of its attempts to attempts.
func (sim *simulation) newRequest(e *fakeEntry, key savorypinclaim.KeyID, attempts *[]string) savorypinclaim.Request {
	return savorypinclaim.Request{
		Key: key,
		Pick: func(avoid map[string]bool) (savorypinclaim.Attempt, bool) {
			for i, a := range sim.agents {
				name := fmt.Sprint(i)
				if avoid[name] {
					continue
				}
				_, incarnation := a.current()
				attempt := savorypinclaim.NewAttempt(name, incarnation, name)
				*attempts = append(*attempts, attempt.ID)
				return attempt, true
			}
			return savorypinclaim.Attempt{}, false
		},
		Send: func(_ context.Context, claimed savorypinclaim.ClaimedAttempt) (*savorypinclaim.Answer, error) {
			e.waitWhilePaused(sim.ctx)
			if sim.drawFault(sim.faultRate / 2) {
				return nil, savorypinclaim.ErrNotSent
			}
			return sim.runAtAgent(claimed)
		},
	}
}

// runAtAgent runs an attempt in the same way as an agent does.
func (sim *simulation) runAtAgent(claimed savorypinclaim.ClaimedAttempt) (*savorypinclaim.Answer, error) {
	log, _ := sim.agentOf(claimed.Attempt).current()
	switch err := log.Admit(claimed); {
	case errors.Is(err, savorypinclaim.ErrBarred):
		return nil, savorypinclaim.ErrSuperseded
	case err != nil:
		return nil, savorypinclaim.ErrNotSent
	}
	time.Sleep(10 * time.Millisecond)
	sim.mu.Lock()
	sim.runs[claimed.Key] = append(sim.runs[claimed.Key], claimed.Attempt.ID)
	sim.mu.Unlock()
	if sim.drawFault(sim.faultRate / 2) {
		log.End(claimed.Attempt.ID, savorypinclaim.OutcomeUnknown, nil)
		return nil, errLost
	}
	answer := &savorypinclaim.Answer{Body: []byte(claimed.Attempt.ID), Status: 200}
	log.End(claimed.Attempt.ID, savorypinclaim.OutcomeDone, answer)
	if sim.drawFault(sim.faultRate) {
		return nil, errLost
	}
	return answer, nil
}

// injectFaults injects random faults until ctx ends.
func (sim *simulation) injectFaults(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		sim.mu.Lock()
		i := r.IntN(len(sim.entries))
		e := sim.entries[i]
		sim.mu.Unlock()
		switch r.IntN(4) {
		case 0:
			e.mu.Lock()
			e.pausedUntil = time.Now().Add(time.Duration(r.IntN(3000)) * time.Millisecond)
			e.mu.Unlock()
		case 1:
			e.mu.Lock()
			e.stopped = true
			e.mu.Unlock()
			e.cancel()
			sim.restartEntry(i)
		case 2:
			sim.agents[r.IntN(len(sim.agents))].restart()
		default:
			sim.store.setUnavailable(true)
			time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
			sim.store.setUnavailable(false)
		}
	}
}

// callResult is the result that one caller got, with the ids of its attempts.
type callResult struct {
	attempts []string
	key      savorypinclaim.KeyID
	result   savorypinclaim.Result
}

// violations describes the keys that ran more than once and the results that
// contradict what ran.
func (sim *simulation) violations(results []callResult) []string {
	var found []string
	for key, runs := range sim.runs {
		if len(runs) > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", key, len(runs)))
		}
	}
	for _, c := range results {
		runs := sim.runs[c.key]
		ran := strings.Join(runs, ",")
		switch c.result.Outcome {
		case savorypinclaim.OutcomeDone:
			if c.result.Answer == nil || string(c.result.Answer.Body) != ran {
				found = append(found, fmt.Sprintf("%s: answer is not that of run %q", c.key, ran))
			}
		case savorypinclaim.OutcomeClosed:
			if len(runs) > 0 {
				found = append(found, fmt.Sprintf("%s: outcome is closed, but the key ran", c.key))
			}
		case savorypinclaim.OutcomeNotRun:
			for _, attempt := range c.attempts {
				if strings.Contains(ran, attempt) {
					found = append(found, fmt.Sprintf("%s: outcome is not run, but one of its attempts ran", c.key))
				}
			}
		}
	}
	return found
}

// runCallers makes calls that share a few keys through random entries and returns
// the results. It leaves out the callers of entries that were stopped.
func (sim *simulation) runCallers(seed uint64) []callResult {
	const callers, keys = 24, 8
	var mu sync.Mutex
	var results []callResult
	var wg sync.WaitGroup
	for i := range callers {
		r := rand.New(rand.NewPCG(seed, uint64(100+i)))
		wg.Go(func() {
			time.Sleep(time.Duration(r.IntN(6000)) * time.Millisecond)
			c := callResult{key: savorypinclaim.KeyID{byte(r.IntN(keys))}}
			sim.mu.Lock()
			e := sim.entries[r.IntN(len(sim.entries))]
			sim.mu.Unlock()
			ctx, cancel := context.WithTimeout(sim.ctx, 4*time.Second)
			defer cancel()
			if r.IntN(10) == 0 {
				c.result = e.runner.Close(ctx, c.key)
			} else {
				c.result = e.runner.Run(ctx, sim.newRequest(e, c.key, &c.attempts))
			}
			mu.Lock()
			defer mu.Unlock()
			if !e.isStopped() {
				results = append(results, c)
			}
		})
	}
	wg.Wait()
	return results
}

// endSimulation cancels the simulation and waits until its goroutines have ended.
func endSimulation(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Minute)
}

// TestAtMostOnceUnderFaults guards against keys that run twice and results that
// contradict what ran, while entries pause and stop, agents restart, messages are
// lost and the platform is unavailable.
func TestAtMostOnceUnderFaults(t *testing.T) {
	outcomes := map[savorypinclaim.Outcome]int{}
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer endSimulation(cancel)
			sim := newSimulation(ctx, seed, 0.1)
			faultCtx, stopFaults := context.WithCancel(ctx)
			go sim.injectFaults(faultCtx, seed)
			results := sim.runCallers(seed)
			stopFaults()
			for _, c := range results {
				outcomes[c.result.Outcome]++
			}
			for _, violation := range sim.violations(results) {
				t.Errorf("seed %d: %s", seed, violation)
			}
		})
	}
	t.Logf("outcomes: %v", outcomes)
}

func TestRepeatsWithoutFaultsAreAllAnswered(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer endSimulation(cancel)
			sim := newSimulation(ctx, seed, 0)
			results := sim.runCallers(seed)
			for _, c := range results {
				if c.result.Outcome != savorypinclaim.OutcomeDone && c.result.Outcome != savorypinclaim.OutcomeClosed {
					t.Errorf("seed %d: %s, %v", seed, c.result.Outcome, c.result.Err)
				}
			}
			for _, violation := range sim.violations(results) {
				t.Errorf("seed %d: %s", seed, violation)
			}
		})
	}
}
