package savorypinclaim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"savorypin/internal/savorypinclaim"
)

// claimAtRate claims and settles keys through shards at a constant rate for 30 s,
// on a platform with a latency of 3 ms. It returns the platform's writes and
// reads per 1,000 keys.
func claimAtRate(t *testing.T, perSecond int) (writes, reads float64) {
	t.Helper()
	const seconds = 30
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFakeStore(1)
		f.latency = 3 * time.Millisecond
		shards := savorypinclaim.NewShardSet(savorypinclaim.ShardSetConfig{
			MaxKeys:          1_000_000,
			CommitterAddress: func(int) string { return "" },
			Shard:            shardConfig(f.store(func() {})),
		})
		for shard := range savorypinclaim.Shards {
			go shards.Run(ctx, shard)
		}
		var wg sync.WaitGroup
		for i := range perSecond * seconds {
			wg.Go(func() { claimAndSettle(ctx, t, shards, i) })
			time.Sleep(time.Second / time.Duration(perSecond))
		}
		wg.Wait()
		for !shards.Idle() {
			time.Sleep(time.Second)
		}
		w, r := f.calls()
		writes = float64(w) * 1000 / float64(perSecond*seconds)
		reads = float64(r) * 1000 / float64(perSecond*seconds)
		cancel()
		time.Sleep(time.Minute)
	})
	return writes, reads
}

func claimAndSettle(ctx context.Context, t *testing.T, shards *savorypinclaim.ShardSet, i int) {
	c := claimOf(savorypinclaim.NewKeyID("ledger", fmt.Sprint(i)), fmt.Sprint(i))
	v, err := shards.Claim(ctx, c)
	if err != nil || v.Kind != savorypinclaim.VerdictGranted {
		t.Errorf("claim %d: %v %v", i, v.Kind, err)
	}
	time.Sleep(20 * time.Millisecond)
	shards.Settle(ctx, savorypinclaim.Settlement{
		Answer:  &savorypinclaim.Answer{Body: make([]byte, 100), Status: 200},
		Attempt: c.Attempt.ID, Key: c.Key, Outcome: savorypinclaim.OutcomeDone,
	})
}

// TestPlatformCalls guards against claims that need more calls than the platform
// takes: at the target of 1,000 keys a second, 300 writes and 500 reads a second.
// Half of these writes are left for the deletes after the retention, which are as
// many as the writes of segments.
func TestPlatformCalls(t *testing.T) {
	for _, tc := range []struct {
		perSecond           int
		maxWrites, maxReads float64
	}{
		{perSecond: 2, maxWrites: 2000, maxReads: 12000},
		{perSecond: 100, maxWrites: 2000, maxReads: 2000},
		{perSecond: 1000, maxWrites: 150, maxReads: 500},
	} {
		writes, reads := claimAtRate(t, tc.perSecond)
		t.Logf("%d keys/s: %.0f writes and %.0f reads for 1,000 keys", tc.perSecond, writes, reads)
		if writes > tc.maxWrites || reads > tc.maxReads {
			t.Errorf("%d keys/s: %.0f writes and %.0f reads for 1,000 keys", tc.perSecond, writes, reads)
		}
	}
}

// BenchmarkClaims compares claims through shards with one object per key, for many
// concurrent callers on a platform with a latency of 3 ms and no limits. It
// reports the mean time of a claim and the platform's calls: grouping trades
// latency for fewer writes. With one object per key, the time and the calls of a
// claim include the write of its outcome; claims through shards are not settled.
func BenchmarkClaims(b *testing.B) {
	b.Run("grouped", func(b *testing.B) {
		f := newFakeStore(1)
		f.latency = 3 * time.Millisecond
		cfg := shardConfig(f.store(func() {}))
		shards := savorypinclaim.NewShardSet(savorypinclaim.ShardSetConfig{
			MaxKeys:          b.N,
			CommitterAddress: func(int) string { return "" },
			Shard:            cfg,
		})
		for shard := range savorypinclaim.Shards {
			go shards.Run(b.Context(), shard)
		}
		reportClaimCost(b, f, func(c savorypinclaim.Claim) error {
			_, err := shards.Claim(b.Context(), c)
			return err
		})
	})
	b.Run("naive", func(b *testing.B) {
		f := newFakeStore(1)
		f.latency = 3 * time.Millisecond
		naive := objectPerKey{store: f.store(func() {})}
		reportClaimCost(b, f, func(c savorypinclaim.Claim) error {
			version, ok := naive.claim(b.Context(), c)
			if !ok {
				return errConflict
			}
			return naive.settle(b.Context(), c.Key, version)
		})
	})
}

func reportClaimCost(b *testing.B, f *fakeStore, claim func(savorypinclaim.Claim) error) {
	b.SetParallelism(20)
	var mu sync.Mutex
	n := 0
	var total time.Duration
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			n++
			id := fmt.Sprint(n)
			mu.Unlock()
			started := time.Now()
			if err := claim(claimOf(savorypinclaim.NewKeyID("ledger", id), id)); err != nil {
				b.Error(err)
			}
			mu.Lock()
			total += time.Since(started)
			mu.Unlock()
		}
	})
	writes, reads := f.calls()
	b.ReportMetric(total.Seconds()*1000/float64(b.N), "ms/claim")
	b.ReportMetric(float64(writes)/float64(b.N), "writes/op")
	b.ReportMetric(float64(reads)/float64(b.N), "reads/op")
}
