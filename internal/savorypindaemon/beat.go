package savorypindaemon

import (
	"context"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// Self returns what the daemon says of itself.
func (d *Daemon) Self() savorypin.MemberState {
	s := savorypin.MemberState{
		Address:     d.listener.Addr().String(),
		Applied:     d.Config().Digest(),
		Domain:      d.cfg.Settings.Domain,
		Draining:    d.Draining(),
		HTTP:        d.web.Addr().String(),
		Incarnation: d.incarnation,
		Name:        d.cfg.Settings.Name,
		Region:      d.cfg.Settings.Region,
		Role:        d.cfg.Role,
		Sequence:    d.sequence.Add(1),
	}
	if d.cfg.Endpoints != nil {
		s.Endpoints = d.cfg.Endpoints()
	}
	return s
}

func (d *Daemon) beatLoop(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		d.beat(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// beat sends what this daemon knows of members to every member and seed.
func (d *Daemon) beat(ctx context.Context) {
	d.members.Merge(d.Self())
	d.members.Tick(d.cfg.Settings.Name)
	var states []savorypin.MemberState
	targets := map[string]bool{}
	for _, seed := range d.cfg.Settings.Seeds {
		targets[seed] = true
	}
	for _, m := range d.Members().All() {
		states = append(states, m.State())
		targets[m.State().Address] = true
	}
	delete(targets, d.listener.Addr().String())
	for address := range targets {
		d.wg.Go(func() { d.beatTo(ctx, address, states) })
	}
}

func (d *Daemon) beatTo(ctx context.Context, address string, states []savorypin.MemberState) {
	ctx, cancel := context.WithTimeout(ctx, suspectAfter)
	defer cancel()
	reply, err := savorypinmember.Call[savorypinmember.Beat, savorypinmember.Beat](
		ctx, d.transport, address, savorypinmember.FrameBeat, savorypinmember.Beat{Members: states})
	if err != nil {
		d.logger.Debug("Heartbeat failed", "address", address, "err", err)
		return
	}
	d.members.Merge(reply.Members...)
}

func (d *Daemon) handleBeat(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Beat,
) (savorypinmember.Beat, error) {
	d.members.Merge(req.Members...)
	return savorypinmember.Beat{Members: []savorypin.MemberState{d.Self()}}, nil
}
