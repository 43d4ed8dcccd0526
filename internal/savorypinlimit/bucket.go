package savorypinlimit

import (
	"math"
	"sync/atomic"
	"time"
)

// bucketBurst is how much of its rate a bucket saves up.
const bucketBurst = time.Second

// bucket is a token bucket without a lock, after the generic cell rate
// algorithm of ITU-T I.371: it holds the time at which it was or will be
// empty. A taker may leave a debt, so that the cost need not be known before.
type bucket struct {
	emptyAt atomic.Int64
	rate    atomic.Uint64
}

// setRate changes the rate, in units a second. What the bucket holds or owes
// stays the same in units.
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

// take takes n units if the bucket holds any, or returns the time until it
// does.
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

// correct takes n units, whatever the bucket holds; a negative n gives back.
func (b *bucket) correct(n float64) {
	b.emptyAt.Add(b.duration(n))
}

func (b *bucket) duration(n float64) int64 {
	rate := math.Float64frombits(b.rate.Load())
	if rate <= 0 {
		return 0
	}
	return int64(n / rate * float64(time.Second))
}
