package savorypinretry

import (
	"sync"
	"time"
)

// QuantileConfig configures a Quantile.
type QuantileConfig struct {
	// Fraction is the quantile to estimate, between 0 and 1.
	Fraction float64
	// Initial is the estimate before the first duration.
	Initial time.Duration
	// Max and Min limit the estimate.
	Max, Min time.Duration
}

// Quantile estimates a quantile of durations in constant memory. Each longer duration
// raises the estimate by a fraction of itself and each shorter one lowers it; the steps
// balance at the quantile (Robbins and Monro, "A Stochastic Approximation Method",
// 1951). It is safe for concurrent use.
type Quantile struct {
	cfg QuantileConfig

	mu       sync.Mutex
	estimate float64
}

// NewQuantile returns an estimator without observations.
func NewQuantile(cfg QuantileConfig) *Quantile {
	return &Quantile{cfg: cfg, estimate: float64(cfg.Initial)}
}

// Estimate returns the current estimate.
func (q *Quantile) Estimate() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.estimate)
}

// Observe updates the estimate with a duration.
func (q *Quantile) Observe(d time.Duration) {
	const step = 0.05
	q.mu.Lock()
	defer q.mu.Unlock()
	if float64(d) > q.estimate {
		q.estimate *= 1 + step*q.cfg.Fraction
	} else {
		q.estimate *= 1 - step*(1-q.cfg.Fraction)
	}
	q.estimate = max(float64(q.cfg.Min), min(float64(q.cfg.Max), q.estimate))
}
