package savorypincontroller

import (
	"context"
	"slices"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinmove"
)

// learn takes verdicts over and passes those that are new to a few members,
// which do the same. What this misses, the regular exchange finds.
func (c *Moves) learn(ctx context.Context, rejected ...savorypinmove.Rejection) {
	added := c.rejections.Merge(rejected...)
	if len(added) == 0 {
		return
	}
	for _, bad := range added {
		c.daemon.Logger().Warn("Version rejected", "move", bad.Move.Name, "service", bad.Service, "reason", bad.Reason)
	}
	for _, m := range c.somePeers(fanOut) {
		go c.exchangeWith(context.WithoutCancel(ctx), m, added)
	}
}

// exchange compares verdicts with one member while any move is open. A daemon
// that has restarted and has no configuration yet learns the verdicts this way
// before it takes work.
func (c *Moves) exchange(ctx context.Context) {
	if len(c.daemon.Config().Objects()) > 0 && !c.moving() {
		return
	}
	for _, m := range c.somePeers(1) {
		go c.exchangeWith(ctx, m, c.rejections.All())
	}
}

// moving reports whether any move could be rejected.
func (c *Moves) moving() bool {
	config := c.daemon.Config()
	for service := range config.Services() {
		if slices.ContainsFunc(config.Moves(service), isOpen) {
			return true
		}
	}
	return false
}

func (c *Moves) exchangeWith(ctx context.Context, m savorypin.MemberState, rejected []savorypinmove.Rejection) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := savorypinmember.Call[savorypinmember.Verdicts, savorypinmember.Verdicts](
		ctx, c.daemon.Transport(), m.Address, savorypinmember.FrameVerdicts, savorypinmember.Verdicts{Rejected: rejected})
	if err != nil {
		c.daemon.Logger().Debug("Verdicts not exchanged", "member", m.Name, "err", err)
		return
	}
	c.learn(ctx, reply.Rejected...)
}

func (c *Moves) handleVerdicts(
	ctx context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Verdicts,
) (savorypinmember.Verdicts, error) {
	c.learn(ctx, req.Rejected...)
	return savorypinmember.Verdicts{Rejected: c.rejections.All()}, nil
}

// somePeers returns up to n other live members, chosen at random.
func (c *Moves) somePeers(n int) []savorypin.MemberState {
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

// State is the section of the state dump about moves.
type State struct {
	Rejected []savorypinmove.Rejection `json:"rejected"`
	Judged   []Judgement               `json:"judged"`
}

// Judgement is what this daemon thinks of a move whose evidence it evaluates.
type Judgement struct {
	Done    bool                  `json:"done"`
	Move    savorypinmove.Key     `json:"move"`
	Verdict savorypinmove.Verdict `json:"verdict"`
}

func (c *Moves) state() any {
	s := State{Rejected: c.rejections.All(), Judged: []Judgement{}}
	c.mu.Lock()
	var phases []phase
	for p := range c.evaluators {
		phases = append(phases, p)
	}
	c.mu.Unlock()
	for _, p := range phases {
		if m, ok := c.find(p.key); ok {
			s.Judged = append(s.Judged, Judgement{Done: p.done, Move: p.key, Verdict: c.judge(m, p.done)})
		}
	}
	return s
}
