package savorypinentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinrank"
)

// Intervals and limits of claims.
const (
	// claimInterval is the minimum interval between two segments of a shard. It bounds
	// the writes per second to the number of shards divided by the interval.
	claimInterval = 80 * time.Millisecond
	// defaultClaimRetention is how long a key is kept by default.
	defaultClaimRetention = 24 * time.Hour
	// claimSettleDelay is how long outcomes may wait to be written in the same segment
	// as new claims.
	claimSettleDelay = time.Second
	// maxClaimKeys is the maximum number of keys that an entry keeps. A key takes
	// about 130 bytes.
	maxClaimKeys = 1_000_000
)

// startClaims sets up the claim shards of the entry and registers their handlers,
// background loops and metrics.
func (e *Entry) startClaims() {
	platform := e.daemon.Platform()
	e.shards = savorypinclaim.NewShardSet(savorypinclaim.ShardSetConfig{
		Await:            e.remoteAwait,
		Claim:            e.remoteClaim,
		MaxKeys:          maxClaimKeys,
		CommitterAddress: e.committerAddress,
		Settle:           e.remoteSettle,
		Shard: savorypinclaim.ShardConfig{
			CheckNoOtherWriter: e.checkSoleWriter,
			Count:              e.countClaims,
			Interval:           claimInterval,
			NewOrder:           uuid.NewString,
			Now:                time.Now,
			Retention:          e.claimRetention(),
			SettleDelay:        claimSettleDelay,
			Store: savorypinclaim.Store{
				Create:     platform.Create,
				Delete:     platform.Delete,
				Get:        platform.Get,
				IsNotFound: func(err error) bool { return errors.Is(err, savorypinplatform.ErrNotFound) },
				Update:     platform.Update,
			},
			Wait: time.After,
		},
	})
	e.runner = savorypinclaim.NewRunner(savorypinclaim.RunnerConfig{
		Await:          e.shards.Await,
		Bar:            e.bar,
		Claim:          e.shards.Claim,
		IsAgentLost:    e.agentLost,
		OutcomeTimeout: outcomeWait,
		Settle:         e.recordSettlement,
	})
	e.daemon.Handle(savorypinmember.FrameAwait, savorypinmember.HandleCall(e.handleAwait))
	e.daemon.Handle(savorypinmember.FrameClaim, savorypinmember.HandleCall(e.handleClaim))
	e.daemon.Handle(savorypinmember.FrameLastSegment, savorypinmember.HandleCall(e.handleLastSegment))
	e.daemon.Handle(savorypinmember.FrameOutcome, savorypinmember.HandleCall(e.handleSettle))
	var cancel context.CancelFunc
	e.runCtx, cancel = context.WithCancel(context.Background())
	e.daemon.Background(func(ctx context.Context) {
		<-ctx.Done()
		cancel()
	})
	for shard := range savorypinclaim.Shards {
		e.daemon.Background(func(ctx context.Context) { e.shards.Run(ctx, shard) })
	}
	e.daemon.RegisterState("claims", func() any { return e.shards.State() })
	e.registerCallGauges()
}

func (e *Entry) registerCallGauges() {
	gauge := func(name string, read func() int64) {
		_ = e.daemon.Metrics().Register(name, metrics.NewFunctionalGauge(read))
	}
	gauge("calls.running", func() int64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return int64(e.calls)
	})
	gauge("calls.retrybudget", e.limits.retries.Remaining)
	gauge("claims.keys", func() int64 { return int64(e.shards.Keys()) })
}

func (e *Entry) countCall(name string) {
	metrics.GetOrRegisterCounter("calls."+name, e.daemon.Metrics()).Inc(1)
}

// claimRetention returns how long a key is kept.
func (e *Entry) claimRetention() time.Duration {
	if e.cfg.ClaimRetention > 0 {
		return e.cfg.ClaimRetention
	}
	return defaultClaimRetention
}

// countClaims adds n to a claims counter. For claims themselves, it also records the
// size of the group that is written at once in a histogram.
func (e *Entry) countClaims(name string, n int64) {
	const samples = 1028
	if name == "claims" && n > 0 {
		sample := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(samples)) }
		e.daemon.Metrics().GetOrRegister("claims.group", sample).(metrics.Histogram).Update(n)
	}
	metrics.GetOrRegisterCounter("claims."+name, e.daemon.Metrics()).Inc(n)
}

