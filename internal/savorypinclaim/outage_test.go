package savorypinclaim_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"savorypin/internal/savorypinclaim"
)

var errOtherWriter = errors.New("another daemon may have written")

// TestAbsentKeyDuringOutage guards against a key that runs although the caller got
// ErrNotClaimed: a daemon that can't reach the committer of the shard commits the
// key on its own, and then the platform fails before the committer reads it.
func TestAbsentKeyDuringOutage(t *testing.T) {
	for _, tc := range []struct {
		name string
		// other is what the other daemon does before or during the outage.
		other      func(ctx context.Context, f *fakeStore, other *savorypinclaim.Shard)
		reachable  bool
		notClaimed bool
	}{
		{"other daemon writes nothing", func(_ context.Context, f *fakeStore, _ *savorypinclaim.Shard) { f.setUnavailable(true) }, true, true},
		{"other daemon is unreachable", func(_ context.Context, f *fakeStore, _ *savorypinclaim.Shard) { f.setUnavailable(true) }, false, false},
		{"other daemon claims the key", func(ctx context.Context, f *fakeStore, other *savorypinclaim.Shard) {
			v, err := other.Claim(ctx, claimOf(keyOf(1), "other"))
			if err != nil || v.Kind != savorypinclaim.VerdictGranted {
				t.Fatalf("claim by the other daemon: %v %v", v.Kind, err)
			}
			f.setUnavailable(true)
		}, true, false},
		{"other daemon tries to claim the key", func(ctx context.Context, f *fakeStore, other *savorypinclaim.Shard) {
			f.setUnavailable(true)
			if _, err := other.Claim(ctx, claimOf(keyOf(1), "other")); err == nil {
				t.Fatal("claim during an outage is granted")
			}
		}, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFakeStore(1)
				other := savorypinclaim.NewShard(shardConfig(f.store(func() {})))
				cfg := shardConfig(f.store(func() {}))
				cfg.IsCommitter = func() bool { return true }
				cfg.CheckNoOtherWriter = func(_ context.Context, _ int, next uint64, _ time.Duration) error {
					if !tc.reachable || other.LastTriedSegment() >= next {
						return errOtherWriter
					}
					return nil
				}
				committer := savorypinclaim.NewShard(cfg)
				go committer.Run(ctx)
				go other.Run(ctx)
				claimAll(ctx, t, committer, 100, 101)
				claimAll(ctx, t, other, 200, 201)
				// The committer refreshes its index meanwhile.
				time.Sleep(5 * time.Second)
				tc.other(ctx, f, other)
				v, err := committer.Claim(ctx, claimOf(keyOf(1), "repeat"))
				if errors.Is(err, savorypinclaim.ErrNotClaimed) != tc.notClaimed {
					t.Errorf("%+v, %v, want ErrNotClaimed: %t", v, err, tc.notClaimed)
				}
				// The committer may have read the other daemon's claim before the outage.
				taken := v.Kind == savorypinclaim.VerdictTaken && v.Attempt.ID == "other"
				if err == nil && !taken {
					t.Errorf("%+v, want an error or the claim of the other daemon", v)
				}
			})
		})
	}
}

// TestConcurrentClaimsShareChecks guards against one call of CheckNoOtherWriter for
// each claim during an outage: concurrent claims share a few checks.
func TestConcurrentClaimsShareChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFakeStore(1)
		var checks atomic.Int64
		cfg := shardConfig(f.store(func() {}))
		cfg.IsCommitter = func() bool { return true }
		cfg.CheckNoOtherWriter = func(context.Context, int, uint64, time.Duration) error {
			checks.Add(1)
			time.Sleep(20 * time.Millisecond)
			return nil
		}
		s := savorypinclaim.NewShard(cfg)
		go s.Run(ctx)
		claimAll(ctx, t, s, 100, 101)
		f.setUnavailable(true)
		const claims = 40
		results := make(chan error, claims)
		for i := range claims {
			go func() {
				_, err := s.Claim(ctx, claimOf(keyOf(i), "first"))
				results <- err
			}()
		}
		for range claims {
			if err := <-results; !errors.Is(err, savorypinclaim.ErrNotClaimed) {
				t.Errorf("claim during an outage: %v", err)
			}
		}
		if n := checks.Load(); n > claims/10 {
			t.Errorf("%d checks for %d concurrent claims", n, claims)
		}
	})
}
