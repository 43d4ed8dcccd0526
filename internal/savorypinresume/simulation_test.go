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
	// simSilenceTimeout is how long a connection may be silent until it is reported as
	// silent.
	simSilenceTimeout = 275 * time.Millisecond
	simPrefillTime    = 50 * time.Millisecond
)

// fault is a kind of fault of a host or its endpoint.
type fault string

const (
	faultBlackhole fault = "black-holed connection"
	faultReset     fault = "connection reset"
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
	begin           func() []savorypinresume.Action
	done            func(time.Time, savorypin.AttemptID, int, savorypin.FinishReason) []savorypinresume.Action
	end             func() *savorypinresume.End
	failed          func(time.Time, savorypin.AttemptID, savorypinresume.Cause, error) []savorypinresume.Action
	avoid           func() map[string]bool
	connectionLost  func(time.Time, savorypin.AttemptID) []savorypinresume.Action
	placementFailed func(time.Time) []savorypinresume.Action
	placed          func(time.Time, string, time.Duration) (savorypin.AttemptID, bool)
	tick            func(time.Time) []savorypinresume.Action
	tokens          func(time.Time, savorypin.AttemptID, int, []savorypin.Token) (int, []savorypinresume.Action)
	answer          func() []savorypin.Token
}

func machineController(m *savorypinresume.Machine) controller {
	return controller{
		answer:          func() []savorypin.Token { return m.Log().Tokens(0) },
		avoid:           m.Avoid,
		begin:           m.Begin,
		done:            m.Done,
		end:             m.End,
		failed:          m.Failed,
		connectionLost:  m.ConnectionLost,
		placementFailed: m.PlacementFailed,
		placed:          m.Placed,
		tick:            m.Tick,
		tokens:          m.Tokens,
	}
}

// host is the state of a host with an agent and an engine.
type host struct {
	blackholed    bool
	crashed       bool
	engineCrashed bool
	paused        bool
	stalled       bool
	// faultAt is when a fault of the host last began or ended.
	faultAt time.Time
}

// frame is a message that is in transit from an agent to the entry.
type frame struct {
	first  int
	tokens []savorypin.Token
}

// simAttempt is the state of an attempt at its agent.
type simAttempt struct {
	// base is the number of tokens that the log had when the attempt began.
	base        int
	cancelled   bool
	connected   bool
	failed      bool
	frames      []frame
	host        int
	id          savorypin.AttemptID
	nextTokenAt time.Time
	sent        int
	tokens      []savorypin.Token
}

// simulation simulates hosts, connections and one generation in virtual time.
type simulation struct {
	controller controller
	// computed is the number of tokens that engines have produced, or have processed
	// again for a resume.
	computed       int
	faults         []scheduledFault
	tokenInterval  time.Duration
	hosts          []host
	length         int
	distinctTokens bool
	// noise is the probability of each disturbance of the frames in transit.
	noise    float64
	now      time.Time
	rand     *rand.Rand
	attempts []*simAttempt
	started  time.Time
	// activeFaults holds the temporary faults that have begun. Their at is the time
	// at which they end.
	activeFaults []scheduledFault
	deliveredAt  []time.Time
}

