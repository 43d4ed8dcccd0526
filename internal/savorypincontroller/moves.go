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

// Settings of the controller of moves.
const (
	// callTimeout is the timeout of a call to another daemon.
	callTimeout = time.Second
	// fanOut is the number of members to which a new rejection is sent.
	fanOut       = 4
	tickInterval = 500 * time.Millisecond
	// writeRetryInterval is the time after which a write is repeated if the
	// configuration does not show its effect.
	writeRetryInterval = 2 * time.Second
)

// MovesConfig configures Moves.
type MovesConfig struct {
	// Daemon is the daemon that runs the controller.
	Daemon *savorypindaemon.Daemon
	// Placement holds the leases of the services.
	Placement *Placement
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
}

// Moves is one daemon's controller of moves. For each service a few daemons evaluate
// the evidence of all entries, and the one that holds the controller lease of the
// service writes the status of its moves to the platform.
//
// A rejection does not wait for the platform: the evaluator that decides on it sends it to
// other daemons, which apply and forward it, whether or not it has been written to the
// platform.
type Moves struct {
	rejections *savorypinmove.RejectionSet
	cfg        MovesConfig
	daemon     *savorypindaemon.Daemon
	locations  atomic.Pointer[versionLocations]
	sequence   atomic.Uint64

	mu          sync.Mutex
	evaluators  map[phase]*savorypinmove.Evaluator
	lastReports map[string]reportID
	lastWrites  map[savorypin.Key]objectWrite
}

// phase is a part of a move that is judged separately: while the move runs, and after it
// is done.
type phase struct {
	done bool
	key  savorypinmove.Key
}

// reportID identifies a report of an entry and orders it among the entry's reports.
type reportID struct {
	incarnation int64
	sequence    uint64
}

// objectWrite is the last write of an object: its time, and the version that it
// replaced.
type objectWrite struct {
	at      time.Time
	version int64
}

// RegisterMoves registers a controller of moves with a daemon. It must be called before
// the daemon runs.
func RegisterMoves(cfg MovesConfig) *Moves {
	c := &Moves{
		rejections:  savorypinmove.NewRejectionSet(),
		cfg:         cfg,
		daemon:      cfg.Daemon,
		evaluators:  map[phase]*savorypinmove.Evaluator{},
		lastReports: map[string]reportID{},
		lastWrites:  map[savorypin.Key]objectWrite{},
	}
	c.locations.Store(&versionLocations{})
	c.daemon.Handle(savorypinmember.FrameEvidence, savorypinmember.HandleCall(c.handleEvidence))
	c.daemon.Handle(savorypinmember.FrameRejections, savorypinmember.HandleCall(c.handleRejections))
	c.daemon.Background(c.loop)
	c.daemon.RegisterState("moves", c.state)
	return c
}

// Traffic returns the traffic of a service. It applies rejections that are not yet
// written to the platform.
func (c *Moves) Traffic(service string) savorypinmove.Traffic {
	return savorypinmove.TrafficWithRejections(c.daemon.Config(), service, c.rejections.Rejected)
}

// Report sends evidence to the evaluators of the services. If none of a service's
// evaluators can be reached, this daemon evaluates the evidence itself.
func (c *Moves) Report(ctx context.Context, collected []savorypinmove.Evidence) {
	for service, evidence := range c.byService(collected) {
		msg := savorypinmember.Evidence{
			Incarnation: c.daemon.Incarnation(),
			Moves:       evidence,
			Sequence:    c.sequence.Add(1),
		}
		if !c.sendEvidence(ctx, service, msg) {
			c.addEvidence(evidence)
		}
	}
}

func (c *Moves) byService(collected []savorypinmove.Evidence) map[string][]savorypinmove.Evidence {
	services := map[string][]savorypinmove.Evidence{}
	for _, evidence := range collected {
		if m, ok := c.findWatched(evidence.Move); ok {
			services[m.Spec.Service] = append(services[m.Spec.Service], evidence)
		}
	}
	return services
}

