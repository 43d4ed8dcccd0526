package savorypinclaim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
)

var (
	errAbsent      = errors.New("absent")
	errConflict    = errors.New("conflict")
	errUnavailable = errors.New("unavailable")
)

// fakeStore is a fake of the platform.
type fakeStore struct {
	mu      sync.Mutex
	latency time.Duration
	// lossRate is the fraction of the writes whose result is lost: they return an
	// error even if they took effect.
	lossRate    float64
	objects     map[savorypin.Key]savorypin.Object
	unavailable bool
	rand        *rand.Rand
	reads       int
	version     int64
	writes      int
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{objects: map[savorypin.Key]savorypin.Object{}, rand: rand.New(rand.NewPCG(seed, 1))}
}

// store returns the Store of one daemon. Each call runs waitWhilePaused, which blocks
// while the daemon is paused, before and after the operation.
func (f *fakeStore) store(waitWhilePaused func()) savorypinclaim.Store {
	write := func(apply func() (savorypin.Object, error)) (savorypin.Object, error) {
		waitWhilePaused()
		o, lost, err := f.write(apply)
		waitWhilePaused()
		if lost {
			return savorypin.Object{}, errUnavailable
		}
		return o, err
	}
	return savorypinclaim.Store{
		Create: func(_ context.Context, o savorypin.Object) (savorypin.Object, error) {
			return write(func() (savorypin.Object, error) { return f.put(o, false) })
		},
		Delete: func(_ context.Context, key savorypin.Key, _ int64) error {
			_, err := write(func() (savorypin.Object, error) {
				delete(f.objects, key)
				return savorypin.Object{}, nil
			})
			return err
		},
		Get: func(_ context.Context, key savorypin.Key) (savorypin.Object, error) {
			waitWhilePaused()
			defer waitWhilePaused()
			return f.get(key)
		},
		IsNotFound: func(err error) bool { return errors.Is(err, errAbsent) },
		Update: func(_ context.Context, o savorypin.Object) (savorypin.Object, error) {
			return write(func() (savorypin.Object, error) { return f.put(o, true) })
		},
	}
}

func (f *fakeStore) write(apply func() (savorypin.Object, error)) (o savorypin.Object, lost bool, err error) {
	time.Sleep(f.latency)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.unavailable {
		return o, false, errUnavailable
	}
	o, err = apply()
	return o, f.rand.Float64() < f.lossRate, err
}

func (f *fakeStore) put(o savorypin.Object, update bool) (savorypin.Object, error) {
	existing, ok := f.objects[o.Key]
	if ok != update || existing.Version != o.Version {
		return o, errConflict
	}
	f.version++
	o.Version = f.version
	f.objects[o.Key] = o
	return o, nil
}

func (f *fakeStore) get(key savorypin.Key) (savorypin.Object, error) {
	time.Sleep(f.latency)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.unavailable {
		return savorypin.Object{}, errUnavailable
	}
	o, ok := f.objects[key]
	if !ok {
		return o, fmt.Errorf("%s: %w", key, errAbsent)
	}
	return o, nil
}

func (f *fakeStore) setUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

// calls returns the number of writes and reads so far.
func (f *fakeStore) calls() (writes, reads int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes, f.reads
}

// shardConfig returns a configuration for shards in tests.
func shardConfig(store savorypinclaim.Store) savorypinclaim.ShardConfig {
	var mu sync.Mutex
	orders := 0
	// The address makes the order ids of different configurations differ.
	prefix := fmt.Sprintf("%p", &orders)
	return savorypinclaim.ShardConfig{
		Count:    func(string, int64) {},
		Interval: 80 * time.Millisecond,
		NewOrder: func() string {
			mu.Lock()
			defer mu.Unlock()
			orders++
			return fmt.Sprint(prefix, orders)
		},
		Now:         time.Now,
		Retention:   time.Hour,
		FreeKeys:    func() int { return 1_000_000 },
		SettleDelay: time.Second,
		Store:       store,
		IsCommitter: func() bool { return true },
		Wait:        time.After,
	}
}

// keyOf returns the n-th key of shard 0.
func keyOf(n int) savorypinclaim.KeyID {
	return savorypinclaim.KeyID{0, byte(n >> 8), byte(n)}
}

func claimOf(key savorypinclaim.KeyID, attempt string) savorypinclaim.Claim {
	return savorypinclaim.Claim{
		Attempt: savorypinclaim.Attempt{Endpoint: "ledger", ID: attempt, Incarnation: 1, Member: "agent"},
		Key:     key,
	}
}