// token returns the token that an attempt produces at an index. With distinctTokens,
// each attempt produces different tokens, so that mixed answers are detected.
func (sim *simulation) token(a *simAttempt, index int) savorypin.Token {
	if sim.distinctTokens {
		return savorypin.Token{ID: int32(a.id.Number*10_000 + index)}
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
		for _, a := range slices.Clone(sim.attempts) {
			sim.produce(a)
			sim.deliverFrames(a)
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
	case faultReset:
		sim.closeConnections(f.endpoint)
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

// closeConnections closes all connections of a host and drops their frames.
func (sim *simulation) closeConnections(index int) {
	for _, a := range slices.Clone(sim.attempts) {
		if a.host == index && a.connected {
			a.connected = false
			a.frames = nil
			sim.apply(sim.controller.connectionLost(sim.now, a.id))
		}
	}
}

func (sim *simulation) produce(a *simAttempt) {
	h := sim.hosts[a.host]
	if h.crashed || h.paused || a.failed || a.cancelled {
		return
	}
	if h.engineCrashed {
		a.failed = true
		return
	}
	if h.stalled || sim.now.Before(a.nextTokenAt) {
		return
	}
	if len(a.tokens) < sim.length {
		a.tokens = append(a.tokens, sim.token(a, len(a.tokens)))
		a.nextTokenAt = sim.now.Add(sim.tokenInterval)
		sim.computed++
	}
}

// deliverFrames sends the new tokens of an attempt and passes the frames that have
// arrived to the controller.
func (sim *simulation) deliverFrames(a *simAttempt) {
	h := sim.hosts[a.host]
	if !a.connected {
		return
	}
	if h.crashed || h.paused || h.blackholed {
		if sim.now.Sub(h.faultAt) >= simConnectionTimeout {
			sim.closeConnections(a.host)
		}
		return
	}
	if a.sent < len(a.tokens) {
		a.frames = append(a.frames, frame{first: a.sent, tokens: slices.Clone(a.tokens[a.sent:])})
		a.sent = len(a.tokens)
	}
	sim.disturbFrames(a)
	for len(a.frames) > 0 && a.connected {
		f := a.frames[0]
		a.frames = a.frames[1:]
		taken, actions := sim.controller.tokens(sim.now, a.id, f.first, f.tokens)
		if taken > 0 {
			sim.deliveredAt = append(sim.deliveredAt, sim.now)
		}
		sim.apply(actions)
	}
	switch {
	case a.failed:
		a.connected = false
		sim.apply(sim.controller.failed(sim.now, a.id, savorypinresume.CauseEngine, nil))
	case a.sent == sim.length:
		sim.apply(sim.controller.done(sim.now, a.id, sim.length, savorypin.FinishLength))
	}
}

// disturbFrames drops, repeats and reorders frames at random.
func (sim *simulation) disturbFrames(a *simAttempt) {
	if sim.rand == nil || len(a.frames) == 0 {
		return
	}
	if sim.rand.Float64() < sim.noise {
		a.frames = a.frames[1:]
	}
	if len(a.frames) > 0 && sim.rand.Float64() < sim.noise {
		a.frames = append(a.frames, a.frames[0])
	}
	if sim.rand.Float64() < sim.noise {
		sim.rand.Shuffle(len(a.frames), func(i, j int) { a.frames[i], a.frames[j] = a.frames[j], a.frames[i] })
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
	for _, a := range sim.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// isSilent reports whether nothing has arrived from an attempt's host for
// simSilenceTimeout.
func (sim *simulation) isSilent(id savorypin.AttemptID) bool {
	h := sim.hosts[sim.find(id).host]
	return (h.blackholed || h.crashed || h.paused) && sim.now.Sub(h.faultAt) >= simSilenceTimeout
}

func (sim *simulation) attach(action savorypinresume.Action) {
	a := sim.find(action.Attempt)
	h := sim.hosts[a.host]
	if h.crashed || h.paused {
		return
	}
	// A new connection works even if the old one was black-holed.
	sim.hosts[a.host].blackholed = false
	a.connected = true
	a.frames = nil
	a.sent = action.From
	_, actions := sim.controller.tokens(sim.now, a.id, action.From, nil)
	sim.apply(actions)
}

func (sim *simulation) cancel(id savorypin.AttemptID) {
	a := sim.find(id)
	if h := sim.hosts[a.host]; !h.crashed && !h.paused {
		a.cancelled = true
		a.connected = false
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
		a := &simAttempt{host: i, id: id, nextTokenAt: sim.now.Add(simPrefillTime)}
		a.tokens = slices.Clone(sim.controller.answer())
		a.base = len(a.tokens)
		a.sent = a.base
		a.connected = true
		sim.computed += a.base
		sim.attempts = append(sim.attempts, a)
		if h := sim.hosts[i]; h.crashed || h.engineCrashed {
			a.connected = false
			a.failed = true
			sim.apply(sim.controller.failed(sim.now, id, savorypinresume.CauseRefused, nil))
		}
		return
	}
	sim.apply(sim.controller.placementFailed(sim.now))
}
