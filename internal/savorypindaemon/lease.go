package savorypindaemon

import (
	"context"
	"time"

	"savorypin/internal/savorypinlease"
)

// Times of leases. A lease is stepped three times in its duration.
const (
	leaseDuration = 15 * time.Second
	leaseStep     = 5 * time.Second
)

// HoldLease tries to hold a duty whenever wanted reports true, until ctx ends,
// and gives it up otherwise. It returns at once.
func (d *Daemon) HoldLease(ctx context.Context, name string, wanted func() bool) *savorypinlease.Lease {
	lease := savorypinlease.New(savorypinlease.Config{
		Create:      d.platform.Create,
		Duration:    leaseDuration,
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
	ticker := time.NewTicker(leaseStep)
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
