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
	// maxBlockAge is the age at which a block of failures is compared even if it is not
	// full.
	maxBlockAge = 3 * time.Second
	// fullBlockSize is the number of attempts at which a block is full and compared.
	fullBlockSize = 32
	// oldSampleWait is how long after the end of the new version's first attempt a block
	// of latencies waits for later attempts of the old version.
	oldSampleWait = 10 * time.Second
	// maxSamplesPerVersion bounds the attempts of one version in a block.
	maxSamplesPerVersion = 512
	// sampleExpiry is the age after which an attempt is dropped, as it is too old to
	// be compared with new ones.
	sampleExpiry = 2 * time.Minute
)

// LoadLevel is the load of an endpoint when an attempt was sent to it.
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

// LoadLevels lists all load levels.
var LoadLevels = []LoadLevel{LoadFull, LoadHigh, LoadLow}

func loadLevelOf(load float64) LoadLevel {
	switch {
	case load >= 1:
		return LoadFull
	case load >= 0.5: //nolint:mnd // It is the definition of the level.
		return LoadHigh
	default:
		return LoadLow
	}
}

// Cell is the evidence by one metric for one unit (a failure domain or an endpoint),
// one route and one load level.
type Cell struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Load   LoadLevel
	Logs   LogRatios
	Metric Metric
	Route  string
	Unit   string
}

// Evidence is the evidence on a move that one entry collected since its last flush.
type Evidence struct {
	Cells []Cell `msgpack:"c"`
	// Done is set if the move was done, so that the new version was compared with
	// earlier attempts on the old one.
	Done bool `msgpack:"d"`
	Move Key  `msgpack:"k"`
	// New and Old are the numbers of attempts that ended.
	New int `msgpack:"n"`
	Old int `msgpack:"o"`
}

// stratum is what attempts must have in common to be compared. Failures and latencies
// are compared in separate blocks, and so are first and later attempts: later attempts
// avoid the endpoint that failed before, and retries go to the old version.
type stratum struct {
	later   bool
	load    LoadLevel
	route   string
	latency bool
}

// moveRecord is a recorder's state of one move.
type moveRecord struct {
	// begun holds the numbers of first attempts that began, by route and version.
	begun  map[string]*[2]int
	blocks map[stratum]*block
	// evidence is the evidence since the last flush.
	evidence   Evidence
	references map[stratum]*reference
}

// Recorder collects the results of one entry's attempts and turns them into evidence.
// It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	moves map[Key]*moveRecord
}

// NewRecorder returns a recorder without evidence.
func NewRecorder() *Recorder {
	return &Recorder{moves: map[Key]*moveRecord{}}
}

// RecordStart counts a first attempt that was sent to a version.
func (r *Recorder) RecordStart(t Traffic, route, version string) {
	side, ok := sideOf(t, version)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.recordFor(t.move)
	if m.begun[route] == nil {
		m.begun[route] = &[2]int{}
	}
	m.begun[route][side]++
}

// Observe records the result of an attempt. The unit is where the attempt ran: its
// failure domain if the new version runs in several, else its endpoint.
func (r *Recorder) Observe(now time.Time, t Traffic, o savorypin.Observation, unit string) {
	side, ok := sideOf(t, o.Version)
	if !ok || !isEvidence(o) {
		return
	}
	s := sample{endedAt: now, betweenTokens: o.TokenInterval, failed: o.Err != nil, firstToken: o.FirstToken, unit: unit}
	st := stratum{later: o.Purpose != savorypin.PurposeFirst, load: loadLevelOf(o.Load), route: o.Route}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.recordFor(t.move)
	if t.state == savorypin.MoveDone {
		m.observeDone(side, st, s)
		return
	}
	if side == sideOld {
		m.evidence.Old++
		m.referenceFor(st).add(s)
	} else {
		m.evidence.New++
	}
	m.observe(st, side, s)
	st.latency = true
	m.observe(st, side, s)
}

// observe adds an attempt to its block and compares the block if it is full. A block of
// latencies also waits until at least as many of the old version's attempts ended
// after the new version's as before.
func (m *moveRecord) observe(st stratum, side int, s sample) {
	b := m.blocks[st]
	if b == nil {
		b = &block{begunAtOpen: m.begunOnRoute(st.route), openedAt: s.endedAt}
		m.blocks[st] = b
	}
	b.samples[side] = append(b.samples[side], s)
	if b.size() < fullBlockSize || !b.comparable() {
		return
	}
	if before, after := b.oldSamplesAround(); !st.latency || before <= after {
		m.compareBlock(st, b)
	}
}

