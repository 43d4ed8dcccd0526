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

// loop evaluates, decides and spreads verdicts until ctx ends.
func (c *Moves) loop(ctx context.Context) {
	c.tick(ctx)
	savorypinloop.Every(ctx, tickInterval, func() { c.tick(ctx) })
}

func (c *Moves) tick(ctx context.Context) {
	c.fleet.Store(newFleet(c.daemon.Members()))
	c.judgeAll(ctx)
	c.exchange(ctx)
	c.leadAll(ctx)
	c.forget()
}

// judgeAll rejects the moves whose evidence says so.
func (c *Moves) judgeAll(ctx context.Context) {
	config := c.daemon.Config()
	for service := range config.Services() {
		for _, m := range config.Moves(service) {
			key := savorypinmove.KeyOf(m)
			if !watched(m, time.Now()) || c.rejections.Rejected(key) {
				continue
			}
			v := c.judge(m, m.Status.State == savorypin.MoveDone)
			if v.Finding == savorypinmove.FindingBad {
				c.learn(ctx, savorypinmove.Rejection{Move: key, Reason: v.Reason, Service: service})
			}
		}
	}
}

func (c *Moves) judge(m savorypinconfig.Move, done bool) savorypinmove.Verdict {
	units := c.fleet.Load().units(m.Spec.To)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evaluator(m, done).Judge(units)
}

// leadAll writes the statuses of the services whose lease is held.
func (c *Moves) leadAll(ctx context.Context) {
	config := c.daemon.Config()
	for service, spec := range config.Services() {
		version, settled := savorypinmove.SettledVersion(config.Moves(service), time.Now())
		settled = settled && version != spec.Version
		if !settled && !slices.ContainsFunc(config.Moves(service), isOpen) {
			continue
		}
		d := c.cfg.Placement.duty(ctx, service)
		if d == nil {
			continue
		}
		if _, held := d.lease.Held(); !held {
			continue
		}
		for _, change := range c.decide(service, spec) {
			c.write(ctx, d.lease, change)
		}
		if settled {
			spec.Version = version
			c.settle(ctx, d.lease, service, spec)
		}
	}
}

// isOpen reports whether a move can still change its state.
func isOpen(m savorypinconfig.Move) bool {
	pending := m.Status.State == savorypin.MovePending || m.Status.State == ""
	return pending || watched(m, time.Now())
}

func (c *Moves) decide(service string, spec savorypin.ServiceSpec) []savorypinmove.Change {
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

// write writes the status of a move. A lost answer needs no settling: the next
// decision starts from what the configuration shows.
func (c *Moves) write(ctx context.Context, lease *savorypinlease.Lease, change savorypinmove.Change) {
	key := savorypin.Key{Kind: savorypin.KindMove, Name: change.Move.Name}
	o, ok := c.daemon.Config().Object(key)
	if !ok || o.Version != change.Move.Version {
		return
	}
	status, err := json.Marshal(change.Status)
	if err != nil {
		c.daemon.Logger().Error("Status not encoded", "object", key, "err", err)
		return
	}
	o.Status = status
	if c.update(ctx, lease, o) {
		c.daemon.Logger().Info("Move decided", "object", key,
			"state", change.Status.State, "share", change.Status.Share, "reason", change.Status.Reason)
	}
}

// settle makes the new version of a move that is no longer watched the version
// of the service, so that the move may be deleted.
func (c *Moves) settle(ctx context.Context, lease *savorypinlease.Lease, service string, spec savorypin.ServiceSpec) {
	o, ok := c.daemon.Config().Object(savorypin.Key{Kind: savorypin.KindService, Name: service})
	if !ok || o.Deleted {
		return
	}
	data, err := json.Marshal(spec)
	if err != nil {
		c.daemon.Logger().Error("Spec not encoded", "object", o.Key, "err", err)
		return
	}
	o.At = time.Now()
	o.By = c.daemon.Settings().Name
	o.Order = uuid.NewString()
	o.Spec = data
	if c.update(ctx, lease, o) {
		c.daemon.Logger().Info("Service settled on a version", "object", o.Key, "version", spec.Version)
	}
}

// update writes an object on condition that it has not changed and that the
// lease is still held, and reports whether that is known to have succeeded.
func (c *Moves) update(ctx context.Context, lease *savorypinlease.Lease, o savorypin.Object) bool {
	if !c.mayWrite(o) {
		return false
	}
	if _, held := lease.Held(); !held {
		return false
	}
	if _, err := c.daemon.Platform().Update(ctx, o); err != nil {
		c.daemon.Logger().Warn("Object not written", "object", o.Key, "err", err)
		return false
	}
	return true
}

// mayWrite reports whether this version of an object was not written just now.
func (c *Moves) mayWrite(o savorypin.Object) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.written[o.Key]
	if last.version == o.Version && time.Since(last.at) < writePause {
		return false
	}
	c.written[o.Key] = attempt{at: time.Now(), version: o.Version}
	return true
}

// forget drops what is held of moves that have ended.
func (c *Moves) forget() {
	config := c.daemon.Config()
	c.rejections.Forget(func(rejected savorypinmove.Rejection) bool {
		o, ok := config.Object(savorypin.Key{Kind: savorypin.KindMove, Name: rejected.Move.Name})
		if !ok {
			return true
		}
		status, err := savorypin.DecodeStrict[savorypin.MoveStatus](o.Status)
		if o.Deleted || err != nil {
			return !o.Deleted
		}
		settled := status.Epoch == rejected.Move.Epoch && status.State == savorypin.MoveTakenBack
		return !settled && status.Epoch <= rejected.Move.Epoch
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.evaluators {
		if _, ok := c.find(p.key); !ok {
			delete(c.evaluators, p)
		}
	}
}
