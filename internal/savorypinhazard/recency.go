package savorypinhazard

import "slices"

// lastFailedWeight is the prior weight of the domain that failed last, relative to that
// of any other domain.
const lastFailedWeight = 0.5

// recencyPredictor predicts the next domain from the order in which the domains failed
// last; it learns, for example, that the next one is always the one that failed longest
// ago.
type recencyPredictor struct {
	// failed are the domains that have failed, the most recent one last.
	failed []string
	// neverFailed are the domains that have not failed; they are equally likely to be
	// next.
	neverFailed []string
	// rankCounts counts the failures by the rank that the domain had before the failure:
	// rank 0 failed longest ago. The first failure of a domain counts for rank 0.
	rankCounts []float64
}

func newRecencyPredictor(domains []string) predictor {
	r := &recencyPredictor{neverFailed: slices.Clone(domains), rankCounts: make([]float64, len(domains))}
	return predictor{observe: r.observe, probability: r.probability}
}

func (r *recencyPredictor) observe(domain string) {
	if len(r.failed) > 0 {
		r.rankCounts[r.rank(domain)]++
	}
	same := func(d string) bool { return d == domain }
	r.neverFailed = slices.DeleteFunc(r.neverFailed, same)
	r.failed = append(slices.DeleteFunc(r.failed, same), domain)
}

// rank returns the number of domains that have failed longer ago or never, or 0 for a
// domain that has never failed.
func (r *recencyPredictor) rank(domain string) int {
	if i := slices.Index(r.failed, domain); i >= 0 {
		return len(r.neverFailed) + i
	}
	return 0
}

func (r *recencyPredictor) probability(domain string) float64 {
	weights := slices.Clone(r.rankCounts)
	sum := 0.0
	for i := range weights {
		weights[i]++
		if i == len(weights)-1 {
			weights[i] -= 1 - lastFailedWeight
		}
		sum += weights[i]
	}
	if slices.Contains(r.failed, domain) {
		return weights[r.rank(domain)] / sum
	}
	// Domains that have never failed share the weight of their ranks equally.
	total := 0.0
	for i := range r.neverFailed {
		total += weights[i]
	}
	return total / float64(len(r.neverFailed)) / sum
}