// committerAddress returns the address of the entry that commits a shard on behalf of
// the others, or an empty string if it is this one.
func (e *Entry) committerAddress(shard int) string {
	addresses := map[string]string{}
	var names []string
	if !e.daemon.Draining() {
		names = append(names, e.cfg.Settings.Name)
	}
	for _, m := range e.daemon.Members().All() {
		state := m.State()
		if m.Usable() && state.Role == savorypin.RoleEntry && state.Name != e.cfg.Settings.Name {
			addresses[state.Name] = state.Address
			names = append(names, state.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return addresses[savorypinrank.Names(fmt.Sprintf("claims/%d", shard), names)[0]]
}

// recordSettlement records the outcome of an attempt in the background.
func (e *Entry) recordSettlement(s savorypinclaim.Settlement) {
	e.pendingSettlements.Add(1)
	go func() {
		defer e.pendingSettlements.Add(-1)
		// After a panic, which recoverPanic has logged, the claim stays unsettled.
		_ = e.recoverPanic("settlement", func() error {
			e.shards.Settle(e.runCtx, s)
			return nil
		})
	}()
}

func (e *Entry) remoteAwait(
	ctx context.Context,
	address string,
	key savorypinclaim.KeyID,
	attempt string,
) (savorypinclaim.Verdict, error) {
	wait := outcomeWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	verdict, err := savorypinmember.Call[savorypinmember.Await, savorypinclaim.Verdict](
		ctx, e.daemon.Transport(), address, savorypinmember.FrameAwait,
		savorypinmember.Await{Attempt: attempt, Key: key, Wait: wait})
	return verdict, claimError(err)
}

func (e *Entry) remoteClaim(ctx context.Context, address string, c savorypinclaim.Claim) (savorypinclaim.Verdict, error) {
	verdict, err := savorypinmember.Call[savorypinclaim.Claim, savorypinclaim.Verdict](
		ctx, e.daemon.Transport(), address, savorypinmember.FrameClaim, c)
	return verdict, claimError(err)
}

func (e *Entry) remoteSettle(ctx context.Context, address string, s savorypinclaim.Settlement) error {
	_, err := savorypinmember.Call[savorypinclaim.Settlement, savorypinmember.Empty](
		ctx, e.daemon.Transport(), address, savorypinmember.FrameOutcome, s)
	return err
}

// claimError converts an error from another entry to an error of package
// savorypinclaim.
func claimError(err error) error {
	switch {
	case err == nil:
		return nil
	case savorypin.KindOf(err) == savorypin.KindNotRun:
		return fmt.Errorf("%w: %w", savorypinclaim.ErrNotClaimed, err)
	default:
		return fmt.Errorf("%w: %w", savorypinclaim.ErrUnavailable, err)
	}
}

// peerError converts an error of package savorypinclaim to one that is sent to another
// entry.
func peerError(key savorypinclaim.KeyID, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, savorypinclaim.ErrNotClaimed):
		return savorypin.Errorf(savorypin.KindNotRun, key.String(), "%w", err)
	default:
		return savorypin.Errorf(savorypin.KindUnreachable, key.String(), "%w", err)
	}
}

func (e *Entry) handleAwait(
	ctx context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Await,
) (savorypinclaim.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait)
	defer cancel()
	verdict, err := e.shards.Shard(req.Key).Await(ctx, req.Key, req.Attempt)
	return verdict, peerError(req.Key, err)
}

func (e *Entry) handleClaim(
	ctx context.Context,
	_ savorypinmember.Hello,
	req savorypinclaim.Claim,
) (savorypinclaim.Verdict, error) {
	verdict, err := e.shards.Shard(req.Key).Claim(ctx, req)
	return verdict, peerError(req.Key, err)
}

func (e *Entry) handleSettle(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinclaim.Settlement,
) (savorypinmember.Empty, error) {
	e.shards.Shard(req.Key).Settle(req)
	return savorypinmember.Empty{}, nil
}
