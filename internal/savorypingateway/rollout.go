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
	// rolloutInterval is the interval at which the states of rollouts are checked.
	rolloutInterval = 200 * time.Millisecond
	// rolloutWriteStagger is the delay of a write for each gateway that writes before this one,
	// see writeTurn.
	rolloutWriteStagger = 400 * time.Millisecond
)

// recordVersionResult records the result of an attempt for the version of its endpoint.
func (g *Gateway) recordVersionResult(req *request, e *savorypinfleet.Endpoint, failed bool, took time.Duration) {
	if g.rollouts.RecordAnswer(e.Service(), req.route.Name(), e.Version(), failed, took) {
		g.announceRejection(g.settings.Load().Name)
	}
}

// announceRejection logs rejected versions and reports them to the other gateways at once.
func (g *Gateway) announceRejection(seenBy string) {
	for _, r := range g.rollouts.PendingUpdates() {
		if r.State == savorypinfleet.RolloutRolledBack {
			g.log.Emit(rolloutEvent("rejected by "+seenBy, r, nil))
		}
	}
	g.gossip.TriggerRound()
}

func rolloutEvent(what string, r savorypinfleet.Rollout, err error) savorypinevent.Rollout {
	return savorypinevent.Rollout{
		Err: err, Revision: r.Revision, Service: r.Service, State: string(r.State), Version: r.Version, What: what,
	}
}

// writeRollouts writes the states of rollouts to the store. Every gateway may write them: a
// write is conditional on the version of the rollout's object that it refers to, so that a late
// or repeated one changes nothing. They try in the order of their addresses until one succeeds.
func (g *Gateway) writeRollouts(ctx context.Context) error {
	dueSince := map[savorypinfleet.Rollout]time.Time{}
	savorypinloop.Every(ctx, rolloutInterval, func() {
		due := g.rollouts.PendingUpdates()
		for r := range dueSince {
			if !slices.Contains(due, r) {
				delete(dueSince, r)
			}
		}
		for _, r := range due {
			if dueSince[r].IsZero() {
				dueSince[r] = time.Now()
			}
			if time.Since(dueSince[r]) >= time.Duration(g.writeTurn())*rolloutWriteStagger {
				g.log.RunRecovered("write rollout", func() { g.writeRollout(ctx, r) })
			}
		}
	})
	return ctx.Err()
}

// writeTurn returns the number of live gateways that write before this one.
func (g *Gateway) writeTurn() int {
	turn := 0
	for _, p := range g.peers.Live() {
		if !p.Leaving && p.Address < g.peerAddress() {
			turn++
		}
	}
	return turn
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
		// After a conflict or a lost response, the next read of the object shows its state.
		return
	}
	g.store.apply(o)
}
