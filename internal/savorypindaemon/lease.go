package savorypindaemon

import (
	"context"
	"slices"
	"time"

	"savorypin/internal/savorypinlease"
	"savorypin/internal/savorypinrank"
)

// leaseUpdatesPerDuration is how many times within the duration of a lease the daemon
// tries to acquire, renew or release it.
const leaseUpdatesPerDuration = 3

// IsLeaseCandidate reports whether this daemon is one of the first n live members in the
// ranking for a lease. It limits the number of daemons that poll the lease.
func (d *Daemon) IsLeaseCandidate(lease string, n int) bool {
	var names []string
	for _, m := range d.Members().All() {
		if m.Usable() {
			names = append(names, m.State().Name)
		}
	}
	ranked := savorypinrank.Names(lease, names)
	return slices.Contains(ranked[:min(n, len(ranked))], d.cfg.Settings.Name)
}

// HoldLease tries to acquire and renew a lease in the background while wanted returns
// true, and releases it while wanted returns false and when ctx ends. It returns
// immediately.
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
	ticker := time.NewTicker(d.cfg.Settings.LeaseDuration / leaseUpdatesPerDuration)
	defer ticker.Stop()
	for {
		if err := d.updateLease(ctx, lease, wanted()); err != nil {
			d.logger.Debug("Failed to acquire, renew or release a lease", "err", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			_ = d.updateLease(context.WithoutCancel(ctx), lease, false)
			return
		}
	}
}

// updateLease acquires or renews a lease if it is wanted, and releases it otherwise.
func (d *Daemon) updateLease(ctx context.Context, lease *savorypinlease.Lease, wanted bool) error {
	if wanted {
		return lease.TryAcquireOrRenew(ctx)
	}
	return lease.Release(ctx)
}
