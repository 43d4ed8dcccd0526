package savorypinmove_test

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinmove"
)

const (
	modelEntries = 20
	modelWindow  = 20 * time.Minute
	modelSlots   = 16
)

var errSimulated = savorypin.Errorf(savorypin.KindIncomplete, "engine", "%w", errors.New("simulated failure"))

// engine is a queueing model of an engine that serves both versions: it has a number of
// slots and a queue, and decoding slows down with the number of running requests.
type engine struct {
	domain  string
	name    string
	running int
	waiting []*attempt
}

func (e *engine) load() float64 {
	return float64(e.running+len(e.waiting)) / modelSlots
}

// attempt is one attempt of a request.
type attempt struct {
	arrived     time.Duration
	engine      *engine
	entry       int
	affected    bool
	load        float64
	observation savorypin.Observation
}

// scenario is a workload with a fault.
type scenario struct {
	name string
	// fault changes the result of an attempt, given the time since the start.
	fault func(a *attempt, at time.Duration, r *rand.Rand)
	// healthy is set if the new version is no worse than the old one.
	healthy bool
	// perSecond is the number of requests per second.
	perSecond float64
	// localFault is set if a host or failure domain affects only the new version, in
	// which case the move correctly waits for an operator.
	localFault bool
	// until is the time at which the run ends; zero means modelWindow.
	until time.Duration
}

// policy returns the changes of the move's status. It is called once per simulated second.
type policy func(m *model) []savorypinmove.Change

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// model simulates one move of a service on a queueing model of its engines.
type model struct {
	pending    eventQueue
	elapsed    time.Duration
	rejections *savorypinmove.RejectionSet
	engines    []*engine
	// evaluators holds the evaluators of the time before (false) and after the move is
	// done (true).
	evaluators map[bool]*savorypinmove.Evaluator
	r          *rand.Rand
	recorders  []*savorypinmove.Recorder
	samplers   []*savorypinmove.RequestSampler
	store      *savorypinconfig.Store
	scenario   scenario
	// version is the version of the last object that was put into the store.
	version int64

	// Counters of the run.
	newRequests int
	affected    int
	failed      [2]int
	requests    int
	writes      int
}

var modelStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newModel(s scenario, seed uint64) *model {
	m := &model{
		rejections: savorypinmove.NewRejectionSet(),
		evaluators: map[bool]*savorypinmove.Evaluator{},
		r:          rand.New(rand.NewPCG(seed, seed)),
		scenario:   s,
		store:      savorypinconfig.NewStore(),
	}
	for i := range 8 {
		m.engines = append(m.engines, &engine{domain: fmt.Sprintf("d%d", i%2), name: fmt.Sprintf("e%d", i)})
	}
	for range modelEntries {
		m.recorders = append(m.recorders, savorypinmove.NewRecorder())
		m.samplers = append(m.samplers, &savorypinmove.RequestSampler{Rand: m.r.Float64})
	}
	m.put(savorypin.KindService, "s", savorypin.ServiceSpec{Type: savorypin.ServiceGeneration, Version: "old"}, nil)
	m.put(savorypin.KindMove, "m", m.spec(), nil)
	return m
}

func (m *model) spec() savorypin.MoveSpec {
	return savorypin.MoveSpec{By: modelStart.Add(modelWindow), From: "old", Service: "s", To: "new"}
}

func (m *model) put(kind savorypin.Kind, name string, spec, status any) {
	m.version++
	data, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	o := savorypin.Object{Key: savorypin.Key{Kind: kind, Name: name}, Spec: data, Version: m.version}
	if status != nil {
		o.Status, err = json.Marshal(status)
		Expect(err).NotTo(HaveOccurred())
	}
	m.store.Apply(o)
}

func (m *model) now() time.Time {
	return modelStart.Add(m.elapsed)
}

func (m *model) move() savorypinconfig.Move {
	return m.store.Snapshot().Moves("s")[0]
}

func (m *model) traffic() savorypinmove.Traffic {
	return savorypinmove.TrafficWithRejections(m.store.Snapshot(), "s", m.rejections.Rejected)
}

func (m *model) schedule(d time.Duration, do func()) {
	heap.Push(&m.pending, event{at: m.elapsed + d, run: do})
}

// run runs the model to its end or until the move is rolled back.
func (m *model) run(p policy) {
	until := m.scenario.until
	if until == 0 {
		until = modelWindow
	}
	m.arrive()
	m.tick(p)
	for len(m.pending) > 0 && m.move().Status.State != savorypin.MoveRolledBack {
		e := heap.Pop(&m.pending).(event)
		if e.at > until {
			return
		}
		m.elapsed = e.at
		e.run()
	}
}

func (m *model) tick(p policy) {
	for _, c := range p(m) {
		m.put(savorypin.KindMove, "m", m.spec(), c.Status)
		m.writes++
	}
	m.schedule(time.Second, func() { m.tick(p) })
}

