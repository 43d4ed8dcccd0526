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

var errModel = savorypin.Errorf(savorypin.KindIncomplete, "engine", "%w", errors.New("model fails"))

// engine is a queue model of an engine that serves both versions: a number of
// slots, a queue, and decoding that slows with the number of requests.
type engine struct {
	domain  string
	name    string
	running int
	waiting []*work
}

func (e *engine) load() float64 {
	return float64(e.running+len(e.waiting)) / modelSlots
}

// work is one attempt.
type work struct {
	arrived time.Duration
	engine  *engine
	entry   int
	hurt    bool
	load    float64
	o       savorypin.Observation
}

// scenario is a workload with a fault.
type scenario struct {
	name string
	// fault changes what an attempt shows, given the time since the start.
	fault func(w *work, at time.Duration, r *rand.Rand)
	// good says that the new version is no worse than the old one.
	good bool
	// perSecond is the rate of requests.
	perSecond float64
	// placed says that a place hurts the new version alone, so that the move
	// rightly waits for an operator.
	placed bool
	// until is when the run ends; the window if zero.
	until time.Duration
}

// policy decides on the move once a second.
type policy func(m *model) []savorypinmove.Change

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// model runs one move of a service on a queue model of its engines.
type model struct {
	agenda     events
	at         time.Duration
	book       *savorypinmove.Book
	engines    []*engine
	evaluators map[bool]*savorypinmove.Evaluator
	r          *rand.Rand
	recorders  []*savorypinmove.Recorder
	sharers    []*savorypinmove.Sharer
	store      *savorypinconfig.Store
	s          scenario
	version    int64

	// What is measured.
	hits     int
	hurt     int
	failed   [2]int
	requests int
	writes   int
}

var modelStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newModel(s scenario, seed uint64) *model {
	m := &model{
		book:       savorypinmove.NewBook(),
		evaluators: map[bool]*savorypinmove.Evaluator{},
		r:          rand.New(rand.NewPCG(seed, seed)),
		s:          s,
		store:      savorypinconfig.NewStore(),
	}
	for i := range 8 {
		m.engines = append(m.engines, &engine{domain: fmt.Sprintf("d%d", i%2), name: fmt.Sprintf("e%d", i)})
	}
	for range modelEntries {
		m.recorders = append(m.recorders, savorypinmove.NewRecorder())
		m.sharers = append(m.sharers, &savorypinmove.Sharer{Rand: m.r.Float64})
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
	return modelStart.Add(m.at)
}

func (m *model) move() savorypinconfig.Move {
	return m.store.Snapshot().Moves("s")[0]
}

func (m *model) traffic() savorypinmove.Traffic {
	return savorypinmove.TrafficWith(m.store.Snapshot(), "s", m.book.Rejected)
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.agenda, event{at: m.at + d, do: do})
}

// run runs the model to its end or until the move is taken back.
func (m *model) run(p policy) {
	until := m.s.until
	if until == 0 {
		until = modelWindow
	}
	m.arrive()
	m.tick(p)
	for len(m.agenda) > 0 && m.move().Status.State != savorypin.MoveTakenBack {
		e := heap.Pop(&m.agenda).(event)
		if e.at > until {
			return
		}
		m.at = e.at
		e.do()
	}
}

func (m *model) tick(p policy) {
	for _, c := range p(m) {
		m.put(savorypin.KindMove, "m", m.spec(), c.Status)
		m.writes++
	}
	m.after(time.Second, func() { m.tick(p) })
}

