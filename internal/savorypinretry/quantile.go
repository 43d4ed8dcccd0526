package savorypinretry

import (
	"sync"
	"time"
)

// QuantileConfig configures a Quantile.
type QuantileConfig struct {
	// Fraction is the fraction of the durations below the estimate, 0 to 1.
	Fraction float64
	// Initial is the estimate before any duration was seen.
	Initial time.Duration
	// Max and Min bound the estimate.
	Max, Min time.Duration
}

// Quantile estimates a quantile of durations in constant memory. It steps up
// by a part of itself when a duration is longer and down when one is shorter;
// the steps balance at the quantile (Robbins and Monro, "A Stochastic
// Approximation Method", 1951). It is safe for concurrent use.
type Quantile struct {
	cfg QuantileConfig

	mu       sync.Mutex
	estimate float64
}

// NewQuantile returns an estimator that has seen nothing.
func NewQuantile(cfg QuantileConfig) *Quantile {
	return &Quantile{cfg: cfg, estimate: float64(cfg.Initial)}
}

// Estimate returns the estimate.
func (q *Quantile) Estimate() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.estimate)
}

// Observe takes note of a duration.
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
