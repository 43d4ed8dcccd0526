package savorypindaemon

import (
	"context"
	"slices"
	"time"

	"savorypin/internal/savorypinlease"
	"savorypin/internal/savorypinrank"
)

// leaseSteps is how often a lease is stepped in its duration.
const leaseSteps = 3

// Candidate reports whether this daemon is one of the first n live members that
// a duty falls to. It keeps the number of daemons that look at a lease small.
func (d *Daemon) Candidate(duty string, n int) bool {
	var names []string
	for _, m := range d.Members().All() {
		if m.Usable() {
			names = append(names, m.State().Name)
		}
	}
	ranked := savorypinrank.Names(duty, names)
	return slices.Contains(ranked[:min(n, len(ranked))], d.cfg.Settings.Name)
}

// HoldLease tries to hold a duty whenever wanted reports true, until ctx ends,
// and gives it up otherwise. It returns at once.
func (d *Daemon) HoldLease(ctx context.Context, name string, wanted func() bool) *savorypinlease.Lease {
	lease := savorypinlease.New(savorypinlease.Config{
		Create:      d.platform.Create,
		Duration:    d.cfg.Settings.LeaseDuration,
		Get:         d.platform.Get,
		Holder:      d.cfg.Settings.Name,
		Incarnation: d.incarnation,
		Name:        name,
		Now:         time.Now,
		Update:      d.platform.Update,
	})
	d.wg.Go(func() { d.leaseLoop(ctx, lease, wanted) })
	return lease
}

func (d *Daemon) leaseLoop(ctx context.Context, lease *savorypinlease.Lease, wanted func() bool) {
	ticker := time.NewTicker(d.cfg.Settings.LeaseDuration / leaseSteps)
	defer ticker.Stop()
	for {
		if err := d.stepLease(ctx, lease, wanted()); err != nil {
			d.logger.Debug("Lease not stepped", "err", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			_ = d.stepLease(context.WithoutCancel(ctx), lease, false)
			return
		}
	}
}

func (d *Daemon) stepLease(ctx context.Context, lease *savorypinlease.Lease, wanted bool) error {
	if wanted {
		return lease.Step(ctx)
	}
	return lease.GiveUp(ctx)
}
