package savorypinmove

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// Sizes and times of blocks.
const (
	// blockAge is the age at which a block is compared though it is small.
	blockAge = 3 * time.Second
	// blockSize is the number of attempts at which a block is compared.
	blockSize = 32
	// levelWait is how long a block of times waits for attempts of the old
	// version after those of the new one.
	levelWait = 10 * time.Second
	// maxBlockSize bounds the attempts of one version in a block.
	maxBlockSize = 512
	// sampleExpiry is the age at which an attempt is no longer compared with one
	// that ends now.
	sampleExpiry = 2 * time.Minute
)

// LoadLevel says how loaded an endpoint was when it got an attempt.
type LoadLevel string

// The load levels, in sorted order.
const (
	// LoadFull means that attempts wait for a slot.
	LoadFull LoadLevel = "full"
	// LoadHigh means that at least half of the slots are taken.
	LoadHigh LoadLevel = "high"
	// LoadLow means that less than half of the slots are taken.
	LoadLow LoadLevel = "low"
)

// LoadLevels are all load levels.
var LoadLevels = []LoadLevel{LoadFull, LoadHigh, LoadLow}

func levelOf(load float64) LoadLevel {
	switch {
	case load >= 1:
		return LoadFull
	case load >= 0.5: //nolint:mnd // It is the definition of the level.
		return LoadHigh
	default:
		return LoadLow
	}
}

// Cell is the evidence about one unit, which is a failure domain or an
// endpoint, by one metric on one route at one load level.
type Cell struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Load   LoadLevel
	Logs   Logs
	Metric Metric
	Route  string
	Unit   string
}

// Evidence is what was gathered about a move since the evidence before.
type Evidence struct {
	Cells []Cell `msgpack:"c"`
	// Done says that the move was done, so that the new version was compared
	// with what the old one had shown before.
	Done bool `msgpack:"d"`
	Move Key  `msgpack:"k"`
	// New and Old are the numbers of attempts that ended.
	New int `msgpack:"n"`
	Old int `msgpack:"o"`
}

// stratum is what attempts must have in common to be compared. Failures and
// times are compared in blocks of their own. So are first attempts and others:
// the others avoid the endpoint that failed before, and retries go to the old
// version.
type stratum struct {
	again bool
	load  LoadLevel
	route string
	times bool
}

// watched is what a recorder holds of one move.
type watched struct {
	begun     map[string]*[2]int
	blocks    map[stratum]*block
	evidence  Evidence
	reference map[stratum]*reference
}

// Recorder turns what the attempts of one entry show into evidence. It is safe
// for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	moves map[Key]*watched
}

// NewRecorder returns a recorder without evidence.
func NewRecorder() *Recorder {
	return &Recorder{moves: map[Key]*watched{}}
}

// Began notes that a first attempt was given to a version.
func (r *Recorder) Began(t Traffic, route, version string) {
	side, ok := sideOf(t, version)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.watch(t.move)
	if w.begun[route] == nil {
		w.begun[route] = &[2]int{}
	}
	w.begun[route][side]++
}

// Observe takes over what an attempt showed. The unit is where the attempt ran:
// its failure domain if the new version runs in several, else its endpoint.
func (r *Recorder) Observe(now time.Time, t Traffic, o savorypin.Observation, unit string) {
	side, ok := sideOf(t, o.Version)
	if !ok || !counts(o) {
		return
	}
	s := sample{at: now, between: o.BetweenTokens, failed: o.Err != nil, first: o.FirstToken, unit: unit}
	at := stratum{again: o.Purpose != savorypin.PurposeFirst, load: levelOf(o.Load), route: o.Route}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.watch(t.move)
	if t.state == savorypin.MoveDone {
		w.observeDone(side, at, s)
		return
	}
	if side == sideOld {
		w.evidence.Old++
		w.refer(at).add(s)
	} else {
		w.evidence.New++
	}
	w.observe(at, side, s)
	at.times = true
	w.observe(at, side, s)
}

// observe adds an attempt to its block and compares the block if it is large.
func (w *watched) observe(at stratum, side int, s sample) {
	b := w.blocks[at]
	if b == nil {
		b = &block{begun: w.begunOn(at.route), opened: s.at}
		w.blocks[at] = b
	}
	b.samples[side] = append(b.samples[side], s)
	if b.size() < blockSize || !b.comparable() {
		return
	}
	if before, after := b.balance(); !at.times || before <= after {
		w.close(at, b)
	}
}

