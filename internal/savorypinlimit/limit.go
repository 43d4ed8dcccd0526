// Package savorypinlimit decides whether an organisation may begin a request.
//
// The limits of an organisation hold over all entries together without a call
// to the store. For each organisation one entry, the first by rendezvous among
// the live ones, is the owner of its limits. The others report their demand to
// it and get grants: parts of the limit that end after GrantTerm unless renewed.
// What an entry holds of an owner is renewed as a whole, by a sum that both sides
// know; usage is named when it outgrows its grant, or when the owner asks for it.
// The owner never grants more than the limit in all. An entry without a valid
// grant uses a small fallback share, so that a request is never held up by the
// exchange.
//
// With N known entries of which m have no valid grant, the rate that all
// entries admit together is at most
//
//	L · (1 + m / (4·N))
//
// where L is the limit. Beyond the rate, each entry may admit what its bucket
// saves up in one second and the one request that takes the bucket into debt.
// While entries disagree on the owner, each owner grants up to L; a new owner
// only renews what others hold until OwnerHold has passed.
package savorypinlimit

import (
	"fmt"
	"time"

	"savorypin/internal/savorypin"
)

// Times of the exchange.
const (
	// ExchangeInterval is how often due usage is reported.
	ExchangeInterval = 250 * time.Millisecond
	// GrantTerm is how long a grant is valid.
	GrantTerm = 8 * time.Second
	// OwnerHold is how long an entry that has become an owner only renews.
	OwnerHold = 8 * time.Second
	// renewAfter is the age at which a grant is renewed.
	renewAfter = 5 * time.Second
)

// fallbackDivisor is the part of an equal share that an entry without a valid
// grant uses.
const fallbackDivisor = 4

// Limit names what an organisation has too much of.
type Limit string

// The limits of an organisation, in sorted order.
const (
	LimitConcurrency Limit = "concurrency"
	LimitRequests    Limit = "requests"
	LimitTokens      Limit = "tokens"
)

// LimitedError means that an organisation is over one of its limits.
type LimitedError struct {
	// Limit is what the organisation has too much of.
	Limit Limit
	// RetryAfter is the time after which the next request can begin.
	RetryAfter time.Duration
}

// Error returns the text of the error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("limit of %s is reached, room in %s", e.Limit, e.RetryAfter.Round(time.Millisecond))
}

// Amount is a part of an organisation's limits. Its fields are exported for
// the codecs.
type Amount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	// Tokens is in tokens a second.
	Tokens float32
	// Requests is in requests a second.
	Requests float32
	// Concurrency is a number of requests.
	Concurrency int
}

// Usage is what an entry reports of an organisation. Its fields are exported
// for the codecs.
type Usage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Organisation string
	// Demand is what the organisation asks for at the entry, whether it is
	// admitted or not.
	Demand Amount
	// Running is the number of its requests that run.
	Running int
	// Held is the grant that the entry holds and that the owner may not know, if
	// any.
	Held *Amount
}

// held returns the grant that the owner may not know.
func (u Usage) held() Amount {
	if u.Held == nil {
		return Amount{}
	}
	return *u.Held
}

// amountOf returns the limits of an organisation.
func amountOf(spec savorypin.OrganisationSpec) Amount {
	return Amount{
		Tokens:      float32(spec.TokensPerSecond),
		Requests:    float32(spec.RequestsPerSecond),
		Concurrency: spec.Concurrency,
	}
}

// limited reports whether an organisation has any limit.
func (a Amount) limited() bool {
	return a.Tokens > 0 || a.Requests > 0 || a.Concurrency > 0
}

// staleTolerance is by how much a grant may exceed what would be granted now
// before it is replaced: others still get what they ask for.
const staleTolerance = 1.25

// under reports whether a is clearly less than a grant.
func (a Amount) under(grant Amount) bool {
	return staleTolerance*a.Tokens < grant.Tokens ||
		staleTolerance*a.Requests < grant.Requests ||
		staleTolerance*float64(a.Concurrency) < float64(grant.Concurrency)
}

// serves reports whether a has more than a grant of what was asked for in vain.
func (a Amount) serves(demand, grant Amount) bool {
	return a.Tokens > grant.Tokens && demand.Tokens > grant.Tokens ||
		a.Requests > grant.Requests && demand.Requests > grant.Requests ||
		a.Concurrency > grant.Concurrency && demand.Concurrency > grant.Concurrency
}

// fallback returns the share of an entry without a valid grant.
func (a Amount) fallback(entries int) Amount {
	divisor := fallbackDivisor * max(1, entries)
	return Amount{
		Tokens:      a.Tokens / float32(divisor),
		Requests:    a.Requests / float32(divisor),
		Concurrency: max(1, a.Concurrency/divisor),
	}
}
