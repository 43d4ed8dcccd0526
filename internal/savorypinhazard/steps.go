package savorypinhazard

import "slices"

// stepPredictor predicts the next domain from the distances, in the deployment's list,
// between consecutive failures. Maintenance that takes the domains one by one mostly
// follows the order of the list.
type stepPredictor struct {
	counts  []float64
	domains []string
	// lastIndex is the index of the domain that failed last; negative for none.
	lastIndex int
	total     float64
}

func newStepPredictor(domains []string) predictor {
	s := &stepPredictor{counts: make([]float64, len(domains)), domains: domains, lastIndex: -1}
	return predictor{observe: s.observe, probability: s.probability}
}

func (s *stepPredictor) observe(domain string) {
	if s.lastIndex >= 0 {
		s.counts[s.step(domain)]++
		s.total++
	}
	s.lastIndex = slices.Index(s.domains, domain)
}

// step returns the distance in the list, modulo its length, from the domain that failed
// last to the given one.
func (s *stepPredictor) step(domain string) int {
	n := len(s.domains)
	return (slices.Index(s.domains, domain) - s.lastIndex + n) % n
}

// probability returns the mean of a Dirichlet distribution whose prior has the weight
// of one failure.
func (s *stepPredictor) probability(domain string) float64 {
	prior := 1 / float64(len(s.domains))
	if s.lastIndex < 0 {
		return prior
	}
	return (s.counts[s.step(domain)] + prior) / (s.total + 1)
}