// Flush returns the evidence gathered since the last flush, and forgets moves
// for which keep reports false.
func (r *Recorder) Flush(now time.Time, keep func(Key) bool) []Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	var flushed []Evidence
	for key, w := range r.moves {
		if !keep(key) {
			delete(r.moves, key)
			continue
		}
		w.closeAged(now)
		if w.evidence.New+w.evidence.Old == 0 {
			continue
		}
		w.evidence.Move = key
		flushed = append(flushed, w.evidence)
		w.evidence = Evidence{}
	}
	return flushed
}

// watch returns what is held of a move. The caller holds r.mu.
func (r *Recorder) watch(key Key) *watched {
	w, ok := r.moves[key]
	if !ok {
		w = &watched{
			begun:     map[string]*[2]int{},
			blocks:    map[stratum]*block{},
			reference: map[stratum]*reference{},
		}
		r.moves[key] = w
	}
	return w
}

func (w *watched) begunOn(route string) [2]int {
	if begun := w.begun[route]; begun != nil {
		return *begun
	}
	return [2]int{}
}

func (w *watched) closeAged(now time.Time) {
	for at, b := range w.blocks {
		b.trim(now.Add(-sampleExpiry))
		switch {
		case b.size() == 0:
			delete(w.blocks, at)
		case !b.comparable():
		case at.times && now.Sub(b.samples[sideNew][0].at) >= levelWait:
			b.level()
			w.close(at, b)
		case !at.times && now.Sub(b.opened) >= blockAge:
			w.close(at, b)
		}
	}
}

// close compares the versions in a block and adds the result to the evidence.
func (w *watched) close(at stratum, b *block) {
	delete(w.blocks, at)
	begun := w.begunSince(at, b)
	for _, g := range b.groups() {
		if len(g.old) == 0 {
			continue
		}
		scaled := [2]int{
			scale(begun[sideOld], len(g.old), len(b.samples[sideOld])),
			scale(begun[sideNew], len(g.new), len(b.samples[sideNew])),
		}
		for _, metric := range metricsOf(at) {
			if logs, ok := g.compare(metric, scaled); ok {
				w.add(at, g.unit, metric, logs)
			}
		}
	}
}

func metricsOf(at stratum) []Metric {
	if at.times {
		return []Metric{MetricBetween, MetricFirst}
	}
	return []Metric{MetricError}
}

// begunSince returns how many attempts of each version began since a block was
// opened, as the block's part of its route.
func (w *watched) begunSince(at stratum, b *block) [2]int {
	if at.again {
		return [2]int{}
	}
	begun := w.begunOn(at.route)
	for side := range begun {
		all := len(b.samples[side])
		for other, open := range w.blocks {
			if other.route == at.route && other.times == at.times && !other.again {
				all += len(open.samples[side])
			}
		}
		begun[side] = scale(begun[side]-b.begun[side], len(b.samples[side]), all)
	}
	return begun
}

// scale returns n·part/whole, rounded up.
func scale(n, part, whole int) int {
	if whole == 0 {
		return 0
	}
	return (n*part + whole - 1) / whole
}

func (w *watched) add(at stratum, unit string, metric Metric, logs Logs) {
	i := slices.IndexFunc(w.evidence.Cells, func(c Cell) bool {
		return c.Load == at.load && c.Metric == metric && c.Route == at.route && c.Unit == unit
	})
	if i < 0 {
		i = len(w.evidence.Cells)
		w.evidence.Cells = append(w.evidence.Cells, Cell{Load: at.load, Metric: metric, Route: at.route, Unit: unit})
	}
	w.evidence.Cells[i].Logs.add(logs)
}

func sideOf(t Traffic, version string) (int, bool) {
	switch {
	case t.to == "" || version == "":
		return 0, false
	case version == t.to:
		return sideNew, true
	case version == t.from:
		return sideOld, true
	default:
		return 0, false
	}
}

// counts reports whether an attempt tells about a version. A caller that gave
// up and an organisation over its limit do not, and an agent that could not be
// reached tells about its host or link.
func counts(o savorypin.Observation) bool {
	if o.Err == nil {
		return true
	}
	if errors.Is(o.Err, context.Canceled) {
		return false
	}
	if errors.Is(o.Err, context.DeadlineExceeded) {
		return true
	}
	switch savorypin.KindOf(o.Err) {
	case savorypin.KindIncomplete, savorypin.KindNotRun:
		return true
	default:
		return false
	}
}
