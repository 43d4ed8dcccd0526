package savorypinclaim

import (
	"context"
	"errors"
	"time"
)

// Timeouts of what is asked of the daemon that commits a shard.
const (
	// claimTimeout covers two groups while the platform is slow. A daemon that
	// does not answer at all shows sooner, by its connection.
	claimTimeout  = 10 * time.Second
	settleTimeout = time.Second
)

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	// Await, Claim and Settle pass on to the daemon at an address.
	Await  func(ctx context.Context, address string, key KeyID, attempt string) (Verdict, error)
	Claim  func(ctx context.Context, address string, c Claim) (Verdict, error)
	Settle func(ctx context.Context, address string, s Settlement) error
	// MaxKeys is the largest number of keys of all shards together.
	MaxKeys int
	// Owner returns the address of the daemon that commits a shard for the
	// others; empty if it is this one.
	Owner func(shard int) string
	// Shard configures the shards; Number, Room and Trusted are set
	// for each.
	Shard ShardConfig
}

// Keeper holds all shards. Claims go to the daemon that commits their shard,
// so that groups grow large; if it does not answer, they are committed here.
type Keeper struct {
	cfg    KeeperConfig
	shards [Shards]*Shard
}

// NewKeeper returns a keeper that has read nothing.
func NewKeeper(cfg KeeperConfig) *Keeper {
	k := &Keeper{cfg: cfg}
	for i := range k.shards {
		shard := cfg.Shard
		shard.Number = i
		shard.Room = k.room
		shard.Trusted = func() bool { return cfg.Owner(i) == "" }
		k.shards[i] = NewShard(shard)
	}
	return k
}

// Await waits until an attempt no longer holds its key as claimed, or ctx
// ends.
func (k *Keeper) Await(ctx context.Context, key KeyID, attempt string) (Verdict, error) {
	if address := k.cfg.Owner(key.Shard()); address != "" {
		return k.cfg.Await(ctx, address, key, attempt)
	}
	return k.Shard(key).Await(ctx, key, attempt)
}

// Claim decides a claim. Its attempt may be claimed more than once.
func (k *Keeper) Claim(ctx context.Context, c Claim) (Verdict, error) {
	address := k.cfg.Owner(c.Key.Shard())
	if address == "" {
		return k.Shard(c.Key).Claim(ctx, c)
	}
	askCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	verdict, err := k.cfg.Claim(askCtx, address, c)
	if err == nil || errors.Is(err, ErrNotClaimed) {
		return verdict, err
	}
	return k.Shard(c.Key).Claim(ctx, c)
}

// Settle takes note of an outcome.
func (k *Keeper) Settle(ctx context.Context, s Settlement) {
	if address := k.cfg.Owner(s.Key.Shard()); address != "" {
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		if k.cfg.Settle(ctx, address, s) == nil {
			return
		}
	}
	k.Shard(s.Key).Settle(s)
}

// Idle reports whether nothing waits to be written.
func (k *Keeper) Idle() bool {
	for _, s := range k.shards {
		if !s.Idle() {
			return false
		}
	}
	return true
}

// Keys returns the number of keys.
func (k *Keeper) Keys() int {
	n := 0
	for _, s := range k.shards {
		n += int(s.keys.Load())
	}
	return n
}

// room returns how many new keys there is room for.
func (k *Keeper) room() int {
	return k.cfg.MaxKeys - k.Keys()
}

// Run commits groups of one shard until ctx ends.
func (k *Keeper) Run(ctx context.Context, shard int) {
	k.shards[shard].Run(ctx)
}

// Shard returns the shard of a key.
func (k *Keeper) Shard(key KeyID) *Shard {
	return k.shards[key.Shard()]
}

// State returns the states of the shards.
func (k *Keeper) State() []ShardState {
	states := make([]ShardState, 0, Shards)
	for _, s := range k.shards {
		states = append(states, s.State())
	}
	return states
}
