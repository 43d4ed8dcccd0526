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

// world is a small system under a seeded schedule of faults.
type world struct {
	agents  []*fakeAgent
	ctx     context.Context
	entries []*fakeEntry
	faults  float64
	store   *fakeStore

	mu   sync.Mutex
	rand *rand.Rand
	// runs are the attempts that ran, by key.
	runs map[savorypinclaim.KeyID][]string
}

// fakeAgent stands beside an endpoint; a restart empties its log.
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

// fakeEntry is an entry, which may be paused or dead.
type fakeEntry struct {
	cancel context.CancelFunc
	dead   bool
	shards *savorypinclaim.ShardSet
	mu     sync.Mutex
	paused time.Time
	runner *savorypinclaim.Runner
}

// gate holds up whoever works for the entry while it is paused, and for good
// once it is dead.
func (e *fakeEntry) gate(ctx context.Context) {
	for {
		e.mu.Lock()
		dead, wait := e.dead, time.Until(e.paused)
		e.mu.Unlock()
		if dead {
			<-ctx.Done()
			return
		}
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

func (e *fakeEntry) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

func newWorld(ctx context.Context, seed uint64, faults float64) *world {
	w := &world{
		ctx:     ctx,
		entries: make([]*fakeEntry, 3),
		faults:  faults,
		rand:    rand.New(rand.NewPCG(seed, 2)),
		runs:    map[savorypinclaim.KeyID][]string{},
		store:   newFakeStore(seed),
	}
	w.store.delay = 3 * time.Millisecond
	w.store.lose = faults
	for range 2 {
		a := &fakeAgent{}
		a.restart()
		w.agents = append(w.agents, a)
	}
	for i := range w.entries {
		w.restartEntry(i)
	}
	return w
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.Float64() < p
}

func (w *world) restartEntry(i int) {
	ctx, cancel := context.WithCancel(w.ctx)
	e := &fakeEntry{cancel: cancel}
	gate := func() { e.gate(w.ctx) }
	e.shards = savorypinclaim.NewShardSet(savorypinclaim.ShardSetConfig{
		Await: func(ctx context.Context, address string, key savorypinclaim.KeyID, attempt string) (savorypinclaim.Verdict, error) {
			return remote(w, e, func(o *fakeEntry) (savorypinclaim.Verdict, error) {
				return o.shards.Shard(key).Await(ctx, key, attempt)
			}, address)
		},
		Claim: func(ctx context.Context, address string, c savorypinclaim.Claim) (savorypinclaim.Verdict, error) {
			return remote(w, e, func(o *fakeEntry) (savorypinclaim.Verdict, error) { return o.shards.Shard(c.Key).Claim(ctx, c) }, address)
		},
		MaxKeys: 1000,
		Owner: func(shard int) string {
			if shard%len(w.entries) == i {
				return ""
			}
			return fmt.Sprint(shard % len(w.entries))
		},
		Settle: func(_ context.Context, address string, s savorypinclaim.Settlement) error {
			_, err := remote(w, e, func(o *fakeEntry) (savorypinclaim.Verdict, error) {
				o.shards.Shard(s.Key).Settle(s)
				return savorypinclaim.Verdict{}, nil
			}, address)
			return err
		},
		Shard: shardConfig(w.store.store(gate)),
	})
	e.runner = savorypinclaim.NewRunner(savorypinclaim.RunnerConfig{
		Await: e.shards.Await,
		Bar: func(ctx context.Context, t savorypinclaim.Ticket) (savorypinclaim.Outcome, *savorypinclaim.Answer, error) {
			gate()
			if w.chance(w.faults) {
				return "", nil, errLost
			}
			log, _ := w.agentOf(t.Attempt).current()
			outcome, answer := log.Bar(ctx, t)
			gate()
			return outcome, answer, nil
		},
		Claim: e.shards.Claim,
		Gone: func(a savorypinclaim.Attempt) bool {
			_, incarnation := w.agentOf(a).current()
			return incarnation != a.Incarnation
		},
		Patience: 100 * time.Millisecond,
		Settle:   func(s savorypinclaim.Settlement) { go e.shards.Settle(w.ctx, s) },
	})
	for shard := range savorypinclaim.Shards {
		go e.shards.Run(ctx, shard)
	}
	w.mu.Lock()
	w.entries[i] = e
	w.mu.Unlock()
}

// remote calls another entry; either message may be lost.
func remote(
	w *world,
	from *fakeEntry,
	do func(*fakeEntry) (savorypinclaim.Verdict, error),
	address string,
) (savorypinclaim.Verdict, error) {
	from.gate(w.ctx)
	w.mu.Lock()
	to := w.entries[int(address[0]-'0')]
	w.mu.Unlock()
	if to.isDead() || w.chance(w.faults) {
		return savorypinclaim.Verdict{}, errLost
	}
	to.gate(w.ctx)
	verdict, err := do(to)
	from.gate(w.ctx)
	if w.chance(w.faults) {
		return savorypinclaim.Verdict{}, errLost
	}
	return verdict, err
}

func (w *world) agentOf(a savorypinclaim.Attempt) *fakeAgent {
	return w.agents[int(a.Member[0]-'0')]
}

// request returns a request through an entry that notes its attempts.
func (w *world) request(e *fakeEntry, key savorypinclaim.KeyID, attempts *[]string) savorypinclaim.Request {
	return savorypinclaim.Request{
		Key: key,
		Pick: func(avoid map[string]bool) (savorypinclaim.Attempt, bool) {
			for i, a := range w.agents {
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
		Send: func(_ context.Context, t savorypinclaim.Ticket) (*savorypinclaim.Answer, error) {
			e.gate(w.ctx)
			if w.chance(w.faults / 2) {
				return nil, savorypinclaim.ErrNotSent
			}
			return w.runAt(t)
		},
	}
}

// runAt runs an attempt at an agent as the agent daemon does.
func (w *world) runAt(t savorypinclaim.Ticket) (*savorypinclaim.Answer, error) {
	log, _ := w.agentOf(t.Attempt).current()
	switch err := log.Admit(t); {
	case errors.Is(err, savorypinclaim.ErrBarred):
		return nil, savorypinclaim.ErrSuperseded
	case err != nil:
		return nil, savorypinclaim.ErrNotSent
	}
	time.Sleep(10 * time.Millisecond)
	w.mu.Lock()
	w.runs[t.Key] = append(w.runs[t.Key], t.Attempt.ID)
	w.mu.Unlock()
	if w.chance(w.faults / 2) {
		log.End(t.Attempt.ID, savorypinclaim.OutcomeUnknown, nil)
		return nil, errLost
	}
	answer := &savorypinclaim.Answer{Body: []byte(t.Attempt.ID), Status: 200}
	log.End(t.Attempt.ID, savorypinclaim.OutcomeDone, answer)
	if w.chance(w.faults) {
		return nil, errLost
	}
	return answer, nil
}

// break brings faults about at random until ctx ends.
func (w *world) breakThings(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		w.mu.Lock()
		i := r.IntN(len(w.entries))
		e := w.entries[i]
		w.mu.Unlock()
		switch r.IntN(4) {
		case 0:
			e.mu.Lock()
			e.paused = time.Now().Add(time.Duration(r.IntN(3000)) * time.Millisecond)
			e.mu.Unlock()
		case 1:
			e.mu.Lock()
			e.dead = true
			e.mu.Unlock()
			e.cancel()
			w.restartEntry(i)
		case 2:
			w.agents[r.IntN(len(w.agents))].restart()
		default:
			w.store.setOut(true)
			time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
			w.store.setOut(false)
		}
	}
}

// told is what one caller was told.
type told struct {
	attempts []string
	key      savorypinclaim.KeyID
	result   savorypinclaim.Result
}

// check returns what is false of what callers were told.
func (w *world) check(all []told) []string {
	var wrong []string
	for key, runs := range w.runs {
		if len(runs) > 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", key, len(runs)))
		}
	}
	for _, c := range all {
		runs := w.runs[c.key]
		ran := strings.Join(runs, ",")
		switch c.result.Outcome {
		case savorypinclaim.OutcomeDone:
			if c.result.Answer == nil || string(c.result.Answer.Body) != ran {
				wrong = append(wrong, fmt.Sprintf("%s: told an answer that is not that of run %q", c.key, ran))
			}
		case savorypinclaim.OutcomeClosed:
			if len(runs) > 0 {
				wrong = append(wrong, fmt.Sprintf("%s: told closed, ran", c.key))
			}
		case savorypinclaim.OutcomeNotRun:
			for _, attempt := range c.attempts {
				if strings.Contains(ran, attempt) {
					wrong = append(wrong, fmt.Sprintf("%s: told not run, ran", c.key))
				}
			}
		}
	}
	return wrong
}

// play lets callers repeat keys through all entries under a schedule, and
// returns what they were told.
func (w *world) play(seed uint64) []told {
	const callers, keys = 24, 8
	var mu sync.Mutex
	var all []told
	var wg sync.WaitGroup
	for i := range callers {
		r := rand.New(rand.NewPCG(seed, uint64(100+i)))
		wg.Go(func() {
			time.Sleep(time.Duration(r.IntN(6000)) * time.Millisecond)
			c := told{key: savorypinclaim.KeyID{byte(r.IntN(keys))}}
			w.mu.Lock()
			e := w.entries[r.IntN(len(w.entries))]
			w.mu.Unlock()
			ctx, cancel := context.WithTimeout(w.ctx, 4*time.Second)
			defer cancel()
			if r.IntN(10) == 0 {
				c.result = e.runner.Close(ctx, c.key)
			} else {
				c.result = e.runner.Run(ctx, w.request(e, c.key, &c.attempts))
			}
			mu.Lock()
			defer mu.Unlock()
			if !e.isDead() {
				all = append(all, c)
			}
		})
	}
	wg.Wait()
	return all
}

// finish lets all goroutines of a world end.
func finish(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Minute)
}

func TestSchedules(t *testing.T) {
	outcomes := map[savorypinclaim.Outcome]int{}
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer finish(cancel)
			w := newWorld(ctx, seed, 0.1)
			breakCtx, stop := context.WithCancel(ctx)
			go w.breakThings(breakCtx, seed)
			all := w.play(seed)
			stop()
			for _, c := range all {
				outcomes[c.result.Outcome]++
			}
			for _, wrong := range w.check(all) {
				t.Errorf("seed %d: %s", seed, wrong)
			}
		})
	}
	t.Logf("outcomes: %v", outcomes)
}

func TestRepeatsWithoutFaultsAreAllAnswered(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer finish(cancel)
			w := newWorld(ctx, seed, 0)
			all := w.play(seed)
			for _, c := range all {
				if c.result.Outcome != savorypinclaim.OutcomeDone && c.result.Outcome != savorypinclaim.OutcomeClosed {
					t.Errorf("seed %d: %s, %v", seed, c.result.Outcome, c.result.Err)
				}
			}
			for _, wrong := range w.check(all) {
				t.Errorf("seed %d: %s", seed, wrong)
			}
		})
	}
}
