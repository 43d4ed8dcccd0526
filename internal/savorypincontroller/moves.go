package savorypincontroller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinlease"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinmove"
	"savorypin/internal/savorypinrank"
)

// Times and sizes of the controller.
const (
	callTimeout = time.Second
	// fanOut is how many members a new verdict is sent to.
	fanOut       = 4
	tickInterval = 500 * time.Millisecond
	// writePause is how long a write is not repeated while its effect does not
	// show in the configuration.
	writePause = 2 * time.Second
)

// MovesConfig configures Moves.
type MovesConfig struct {
	// Daemon is the daemon that takes part.
	Daemon *savorypindaemon.Daemon
	// Placement holds the leases of the services.
	Placement *Placement
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
}

// Moves is one daemon's part in running the moves of traffic. For each service a
// few daemons evaluate the evidence of all entries, and the one that controls
// the service writes the status of its moves to the platform.
//
// A bad verdict does not wait for the platform: whichever evaluator reaches it
// tells other daemons, and they tell others, so that it is in force everywhere
// before the platform hears of it.
type Moves struct {
	rejections *savorypinmove.RejectionSet
	cfg        MovesConfig
	daemon     *savorypindaemon.Daemon
	fleet      atomic.Pointer[fleet]
	sequence   atomic.Uint64

	mu         sync.Mutex
	evaluators map[phase]*savorypinmove.Evaluator
	seen       map[string]mark
	written    map[savorypin.Key]attempt
}

// phase is one part of a move that is judged for itself.
type phase struct {
	done bool
	key  savorypinmove.Key
}

// mark is the last report of an entry that was taken over.
type mark struct {
	incarnation int64
	sequence    uint64
}

// attempt is a write whose effect may not have shown yet.
type attempt struct {
	at      time.Time
	version int64
}

// StartMoves registers the moves with a daemon. It must be called before the
// daemon runs.
func StartMoves(cfg MovesConfig) *Moves {
	c := &Moves{
		rejections: savorypinmove.NewRejectionSet(),
		cfg:        cfg,
		daemon:     cfg.Daemon,
		evaluators: map[phase]*savorypinmove.Evaluator{},
		seen:       map[string]mark{},
		written:    map[savorypin.Key]attempt{},
	}
	c.fleet.Store(&fleet{})
	c.daemon.Handle(savorypinmember.FrameEvidence, savorypinmember.HandleCall(c.handleEvidence))
	c.daemon.Handle(savorypinmember.FrameVerdicts, savorypinmember.HandleCall(c.handleVerdicts))
	c.daemon.Background(c.loop)
	c.daemon.RegisterState("moves", c.state)
	return c
}

// Traffic returns how new work of a service is shared, verdicts included that
// the platform has not heard of.
func (c *Moves) Traffic(service string) savorypinmove.Traffic {
	return savorypinmove.TrafficWith(c.daemon.Config(), service, c.rejections.Rejected)
}

// Report sends evidence to the evaluators of the services. If none of them can
// be reached, this daemon evaluates what it has itself.
func (c *Moves) Report(ctx context.Context, gathered []savorypinmove.Evidence) {
	for service, evidence := range c.byService(gathered) {
		msg := savorypinmember.Evidence{
			Incarnation: c.daemon.Incarnation(),
			Moves:       evidence,
			Sequence:    c.sequence.Add(1),
		}
		if !c.send(ctx, service, msg) {
			c.add(evidence)
		}
	}
}

func (c *Moves) byService(gathered []savorypinmove.Evidence) map[string][]savorypinmove.Evidence {
	services := map[string][]savorypinmove.Evidence{}
	for _, evidence := range gathered {
		if m, ok := c.find(evidence.Move); ok {
			services[m.Spec.Service] = append(services[m.Spec.Service], evidence)
		}
	}
	return services
}

