package savorypinlimit

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sharedBurst is the time whose requests a share may save up.
	sharedBurst = time.Second
	// minSharedBurst is the number of requests that all shares together may save up at least.
	minSharedBurst = 1
	// minSharedRate is the lowest rate that is shared, in requests a second. Of a lower one the
	// busiest gateway sends as much, and the others nothing: this is enough to learn when an
	// endpoint that takes no requests takes them again.
	minSharedRate = 0.25
	// sharedRateRatio is the fraction of a limit that the gateways use. The rest is a margin:
	// their shares change at different times.
	sharedRateRatio = 0.9
	// withdrawDelay is the time for which an endpoint must not have named its limit to be
	// unlimited again, so that an answer from before the limit doesn't lift it.
	withdrawDelay = time.Second
	// limitReportRetention is how long a gateway reports that a limit was withdrawn.
	limitReportRetention = 15 * time.Second
	// limitReportTolerance is the relative change of a limit below which it isn't reported again.
	limitReportTolerance = 0.1
)

// SharedRateConfig configures SharedRates.
type SharedRateConfig struct {
	// Busiest reports whether this gateway has the most requests to a service.
	Busiest func(service string) bool
	// Now returns the current time.
	Now func() time.Time
	// Random returns a random number in [0, 1); nil means math/rand.
	Random func() float64
	// Share returns this gateway's part of what all gateways may send to a service, in (0, 1].
	Share func(service string) float64
}

// Weights of gateways without requests, in the division of what all gateways may send.
const (
	// minShareRequests is the number of requests that each gateway is taken to have besides its
	// own.
	minShareRequests = 1
	// meanShareRatio is the part of the mean number that each is taken to have besides.
	meanShareRatio = 0.25
)

// ShareOf returns a gateway's part of the requests of all gateways, given the numbers of its own
// requests, of those of the other gateways that it knows of, and of all gateways. Gateways of which
// it knows nothing count as average. If all gateways know the same numbers, their parts add up to
// one.
func ShareOf(own float64, others []float64, gateways int) float64 {
	sum := own
	for _, n := range others {
		sum += n
	}
	known := float64(len(others) + 1)
	mean := sum / known
	extra := minShareRequests + meanShareRatio*mean
	return (own + extra) / (max(known, float64(gateways)) * (mean + extra))
}

// NamedLimit is a limit that an endpoint named, as gateways exchange it.
type NamedLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes the struct as an array, without field names
	// Endpoint is the hash of the endpoint's incarnation.
	Endpoint uint64 `msgpack:"e"`
	// PerSecond is the limit in requests a second; negative if it was withdrawn.
	PerSecond float64 `msgpack:"p"`
	// Serial tells a later observation from an entry that is sent again.
	Serial uint32 `msgpack:"s"`
}

// Valid reports whether a received limit is a number.
func (l NamedLimit) Valid() bool {
	return !math.IsNaN(l.PerSecond) && !math.IsInf(l.PerSecond, 0)
}

// sharedRate is this gateway's share of the limit of one endpoint, as a token bucket.
type sharedRate struct {
	perSecond float64
	// namedAt is when an answer last named the limit.
	namedAt time.Time
	service string
	// tokens were saved up until updatedAt.
	tokens    float64
	updatedAt time.Time
}

// ownLimit is an observation of this gateway's own.
type ownLimit struct {
	NamedLimit
	// withdrawnAt is zero while the limit is in force.
	withdrawnAt time.Time
}

// SharedRates keeps the requests to endpoints that named a limit within that limit, over all
// gateways. Each gateway uses a share that follows its part of the requests; the shares add up to
// less than the limit. It is safe for concurrent use; requests take no lock while no endpoint
// has a limit.
type SharedRates struct {
	cfg SharedRateConfig
	// limited is the number of endpoints with a limit.
	limited atomic.Int64

	mu     sync.Mutex
	own    map[uint64]ownLimit
	rates  map[uint64]*sharedRate
	serial uint32
	// serials are the serials of other gateways' observations that were processed.
	serials map[limitKey]uint32
}

// limitKey identifies a gateway's observations of an endpoint.
type limitKey struct {
	endpoint uint64
	origin   string
}

// NewSharedRates returns SharedRates without limits.
func NewSharedRates(cfg SharedRateConfig) *SharedRates {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &SharedRates{cfg: cfg, own: map[uint64]ownLimit{}, rates: map[uint64]*sharedRate{}, serials: map[limitKey]uint32{}}
}

// Name records that an answer of an endpoint named a limit. It reports whether the limit is new or
// differs from the known one by more than a tolerance.
func (r *SharedRates) Name(endpoint uint64, service string, perSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(endpoint, service, perSecond)
	known, ok := r.own[endpoint]
	if ok && known.withdrawnAt.IsZero() && math.Abs(known.PerSecond-perSecond) <= limitReportTolerance*known.PerSecond {
		return false
	}
	r.observe(endpoint, perSecond, time.Time{})
	return true
}

// set sets the limit of an endpoint. A new bucket is empty, since requests are on their way. The
// caller holds r.mu.
func (r *SharedRates) set(endpoint uint64, service string, perSecond float64) {
	now := r.cfg.Now()
	rate, ok := r.rates[endpoint]
	if !ok {
		rate = &sharedRate{service: service, updatedAt: now}
		r.rates[endpoint] = rate
		r.limited.Store(int64(len(r.rates)))
	}
	r.refill(rate, now)
	rate.perSecond, rate.namedAt = perSecond, now
}

// observe records an observation for the report to other gateways. The caller holds r.mu.
func (r *SharedRates) observe(endpoint uint64, perSecond float64, withdrawnAt time.Time) {
	r.serial++
	r.own[endpoint] = ownLimit{
		NamedLimit:  NamedLimit{Endpoint: endpoint, PerSecond: perSecond, Serial: r.serial},
		withdrawnAt: withdrawnAt,
	}
}

