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

// evidenceInterval is how often evidence is sent to the evaluators.
const evidenceInterval = time.Second

// moves is the entry's part in moves of traffic: it holds the share of each
// move over all work and gathers evidence on it.
type moves struct {
	controller *savorypincontroller.Moves
	rand       func() float64
	recorder   *savorypinmove.Recorder

	mu      sync.Mutex
	sharers map[string]*savorypinmove.Sharer
}

func newMoves(daemon *savorypindaemon.Daemon, placement *savorypincontroller.Placement, random func() float64) *moves {
	m := &moves{
		controller: savorypincontroller.StartMoves(savorypincontroller.MovesConfig{
			Daemon:    daemon,
			Placement: placement,
			Rand:      random,
		}),
		rand:     random,
		recorder: savorypinmove.NewRecorder(),
		sharers:  map[string]*savorypinmove.Sharer{},
	}
	daemon.Background(m.reportLoop)
	return m
}

// choose returns the version for work that has delivered nothing.
func (m *moves) choose(gen savorypin.Generation, purpose savorypin.Purpose) string {
	t := m.controller.Traffic(gen.Service)
	version := t.Current()
	if t.Moving() && m.goesToNew(t, gen.Service, purpose) {
		version = t.To()
	}
	if purpose == savorypin.PurposeFirst {
		m.recorder.Began(t, gen.Route, version)
	}
	return version
}

// goesToNew reports whether a piece of work counts towards the new version's
// share. Work that failed once is no trial of the new version while the old one
// can take it. If the old one can't, only the share goes to the new one, and the
// rest is refused: a version on trial must not get all work just because it
// stands by.
func (m *moves) goesToNew(t savorypinmove.Traffic, service string, purpose savorypin.Purpose) bool {
	if !m.controller.Serves(t.To()) {
		return false
	}
	if purpose != savorypin.PurposeFirst && m.controller.Serves(t.From()) {
		return false
	}
	return m.sharer(service).Take(t.Move(), t.Share())
}

// observe takes note of what an attempt showed of a version. The resume of an
// answer that the new version began can only go to it, and is charged to its
// share.
func (m *moves) observe(o savorypin.Observation) {
	t := m.controller.Traffic(o.Service)
	if t.To() == "" {
		return
	}
	if t.Moving() && o.Purpose == savorypin.PurposeResume && o.Version == t.To() {
		m.sharer(o.Service).Charge(t.Move())
	}
	m.recorder.Observe(time.Now(), t, o, m.controller.UnitOf(o, t.To()))
}

func (m *moves) sharer(service string) *savorypinmove.Sharer {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.sharers[service]
	if !ok {
		s = &savorypinmove.Sharer{Rand: m.rand}
		m.sharers[service] = s
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
