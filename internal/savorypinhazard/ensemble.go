package savorypinhazard

import "math"

// predictor estimates which domain fails next.
type predictor struct {
	// observe adds a failure.
	observe func(domain string)
	// probability returns the probability that a domain is the next one to fail.
	probability func(domain string) float64
}

// ensemble estimates which domain fails next by Bayesian model averaging: each
// predictor is weighted by the likelihood that it gave to the failures so far.
type ensemble struct {
	// logLikelihoods are the log-likelihoods of the observed failures, by predictor.
	logLikelihoods []float64
	observed       int
	predictors     []predictor
}

func newEnsemble(domains []string) *ensemble {
	predictors := []predictor{newRecencyPredictor(domains), newStepPredictor(domains)}
	return &ensemble{logLikelihoods: make([]float64, len(predictors)), predictors: predictors}
}

// observe adds a failure. The first one does not change the weights, because it says
// nothing about the order.
func (e *ensemble) observe(domain string) {
	for i, p := range e.predictors {
		if e.observed > 0 {
			e.logLikelihoods[i] += math.Log(p.probability(domain))
		}
		p.observe(domain)
	}
	e.observed++
}

// probability returns the probability that a domain is the next one to fail.
func (e *ensemble) probability(domain string) float64 {
	best := e.logLikelihoods[0]
	for _, l := range e.logLikelihoods {
		best = max(best, l)
	}
	total, sum := 0.0, 0.0
	for i, p := range e.predictors {
		weight := math.Exp(e.logLikelihoods[i] - best)
		total += weight * p.probability(domain)
		sum += weight
	}
	return total / sum
}