// Flush returns the evidence collected since the last flush, and drops the moves for
// which keep returns false.
func (r *Recorder) Flush(now time.Time, keep func(Key) bool) []Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	var flushed []Evidence
	for key, m := range r.moves {
		if !keep(key) {
			delete(r.moves, key)
			continue
		}
		m.compareDueBlocks(now)
		if m.evidence.New+m.evidence.Old == 0 {
			continue
		}
		m.evidence.Move = key
		flushed = append(flushed, m.evidence)
		m.evidence = Evidence{}
	}
	return flushed
}

// recordFor returns the record of a move, which it creates if needed. The caller holds
// r.mu.
func (r *Recorder) recordFor(key Key) *moveRecord {
	m, ok := r.moves[key]
	if !ok {
		m = &moveRecord{
			begun:      map[string]*[2]int{},
			blocks:     map[stratum]*block{},
			references: map[stratum]*reference{},
		}
		r.moves[key] = m
	}
	return m
}

func (m *moveRecord) begunOnRoute(route string) [2]int {
	if begun := m.begun[route]; begun != nil {
		return *begun
	}
	return [2]int{}
}

// compareDueBlocks drops expired attempts and compares the blocks that have waited long
// enough, even if they are not full.
func (m *moveRecord) compareDueBlocks(now time.Time) {
	for st, b := range m.blocks {
		b.trim(now.Add(-sampleExpiry))
		switch {
		case b.size() == 0:
			delete(m.blocks, st)
		case !b.comparable():
		case st.latency && now.Sub(b.samples[sideNew][0].endedAt) >= oldSampleWait:
			b.trimLeadingOld()
			m.compareBlock(st, b)
		case !st.latency && now.Sub(b.openedAt) >= maxBlockAge:
			m.compareBlock(st, b)
		}
	}
}

// compareBlock compares the versions in a block and adds the result to the evidence.
func (m *moveRecord) compareBlock(st stratum, b *block) {
	delete(m.blocks, st)
	begun := m.begunSinceOpen(st, b)
	for _, g := range b.groups() {
		if len(g.old) == 0 {
			continue
		}
		begunInGroup := [2]int{
			scale(begun[sideOld], len(g.old), len(b.samples[sideOld])),
			scale(begun[sideNew], len(g.new), len(b.samples[sideNew])),
		}
		for _, metric := range metricsOf(st) {
			if logs, ok := g.logRatios(metric, begunInGroup); ok {
				m.addCell(st, g.unit, metric, logs)
			}
		}
	}
}

func metricsOf(st stratum) []Metric {
	if st.latency {
		return []Metric{MetricBetween, MetricFirst}
	}
	return []Metric{MetricError}
}

// begunSinceOpen estimates how many attempts of each version began in a block since it
// was opened. Only the counts of the whole route are known; they are divided in
// proportion to the attempts in the route's open blocks. It returns zeros for later
// attempts, since only first attempts are counted when they begin.
func (m *moveRecord) begunSinceOpen(st stratum, b *block) [2]int {
	if st.later {
		return [2]int{}
	}
	begun := m.begunOnRoute(st.route)
	for side := range begun {
		all := len(b.samples[side])
		for other, open := range m.blocks {
			if other.route == st.route && other.latency == st.latency && !other.later {
				all += len(open.samples[side])
			}
		}
		begun[side] = scale(begun[side]-b.begunAtOpen[side], len(b.samples[side]), all)
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

func (m *moveRecord) addCell(st stratum, unit string, metric Metric, logs LogRatios) {
	i := slices.IndexFunc(m.evidence.Cells, func(c Cell) bool {
		return c.Load == st.load && c.Metric == metric && c.Route == st.route && c.Unit == unit
	})
	if i < 0 {
		i = len(m.evidence.Cells)
		m.evidence.Cells = append(m.evidence.Cells, Cell{Load: st.load, Metric: metric, Route: st.route, Unit: unit})
	}
	m.evidence.Cells[i].Logs.add(logs)
}

// sideOf returns the index of a version in arrays of two, and whether the version takes
// part in the move.
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

// isEvidence reports whether the result of an attempt depends on the version: the attempt
// succeeded, timed out, or its endpoint refused or did not finish it. It does not if the
// caller cancelled the request, the organisation is over its limit, or the agent was
// unreachable, which is a fault of its host or link.
func isEvidence(o savorypin.Observation) bool {
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
