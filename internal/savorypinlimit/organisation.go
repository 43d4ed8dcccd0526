package savorypinlimit

import (
	"math"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
)

// Settings of what is learned of an organisation.
const (
	// fallbackWait is the time after which a request that the fallback share
	// refused can be tried again.
	fallbackWait = time.Second
	// firstRatio is the expected ratio of generated tokens to the largest
	// number asked for, before any request has ended.
	firstRatio = 0.5
	// learnWeight is the weight of a new sample in a moving average.
	learnWeight = 0.1
	// meterWeight is the weight of one exchange interval in a rate.
	meterWeight = 0.2
)

// meter measures a rate, in units a second.
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

// tick folds what came in an interval into the rate.
func (m *meter) tick(interval time.Duration) {
	seen := float64(m.pending.Swap(0)) / interval.Seconds()
	m.rate.Store(math.Float64bits((1-meterWeight)*m.value() + meterWeight*seen))
}

// organisation is an organisation at this entry. Requests use its atomics
// only; the other fields belong to the limiter's tick.
type organisation struct {
	admitted      meter
	concurrency   atomic.Int64
	demand        meter
	granted       atomic.Bool
	hold          atomic.Uint64
	name          string
	overFair      atomic.Bool
	ratio         atomic.Uint64
	requestDemand meter
	requests      bucket
	running       atomic.Int64
	spec          atomic.Pointer[savorypin.OrganisationSpec]
	tokens        bucket

	// asked says that the owner needs the usage anew.
	asked      bool
	grant      Amount
	grantUntil time.Time
	grantedBy  string
	reported   Usage
	reportedAt time.Time
	// tight says that the owner wants the usage often.
	tight bool
}

func newOrganisation(name string, spec savorypin.OrganisationSpec) *organisation {
	o := &organisation{name: name}
	o.ratio.Store(math.Float64bits(firstRatio))
	o.spec.Store(&spec)
	return o
}

// estimate returns how many tokens a request is expected to generate.
func (o *organisation) estimate(maxTokens int) int64 {
	ratio := math.Float64frombits(o.ratio.Load())
	return int64(math.Ceil(ratio * float64(maxTokens)))
}

// learn takes note of a request that has ended.
func (o *organisation) learn(tokens, maxTokens int, took time.Duration) {
	smooth(&o.hold, took.Seconds())
	if maxTokens > 0 {
		smooth(&o.ratio, min(1, float64(tokens)/float64(maxTokens)))
	}
}

func smooth(average *atomic.Uint64, sample float64) {
	old := average.Load()
	next := (1-learnWeight)*math.Float64frombits(old) + learnWeight*sample
	average.CompareAndSwap(old, math.Float64bits(next))
}

// slotWait returns the expected time until a running request ends.
func (o *organisation) slotWait() time.Duration {
	hold := math.Float64frombits(o.hold.Load())
	wait := time.Duration(hold / float64(max(1, o.running.Load())) * float64(time.Second))
	return o.retryAfter(max(ExchangeInterval, wait))
}

// retryAfter returns the time after which a refused request can begin, given
// how long it takes with the share in force. A fallback share gives way to a
// grant at the next exchange.
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
		// The owner may be another one than before, or may have started again.
		held := o.grant
		u.Held = &held
	}
	return u
}

// idle reports whether there is nothing to report.
func (o *organisation) idle() bool {
	const quiet = 0.01
	return o.running.Load() == 0 && o.requestDemand.value() < quiet
}

// reports reports whether the owner may have to hear of the organisation.
func (o *organisation) reports() bool {
	return !o.idle() && amountOf(*o.spec.Load()).limited()
}

// holds reports whether a grant of an owner is valid.
func (o *organisation) holds(owner string, now time.Time) bool {
	return o.grantedBy == owner && now.Before(o.grantUntil)
}

// due reports whether the owner has to hear of the usage. Demand that has grown
// within the grant can wait until the owner asks; the grants of the owner are
// renewed together.
func (o *organisation) due(owner string, u Usage, now time.Time) bool {
	if o.asked || !now.Before(o.grantUntil) {
		return true
	}
	if (o.tight || o.grantedBy != owner) && now.Sub(o.reportedAt) >= renewAfter {
		return true
	}
	return u.Demand.Tokens > max(demandRoom*o.reported.Demand.Tokens, o.grant.Tokens) ||
		u.Demand.Requests > max(demandRoom*o.reported.Demand.Requests, o.grant.Requests) ||
		u.Demand.Concurrency > max(o.reported.Demand.Concurrency, o.grant.Concurrency)
}

// setRates brings the grant or the fallback share into force.
func (o *organisation) setRates(entries int, now time.Time) {
	limits := amountOf(*o.spec.Load())
	a := limits.fallback(entries)
	o.granted.Store(now.Before(o.grantUntil))
	if o.granted.Load() {
		a = orElse(least(o.grant, limits), a)
	}
	o.tokens.setRate(float64(a.Tokens), now)
	o.requests.setRate(float64(a.Requests), now)
	o.concurrency.Store(int64(a.Concurrency))
}

// orElse replaces what is zero in a by what b has.
func orElse(a, b Amount) Amount {
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
