package savorypinclaim

import (
	"context"
	"errors"
	"time"
)

// Timeouts of calls to the daemon that commits a shard.
const (
	// claimTimeout covers two groups on a slow platform. A daemon that does not
	// answer at all is detected sooner, by the failure of its connection.
	claimTimeout  = 10 * time.Second
	settleTimeout = time.Second
)

// ShardSetConfig configures a ShardSet.
type ShardSetConfig struct {
	// Await, Claim and Settle call the daemon at an address.
	Await  func(ctx context.Context, address string, key KeyID, attempt string) (Verdict, error)
	Claim  func(ctx context.Context, address string, c Claim) (Verdict, error)
	Settle func(ctx context.Context, address string, s Settlement) error
	// MaxKeys is the maximum number of keys of all loaded shards together.
	MaxKeys int
	// CommitterAddress returns the address of the daemon that commits a shard for
	// the others; empty if it is this one.
	CommitterAddress func(shard int) string
	// Shard configures the shards. NewShardSet sets Number, FreeKeys and
	// IsCommitter of each.
	Shard ShardConfig
}

// ShardSet holds all shards. Claims go to the daemon that commits their shard, so
// that groups become large. If that daemon does not answer, they are committed
// by this one.
type ShardSet struct {
	cfg    ShardSetConfig
	shards [Shards]*Shard
}

// NewShardSet returns a set of shards that are not loaded yet.
func NewShardSet(cfg ShardSetConfig) *ShardSet {
	set := &ShardSet{cfg: cfg}
	for i := range set.shards {
		shard := cfg.Shard
		shard.Number = i
		shard.FreeKeys = set.freeKeys
		shard.IsCommitter = func() bool { return cfg.CommitterAddress(i) == "" }
		set.shards[i] = NewShard(shard)
	}
	return set
}

// Await waits until an attempt has an outcome or another attempt holds the key, or
// until ctx ends.
func (set *ShardSet) Await(ctx context.Context, key KeyID, attempt string) (Verdict, error) {
	if address := set.cfg.CommitterAddress(key.Shard()); address != "" {
		return set.cfg.Await(ctx, address, key, attempt)
	}
	return set.Shard(key).Await(ctx, key, attempt)
}

// Claim decides a claim. It is safe to repeat: an attempt may be claimed more than
// once.
func (set *ShardSet) Claim(ctx context.Context, c Claim) (Verdict, error) {
	address := set.cfg.CommitterAddress(c.Key.Shard())
	if address == "" {
		return set.Shard(c.Key).Claim(ctx, c)
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	verdict, err := set.cfg.Claim(callCtx, address, c)
	if err == nil || errors.Is(err, ErrNotClaimed) {
		return verdict, err
	}
	return set.Shard(c.Key).Claim(ctx, c)
}

// Settle records the outcome of an attempt.
func (set *ShardSet) Settle(ctx context.Context, s Settlement) {
	if address := set.cfg.CommitterAddress(s.Key.Shard()); address != "" {
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		if set.cfg.Settle(ctx, address, s) == nil {
			return
		}
	}
	set.Shard(s.Key).Settle(s)
}

// Idle reports whether no shard has claims or settlements to write.
func (set *ShardSet) Idle() bool {
	for _, s := range set.shards {
		if !s.Idle() {
			return false
		}
	}
	return true
}

// Keys returns the number of keys of all loaded shards.
func (set *ShardSet) Keys() int {
	n := 0
	for _, s := range set.shards {
		n += int(s.keyCount.Load())
	}
	return n
}

// freeKeys returns the number of new keys that may be accepted.
func (set *ShardSet) freeKeys() int {
	return set.cfg.MaxKeys - set.Keys()
}

// Run commits groups of one shard until ctx ends.
func (set *ShardSet) Run(ctx context.Context, shard int) {
	set.shards[shard].Run(ctx)
}

// LastTriedSegment returns the number of the last segment of a shard that this
// daemon has tried to write, or zero if there is none.
func (set *ShardSet) LastTriedSegment(shard int) uint64 {
	return set.shards[shard].LastTriedSegment()
}

// Shard returns the shard of a key.
func (set *ShardSet) Shard(key KeyID) *Shard {
	return set.shards[key.Shard()]
}

// State returns the states of the shards.
func (set *ShardSet) State() []ShardState {
	states := make([]ShardState, 0, Shards)
	for _, s := range set.shards {
		states = append(states, s.State())
	}
	return states
}
