package savorypinentry

import (
	"context"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypincontroller"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinmove"
)

// evidenceInterval is how often collected evidence is sent to the evaluators.
const evidenceInterval = time.Second

// moves is the entry's part in moves of traffic: it sends the configured share of new
// work to the new version and collects evidence on it.
type moves struct {
	controller *savorypincontroller.Moves
	rand       func() float64
	recorder   *savorypinmove.Recorder

	mu       sync.Mutex
	samplers map[string]*savorypinmove.RequestSampler
}

func newMoves(daemon *savorypindaemon.Daemon, placement *savorypincontroller.Placement, random func() float64) *moves {
	m := &moves{
		controller: savorypincontroller.RegisterMoves(savorypincontroller.MovesConfig{
			Daemon:    daemon,
			Placement: placement,
			Rand:      random,
		}),
		rand:     random,
		recorder: savorypinmove.NewRecorder(),
		samplers: map[string]*savorypinmove.RequestSampler{},
	}
	daemon.Background(m.reportLoop)
	return m
}

// chooseVersion returns the version for work that has not delivered any token yet.
func (m *moves) chooseVersion(gen savorypin.Generation, purpose savorypin.Purpose) string {
	t := m.controller.Traffic(gen.Service)
	version := t.Current()
	if t.Moving() && m.useNewVersion(t, gen.Service, purpose) {
		version = t.To()
	}
	if purpose == savorypin.PurposeFirst {
		m.recorder.RecordStart(t, gen.Route, version)
	}
	return version
}

// useNewVersion reports whether a piece of work goes to the new version, and if so
// counts it towards the share of that version. Work that has already failed once goes
// to the old version if that is served, since its result says little about the new
// one. If the old version is not served, only the share goes to the new one and the
// rest is refused: a version under evaluation must not get all traffic just because it
// is available.
func (m *moves) useNewVersion(t savorypinmove.Traffic, service string, purpose savorypin.Purpose) bool {
	if !m.controller.Serves(t.To()) {
		return false
	}
	if purpose != savorypin.PurposeFirst && m.controller.Serves(t.From()) {
		return false
	}
	return m.sampler(service).Sample(t.Move(), t.Share())
}

// observe records the result of an attempt as evidence for the move. An answer that
// the new version began can only be resumed on it, so the resume is charged to its
// share.
func (m *moves) observe(o savorypin.Observation) {
	t := m.controller.Traffic(o.Service)
	if t.To() == "" {
		return
	}
	if t.Moving() && o.Purpose == savorypin.PurposeResume && o.Version == t.To() {
		m.sampler(o.Service).Charge(t.Move())
	}
	m.recorder.Observe(time.Now(), t, o, m.controller.UnitOf(o, t.To()))
}

func (m *moves) sampler(service string) *savorypinmove.RequestSampler {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.samplers[service]
	if !ok {
		s = &savorypinmove.RequestSampler{Rand: m.rand}
		m.samplers[service] = s
	}
	return s
}

func (m *moves) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			m.controller.Report(ctx, m.recorder.Flush(now, m.controller.Watched))
		case <-ctx.Done():
			return
		}
	}
}
