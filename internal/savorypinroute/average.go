package savorypinroute

import (
	"math"
	"sync/atomic"
	"time"
)

// average is an exponentially weighted moving average. Its zero value has no
// samples.
type average struct {
	bits atomic.Uint64
}

// add adds a sample with a weight. The sample must be positive, as zero marks an
// average without samples. The first sample becomes the average.
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

// decayingAverage is a moving average that decays to zero with decayHalfLife, so
// that old samples of an endpoint lose their weight while it gets no requests.
type decayingAverage struct {
	sample atomic.Pointer[decayingSample]
}

type decayingSample struct {
	at    time.Time
	value float64
}

func (a *decayingAverage) add(now time.Time, sample, weight float64) {
	value := (1-weight)*a.value(now) + weight*sample
	a.sample.Store(&decayingSample{at: now, value: value})
}

func (a *decayingAverage) value(now time.Time) float64 {
	s := a.sample.Load()
	if s == nil {
		return 0
	}
	return s.value * math.Exp2(-float64(now.Sub(s.at))/float64(decayHalfLife))
}
