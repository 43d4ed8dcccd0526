package savorypindaemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinmembership"
)

// beatTimeout bounds one message of membership or configuration.
const beatTimeout = time.Second

// newBeats makes the state machines of membership and configuration.
func (d *Daemon) newBeats() {
	d.members = savorypinmembership.NewGossip(savorypinmembership.GossipConfig{
		Incarnation: d.incarnation,
		Name:        d.cfg.Settings.Name,
		Now:         time.Now,
		Rand:        rand.IntN,
		Seeds:       d.cfg.Settings.Seeds,
		Self:        d.describe,
		Synced:      func() bool { return d.readiness.Synced() },
	})
	d.readiness = savorypinconfig.NewReadiness(savorypinconfig.ReadinessConfig{
		Domains: d.domains,
		Now:     time.Now,
	})
	d.distributor = savorypinconfig.NewDistributor(savorypinconfig.DistributorConfig{
		Changed: d.logChanged,
		Now:     time.Now,
		Peers:   d.members.Peers,
		Store:   d.config,
		Synced:  d.readiness.Synced,
	})
	d.RegisterState("control", d.controlState)
}

// ControlState is the part of the state dump about configuration and
// membership.
type ControlState struct {
	// Reading says that the daemon watches the platform.
	Reading bool `json:"reading"`
	// Resyncing says that the daemon was paused and has not caught up.
	Resyncing bool `json:"resyncing"`
	// Synced says that the daemon has the whole configuration.
	Synced bool `json:"synced"`
}

func (d *Daemon) controlState() any {
	return ControlState{Reading: d.reads(), Resyncing: d.Resyncing(), Synced: d.readiness.Synced()}
}

// Self returns what the daemon says of itself.
func (d *Daemon) Self() savorypin.MemberState {
	return d.members.Self()
}

// Resyncing reports whether the daemon was paused and has not caught up with
// the other members yet. Whoever decides for others must wait until it has.
func (d *Daemon) Resyncing() bool {
	return d.members.Resyncing()
}

// describe returns what the daemon says of itself, without incarnation and
// sequence.
func (d *Daemon) describe() savorypin.MemberState {
	s := savorypin.MemberState{
		Address:  d.listener.Addr().String(),
		Applied:  d.Config().Digest(),
		Domain:   d.cfg.Settings.Domain,
		Draining: d.Draining(),
		HTTP:     d.web.Addr().String(),
		Name:     d.cfg.Settings.Name,
		Region:   d.cfg.Settings.Region,
		Role:     d.cfg.Role,
	}
	if d.cfg.Endpoints != nil {
		s.Endpoints = d.cfg.Endpoints()
	}
	return s
}

// domains returns the number of failure domains with other live members.
func (d *Daemon) domains() int {
	domains := map[string]bool{}
	for _, m := range d.Members().All() {
		if m.Health() == savorypinmembership.HealthLive && m.State().Name != d.cfg.Settings.Name {
			domains[m.State().Domain] = true
		}
	}
	return len(domains)
}

func (d *Daemon) beatLoop(ctx context.Context) {
	savorypinloop.Every(ctx, savorypinmembership.TickInterval, func() { d.beat(ctx) })
}

// beat lets the membership go on and sends what it wants to send.
func (d *Daemon) beat(ctx context.Context) {
	beats, reports := d.members.Tick()
	d.sendBeats(ctx, beats)
	for _, r := range reports {
		d.tasks.start(func() { d.sendReport(ctx, r) })
	}
}

// sayLeave tells others that this daemon takes no new work, and waits until
// they have answered or can't: a daemon without work would else be gone before
// its word was out.
func (d *Daemon) sayLeave(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range d.members.Leave() {
		wg.Go(func() { d.sendBeat(ctx, e) })
	}
	wg.Wait()
}

func (d *Daemon) sendBeats(ctx context.Context, beats []savorypinmembership.Envelope) {
	for _, e := range beats {
		d.tasks.start(func() { d.sendBeat(ctx, e) })
	}
}

func (d *Daemon) sendBeat(ctx context.Context, e savorypinmembership.Envelope) {
	call, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	answer, err := savorypinmember.Call[savorypinmembership.Message, savorypinmembership.Message](
		call, d.transport, e.Address, savorypinmember.FrameBeat, e.Message)
	if err != nil {
		d.logger.Debug("Heartbeat failed", "address", e.Address, "err", err)
		return
	}
	d.sendBeats(ctx, d.members.Reply(e, answer))
	if answer.Synced {
		if m, ok := d.Members().Get(answer.From); ok {
			d.readiness.Heard(m.State().Domain, d.Config().Digest(), answer.Applied)
		}
	}
	d.sendExchanges(ctx, d.distributor.Heard(e.Address, answer.Applied))
}

func (d *Daemon) sendReport(ctx context.Context, r savorypinmembership.ReportEnvelope) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	if err := savorypinmember.Notify(ctx, d.transport, r.Address, savorypinmember.FrameReport, r.Report); err != nil {
		d.logger.Debug("Report failed", "address", r.Address, "err", err)
	}
}

func (d *Daemon) handleBeat(
	ctx context.Context,
	peer savorypinmember.Hello,
	req savorypinmembership.Message,
) (savorypinmembership.Message, error) {
	if req.From != peer.Name {
		return savorypinmembership.Message{}, savorypin.Errorf(
			savorypin.KindInvalid, req.From, "%s sent a heartbeat under this name", peer.Name)
	}
	answer, out := d.members.Request(req)
	d.sendBeats(context.WithoutCancel(ctx), out)
	return answer, nil
}

func (d *Daemon) handleReport(peer savorypinmember.Hello, report savorypinmembership.Report) {
	if report.From == peer.Name {
		d.members.ReceiveReport(report)
	}
}
