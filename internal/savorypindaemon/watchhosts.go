package savorypindaemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinplatform"
)

// hostInterval is how often the platform's list of hosts is read.
const hostInterval = 15 * time.Second

// hostLoop reads the platform's list of hosts: readers for all, and a daemon
// that knows nobody for itself.
func (d *Daemon) hostLoop(ctx context.Context) {
	for {
		if d.reads() || len(d.Members().All()) <= 1 {
			d.readHosts(ctx)
		}
		select {
		case <-time.After(hostInterval/2 + rand.N(hostInterval)):
		case <-ctx.Done():
			return
		}
	}
}

// readHosts takes addresses to try from the list and tells members on hosts
// that are leaving. The list is late: it never decides who lives.
func (d *Daemon) readHosts(ctx context.Context) {
	hosts, err := d.platform.Hosts(ctx)
	if err != nil {
		d.logger.Debug("Hosts not listed", "err", err)
		return
	}
	var seeds []string
	for _, host := range hosts {
		seeds = append(seeds, host.Addresses...)
		if host.Leaving {
			d.stopMembers(ctx, host)
		}
	}
	d.members.SetHostSeeds(seeds)
}

// stopMembers orders the planned stop of the members on a leaving host. Their
// own word then spreads.
func (d *Daemon) stopMembers(ctx context.Context, host savorypinplatform.Host) {
	for _, m := range d.Members().All() {
		if m.State().Draining || !slices.Contains(host.Addresses, m.State().Address) {
			continue
		}
		if m.State().Name == d.cfg.Settings.Name {
			d.Stop()
			continue
		}
		d.tasks.start(func() { d.stopMember(ctx, m.State().Address) })
	}
}

func (d *Daemon) stopMember(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	_, err := savorypinmember.Call[savorypinmember.Stop, savorypinmember.Empty](
		ctx, d.transport, address, savorypinmember.FrameStop, savorypinmember.Stop{By: "platform"})
	if err != nil {
		d.logger.Debug("Member on a leaving host not stopped", "address", address, "err", err)
	}
}