// arrive lets a request arrive and plans the next one.
func (m *model) arrive() {
	m.after(time.Duration(m.r.ExpFloat64()/m.s.perSecond*float64(time.Second)), m.arrive)
	t := m.traffic()
	w := &work{arrived: m.at, entry: m.r.IntN(modelEntries)}
	w.o = savorypin.Observation{Purpose: savorypin.PurposeFirst, Route: "chat", Service: "s", Tokens: 50, Version: t.Current()}
	if m.r.Float64() < 0.2 {
		w.o.Route = "plan"
	}
	if m.r.Float64() < 0.14 {
		w.o.Tokens = 600
	}
	if t.Moving() && m.sharers[w.entry].Take(t.Move(), t.Share()) {
		w.o.Version = t.To()
	}
	m.recorders[w.entry].Began(t, w.o.Route, w.o.Version)
	m.requests++
	if w.o.Version == "new" {
		m.hits++
	}
	w.engine = m.engines[m.r.IntN(len(m.engines))]
	if other := m.engines[m.r.IntN(len(m.engines))]; other.load() < w.engine.load() {
		w.engine = other
	}
	w.load = w.engine.load()
	w.engine.waiting = append(w.engine.waiting, w)
	m.begin(w.engine)
}

// begin lets attempts begin while slots are free.
func (m *model) begin(e *engine) {
	for e.running < modelSlots && len(e.waiting) > 0 {
		w := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		noise := func(sigma float64) float64 { return math.Exp(sigma * m.r.NormFloat64()) }
		wait := m.at - w.arrived
		w.o.FirstToken = wait + time.Duration(100*noise(0.5)*float64(time.Millisecond))
		batch := 1 + float64(e.running)/modelSlots
		w.o.BetweenTokens = time.Duration(10 * batch * noise(0.15) * float64(time.Millisecond))
		w.o.Domain, w.o.Endpoint, w.o.Load = e.domain, e.name, w.load
		if m.r.Float64() < 0.005 {
			w.o.Err = errModel
		}
		m.s.fault(w, m.at, m.r)
		m.after(w.duration(wait), func() { m.end(w) })
	}
}

// duration returns how long an attempt holds its slot. Failures show at once.
func (w *work) duration(wait time.Duration) time.Duration {
	if w.o.Err != nil {
		w.o.FirstToken, w.o.BetweenTokens = 0, 0
		return 10 * time.Millisecond
	}
	return w.o.FirstToken - wait + time.Duration(w.o.Tokens)*w.o.BetweenTokens
}

func (m *model) end(w *work) {
	w.engine.running--
	m.begin(w.engine)
	side := 0
	if w.o.Version == "new" {
		side = 1
	}
	if w.o.Err != nil {
		m.failed[side]++
	}
	if w.hurt && side == 1 {
		m.hurt++
	}
	m.recorders[w.entry].Observe(m.now(), m.traffic(), w.o, w.o.Domain)
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
			horizon = savorypinmove.WatchFor
		}
		m.evaluators[done] = savorypinmove.NewEvaluator(savorypinmove.EvaluatorConfig{Begin: m.now(), Horizon: horizon})
	}
	return m.evaluators[done]
}

// sequential is the policy under test.
func sequential(m *model) []savorypinmove.Change {
	return savorypinmove.Decide(savorypinmove.Input{
		Rejected: m.book.Reason,
		Judge:    m.judge,
		Moves:    m.store.Snapshot().Moves("s"),
		Now:      m.now(),
		Serves:   func(string) bool { return true },
		Version:  "old",
	})
}

// timeRamp is a naive twin: the share grows with time, whatever happens.
func timeRamp(m *model) []savorypinmove.Change {
	s := savorypin.MoveStatus{Epoch: 1, State: savorypin.MoveRunning}
	s.Share = min(1, m.at.Seconds()/(0.9*modelWindow.Seconds()))
	if s.Share == 1 {
		s.State = savorypin.MoveDone
	}
	return []savorypinmove.Change{{Status: s}}
}

// threshold is a naive twin: a time ramp that takes a version back when more
// than 5 in 100 of at least 20 attempts have failed.
func threshold(m *model) []savorypinmove.Change {
	changes := timeRamp(m)
	if m.hits >= 20 && float64(m.failed[1]) > 0.05*float64(m.hits) {
		changes[0].Status.State = savorypin.MoveTakenBack
	}
	return changes
}
