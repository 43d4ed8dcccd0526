package savorypinresume_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
)

// The times of a simulation.
const (
	simStep = 5 * time.Millisecond
	// simConnectionTimeout is how long a connection may be silent until it is lost.
	simConnectionTimeout = 750 * time.Millisecond
	simFirstTokenTimeout = 1500 * time.Millisecond
	// simProbeTimeout is how long a connection may be silent until it is reported as
	// silent.
	simProbeTimeout = 275 * time.Millisecond
	simPrefillTime  = 50 * time.Millisecond
)

// fault is a kind of fault of a host or its endpoint.
type fault string

const (
	faultBlackhole fault = "black-holed connection"
	faultCut       fault = "connection reset"
	faultEngine    fault = "engine crash"
	faultHost      fault = "host crash"
	faultPause     fault = "host pause"
	faultStall     fault = "engine stall"
)

// scheduledFault is a fault that begins at a time. If endpoint is negative, it hits
// the endpoint of the newest attempt. It is permanent if duration is zero.
type scheduledFault struct {
	at       time.Duration
	endpoint int
	fault    fault
	duration time.Duration
}

// controller holds the methods of the Machine under test or of the naive baseline.
type controller struct {
	begin     func() []savorypinresume.Action
	done      func(time.Time, savorypin.AttemptID, int, savorypin.FinishReason) []savorypinresume.Action
	end       func() *savorypinresume.End
	failed    func(time.Time, savorypin.AttemptID, savorypinresume.Cause, error) []savorypinresume.Action
	avoid     func() map[string]bool
	lost      func(time.Time, savorypin.AttemptID) []savorypinresume.Action
	notPlaced func(time.Time) []savorypinresume.Action
	placed    func(time.Time, string, time.Duration) (savorypin.AttemptID, bool)
	tick      func(time.Time) []savorypinresume.Action
	tokens    func(time.Time, savorypin.AttemptID, int, []savorypin.Token) (int, []savorypinresume.Action)
	answer    func() []savorypin.Token
}

func machineController(m *savorypinresume.Machine) controller {
	return controller{
		answer:    func() []savorypin.Token { return m.Log().Tokens(0) },
		avoid:     m.Avoid,
		begin:     m.Begin,
		done:      m.Done,
		end:       m.End,
		failed:    m.Failed,
		lost:      m.ConnectionLost,
		notPlaced: m.PlacementFailed,
		placed:    m.Placed,
		tick:      m.Tick,
		tokens:    m.Tokens,
	}
}

// host is the state of a host with an agent and an engine.
type host struct {
	blackholed    bool
	crashed       bool
	engineCrashed bool
	paused        bool
	stalled       bool
	faultAt       time.Time
}

// frame is a message that is in transit from an agent to the entry.
type frame struct {
	first  int
	tokens []savorypin.Token
}

// simAttempt is the state of an attempt at its agent.
type simAttempt struct {
	base      int
	cancelled bool
	connected bool
	failed    bool
	frames    []frame
	host      int
	id        savorypin.AttemptID
	next      time.Time
	sent      int
	tokens    []savorypin.Token
}

// simulation simulates hosts, connections and one generation in virtual time.
type simulation struct {
	controller     controller
	computed       int
	faults         []scheduledFault
	gap            time.Duration
	hosts          []host
	length         int
	distinctTokens bool
	noise          float64
	now            time.Time
	rand           *rand.Rand
	attempts       []*simAttempt
	started        time.Time
	activeFaults   []scheduledFault
	deliveredAt    []time.Time
}

// token returns the token that an attempt produces at an index. With distinctTokens,
// each attempt produces different tokens, so that mixed answers are detected.
func (sim *simulation) token(r *simAttempt, index int) savorypin.Token {
	if sim.distinctTokens {
		return savorypin.Token{ID: int32(r.id.Number*10_000 + index)}
	}
	return savorypin.Token{ID: int32(index)}
}

// run runs the simulation until the generation has ended or limit has passed, and
// calls check after each step.
func (sim *simulation) run(limit time.Duration, check func()) {
	sim.now = time.Unix(1_000_000, 0)
	sim.started = sim.now
	sim.apply(sim.controller.begin())
	for sim.now.Sub(sim.started) < limit && sim.controller.end() == nil {
		sim.now = sim.now.Add(simStep)
		sim.injectFaults()
		for _, r := range slices.Clone(sim.attempts) {
			sim.produce(r)
			sim.deliverFrames(r)
		}
		sim.apply(sim.controller.tick(sim.now))
		check()
	}
}

func (sim *simulation) injectFaults() {
	for len(sim.faults) > 0 && sim.now.Sub(sim.started) >= sim.faults[0].at {
		f := sim.faults[0]
		sim.faults = sim.faults[1:]
		if f.endpoint < 0 {
			f.endpoint = sim.attempts[len(sim.attempts)-1].host
		}
		sim.setFault(f, true)
		if f.duration > 0 {
			f.at = sim.now.Sub(sim.started) + f.duration
			sim.activeFaults = append(sim.activeFaults, f)
		}
	}
	sim.activeFaults = slices.DeleteFunc(sim.activeFaults, func(f scheduledFault) bool {
		over := sim.now.Sub(sim.started) >= f.at
		if over {
			sim.setFault(f, false)
		}
		return over
	})
}

func (sim *simulation) setFault(f scheduledFault, on bool) {
	h := &sim.hosts[f.endpoint]
	h.faultAt = sim.now
	switch f.fault {
	case faultBlackhole:
		h.blackholed = on
	case faultCut:
		sim.cut(f.endpoint)
	case faultEngine:
		h.engineCrashed = on
	case faultHost:
		h.crashed = on
	case faultPause:
		h.paused = on
	case faultStall:
		h.stalled = on
	}
}

