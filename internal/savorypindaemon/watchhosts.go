package savorypindaemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinplatform"
)

// hostInterval is the mean interval between two reads of the platform's list of hosts.
const hostInterval = 15 * time.Second

// hostLoop periodically reads the platform's list of hosts, if this daemon is a reader
// or knows no other member. Readers read it on behalf of all daemons; an isolated daemon
// reads it for itself.
func (d *Daemon) hostLoop(ctx context.Context) {
	for {
		if d.isReader() || len(d.Members().All()) <= 1 {
			d.readHosts(ctx)
		}
		select {
		case <-time.After(hostInterval/2 + rand.N(hostInterval)):
		case <-ctx.Done():
			return
		}
	}
}

// readHosts uses the addresses in the list as further seeds and stops the members on
// hosts that are leaving. The list is outdated at times, so it never decides which
// members are live.
func (d *Daemon) readHosts(ctx context.Context) {
	hosts, err := d.platform.Hosts(ctx)
	if err != nil {
		d.logger.Debug("Failed to list hosts of the platform", "err", err)
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

// stopMembers orders the planned stop of the members on a leaving host. They then
// announce to other members that they accept no new work.
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
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	_, err := savorypinmember.Call[savorypinmember.Stop, savorypinmember.Empty](
		ctx, d.transport, address, savorypinmember.FrameStop, savorypinmember.Stop{By: "platform"})
	if err != nil {
		d.logger.Debug("Failed to order a member on a leaving host to stop", "address", address, "err", err)
	}
}
