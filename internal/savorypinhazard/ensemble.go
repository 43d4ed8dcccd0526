package savorypinhazard

import "math"

// predictor estimates which domain fails next.
type predictor struct {
	// observe takes note of a failure.
	observe func(domain string)
	// share returns the probability that a domain is the next one to fail.
	share func(domain string) float64
}

// order estimates which domain fails next by several predictors, each weighed by
// how well it has foretold the failures so far (Bayesian model averaging).
type order struct {
	// logs are the logarithms of the likelihood of the failures by predictor.
	logs       []float64
	observed   int
	predictors []predictor
}

func newOrder(domains []string) *order {
	predictors := []predictor{newRecency(domains), newSteps(domains)}
	return &order{logs: make([]float64, len(predictors)), predictors: predictors}
}

// observe takes note of a failure. The first one says nothing of an order.
func (o *order) observe(domain string) {
	for i, p := range o.predictors {
		if o.observed > 0 {
			o.logs[i] += math.Log(p.share(domain))
		}
		p.observe(domain)
	}
	o.observed++
}

// share returns the probability that a domain is the next one to fail.
func (o *order) share(domain string) float64 {
	best := o.logs[0]
	for _, l := range o.logs {
		best = max(best, l)
	}
	total, sum := 0.0, 0.0
	for i, p := range o.predictors {
		weight := math.Exp(o.logs[i] - best)
		total += weight * p.share(domain)
		sum += weight
	}
	return total / sum
}
