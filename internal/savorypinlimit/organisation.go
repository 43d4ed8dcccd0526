package savorypinlimit

import (
	"math"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// Settings of the averages and estimates of an organisation.
const (
	// fallbackWait is the maximum LimitedError.RetryAfter of a request that was
	// refused under the fallback share.
	fallbackWait = time.Second
	// initialTokenRatio is the expected ratio of generated tokens to the maximum
	// that a request asks for, before any request has ended.
	initialTokenRatio = 0.5
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.1
	// intervalWeight is the weight of one exchange interval in a meter's rate.
	intervalWeight = 0.2
)

// meter measures a rate, in units per second.
type meter struct {
	pending atomic.Int64
	rate    atomic.Uint64
}

func (m *meter) add(n int64) {
	m.pending.Add(n)
}

func (m *meter) value() float64 {
	return math.Float64frombits(m.rate.Load())
}

// tick adds the rate of the last interval to the moving average.
func (m *meter) tick(interval time.Duration) {
	rate := float64(m.pending.Swap(0)) / interval.Seconds()
	m.rate.Store(math.Float64bits((1-intervalWeight)*m.value() + intervalWeight*rate))
}

// organisation is the state of an organisation at this entry. Requests use only
// its atomic fields; Limiter.mu guards the others.
type organisation struct {
	admitted              meter
	concurrency           atomic.Int64
	demand                meter
	granted               atomic.Bool
	averageRequestSeconds atomic.Uint64
	name                  string
	overFair              atomic.Bool
	tokenRatio            atomic.Uint64
	requestDemand         meter
	requests              bucket
	running               atomic.Int64
	spec                  atomic.Pointer[savorypin.OrganisationSpec]
	tokens                bucket

	// reportRequested reports whether the owner has requested the usage.
	reportRequested bool
	grant           Amount
	grantUntil      time.Time
	grantedBy       string
	reported        Usage
	reportedAt      time.Time
	// contended reports whether the demand at all entries exceeds the limits, so
	// that the owner needs the usage often.
	contended bool
}

func newOrganisation(name string, spec savorypin.OrganisationSpec) *organisation {
	o := &organisation{name: name}
	o.tokenRatio.Store(math.Float64bits(initialTokenRatio))
	o.spec.Store(&spec)
	return o
}

// estimate returns how many tokens a request is expected to generate.
func (o *organisation) estimate(maxTokens int) int64 {
	ratio := math.Float64frombits(o.tokenRatio.Load())
	return int64(math.Ceil(ratio * float64(maxTokens)))
}

// recordCompletion updates the averages with a request that has ended.
func (o *organisation) recordCompletion(tokens, maxTokens int, took time.Duration) {
	updateAverage(&o.averageRequestSeconds, took.Seconds())
	if maxTokens > 0 {
		updateAverage(&o.tokenRatio, min(1, float64(tokens)/float64(maxTokens)))
	}
}

// updateAverage adds a sample to a moving average. It drops the sample if
// another one is added at the same time.
func updateAverage(average *atomic.Uint64, sample float64) {
	old := average.Load()
	next := (1-sampleWeight)*math.Float64frombits(old) + sampleWeight*sample
	average.CompareAndSwap(old, math.Float64bits(next))
}

// slotWait returns the RetryAfter of a request over the concurrency limit: the
// expected time until a running request ends, at least ExchangeInterval.
func (o *organisation) slotWait() time.Duration {
	seconds := math.Float64frombits(o.averageRequestSeconds.Load())
	wait := time.Duration(seconds / float64(max(1, o.running.Load())) * float64(time.Second))
	return o.retryAfter(max(ExchangeInterval, wait))
}

// retryAfter returns the time after which a refused request can begin, given
// the wait under the current share. The wait under a fallback share is bounded,
// because a grant replaces that share at the next exchange.
func (o *organisation) retryAfter(wait time.Duration) time.Duration {
	if o.granted.Load() {
		return wait
	}
	return min(wait, fallbackWait)
}

func (o *organisation) weight() float64 {
	if w := o.spec.Load().Weight; w > 0 {
		return w
	}
	return 1
}

// usage returns what to report to the owner.
func (o *organisation) usage(now time.Time) Usage {
	running := int(o.running.Load())
	u := Usage{
		Demand: Amount{
			Concurrency: running + 1,
			Requests:    float32(o.requestDemand.value()),
			Tokens:      float32(o.demand.value()),
		},
		Organisation: o.name,
		Running:      running,
	}
	if now.Before(o.grantUntil) {
		// The owner may have changed or restarted and not know the grant.
		grant := o.grant
		u.Grant = &grant
	}
	return u
}

// idle reports whether no request is running and almost none arrive.
func (o *organisation) idle() bool {
	const maxIdleRate = 0.01
	return o.running.Load() == 0 && o.requestDemand.value() < maxIdleRate
}

// needsGrant reports whether the organisation is limited and in use.
func (o *organisation) needsGrant() bool {
	return !o.idle() && limitsOf(*o.spec.Load()).limited()
}

// holdsGrantOf reports whether the organisation has a valid grant of an owner.
func (o *organisation) holdsGrantOf(owner string, now time.Time) bool {
	return o.grantedBy == owner && now.Before(o.grantUntil)
}

// reportDue reports whether the usage must be reported to the owner now. Demand
// that has grown but does not exceed the grant is only reported when the owner
// requests it. No report is needed to renew the grant, as all grants of an owner
// are renewed together.
func (o *organisation) reportDue(owner string, u Usage, now time.Time) bool {
	if o.reportRequested || !now.Before(o.grantUntil) {
		return true
	}
	if (o.contended || o.grantedBy != owner) && now.Sub(o.reportedAt) >= renewAfter {
		return true
	}
	return u.Demand.Tokens > max(demandHeadroom*o.reported.Demand.Tokens, o.grant.Tokens) ||
		u.Demand.Requests > max(demandHeadroom*o.reported.Demand.Requests, o.grant.Requests) ||
		u.Demand.Concurrency > max(o.reported.Demand.Concurrency, o.grant.Concurrency)
}

// setRates applies the grant, or the fallback share if none is valid.
func (o *organisation) setRates(entries int, now time.Time) {
	limits := limitsOf(*o.spec.Load())
	a := limits.fallback(entries)
	o.granted.Store(now.Before(o.grantUntil))
	if o.granted.Load() {
		a = withDefaults(minAmount(o.grant, limits), a)
	}
	o.tokens.setRate(float64(a.Tokens), now)
	o.requests.setRate(float64(a.Requests), now)
	o.concurrency.Store(int64(a.Concurrency))
}

// withDefaults returns a with its zero parts replaced by those of b.
func withDefaults(a, b Amount) Amount {
	if a.Tokens <= 0 {
		a.Tokens = b.Tokens
	}
	if a.Requests <= 0 {
		a.Requests = b.Requests
	}
	if a.Concurrency <= 0 {
		a.Concurrency = b.Concurrency
	}
	return a
}
