package savorypinlimit

import (
	"math"
	"sync/atomic"
	"time"
)

// bucketBurst is the time over which an unused bucket accumulates its rate.
const bucketBurst = time.Second

// bucket is a token bucket without a lock, after the generic cell rate
// algorithm of ITU-T I.371: it stores the time at which its level was or will
// be zero. The level may become negative, so that a request can begin before
// its exact cost is known.
type bucket struct {
	emptyAt atomic.Int64
	rate    atomic.Uint64
}

// setRate changes the rate, in units per second. It keeps the level in units, even
// if negative, unless the old or the new rate is zero: then it fills the bucket.
func (b *bucket) setRate(rate float64, now time.Time) {
	old := math.Float64frombits(b.rate.Swap(math.Float64bits(rate)))
	if old == rate {
		return
	}
	if old == 0 || rate == 0 {
		b.emptyAt.Store(now.Add(-bucketBurst).UnixNano())
		return
	}
	for {
		emptyAt := b.emptyAt.Load()
		level := min(float64(now.UnixNano()-emptyAt), float64(bucketBurst))
		if b.emptyAt.CompareAndSwap(emptyAt, now.UnixNano()-int64(level*old/rate)) {
			return
		}
	}
}

// take takes n units if the level is positive. Otherwise it returns the time
// until the level is positive.
func (b *bucket) take(n float64, now time.Time) (wait time.Duration, ok bool) {
	cost := b.duration(n)
	full := now.Add(-bucketBurst).UnixNano()
	for {
		emptyAt := b.emptyAt.Load()
		if emptyAt >= now.UnixNano() {
			return time.Duration(emptyAt - now.UnixNano() + 1), false
		}
		if b.emptyAt.CompareAndSwap(emptyAt, max(emptyAt, full)+cost) {
			return 0, true
		}
	}
}

// correct takes n units regardless of the level; a negative n refunds units.
func (b *bucket) correct(n float64) {
	b.emptyAt.Add(b.duration(n))
}

// duration returns the time in which n units accumulate, in nanoseconds, or 0
// without a rate.
func (b *bucket) duration(n float64) int64 {
	rate := math.Float64frombits(b.rate.Load())
	if rate <= 0 {
		return 0
	}
	return int64(n / rate * float64(time.Second))
}
