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

// messageTimeout bounds one message of membership or configuration, and an order to
// stop.
const messageTimeout = time.Second

// newMembership creates the state machines of membership and of the distribution of
// configuration.
func (d *Daemon) newMembership() {
	d.members = savorypinmembership.NewGossip(savorypinmembership.GossipConfig{
		Incarnation: d.incarnation,
		Name:        d.cfg.Settings.Name,
		Now:         time.Now,
		Rand:        rand.IntN,
		Seeds:       d.cfg.Settings.Seeds,
		Self:        d.selfState,
		Synced:      func() bool { return d.readiness.Synced() },
	})
	d.readiness = savorypinconfig.NewReadiness(savorypinconfig.ReadinessConfig{
		Domains: d.otherLiveDomains,
		Now:     time.Now,
	})
	d.distributor = savorypinconfig.NewDistributor(savorypinconfig.DistributorConfig{
		OnChange: d.logChanged,
		Now:      time.Now,
		Peers:    d.members.UrgentPeers,
		Store:    d.config,
		Synced:   d.readiness.Synced,
	})
	d.RegisterState("control", d.controlState)
}

// ControlState is the part of the state dump on configuration and membership.
type ControlState struct {
	// Reading reports that the daemon watches the platform.
	Reading bool `json:"reading"`
	// Resyncing reports that the daemon was paused and has not caught up yet.
	Resyncing bool `json:"resyncing"`
	// Synced reports that the daemon has the whole configuration.
	Synced bool `json:"synced"`
}

func (d *Daemon) controlState() any {
	return ControlState{Reading: d.isReader(), Resyncing: d.Resyncing(), Synced: d.readiness.Synced()}
}

// Self returns the state that the daemon publishes of itself.
func (d *Daemon) Self() savorypin.MemberState {
	return d.members.Self()
}

// Resyncing reports whether the daemon was paused and has not caught up with the other
// members yet. Code that makes decisions for other members must wait until it has.
func (d *Daemon) Resyncing() bool {
	return d.members.Resyncing()
}

// selfState returns the state that the daemon publishes of itself, without incarnation
// and sequence number.
func (d *Daemon) selfState() savorypin.MemberState {
	s := savorypin.MemberState{
		Address:  d.peerListener.Addr().String(),
		Applied:  d.Config().Digest(),
		Domain:   d.cfg.Settings.Domain,
		Draining: d.Draining(),
		HTTP:     d.httpListener.Addr().String(),
		Name:     d.cfg.Settings.Name,
		Region:   d.cfg.Settings.Region,
		Role:     d.cfg.Role,
	}
	if d.cfg.Endpoints != nil {
		s.Endpoints = d.cfg.Endpoints()
	}
	return s
}

// otherLiveDomains returns the number of failure domains that have live members other
// than this one.
func (d *Daemon) otherLiveDomains() int {
	domains := map[string]bool{}
	for _, m := range d.Members().All() {
		if m.Health() == savorypinmembership.HealthLive && m.State().Name != d.cfg.Settings.Name {
			domains[m.State().Domain] = true
		}
	}
	return len(domains)
}

func (d *Daemon) heartbeatLoop(ctx context.Context) {
	savorypinloop.Every(ctx, savorypinmembership.TickInterval, func() { d.heartbeat(ctx) })
}

// heartbeat advances the membership by one tick and sends the messages that result.
func (d *Daemon) heartbeat(ctx context.Context) {
	beats, reports := d.members.Tick()
	d.sendHeartbeats(ctx, beats)
	for _, r := range reports {
		d.tasks.start(func() { d.sendReport(ctx, r) })
	}
}

// announceLeave announces to other members that this daemon accepts no new work, and
// waits until each has answered or failed to. Without the wait, a daemon without work
// could exit before the announcement is sent.
func (d *Daemon) announceLeave(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range d.members.Leave() {
		wg.Go(func() { d.sendHeartbeat(ctx, e) })
	}
	wg.Wait()
}

func (d *Daemon) sendHeartbeats(ctx context.Context, beats []savorypinmembership.Envelope) {
	for _, e := range beats {
		d.tasks.start(func() { d.sendHeartbeat(ctx, e) })
	}
}

func (d *Daemon) sendHeartbeat(ctx context.Context, e savorypinmembership.Envelope) {
	callCtx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	answer, err := savorypinmember.Call[savorypinmembership.Message, savorypinmembership.Message](
		callCtx, d.transport, e.Address, savorypinmember.FrameHeartbeat, e.Message)
	if err != nil {
		d.logger.Debug("Heartbeat failed", "address", e.Address, "err", err)
		return
	}
	d.sendHeartbeats(ctx, d.members.HandleAnswer(e, answer))
	if answer.Synced {
		if m, ok := d.Members().Get(answer.From); ok {
			d.readiness.CompareDigest(m.State().Domain, d.Config().Digest(), answer.Applied)
		}
	}
	d.sendExchanges(ctx, d.distributor.HandleDigest(e.Address, answer.Applied))
}

func (d *Daemon) sendReport(ctx context.Context, r savorypinmembership.ReportEnvelope) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	if err := savorypinmember.Notify(ctx, d.transport, r.Address, savorypinmember.FrameReport, r.Report); err != nil {
		d.logger.Debug("Failed to send a membership report", "address", r.Address, "err", err)
	}
}

func (d *Daemon) handleHeartbeat(
	ctx context.Context,
	peer savorypinmember.Hello,
	req savorypinmembership.Message,
) (savorypinmembership.Message, error) {
	if req.From != peer.Name {
		return savorypinmembership.Message{}, savorypin.Errorf(
			savorypin.KindInvalid, req.From, "%s sent a heartbeat under this name", peer.Name)
	}
	answer, envelopes := d.members.HandleRequest(req)
	d.sendHeartbeats(context.WithoutCancel(ctx), envelopes)
	return answer, nil
}

func (d *Daemon) handleReport(peer savorypinmember.Hello, report savorypinmembership.Report) {
	if report.From == peer.Name {
		d.members.ReceiveReport(report)
	}
}
