package savorypincontroller

import (
	"context"
	"slices"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinmove"
)

// mergeRejections adds rejections and forwards the new ones to fanOut members, which do
// the same. The periodic exchange covers members that this does not reach.
func (c *Moves) mergeRejections(ctx context.Context, rejected ...savorypinmove.Rejection) {
	added := c.rejections.Merge(rejected...)
	if len(added) == 0 {
		return
	}
	for _, rejection := range added {
		c.daemon.Logger().Warn("Version rejected", "move", rejection.Move.Name, "service", rejection.Service, "reason", rejection.Reason)
	}
	for _, m := range c.randomPeers(fanOut) {
		go c.exchangeRejectionsWith(context.WithoutCancel(ctx), m, added)
	}
}

// exchangeRejections exchanges rejections with one random member while any move is open, or
// while this daemon has no configuration yet, so that after a restart it learns the
// rejections before it accepts requests.
func (c *Moves) exchangeRejections(ctx context.Context) {
	if len(c.daemon.Config().Objects()) > 0 && !c.hasOpenMoves() {
		return
	}
	for _, m := range c.randomPeers(1) {
		go c.exchangeRejectionsWith(ctx, m, c.rejections.All())
	}
}

// hasOpenMoves reports whether any move can still change its state.
func (c *Moves) hasOpenMoves() bool {
	config := c.daemon.Config()
	for service := range config.Services() {
		if slices.ContainsFunc(config.Moves(service), isOpen) {
			return true
		}
	}
	return false
}

func (c *Moves) exchangeRejectionsWith(ctx context.Context, m savorypin.MemberState, rejected []savorypinmove.Rejection) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := savorypinmember.Call[savorypinmember.Rejections, savorypinmember.Rejections](
		ctx, c.daemon.Transport(), m.Address, savorypinmember.FrameRejections, savorypinmember.Rejections{Rejected: rejected})
	if err != nil {
		c.daemon.Logger().Debug("Failed to exchange rejections", "member", m.Name, "err", err)
		return
	}
	c.mergeRejections(ctx, reply.Rejected...)
}

func (c *Moves) handleRejections(
	ctx context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Rejections,
) (savorypinmember.Rejections, error) {
	c.mergeRejections(ctx, req.Rejected...)
	return savorypinmember.Rejections{Rejected: c.rejections.All()}, nil
}

// randomPeers returns up to n other usable members, chosen at random.
func (c *Moves) randomPeers(n int) []savorypin.MemberState {
	var peers []savorypin.MemberState
	for _, m := range c.daemon.Members().All() {
		if m.Usable() && m.State().Name != c.daemon.Settings().Name {
			peers = append(peers, m.State())
		}
	}
	for i := range min(n, len(peers)) {
		j := i + int(c.cfg.Rand()*float64(len(peers)-i))
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:min(n, len(peers))]
}

// MovesState is the section "moves" of the state dump.
type MovesState struct {
	Rejected []savorypinmove.Rejection `json:"rejected"`
	Judged   []PhaseVerdict            `json:"judged"`
}

// PhaseVerdict is the verdict on one phase of a move whose evidence this daemon evaluates.
type PhaseVerdict struct {
	Done    bool                  `json:"done"`
	Move    savorypinmove.Key     `json:"move"`
	Verdict savorypinmove.Verdict `json:"verdict"`
}

func (c *Moves) state() any {
	s := MovesState{Rejected: c.rejections.All(), Judged: []PhaseVerdict{}}
	c.mu.Lock()
	var phases []phase
	for p := range c.evaluators {
		phases = append(phases, p)
	}
	c.mu.Unlock()
	for _, p := range phases {
		if m, ok := c.findWatched(p.key); ok {
			s.Judged = append(s.Judged, PhaseVerdict{Done: p.done, Move: p.key, Verdict: c.judge(m, p.done)})
		}
	}
	return s
}