// arrive adds a request and schedules the next arrival.
func (m *model) arrive() {
	m.schedule(time.Duration(m.r.ExpFloat64()/m.scenario.perSecond*float64(time.Second)), m.arrive)
	t := m.traffic()
	a := &attempt{arrived: m.elapsed, entry: m.r.IntN(modelEntries)}
	a.observation = savorypin.Observation{Purpose: savorypin.PurposeFirst, Route: "chat", Service: "s", Tokens: 50, Version: t.Current()}
	if m.r.Float64() < 0.2 {
		a.observation.Route = "plan"
	}
	if m.r.Float64() < 0.14 {
		a.observation.Tokens = 600
	}
	if t.Moving() && m.samplers[a.entry].Sample(t.Move(), t.Share()) {
		a.observation.Version = t.To()
	}
	m.recorders[a.entry].RecordStart(t, a.observation.Route, a.observation.Version)
	m.requests++
	if a.observation.Version == "new" {
		m.newRequests++
	}
	a.engine = m.engines[m.r.IntN(len(m.engines))]
	if other := m.engines[m.r.IntN(len(m.engines))]; other.load() < a.engine.load() {
		a.engine = other
	}
	a.load = a.engine.load()
	a.engine.waiting = append(a.engine.waiting, a)
	m.startWaiting(a.engine)
}

// startWaiting starts waiting attempts while slots are free.
func (m *model) startWaiting(e *engine) {
	for e.running < modelSlots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		noise := func(sigma float64) float64 { return math.Exp(sigma * m.r.NormFloat64()) }
		wait := m.elapsed - a.arrived
		a.observation.FirstToken = wait + time.Duration(100*noise(0.5)*float64(time.Millisecond))
		batch := 1 + float64(e.running)/modelSlots
		a.observation.TokenInterval = time.Duration(10 * batch * noise(0.15) * float64(time.Millisecond))
		a.observation.Domain, a.observation.Endpoint, a.observation.Load = e.domain, e.name, a.load
		if m.r.Float64() < 0.005 {
			a.observation.Err = errSimulated
		}
		m.scenario.fault(a, m.elapsed, m.r)
		m.schedule(a.duration(wait), func() { m.finish(a) })
	}
}

// duration returns how long an attempt occupies its slot. A failed attempt frees it
// after 10 ms.
func (a *attempt) duration(wait time.Duration) time.Duration {
	if a.observation.Err != nil {
		a.observation.FirstToken, a.observation.TokenInterval = 0, 0
		return 10 * time.Millisecond
	}
	return a.observation.FirstToken - wait + time.Duration(a.observation.Tokens)*a.observation.TokenInterval
}

func (m *model) finish(a *attempt) {
	a.engine.running--
	m.startWaiting(a.engine)
	side := 0
	if a.observation.Version == "new" {
		side = 1
	}
	if a.observation.Err != nil {
		m.failed[side]++
	}
	if a.affected && side == 1 {
		m.affected++
	}
	m.recorders[a.entry].Observe(m.now(), m.traffic(), a.observation, a.observation.Domain)
}

// judge flushes all recorders into the evaluator and returns its verdict.
func (m *model) judge(key savorypinmove.Key, done bool) savorypinmove.Verdict {
	for _, r := range m.recorders {
		for _, evidence := range r.Flush(m.now(), func(savorypinmove.Key) bool { return true }) {
			if evidence.Move == key {
				m.evaluator(evidence.Done).Add(m.now(), evidence)
			}
		}
	}
	return m.evaluator(done).Judge([]string{"d0", "d1"})
}

func (m *model) evaluator(done bool) *savorypinmove.Evaluator {
	if m.evaluators[done] == nil {
		horizon := modelWindow
		if done {
			horizon = savorypinmove.WatchDuration
		}
		m.evaluators[done] = savorypinmove.NewEvaluator(savorypinmove.EvaluatorConfig{Begin: m.now(), Horizon: horizon})
	}
	return m.evaluators[done]
}

// sequentialPolicy is the policy under test.
func sequentialPolicy(m *model) []savorypinmove.Change {
	return savorypinmove.Decide(savorypinmove.Input{
		Rejected: m.rejections.Reason,
		Judge:    m.judge,
		Moves:    m.store.Snapshot().Moves("s"),
		Now:      m.now(),
		Serves:   func(string) bool { return true },
		Version:  "old",
	})
}

// timeRampPolicy is a baseline that raises the share with time regardless of failures.
func timeRampPolicy(m *model) []savorypinmove.Change {
	s := savorypin.MoveStatus{Epoch: 1, State: savorypin.MoveRunning}
	s.Share = min(1, m.elapsed.Seconds()/(0.9*modelWindow.Seconds()))
	if s.Share == 1 {
		s.State = savorypin.MoveDone
	}
	return []savorypinmove.Change{{Status: s}}
}

// thresholdPolicy is a baseline that follows the time ramp and rolls the move back when
// more than 5 in 100 of at least 20 requests to the new version have failed.
func thresholdPolicy(m *model) []savorypinmove.Change {
	changes := timeRampPolicy(m)
	if m.newRequests >= 20 && float64(m.failed[1]) > 0.05*float64(m.newRequests) {
		changes[0].Status.State = savorypin.MoveRolledBack
	}
	return changes
}
