package savorypinhazard

import "slices"

// stepPredictor predicts the next domain from the distances, in the deployment's list,
// between consecutive failures. Maintenance that takes down one domain after the other
// mostly follows the order of the list.
type stepPredictor struct {
	stepCounts []float64
	domains    []string
	// lastIndex is the index of the domain that failed last; negative for none.
	lastIndex  int
	totalSteps float64
}

func newStepPredictor(domains []string) predictor {
	s := &stepPredictor{stepCounts: make([]float64, len(domains)), domains: domains, lastIndex: -1}
	return predictor{observe: s.observe, probability: s.probability}
}

func (s *stepPredictor) observe(domain string) {
	if s.lastIndex >= 0 {
		s.stepCounts[s.step(domain)]++
		s.totalSteps++
	}
	s.lastIndex = slices.Index(s.domains, domain)
}

// step returns the distance in the list, modulo its length, from the domain that failed
// last to the given one.
func (s *stepPredictor) step(domain string) int {
	n := len(s.domains)
	return (slices.Index(s.domains, domain) - s.lastIndex + n) % n
}

// probability returns the posterior mean under a uniform Dirichlet prior that has the
// weight of one failure.
func (s *stepPredictor) probability(domain string) float64 {
	prior := 1 / float64(len(s.domains))
	if s.lastIndex < 0 {
		return prior
	}
	return (s.stepCounts[s.step(domain)] + prior) / (s.totalSteps + 1)
}
