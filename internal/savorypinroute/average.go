package savorypinroute

import (
	"math"
	"sync/atomic"
	"time"
)

// average is an exponentially weighted moving average. Its zero value holds no
// sample.
type average struct {
	bits atomic.Uint64
}

// add takes over a positive sample with a weight.
func (a *average) add(sample, weight float64) {
	for {
		old := a.bits.Load()
		next := sample
		if old != 0 {
			next = (1-weight)*math.Float64frombits(old) + weight*sample
		}
		if a.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

func (a *average) value() float64 {
	return math.Float64frombits(a.bits.Load())
}

// fading is a moving average that halves with time, so that what was learned
// of an endpoint is forgotten while it gets no work.
type fading struct {
	sample atomic.Pointer[fadingSample]
}

type fadingSample struct {
	at    time.Time
	value float64
}

func (f *fading) add(now time.Time, sample, weight float64) {
	value := (1-weight)*f.value(now) + weight*sample
	f.sample.Store(&fadingSample{at: now, value: value})
}

func (f *fading) value(now time.Time) float64 {
	s := f.sample.Load()
	if s == nil {
		return 0
	}
	return s.value * math.Exp2(-float64(now.Sub(s.at))/float64(fadeHalfLife))
}
