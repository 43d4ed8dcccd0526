package savorypinresume_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
)

// Times of the simulated world.
const (
	worldStep    = 5 * time.Millisecond
	worldSilence = 750 * time.Millisecond
	worldFirst   = 1500 * time.Millisecond
	worldProbe   = 275 * time.Millisecond
	worldPrefill = 50 * time.Millisecond
)

// fault is something that happens to an endpoint of the world.
type fault string

const (
	faultBlackhole fault = "connection black-holed"
	faultCut       fault = "connection reset"
	faultEngine    fault = "engine dead"
	faultHost      fault = "host dead"
	faultPause     fault = "host paused"
	faultStall     fault = "engine stalled"
)

// faultAt is a fault at a time; the endpoint is that of the newest attempt if
// it is negative. The fault is over after a while unless it is a death.
type faultAt struct {
	at       time.Duration
	endpoint int
	fault    fault
	lasts    time.Duration
}

// decider is the module under test, or its naive twin.
type decider struct {
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

func machineDecider(m *savorypinresume.Machine) decider {
	return decider{
		answer:    func() []savorypin.Token { return m.Log().Tokens(0) },
		avoid:     m.Avoid,
		begin:     m.Begin,
		done:      m.Done,
		end:       m.End,
		failed:    m.Failed,
		lost:      m.Lost,
		notPlaced: m.NotPlaced,
		placed:    m.Placed,
		tick:      m.Tick,
		tokens:    m.Tokens,
	}
}

// host is a host with an agent and an engine.
type host struct {
	blackholed bool
	dead       bool
	engineDead bool
	paused     bool
	stalled    bool
	silentAt   time.Time
}

// frame is a message on its way to the entry.
type frame struct {
	first  int
	tokens []savorypin.Token
}

// worldRun is an attempt at its agent.
type worldRun struct {
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

// world is a simulated system in virtual time.
type world struct {
	decider  decider
	computed int
	faults   []faultAt
	gap      time.Duration
	hosts    []host
	length   int
	mixable  bool
	noise    float64
	now      time.Time
	rand     *rand.Rand
	runs     []*worldRun
	started  time.Time
	stops    []faultAt
	taken    []time.Time
}

// token returns the token at an index. In a mixable world each attempt
// produces tokens of its own, so that a mixture shows.
func (w *world) token(r *worldRun, index int) savorypin.Token {
	if w.mixable {
		return savorypin.Token{ID: int32(r.id.Number*10_000 + index)}
	}
	return savorypin.Token{ID: int32(index)}
}

// run lets the world run until the generation has ended or time is up, and
// calls check after each step.
func (w *world) run(limit time.Duration, check func()) {
	w.now = time.Unix(1_000_000, 0)
	w.started = w.now
	w.do(w.decider.begin())
	for w.now.Sub(w.started) < limit && w.decider.end() == nil {
		w.now = w.now.Add(worldStep)
		w.breakThings()
		for _, r := range slices.Clone(w.runs) {
			w.produce(r)
			w.deliver(r)
		}
		w.do(w.decider.tick(w.now))
		check()
	}
}

func (w *world) breakThings() {
	for len(w.faults) > 0 && w.now.Sub(w.started) >= w.faults[0].at {
		f := w.faults[0]
		w.faults = w.faults[1:]
		if f.endpoint < 0 {
			f.endpoint = w.runs[len(w.runs)-1].host
		}
		w.set(f, true)
		if f.lasts > 0 {
			f.at = w.now.Sub(w.started) + f.lasts
			w.stops = append(w.stops, f)
		}
	}
	w.stops = slices.DeleteFunc(w.stops, func(f faultAt) bool {
		over := w.now.Sub(w.started) >= f.at
		if over {
			w.set(f, false)
		}
		return over
	})
}

func (w *world) set(f faultAt, on bool) {
	h := &w.hosts[f.endpoint]
	h.silentAt = w.now
	switch f.fault {
	case faultBlackhole:
		h.blackholed = on
	case faultCut:
		w.cut(f.endpoint)
	case faultEngine:
		h.engineDead = on
	case faultHost:
		h.dead = on
	case faultPause:
		h.paused = on
	case faultStall:
		h.stalled = on
	}
}

// cut ends all connections of a host, with what is on its way.
func (w *world) cut(index int) {
	for _, r := range slices.Clone(w.runs) {
		if r.host == index && r.connected {
			r.connected = false
			r.frames = nil
			w.do(w.decider.lost(w.now, r.id))
		}
	}
}

func (w *world) produce(r *worldRun) {
	h := w.hosts[r.host]
	if h.dead || h.paused || r.failed || r.cancelled {
		return
	}
	if h.engineDead {
		r.failed = true
		return
	}
	if h.stalled || w.now.Before(r.next) {
		return
	}
	if len(r.tokens) < w.length {
		r.tokens = append(r.tokens, w.token(r, len(r.tokens)))
		r.next = w.now.Add(w.gap)
		w.computed++
	}
}

// deliver sends what a run has and hands over what has arrived.
func (w *world) deliver(r *worldRun) {
	h := w.hosts[r.host]
	if !r.connected {
		return
	}
	if h.dead || h.paused || h.blackholed {
		if w.now.Sub(h.silentAt) >= worldSilence {
			w.cut(r.host)
		}
		return
	}
	if r.sent < len(r.tokens) {
		r.frames = append(r.frames, frame{first: r.sent, tokens: slices.Clone(r.tokens[r.sent:])})
		r.sent = len(r.tokens)
	}
	w.disturb(r)
	for len(r.frames) > 0 && r.connected {
		f := r.frames[0]
		r.frames = r.frames[1:]
		taken, actions := w.decider.tokens(w.now, r.id, f.first, f.tokens)
		if taken > 0 {
			w.taken = append(w.taken, w.now)
		}
		w.do(actions)
	}
	switch {
	case r.failed:
		r.connected = false
		w.do(w.decider.failed(w.now, r.id, savorypinresume.CauseEngine, nil))
	case r.sent == w.length:
		w.do(w.decider.done(w.now, r.id, w.length, savorypin.FinishLength))
	}
}

// disturb loses, repeats and crosses frames.
func (w *world) disturb(r *worldRun) {
	if w.rand == nil || len(r.frames) == 0 {
		return
	}
	if w.rand.Float64() < w.noise {
		r.frames = r.frames[1:]
	}
	if len(r.frames) > 0 && w.rand.Float64() < w.noise {
		r.frames = append(r.frames, r.frames[0])
	}
	if w.rand.Float64() < w.noise {
		w.rand.Shuffle(len(r.frames), func(i, j int) { r.frames[i], r.frames[j] = r.frames[j], r.frames[i] })
	}
}

func (w *world) do(actions []savorypinresume.Action) {
	for _, action := range actions {
		switch action.Kind {
		case savorypinresume.ActionAttach:
			w.attach(action)
		case savorypinresume.ActionCancel:
			w.cancel(action.Attempt)
		case savorypinresume.ActionPlace:
			w.place()
		case savorypinresume.ActionFinish:
		}
	}
}

func (w *world) find(id savorypin.AttemptID) *worldRun {
	for _, r := range w.runs {
		if r.id == id {
			return r
		}
	}
	return nil
}

// silent reports whether nothing has come from an attempt's host for longer
// than a probe takes.
func (w *world) silent(id savorypin.AttemptID) bool {
	h := w.hosts[w.find(id).host]
	return (h.blackholed || h.dead || h.paused) && w.now.Sub(h.silentAt) >= worldProbe
}

func (w *world) attach(action savorypinresume.Action) {
	r := w.find(action.Attempt)
	h := w.hosts[r.host]
	if h.dead || h.paused {
		return
	}
	// A new connection works, whatever has become of the old one.
	w.hosts[r.host].blackholed = false
	r.connected = true
	r.frames = nil
	r.sent = action.From
	_, actions := w.decider.tokens(w.now, r.id, action.From, nil)
	w.do(actions)
}

func (w *world) cancel(id savorypin.AttemptID) {
	r := w.find(id)
	if h := w.hosts[r.host]; !h.dead && !h.paused {
		r.cancelled = true
		r.connected = false
	}
}

func (w *world) place() {
	avoid := w.decider.avoid()
	for i := range w.hosts {
		name := string(rune('a' + i))
		if avoid[name] {
			continue
		}
		id, ok := w.decider.placed(w.now, name, worldFirst)
		if !ok {
			return
		}
		r := &worldRun{host: i, id: id, next: w.now.Add(worldPrefill)}
		r.tokens = slices.Clone(w.decider.answer())
		r.base = len(r.tokens)
		r.sent = r.base
		r.connected = true
		w.computed += r.base
		w.runs = append(w.runs, r)
		if h := w.hosts[i]; h.dead || h.engineDead {
			r.connected = false
			r.failed = true
			w.do(w.decider.failed(w.now, id, savorypinresume.CauseRefused, nil))
		}
		return
	}
	w.do(w.decider.notPlaced(w.now))
}
