package savorypincontroller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinlease"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinmove"
)

// loop calls tick every tickInterval until ctx ends.
func (c *Moves) loop(ctx context.Context) {
	c.tick(ctx)
	savorypinloop.Every(ctx, tickInterval, func() { c.tick(ctx) })
}

func (c *Moves) tick(ctx context.Context) {
	c.locations.Store(newVersionLocations(c.daemon.Members()))
	c.judgeMoves(ctx)
	c.exchangeRejections(ctx)
	c.writeStatuses(ctx)
	c.dropEnded()
}

// judgeMoves rejects the new versions of watched moves if the evidence against them
// suffices.
func (c *Moves) judgeMoves(ctx context.Context) {
	config := c.daemon.Config()
	for service := range config.Services() {
		for _, m := range config.Moves(service) {
			key := savorypinmove.KeyOf(m)
			if !isWatched(m, time.Now()) || c.rejections.Rejected(key) {
				continue
			}
			v := c.judge(m, m.Status.State == savorypin.MoveDone)
			if v.Finding == savorypinmove.FindingBad {
				c.mergeRejections(ctx, savorypinmove.Rejection{Move: key, Reason: v.Reason, Service: service})
			}
		}
	}
}

func (c *Moves) judge(m savorypinconfig.Move, done bool) savorypinmove.Verdict {
	units := c.locations.Load().units(m.Spec.To)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evaluatorFor(m, done).Judge(units)
}

// writeStatuses updates the moves of all services whose controller lease this daemon
// holds.
func (c *Moves) writeStatuses(ctx context.Context) {
	config := c.daemon.Config()
	for service, spec := range config.Services() {
		version, settled := savorypinmove.SettledVersion(config.Moves(service), time.Now())
		settled = settled && version != spec.Version
		if !settled && !slices.ContainsFunc(config.Moves(service), isOpen) {
			continue
		}
		control := c.cfg.Placement.controlFor(ctx, service)
		if control == nil {
			continue
		}
		if _, held := control.lease.Held(); !held {
			continue
		}
		for _, change := range c.decideStatuses(service, spec) {
			c.writeStatus(ctx, control.lease, change)
		}
		if settled {
			spec.Version = version
			c.writeSettledVersion(ctx, control.lease, service, spec)
		}
	}
}

// isOpen reports whether a move can still change its state.
func isOpen(m savorypinconfig.Move) bool {
	pending := m.Status.State == savorypin.MovePending || m.Status.State == ""
	return pending || isWatched(m, time.Now())
}

func (c *Moves) decideStatuses(service string, spec savorypin.ServiceSpec) []savorypinmove.Change {
	moves := c.daemon.Config().Moves(service)
	return savorypinmove.Decide(savorypinmove.Input{
		Rejected: c.rejections.Reason,
		Judge: func(key savorypinmove.Key, done bool) savorypinmove.Verdict {
			i := slices.IndexFunc(moves, func(m savorypinconfig.Move) bool { return savorypinmove.KeyOf(m) == key })
			return c.judge(moves[i], done)
		},
		Moves:   moves,
		Now:     time.Now().UTC(),
		Serves:  c.Serves,
		Version: spec.Version,
	})
}

// writeStatus writes the status of a move. A lost answer of the platform needs no
// recovery: the next decision starts from the current configuration.
func (c *Moves) writeStatus(ctx context.Context, lease *savorypinlease.Lease, change savorypinmove.Change) {
	key := savorypin.Key{Kind: savorypin.KindMove, Name: change.Move.Name}
	o, ok := c.daemon.Config().Object(key)
	if !ok || o.Version != change.Move.Version {
		return
	}
	status, err := json.Marshal(change.Status)
	if err != nil {
		c.daemon.Logger().Error("Failed to encode the status of a move", "object", key, "err", err)
		return
	}
	o.Status = status
	if c.updateObject(ctx, lease, o) {
		c.daemon.Logger().Info("Updated the status of a move", "object", key,
			"state", change.Status.State, "share", change.Status.Share, "reason", change.Status.Reason)
	}
}

// writeSettledVersion writes the new version of a move that is no longer watched into
// the service's spec, so that the move may be deleted.
func (c *Moves) writeSettledVersion(ctx context.Context, lease *savorypinlease.Lease, service string, spec savorypin.ServiceSpec) {
	o, ok := c.daemon.Config().Object(savorypin.Key{Kind: savorypin.KindService, Name: service})
	if !ok || o.Deleted {
		return
	}
	data, err := json.Marshal(spec)
	if err != nil {
		c.daemon.Logger().Error("Failed to encode the spec of a service", "object", o.Key, "err", err)
		return
	}
	o.At = time.Now()
	o.By = c.daemon.Settings().Name
	o.Order = uuid.NewString()
	o.Spec = data
	if c.updateObject(ctx, lease, o) {
		c.daemon.Logger().Info("Updated the version of a service after its move", "object", o.Key, "version", spec.Version)
	}
}

// updateObject writes an object, provided that it has not changed on the platform and
// that the lease is still held. It reports whether the write is known to have succeeded.
func (c *Moves) updateObject(ctx context.Context, lease *savorypinlease.Lease, o savorypin.Object) bool {
	if !c.reserveWrite(o) {
		return false
	}
	if _, held := lease.Held(); !held {
		return false
	}
	if _, err := c.daemon.Platform().Update(ctx, o); err != nil {
		c.daemon.Logger().Warn("Failed to update an object on the platform", "object", o.Key, "err", err)
		return false
	}
	return true
}

// reserveWrite reports whether an object may be written, and records the write. It
// returns false if this version of the object was written within writeRetryInterval.
func (c *Moves) reserveWrite(o savorypin.Object) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.lastWrites[o.Key]
	if last.version == o.Version && time.Since(last.at) < writeRetryInterval {
		return false
	}
	c.lastWrites[o.Key] = objectWrite{at: time.Now(), version: o.Version}
	return true
}

// dropEnded drops the rejections and evaluators of moves that have ended.
func (c *Moves) dropEnded() {
	config := c.daemon.Config()
	c.rejections.Forget(func(rejection savorypinmove.Rejection) bool {
		o, ok := config.Object(savorypin.Key{Kind: savorypin.KindMove, Name: rejection.Move.Name})
		if !ok {
			return true
		}
		status, err := savorypin.DecodeStrict[savorypin.MoveStatus](o.Status)
		if o.Deleted || err != nil {
			return !o.Deleted
		}
		rolledBack := status.Epoch == rejection.Move.Epoch && status.State == savorypin.MoveRolledBack
		return !rolledBack && status.Epoch <= rejection.Move.Epoch
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.evaluators {
		if _, ok := c.findWatched(p.key); !ok {
			delete(c.evaluators, p)
		}
	}
}
