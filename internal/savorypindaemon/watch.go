package savorypindaemon

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// watchLoop keeps the configuration of one kind up to date with the platform.
func (d *Daemon) watchLoop(ctx context.Context, kind savorypin.Kind) {
	retry := backoff.NewExponentialBackOff()
	for ctx.Err() == nil {
		started := time.Now()
		err := d.watch(ctx, kind)
		if ctx.Err() != nil {
			return
		}
		d.logger.Warn("Watch ended", "kind", kind, "err", err)
		if time.Since(started) > retry.MaxInterval {
			retry.Reset()
		}
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

func (d *Daemon) watch(ctx context.Context, kind savorypin.Kind) error {
	objects, version, err := d.platform.List(ctx, kind)
	if err != nil {
		return err
	}
	d.apply(objects...)
	d.synced.Store(true)
	return d.platform.Watch(ctx, kind, version, func(o savorypin.Object) error {
		d.apply(o)
		return nil
	})
}

func (d *Daemon) apply(objects ...savorypin.Object) {
	for _, o := range d.config.Apply(objects...) {
		d.logger.Info("Configuration in force", "object", o.Key, "version", o.Version)
	}
}

func (d *Daemon) handlePull(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Pull,
) (savorypinmember.Push, error) {
	return savorypinmember.Push{Objects: d.config.Newer(req.Versions)}, nil
}
