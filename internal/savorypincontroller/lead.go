package savorypincontroller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinlease"
	"savorypin/internal/savorypinmove"
)

// loop evaluates, decides and spreads verdicts until ctx ends.
func (c *Controller) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.fleet.Store(newFleet(c.daemon.Members()))
		c.judgeAll(ctx)
		c.exchange(ctx)
		c.leadAll(ctx)
		c.forget()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// judgeAll condemns the moves whose evidence says so.
func (c *Controller) judgeAll(ctx context.Context) {
	config := c.daemon.Config()
	for service := range config.Services() {
		for _, m := range config.Moves(service) {
			key := savorypinmove.KeyOf(m)
			if !watched(m, time.Now()) || c.book.Condemned(key) {
				continue
			}
			v := c.judge(m, m.Status.State == savorypin.MoveDone)
			if v.Finding == savorypinmove.FindingBad {
				c.learn(ctx, savorypinmove.Condemnation{Move: key, Reason: v.Reason, Service: service})
			}
		}
	}
}

func (c *Controller) judge(m savorypinconfig.Move, done bool) savorypinmove.Verdict {
	units := c.fleet.Load().units(m.Spec.To)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evaluator(m, done).Judge(units)
}

// leadAll writes the statuses of the services whose lease is held.
func (c *Controller) leadAll(ctx context.Context) {
	config := c.daemon.Config()
	for service, spec := range config.Services() {
		if len(config.Moves(service)) == 0 {
			continue
		}
		lease := c.lease(ctx, service)
		if _, held := lease.Held(); !held {
			continue
		}
		for _, change := range c.decide(service, spec) {
			c.write(ctx, lease, change)
		}
	}
}

// lease returns the lease of a service, which is tried for as long as this
// daemon evaluates the service.
func (c *Controller) lease(ctx context.Context, service string) *savorypinlease.Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	lease, ok := c.leases[service]
	if !ok {
		lease = c.daemon.HoldLease(ctx, leaseName(service), func() bool { return c.wants(service) })
		c.leases[service] = lease
	}
	return lease
}

// wants reports whether this daemon should lead a service: it evaluates it, and
// there is a move that has not ended.
func (c *Controller) wants(service string) bool {
	if c.daemon.Draining() {
		return false
	}
	open := slices.ContainsFunc(c.daemon.Config().Moves(service), isOpen)
	return open && slices.ContainsFunc(c.evaluatorsOf(service), func(m savorypin.MemberState) bool {
		return m.Name == c.daemon.Settings().Name
	})
}

// isOpen reports whether a move can still change its state.
func isOpen(m savorypinconfig.Move) bool {
	pending := m.Status.State == savorypin.MovePending || m.Status.State == ""
	return pending || watched(m, time.Now())
}

func (c *Controller) decide(service string, spec savorypin.ServiceSpec) []savorypinmove.Change {
	moves := c.daemon.Config().Moves(service)
	return savorypinmove.Decide(savorypinmove.Input{
		Condemned: c.book.Reason,
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

// write writes a status on condition that the move has not changed since the
// decision and that the lease is still held. A lost answer needs no settling:
// the next decision starts from what the configuration shows.
func (c *Controller) write(ctx context.Context, lease *savorypinlease.Lease, change savorypinmove.Change) {
	key := savorypin.Key{Kind: savorypin.KindMove, Name: change.Move.Name}
	o, ok := c.daemon.Config().Object(key)
	if !ok || o.Version != change.Move.Version || !c.mayWrite(change.Move) {
		return
	}
	status, err := json.Marshal(change.Status)
	if err != nil {
		c.daemon.Logger().Error("Status not encoded", "object", key, "err", err)
		return
	}
	o.Status = status
	if _, held := lease.Held(); !held {
		return
	}
	if _, err := c.daemon.Platform().Update(ctx, o); err != nil {
		c.daemon.Logger().Warn("Status not written", "object", key, "err", err)
		return
	}
	c.daemon.Logger().Info("Move decided", "object", key,
		"state", change.Status.State, "share", change.Status.Share, "reason", change.Status.Reason)
}

// mayWrite reports whether this version of a move was not written just now.
func (c *Controller) mayWrite(m savorypinconfig.Move) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.written[m.Name]
	if last.version == m.Version && time.Since(last.at) < writePause {
		return false
	}
	c.written[m.Name] = attempt{at: time.Now(), version: m.Version}
	return true
}

// forget drops what is held of moves that have ended.
func (c *Controller) forget() {
	config := c.daemon.Config()
	c.book.Forget(func(condemned savorypinmove.Condemnation) bool {
		o, ok := config.Object(savorypin.Key{Kind: savorypin.KindMove, Name: condemned.Move.Name})
		if !ok {
			return true
		}
		status, err := savorypin.DecodeStrict[savorypin.MoveStatus](o.Status)
		if o.Deleted || err != nil {
			return !o.Deleted
		}
		settled := status.Epoch == condemned.Move.Epoch && status.State == savorypin.MoveTakenBack
		return !settled && status.Epoch <= condemned.Move.Epoch
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.evaluators {
		if _, ok := c.find(p.key); !ok {
			delete(c.evaluators, p)
		}
	}
}