// cut closes all connections of a host and drops their frames.
func (sim *simulation) cut(index int) {
	for _, r := range slices.Clone(sim.attempts) {
		if r.host == index && r.connected {
			r.connected = false
			r.frames = nil
			sim.apply(sim.controller.lost(sim.now, r.id))
		}
	}
}

func (sim *simulation) produce(r *simAttempt) {
	h := sim.hosts[r.host]
	if h.crashed || h.paused || r.failed || r.cancelled {
		return
	}
	if h.engineCrashed {
		r.failed = true
		return
	}
	if h.stalled || sim.now.Before(r.next) {
		return
	}
	if len(r.tokens) < sim.length {
		r.tokens = append(r.tokens, sim.token(r, len(r.tokens)))
		r.next = sim.now.Add(sim.gap)
		sim.computed++
	}
}

// deliverFrames sends the new tokens of an attempt and passes the frames that have
// arrived to the controller.
func (sim *simulation) deliverFrames(r *simAttempt) {
	h := sim.hosts[r.host]
	if !r.connected {
		return
	}
	if h.crashed || h.paused || h.blackholed {
		if sim.now.Sub(h.faultAt) >= simConnectionTimeout {
			sim.cut(r.host)
		}
		return
	}
	if r.sent < len(r.tokens) {
		r.frames = append(r.frames, frame{first: r.sent, tokens: slices.Clone(r.tokens[r.sent:])})
		r.sent = len(r.tokens)
	}
	sim.disturbFrames(r)
	for len(r.frames) > 0 && r.connected {
		f := r.frames[0]
		r.frames = r.frames[1:]
		taken, actions := sim.controller.tokens(sim.now, r.id, f.first, f.tokens)
		if taken > 0 {
			sim.deliveredAt = append(sim.deliveredAt, sim.now)
		}
		sim.apply(actions)
	}
	switch {
	case r.failed:
		r.connected = false
		sim.apply(sim.controller.failed(sim.now, r.id, savorypinresume.CauseEngine, nil))
	case r.sent == sim.length:
		sim.apply(sim.controller.done(sim.now, r.id, sim.length, savorypin.FinishLength))
	}
}

// disturbFrames drops, repeats and reorders frames at random.
func (sim *simulation) disturbFrames(r *simAttempt) {
	if sim.rand == nil || len(r.frames) == 0 {
		return
	}
	if sim.rand.Float64() < sim.noise {
		r.frames = r.frames[1:]
	}
	if len(r.frames) > 0 && sim.rand.Float64() < sim.noise {
		r.frames = append(r.frames, r.frames[0])
	}
	if sim.rand.Float64() < sim.noise {
		sim.rand.Shuffle(len(r.frames), func(i, j int) { r.frames[i], r.frames[j] = r.frames[j], r.frames[i] })
	}
}

func (sim *simulation) apply(actions []savorypinresume.Action) {
	for _, action := range actions {
		switch action.Kind {
		case savorypinresume.ActionAttach:
			sim.attach(action)
		case savorypinresume.ActionCancel:
			sim.cancel(action.Attempt)
		case savorypinresume.ActionPlace:
			sim.place()
		case savorypinresume.ActionFinish:
		}
	}
}

func (sim *simulation) find(id savorypin.AttemptID) *simAttempt {
	for _, r := range sim.attempts {
		if r.id == id {
			return r
		}
	}
	return nil
}

// silent reports whether nothing has arrived from an attempt's host for
// simProbeTimeout.
func (sim *simulation) silent(id savorypin.AttemptID) bool {
	h := sim.hosts[sim.find(id).host]
	return (h.blackholed || h.crashed || h.paused) && sim.now.Sub(h.faultAt) >= simProbeTimeout
}

func (sim *simulation) attach(action savorypinresume.Action) {
	r := sim.find(action.Attempt)
	h := sim.hosts[r.host]
	if h.crashed || h.paused {
		return
	}
	// A new connection works even if the old one was black-holed.
	sim.hosts[r.host].blackholed = false
	r.connected = true
	r.frames = nil
	r.sent = action.From
	_, actions := sim.controller.tokens(sim.now, r.id, action.From, nil)
	sim.apply(actions)
}

func (sim *simulation) cancel(id savorypin.AttemptID) {
	r := sim.find(id)
	if h := sim.hosts[r.host]; !h.crashed && !h.paused {
		r.cancelled = true
		r.connected = false
	}
}

func (sim *simulation) place() {
	avoid := sim.controller.avoid()
	for i := range sim.hosts {
		name := string(rune('a' + i))
		if avoid[name] {
			continue
		}
		id, ok := sim.controller.placed(sim.now, name, simFirstTokenTimeout)
		if !ok {
			return
		}
		r := &simAttempt{host: i, id: id, next: sim.now.Add(simPrefillTime)}
		r.tokens = slices.Clone(sim.controller.answer())
		r.base = len(r.tokens)
		r.sent = r.base
		r.connected = true
		sim.computed += r.base
		sim.attempts = append(sim.attempts, r)
		if h := sim.hosts[i]; h.crashed || h.engineCrashed {
			r.connected = false
			r.failed = true
			sim.apply(sim.controller.failed(sim.now, id, savorypinresume.CauseRefused, nil))
		}
		return
	}
	sim.apply(sim.controller.notPlaced(sim.now))
}
