package savorypinpick

import (
	"math"
	"math/rand/v2"

	"savorypin/internal/savorypinfleet"
)

// Settings of the choice of a generator.
const (
	// generatorRuns is how many runs are gathered at one engine.
	generatorRuns = 4
	// gatherTokens is what each of them weighs in favour of an engine.
	gatherTokens = 1000
	// generatorRisk is what a certain failure weighs, as part of the prompt.
	generatorRisk = 0.5
)

// ChooseGenerator returns the engine that goes on with a run whose prompt was
// read at reader: one that reads no prompts and already generates for others, so
// that the rest stay free for prompts. It returns nil if the run should stay.
func (p *Picker) ChooseGenerator(reader *savorypinfleet.Endpoint, q Query) *savorypinfleet.Endpoint {
	now := p.cfg.Now()
	risks := p.risks(q, now)
	candidates := make([]scored, 0, len(q.Candidates))
	best := math.Inf(1)
	for _, e := range q.Candidates {
		if (q.Excluded[e.ID()] && e.ID() != reader.ID()) || p.suspect(e, now) {
			continue
		}
		l := p.load(e)
		running := l.running.Load() + l.othersRunning.Load()
		if e.ID() == reader.ID() {
			running--
		}
		s := float64(l.waiting.Load()+l.othersWaiting.Load()) + generatorRisk*risks[e.Domain()]*float64(q.PromptTokens)
		if running < generatorRuns {
			s -= float64(running) * gatherTokens
		}
		if p.cfg.Regions[e.Domain()] != p.cfg.Region {
			s += farPenaltyTokens
		}
		best = min(best, s)
		candidates = append(candidates, scored{endpoint: e, score: s})
	}
	chosen := pickEqual(candidates, best, rand.Uint64())
	if chosen == nil || chosen.ID() == reader.ID() {
		return nil
	}
	return chosen
}