// send reports whether any evaluator took the evidence over.
func (c *Moves) send(ctx context.Context, service string, msg savorypinmember.Evidence) bool {
	var taken atomic.Bool
	var wg sync.WaitGroup
	for _, m := range c.evaluatorsOf(service) {
		if m.Name == c.daemon.Settings().Name {
			c.add(msg.Moves)
			taken.Store(true)
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, err := savorypinmember.Call[savorypinmember.Evidence, savorypinmember.Empty](
				ctx, c.daemon.Transport(), m.Address, savorypinmember.FrameEvidence, msg)
			if err == nil {
				taken.Store(true)
			}
		})
	}
	wg.Wait()
	return taken.Load()
}

// evaluatorsOf returns the members that evaluate the evidence of a service:
// those that may control it, and one in another failure domain.
func (c *Moves) evaluatorsOf(service string) []savorypin.MemberState {
	states := map[string]savorypin.MemberState{}
	var names []string
	for _, m := range c.daemon.Members().All() {
		if m.Usable() {
			states[m.State().Name] = m.State()
			names = append(names, m.State().Name)
		}
	}
	var chosen []savorypin.MemberState
	domains := map[string]bool{}
	for _, name := range savorypinrank.Names(savorypinlease.ControllerOf(service), names) {
		m := states[name]
		if len(chosen) < candidates || len(domains) < 2 && !domains[m.Domain] {
			chosen = append(chosen, m)
			domains[m.Domain] = true
		}
	}
	return chosen
}

func (c *Moves) handleEvidence(
	_ context.Context,
	peer savorypinmember.Hello,
	req savorypinmember.Evidence,
) (savorypinmember.Empty, error) {
	if c.isNew(peer.Name, mark{incarnation: req.Incarnation, sequence: req.Sequence}) {
		c.add(req.Moves)
	}
	return savorypinmember.Empty{}, nil
}

// isNew reports whether a report is later than all that were taken over from
// the same entry.
func (c *Moves) isNew(from string, m mark) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.seen[from]
	if m.incarnation < last.incarnation || m.incarnation == last.incarnation && m.sequence <= last.sequence {
		return false
	}
	c.seen[from] = m
	return true
}

// add takes evidence over. Evidence on moves that this daemon does not know
// yet, or that have ended, is left out.
func (c *Moves) add(gathered []savorypinmove.Evidence) {
	for _, evidence := range gathered {
		m, ok := c.find(evidence.Move)
		if !ok {
			continue
		}
		c.mu.Lock()
		c.evaluator(m, evidence.Done).Add(time.Now(), evidence)
		c.mu.Unlock()
	}
}

// evaluator returns the evaluator of a phase of a move. The caller holds c.mu.
func (c *Moves) evaluator(m savorypinconfig.Move, done bool) *savorypinmove.Evaluator {
	p := phase{done: done, key: savorypinmove.KeyOf(m)}
	e, ok := c.evaluators[p]
	if ok {
		return e
	}
	cfg := savorypinmove.EvaluatorConfig{Begin: m.Status.Begun, Horizon: max(m.Spec.By.Sub(m.Status.Begun), time.Minute)}
	if done {
		cfg = savorypinmove.EvaluatorConfig{Begin: m.Status.At, Horizon: savorypinmove.WatchFor}
	}
	e = savorypinmove.NewEvaluator(cfg)
	c.evaluators[p] = e
	return e
}

// find returns a move that has a share or is watched.
func (c *Moves) find(key savorypinmove.Key) (savorypinconfig.Move, bool) {
	for service := range c.daemon.Config().Services() {
		for _, m := range c.daemon.Config().Moves(service) {
			if savorypinmove.KeyOf(m) == key {
				return m, watched(m, time.Now())
			}
		}
	}
	return savorypinconfig.Move{}, false
}

// watched reports whether evidence on a move counts.
func watched(m savorypinconfig.Move, now time.Time) bool {
	switch m.Status.State {
	case savorypin.MoveRunning, savorypin.MovePaused:
		return true
	case savorypin.MoveDone:
		return now.Before(m.Status.At.Add(savorypinmove.WatchFor))
	default:
		return false
	}
}

// Watched reports whether attempts tell about a move at this moment.
func (c *Moves) Watched(key savorypinmove.Key) bool {
	_, ok := c.find(key)
	return ok && !c.rejections.Rejected(key)
}
