package savorypindaemon

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinmembership"
	"savorypin/internal/savorypinplatform"
)

// Times of the readers.
const (
	// readerInterval is how often a daemon looks whether it is a reader.
	readerInterval = 500 * time.Millisecond
	// unsyncedInterval is how often a daemon without configuration says so.
	unsyncedInterval = 10 * time.Second
	// watchRetryLimit is the longest pause between two tries of a watch.
	watchRetryLimit = 5 * time.Second
)

// readLoop watches the platform while this daemon is one of the readers of its
// failure domain.
func (d *Daemon) readLoop(ctx context.Context) {
	ticker := time.NewTicker(readerInterval)
	defer ticker.Stop()
	stop := func() {}
	reading := false
	lastWarning := time.Now()
	for {
		if reads := d.reads(); reads != reading {
			reading = reads
			stop()
			stop = func() {}
			if reads {
				stop = d.startWatches(ctx)
			}
		}
		if !d.readiness.Synced() && time.Since(lastWarning) > unsyncedInterval {
			lastWarning = time.Now()
			d.logger.Warn("Not ready: neither platform nor peers have given the whole configuration")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			stop()
			return
		}
	}
}

// reads reports whether this daemon is a reader of its failure domain.
func (d *Daemon) reads() bool {
	if d.readiness.Joining() {
		return false
	}
	var live []savorypin.MemberState
	for _, m := range d.Members().All() {
		if m.Health() == savorypinmembership.HealthLive {
			live = append(live, m.State())
		}
	}
	return savorypinconfig.Reads(d.Self(), live)
}

// startWatches watches all kinds until the returned function is called.
func (d *Daemon) startWatches(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	for _, kind := range savorypin.ConfigKinds {
		d.wg.Go(func() { d.watchLoop(ctx, kind) })
	}
	return cancel
}

// watchLoop keeps the configuration of one kind up to date with the platform.
// It lists the kind once and again only if the platform has forgotten what
// came after the last version.
func (d *Daemon) watchLoop(ctx context.Context, kind savorypin.Kind) {
	retry := backoff.NewExponentialBackOff()
	retry.MaxInterval = watchRetryLimit
	version := int64(0)
	for ctx.Err() == nil {
		err := d.watch(ctx, kind, &version)
		if err == nil {
			retry.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, savorypinplatform.ErrExpired) {
			version = 0
		}
		d.logger.Warn("Watch ended", "kind", kind, "err", err)
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// watch watches a kind once. The platform ends each watch after a while; one
// that has gone silent misses that end and is given up.
func (d *Daemon) watch(ctx context.Context, kind savorypin.Kind, version *int64) error {
	if *version == 0 {
		objects, listed, err := d.platform.List(ctx, kind)
		if err != nil {
			return err
		}
		d.sendExchanges(ctx, d.distributor.Relist(kind, objects, listed))
		d.readiness.Listed(kind)
		*version = listed
	}
	return d.platform.Watch(ctx, kind, *version, func(o savorypin.Object) error {
		if o.Name != "" {
			d.sendExchanges(ctx, d.distributor.Apply(o))
		}
		*version = max(*version, o.Version)
		return nil
	})
}
