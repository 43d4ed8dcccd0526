package savorypingateway

import (
	"context"
	"slices"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinloop"
)

const (
	// rolloutInterval is how often the state of roll-outs is looked at.
	rolloutInterval = 200 * time.Millisecond
	// rolloutTurn is how long each further gateway leaves the write of a state to
	// those before it.
	rolloutTurn = 400 * time.Millisecond
)

// noteVersion takes note of how an endpoint's version answered.
func (g *Gateway) noteVersion(req *request, e *savorypinfleet.Endpoint, failed bool, took time.Duration) {
	if g.rollouts.Answered(e.Service(), req.route.Name(), e.Version(), failed, took) {
		g.versionRejected(g.settings.Load().Name)
	}
}

// versionRejected tells the other gateways at once of a version that is bad.
func (g *Gateway) versionRejected(seenBy string) {
	for _, r := range g.rollouts.Due() {
		if r.State == savorypinfleet.RolloutRolledBack {
			g.log.Emit(rolloutEvent("rejected by "+seenBy, r, nil))
		}
	}
	g.gossip.Hurry()
}

func rolloutEvent(what string, r savorypinfleet.Rollout, err error) savorypinevent.Rollout {
	return savorypinevent.Rollout{
		Err: err, Revision: r.Revision, Service: r.Service, State: string(r.State), Version: r.Version, What: what,
	}
}

// writeRollouts writes the states of roll-outs to the store. Every gateway can
// do it: a write is conditional on the version of the order that it is about, so
// that a late or repeated one changes nothing. The order of their addresses says
// who tries first.
func (g *Gateway) writeRollouts(ctx context.Context) error {
	since := map[savorypinfleet.Rollout]time.Time{}
	savorypinloop.Every(ctx, rolloutInterval, func() {
		due := g.rollouts.Due()
		for r := range since {
			if !slices.Contains(due, r) {
				delete(since, r)
			}
		}
		for _, r := range due {
			if since[r].IsZero() {
				since[r] = time.Now()
			}
			if time.Since(since[r]) >= time.Duration(g.rank())*rolloutTurn {
				g.log.Contain("write rollout", func() { g.writeRollout(ctx, r) })
			}
		}
	})
	return ctx.Err()
}

// rank is the place of this gateway in the order of addresses.
func (g *Gateway) rank() int {
	rank := 0
	for _, m := range g.peers.Alive() {
		if !m.Leaving && m.Address < g.address() {
			rank++
		}
	}
	return rank
}

func (g *Gateway) writeRollout(ctx context.Context, r savorypinfleet.Rollout) {
	status, err := g.cfg.Objects.EncodeRolloutStatus(r)
	if err != nil {
		g.log.Emit(rolloutEvent("not written", r, err))
		return
	}
	o, err := g.store.client.UpdateStatus(ctx, savorypin.Object{
		Era:     r.Era,
		Key:     savorypin.Key{Kind: g.cfg.Objects.RolloutKind, Name: r.Service},
		Status:  status,
		Version: r.Revision,
	})
	g.log.Emit(rolloutEvent("written", r, err))
	if err != nil {
		// A conflict or a lost answer shows in the next read of the order.
		return
	}
	g.store.apply(o)
}
