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

	"github.com/anishathalye/porcupine"

	"savorypin/internal/savorypinclaim"
)

// claimOp is the input of an operation in a history: a claim of a key by an
// attempt. The output is the attempt that held the key afterwards; empty if no
// answer came.
type claimOp struct {
	attempt string
	key     savorypinclaim.KeyID
}

// claimModel returns the model in which the first attempt that claims a key holds
// it. A claim without an answer may or may not have taken effect.
func claimModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[savorypinclaim.KeyID][]porcupine.Operation{}
			for _, op := range history {
				key := op.Input.(claimOp).key
				byKey[key] = append(byKey[key], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Step: func(state, input, output any) []any {
			after := state.(string)
			if after == "" {
				after = input.(claimOp).attempt
			}
			switch output.(string) {
			case "":
				return []any{state, after}
			case after:
				return []any{after}
			default:
				return nil
			}
		},
	}
	return model.ToModel()
}

func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			const daemons, clients, keys = 3, 6, 12
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newFakeStore(seed)
			f.latency = 3 * time.Millisecond
			f.lossRate = 0.2
			var shards []*savorypinclaim.Shard
			for range daemons {
				s := savorypinclaim.NewShard(shardConfig(f.store(func() {})))
				go s.Run(ctx)
				shards = append(shards, s)
			}
			var mu sync.Mutex
			var history []porcupine.Operation
			var wg sync.WaitGroup
			for client := range clients {
				r := rand.New(rand.NewPCG(seed, uint64(client)))
				wg.Go(func() {
					for i := range keys {
						op := claimOp{attempt: fmt.Sprint(client, "-", i), key: keyOf(r.IntN(keys))}
						call := time.Now().UnixNano()
						v, err := shards[r.IntN(daemons)].Claim(ctx, claimOf(op.key, op.attempt))
						o := porcupine.Operation{Call: call, ClientId: client, Input: op, Output: v.Attempt.ID, Return: time.Now().UnixNano()}
						if err != nil {
							o.Output, o.Return = "", time.Now().Add(time.Hour).UnixNano()
						}
						mu.Lock()
						history = append(history, o)
						mu.Unlock()
						time.Sleep(time.Duration(r.IntN(50)) * time.Millisecond)
						f.setUnavailable(r.IntN(20) == 0)
					}
				})
			}
			wg.Wait()
			if !porcupine.CheckOperations(claimModel(), history) {
				t.Errorf("seed %d: history of %d claims is not linearizable", seed, len(history))
			}
		})
	}
}

// claimAll claims and settles the keys from first up to last, one after the other,
// and waits until the shard has written all of them.
func claimAll(ctx context.Context, t *testing.T, s *savorypinclaim.Shard, first, last int) {
	t.Helper()
	for i := first; i < last; i++ {
		v, err := s.Claim(ctx, claimOf(keyOf(i), fmt.Sprint("attempt-", i)))
		if err != nil || v.Kind != savorypinclaim.VerdictGranted {
			t.Fatalf("claim %d: %v %v", i, v.Kind, err)
		}
		s.Settle(savorypinclaim.Settlement{
			Answer:  &savorypinclaim.Answer{Body: fmt.Append(nil, "answer-", i), Status: 200},
			Attempt: fmt.Sprint("attempt-", i),
			Key:     keyOf(i),
			Outcome: savorypinclaim.OutcomeDone,
		})
	}
	for !s.Idle() {
		time.Sleep(time.Second)
	}
}

func TestNewCommitterReadsPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const claims = 200
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFakeStore(1)
		first := savorypinclaim.NewShard(shardConfig(f.store(func() {})))
		go first.Run(ctx)
		claimAll(ctx, t, first, 0, claims)
		_, before := f.calls()
		second := savorypinclaim.NewShard(shardConfig(f.store(func() {})))
		go second.Run(ctx)
		v, err := second.Claim(ctx, claimOf(keyOf(7), "late"))
		if err != nil || v.Outcome != savorypinclaim.OutcomeDone || string(v.Answer.Body) != "answer-7" {
			t.Fatalf("repeat through the new committer: %+v, %v", v, err)
		}
		// The 200 segments are read as 6 pages and 8 segments; reading ahead adds a
		// few more.
		const maxReads = 60
		if _, after := f.calls(); after-before > maxReads {
			t.Errorf("loading took %d reads", after-before)
		}
	})
}

func TestKeysExpireAndPausedDaemonDoesNotReuseSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFakeStore(1)
		cfg := shardConfig(f.store(func() {}))
		paused := savorypinclaim.NewShard(cfg)
		claimOnce := func(s *savorypinclaim.Shard, n int, attempt string) savorypinclaim.Verdict {
			done := make(chan savorypinclaim.Verdict, 1)
			go func() {
				v, err := s.Claim(ctx, claimOf(keyOf(n), attempt))
				if err != nil {
					t.Errorf("claim %d: %v", n, err)
				}
				done <- v
			}()
			synctest.Wait()
			s.Step(ctx)
			return <-done
		}
		claimOnce(paused, 0, "first")
		running := savorypinclaim.NewShard(cfg)
		go running.Run(ctx)
		claimAll(ctx, t, running, 1, 100)
		time.Sleep(2 * time.Hour)
		claimAll(ctx, t, running, 100, 200)
		segments := 0
		for key := range f.objects {
			if strings.Contains(key.Name, "-segment-") {
				segments++
			}
		}
		if segments > 110 {
			t.Errorf("%d of 200 segments are left after the first 100 have expired", segments)
		}
		if keys := running.State().Keys; keys > 110 {
			t.Errorf("%d of 200 keys are left after the first 100 have expired", keys)
		}
		// Without a check of the mark, the paused daemon would create segment 2,
		// which was deleted.
		if v := claimOnce(paused, 150, "late"); v.Kind != savorypinclaim.VerdictTaken {
			t.Errorf("paused daemon granted a key that is taken: %v", v.Kind)
		}
	})
}

func TestClaimsDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFakeStore(1)
		shard := savorypinclaim.NewShard(shardConfig(f.store(func() {})))
		unread := savorypinclaim.NewShard(shardConfig(f.store(func() {})))
		go shard.Run(ctx)
		claimAll(ctx, t, shard, 0, 3)
		f.setUnavailable(true)
		go unread.Run(ctx)
		if _, err := shard.Claim(ctx, claimOf(keyOf(9), "new")); !errors.Is(err, savorypinclaim.ErrNotClaimed) {
			t.Errorf("new key at the committer: %v", err)
		}
		if _, err := shard.Claim(ctx, claimOf(keyOf(1), "repeat")); !errors.Is(err, savorypinclaim.ErrUnavailable) {
			t.Errorf("key that has run: %v", err)
		}
		if _, err := unread.Claim(ctx, claimOf(keyOf(1), "repeat")); !errors.Is(err, savorypinclaim.ErrUnavailable) {
			t.Errorf("key at a daemon that is not loaded: %v", err)
		}
		f.setUnavailable(false)
		if v, err := shard.Claim(ctx, claimOf(keyOf(9), "again")); err != nil || v.Kind != savorypinclaim.VerdictGranted {
			t.Errorf("new key after the outage: %v %v", v.Kind, err)
		}
	})
}

// TestStaleIndexProvesNothingDuringOutage guards against ErrNotClaimed for a key
// that another daemon may have claimed: a daemon that was paused has not refreshed
// its index when the platform fails.
func TestStaleIndexProvesNothingDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFakeStore(1)
		paused := savorypinclaim.NewShard(shardConfig(f.store(func() {})))
		paused.Step(ctx)
		time.Sleep(time.Minute)
		f.setUnavailable(true)
		done := make(chan error, 1)
		go func() {
			_, err := paused.Claim(ctx, claimOf(keyOf(1), "repeat"))
			done <- err
		}()
		synctest.Wait()
		paused.Step(ctx)
		if err := <-done; !errors.Is(err, savorypinclaim.ErrUnavailable) {
			t.Errorf("key at a daemon that was paused: %v", err)
		}
	})
}

func TestFullShardsRefuseNewKeysOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		shards := savorypinclaim.NewShardSet(savorypinclaim.ShardSetConfig{
			MaxKeys:          3,
			CommitterAddress: func(int) string { return "" },
			Shard:            shardConfig(newFakeStore(1).store(func() {})),
		})
		for shard := range savorypinclaim.Shards {
			go shards.Run(ctx, shard)
		}
		for i, want := range []savorypinclaim.VerdictKind{"granted", "granted", "granted", "full"} {
			v, err := shards.Claim(ctx, claimOf(savorypinclaim.KeyID{byte(i)}, fmt.Sprint(i)))
			if err != nil || v.Kind != want {
				t.Errorf("claim %d: %v %v", i, v.Kind, err)
			}
		}
		if v, _ := shards.Claim(ctx, claimOf(savorypinclaim.KeyID{1}, "repeat")); v.Kind != savorypinclaim.VerdictTaken {
			t.Errorf("repeat while full: %v", v.Kind)
		}
	})
}

func TestLargeAnswersAreStoredSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tc := range []struct {
			bytes int
			lost  bool
		}{
			{bytes: 4 << 10},
			{bytes: 600 << 10},
			{bytes: 700 << 10, lost: true},
		} {
			ctx, cancel := context.WithCancel(t.Context())
			f := newFakeStore(1)
			shard := savorypinclaim.NewShard(shardConfig(f.store(func() {})))
			go shard.Run(ctx)
			if _, err := shard.Claim(ctx, claimOf(keyOf(0), "a")); err != nil {
				t.Fatal(err)
			}
			shard.Settle(savorypinclaim.Settlement{
				Answer:  &savorypinclaim.Answer{Body: make([]byte, tc.bytes), Status: 200},
				Attempt: "a", Key: keyOf(0), Outcome: savorypinclaim.OutcomeDone,
			})
			for !shard.Idle() {
				time.Sleep(time.Second)
			}
			v, err := shard.Claim(ctx, claimOf(keyOf(0), "b"))
			if err != nil || v.Answer.Lost != tc.lost || (!tc.lost && len(v.Answer.Body) != tc.bytes) {
				t.Errorf("answer of %d bytes: lost %v, %d bytes, %v", tc.bytes, v.Answer.Lost, len(v.Answer.Body), err)
			}
			const maxObjectBytes = 1 << 20
			for key, o := range f.objects {
				if len(o.Spec) > maxObjectBytes {
					t.Errorf("%s has %d bytes", key, len(o.Spec))
				}
			}
			cancel()
			synctest.Wait()
		}
	})
}