// sendEvidence sends evidence to all evaluators of a service and reports whether any of
// them accepted it.
func (c *Moves) sendEvidence(ctx context.Context, service string, msg savorypinmember.Evidence) bool {
	var delivered atomic.Bool
	var wg sync.WaitGroup
	for _, m := range c.evaluatorsOf(service) {
		if m.Name == c.daemon.Settings().Name {
			c.addEvidence(msg.Moves)
			delivered.Store(true)
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, err := savorypinmember.Call[savorypinmember.Evidence, savorypinmember.Empty](
				ctx, c.daemon.Transport(), m.Address, savorypinmember.FrameEvidence, msg)
			if err == nil {
				delivered.Store(true)
			}
		})
	}
	wg.Wait()
	return delivered.Load()
}

// evaluatorsOf returns the members that evaluate the evidence of a service: the
// candidates for its controller lease and, if these share a failure domain, one member
// in another domain.
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
	for _, name := range savorypinrank.Names(savorypinlease.ControllerLeaseName(service), names) {
		m := states[name]
		if len(chosen) < candidateCount || len(domains) < 2 && !domains[m.Domain] {
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
	if c.isNewReport(peer.Name, reportID{incarnation: req.Incarnation, sequence: req.Sequence}) {
		c.addEvidence(req.Moves)
	}
	return savorypinmember.Empty{}, nil
}

// isNewReport reports whether a report is later than all reports accepted from the same
// entry, and records it if so.
func (c *Moves) isNewReport(from string, id reportID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.lastReports[from]
	if id.incarnation < last.incarnation || id.incarnation == last.incarnation && id.sequence <= last.sequence {
		return false
	}
	c.lastReports[from] = id
	return true
}

// addEvidence adds evidence to the evaluators. It ignores evidence on moves that this
// daemon does not know yet or that have ended.
func (c *Moves) addEvidence(collected []savorypinmove.Evidence) {
	for _, evidence := range collected {
		m, ok := c.findWatched(evidence.Move)
		if !ok {
			continue
		}
		c.mu.Lock()
		c.evaluatorFor(m, evidence.Done).Add(time.Now(), evidence)
		c.mu.Unlock()
	}
}

// evaluatorFor returns the evaluator of a phase of a move, which it creates if needed.
// The caller holds c.mu.
func (c *Moves) evaluatorFor(m savorypinconfig.Move, done bool) *savorypinmove.Evaluator {
	p := phase{done: done, key: savorypinmove.KeyOf(m)}
	e, ok := c.evaluators[p]
	if ok {
		return e
	}
	cfg := savorypinmove.EvaluatorConfig{Begin: m.Status.Begun, Horizon: max(m.Spec.By.Sub(m.Status.Begun), time.Minute)}
	if done {
		cfg = savorypinmove.EvaluatorConfig{Begin: m.Status.At, Horizon: savorypinmove.WatchDuration}
	}
	e = savorypinmove.NewEvaluator(cfg)
	c.evaluators[p] = e
	return e
}

// findWatched returns a move and whether it is running, paused or watched.
func (c *Moves) findWatched(key savorypinmove.Key) (savorypinconfig.Move, bool) {
	for service := range c.daemon.Config().Services() {
		for _, m := range c.daemon.Config().Moves(service) {
			if savorypinmove.KeyOf(m) == key {
				return m, isWatched(m, time.Now())
			}
		}
	}
	return savorypinconfig.Move{}, false
}

// isWatched reports whether evidence on a move counts: while it is running or paused, and
// for savorypinmove.WatchDuration after it is done.
func isWatched(m savorypinconfig.Move, now time.Time) bool {
	switch m.Status.State {
	case savorypin.MoveRunning, savorypin.MovePaused:
		return true
	case savorypin.MoveDone:
		return now.Before(m.Status.At.Add(savorypinmove.WatchDuration))
	default:
		return false
	}
}

// Watched reports whether evidence on a move counts now. It does not once the move is
// rejected.
func (c *Moves) Watched(key savorypinmove.Key) bool {
	_, ok := c.findWatched(key)
	return ok && !c.rejections.Rejected(key)
}