// Omit records that an answer of an endpoint named no limit. It reports whether that ended one.
func (r *SharedRates) Omit(endpoint uint64) bool {
	if r.limited.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	rate, ok := r.rates[endpoint]
	if !ok || now.Sub(rate.namedAt) < withdrawDelay {
		return false
	}
	r.remove(endpoint)
	r.observe(endpoint, -1, now)
	return true
}

// remove ends the limit of an endpoint. The caller holds r.mu.
func (r *SharedRates) remove(endpoint uint64) {
	delete(r.rates, endpoint)
	r.limited.Store(int64(len(r.rates)))
}

// rateOf returns the rate of this gateway's share and the most requests that it saves up.
func (r *SharedRates) rateOf(rate *sharedRate) (perSecond, burst float64) {
	total := sharedRateRatio * rate.perSecond
	switch {
	case total >= minSharedRate:
		share := r.cfg.Share(rate.service)
		return share * total, share * max(total*sharedBurst.Seconds(), minSharedBurst)
	case r.cfg.Busiest(rate.service):
		return minSharedRate, minSharedBurst
	}
	return 0, 0
}

// refill adds the tokens since the last update. The caller holds r.mu.
func (r *SharedRates) refill(rate *sharedRate, now time.Time) {
	perSecond, burst := r.rateOf(rate)
	rate.tokens = min(burst, rate.tokens+perSecond*max(0, now.Sub(rate.updatedAt).Seconds()))
	rate.updatedAt = now
}

// refilled returns the share of an endpoint's limit with the tokens up to now; nil if it has no limit.
// The caller holds r.mu.
func (r *SharedRates) refilled(endpoint uint64) *sharedRate {
	rate, ok := r.rates[endpoint]
	if !ok {
		return nil
	}
	r.refill(rate, r.cfg.Now())
	return rate
}

// Take reports whether a request may be sent to an endpoint, and counts it if so. A share that
// never saves up a whole request is used by chance, so that the shares of many gateways add up to
// the limit.
func (r *SharedRates) Take(endpoint uint64) bool {
	if r.limited.Load() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.refilled(endpoint)
	if rate == nil {
		return true
	}
	switch chance := r.chance(rate); chance {
	case 0:
		return false
	case 1:
		rate.tokens--
		return true
	default:
		rate.tokens = 0
		return r.cfg.Random() < chance
	}
}

// chance returns the probability that a share has a request left. The caller holds r.mu.
func (r *SharedRates) chance(rate *sharedRate) float64 {
	if rate.tokens >= 1 {
		return 1
	}
	if _, burst := r.rateOf(rate); burst >= 1 {
		return 0
	}
	return max(0, rate.tokens)
}

// Chance returns the probability that Take would report now that a request may be sent to an
// endpoint. It counts nothing.
func (r *SharedRates) Chance(endpoint uint64) float64 {
	if r.limited.Load() == 0 {
		return 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.refilled(endpoint)
	if rate == nil {
		return 1
	}
	return r.chance(rate)
}

// Limited reports whether an endpoint has a limit.
func (r *SharedRates) Limited(endpoint uint64) bool {
	if r.limited.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.rates[endpoint]
	return ok
}

// Len returns the number of endpoints with a limit.
func (r *SharedRates) Len() int { return int(r.limited.Load()) }

// Wait returns the time until this gateway may be expected to send a request to an endpoint; zero if
// it may now.
func (r *SharedRates) Wait(endpoint uint64) time.Duration {
	if r.limited.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.refilled(endpoint)
	if rate == nil {
		return 0
	}
	perSecond, burst := r.rateOf(rate)
	if perSecond == 0 {
		return time.Duration(float64(time.Second) / minSharedRate)
	}
	missing := min(1, burst) - rate.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / perSecond * float64(time.Second))
}

// maxReportedLimits bounds the limits in a report.
const maxReportedLimits = 256

// Report returns the limits that this gateway has seen itself, sorted by endpoint, so that an
// unchanged report has the same encoding.
func (r *SharedRates) Report() []NamedLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	maps.DeleteFunc(r.own, func(_ uint64, l ownLimit) bool {
		return !l.withdrawnAt.IsZero() && now.Sub(l.withdrawnAt) > limitReportRetention
	})
	var limits []NamedLimit
	for _, l := range r.own {
		limits = append(limits, l.NamedLimit)
	}
	slices.SortFunc(limits, func(a, b NamedLimit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return limits[:min(len(limits), maxReportedLimits)]
}

// Apply processes a limit that another gateway has seen. It reports whether that changed the limit
// that is in force.
func (r *SharedRates) Apply(origin string, limit NamedLimit, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := limitKey{endpoint: limit.Endpoint, origin: origin}
	if r.serials[key] == limit.Serial {
		return false
	}
	r.serials[key] = limit.Serial
	if limit.PerSecond < 0 {
		_, ok := r.rates[limit.Endpoint]
		r.remove(limit.Endpoint)
		delete(r.own, limit.Endpoint)
		return ok
	}
	r.set(limit.Endpoint, service, limit.PerSecond)
	return true
}

// Retain drops the limits of the endpoints for which listed returns false.
func (r *SharedRates) Retain(listed func(endpoint uint64) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.own, func(endpoint uint64, _ ownLimit) bool { return !listed(endpoint) })
	maps.DeleteFunc(r.rates, func(endpoint uint64, _ *sharedRate) bool { return !listed(endpoint) })
	maps.DeleteFunc(r.serials, func(key limitKey, _ uint32) bool { return !listed(key.endpoint) })
	r.limited.Store(int64(len(r.rates)))
}
