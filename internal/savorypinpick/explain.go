package savorypinpick

import (
	"savorypin/internal/savorypinfleet"
)

// TermName names a part of an endpoint's score.
type TermName string

// The terms of scores: those for streams are in tokens, those for plain requests in nanoseconds.
const (
	TermCachedPrompt        TermName = "cached prompt"
	TermFailureRate         TermName = "failure rate"
	TermFailureRisk         TermName = "failure risk"
	TermLatency             TermName = "latency"
	TermOvercommittedMemory TermName = "overcommitted memory"
	TermQueue               TermName = "queue"
	TermRegion              TermName = "region"
	TermRunningRequests     TermName = "running requests"
	TermSuspicion           TermName = "suspicion"
	TermWaitingTokens       TermName = "waiting tokens"
)

// Term is a part of an endpoint's score.
type Term struct {
	Name  TermName
	Score float64
}

// named returns the terms with their names.
func (t streamTerms) named() []Term {
	return []Term{
		{TermWaitingTokens, t.waitingTokens},
		{TermRunningRequests, t.runningRequests},
		{TermFailureRisk, t.failureRisk},
		{TermOvercommittedMemory, t.overcommittedMemory},
		{TermRegion, t.region},
		{TermCachedPrompt, t.cachedPrompt},
		{TermSuspicion, t.suspicion},
	}
}

// named returns the terms with their names.
func (t plainTerms) named() []Term {
	return []Term{
		{TermLatency, t.latency},
		{TermQueue, t.queue},
		{TermFailureRate, t.failureRate},
		{TermRegion, t.region},
		{TermSuspicion, t.suspicion},
	}
}

// Comparison is an endpoint that was scored for a request.
type Comparison struct {
	Endpoint *savorypinfleet.Endpoint
	// ReservedTokens is the KV memory that is reserved at the endpoint, over all gateways.
	ReservedTokens int
	// Score is the sum of the terms; lower is better.
	Score float64
	// isPlain says that the request is a plain one. Then plain is set, otherwise stream.
	isPlain bool
	plain   plainTerms
	stream  streamTerms
}

// Terms returns the terms of the score.
func (c Comparison) Terms() []Term {
	if c.isPlain {
		return c.plain.named()
	}
	return c.stream.named()
}

// Explanation says how Choose selects an endpoint.
type Explanation struct {
	// Chosen is the endpoint that was selected; nil if there is none.
	Chosen *savorypinfleet.Endpoint
	// Compared are the endpoints that were scored, in the order in which they were.
	Compared []Comparison
	// Margin is the score difference up to which endpoints count as equal: of those of a stream the
	// first one compared is selected.
	Margin float64
	// RandomSample is set if the compared endpoints are a random sample, as the prompt is unknown.
	RandomSample bool
	// Tied are the endpoints among which Chosen was drawn; empty if it was the only one.
	Tied []*savorypinfleet.Endpoint
}

// Explain selects an endpoint as Choose does and returns the scores by which it does so. It
// changes nothing.
func (p *Picker) Explain(q Query) Explanation {
	if q.Plain {
		return p.explainPlain(q)
	}
	s, r := p.newStreamScorer(q), newScoreRecorder(q)
	x := Explanation{Chosen: s.choose(func(e *savorypinfleet.Endpoint) float64 {
		t := s.terms(e)
		return r.record(Comparison{Endpoint: e, ReservedTokens: p.ReservedTokens(e), Score: t.sum(), stream: t})
	})}
	x.Compared, x.Margin = r.compared, scoreMarginTokens
	x.RandomSample = q.PromptID == "" && len(x.Compared) < len(q.allowed(q.Candidates))
	return x
}

func (p *Picker) explainPlain(q Query) Explanation {
	now, r := p.cfg.Now(), newScoreRecorder(q)
	best := q.bestPlain(func(e *savorypinfleet.Endpoint) float64 {
		t := p.plainTerms(e, now)
		return r.record(Comparison{Endpoint: e, Score: t.sum(), plain: t, isPlain: true})
	})
	x := Explanation{Chosen: randomEndpoint(best), Compared: r.compared}
	if len(best) > 1 {
		x.Tied = best
	}
	return x
}

// scoreRecorder records the endpoints that are scored.
type scoreRecorder struct {
	compared []Comparison
	// indexes are the indexes of endpoints in compared: some are scored twice.
	indexes map[*savorypinfleet.Endpoint]int
}

func newScoreRecorder(q Query) *scoreRecorder {
	n := len(q.Candidates)
	return &scoreRecorder{compared: make([]Comparison, 0, n), indexes: make(map[*savorypinfleet.Endpoint]int, n)}
}

// record records an endpoint, or replaces its record if it was scored before, and returns its score.
func (r *scoreRecorder) record(c Comparison) float64 {
	if i, ok := r.indexes[c.Endpoint]; ok {
		r.compared[i] = c
		return c.Score
	}
	r.indexes[c.Endpoint] = len(r.compared)
	r.compared = append(r.compared, c)
	return c.Score
}
