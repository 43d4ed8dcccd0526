// Package savorypinlimit decides whether an organisation may begin a request.
//
// The limits of an organisation hold over all entries together without a call
// to the store. For each organisation one of the live entries, the first by
// rendezvous hashing, is the owner of its limits. The others report their demand
// to it and get grants: parts of the limit that expire after GrantTerm unless
// renewed. An entry renews all grants of one owner together, by a checksum that
// both sides compute; it reports the usage of an organisation only when the
// demand exceeds the grant or the owner requests it. The owner never grants more
// than the limit in total. An entry without a valid grant uses a small fallback
// share, so that no request waits for the exchange.
//
// With N known entries of which m have no valid grant, the rate that all
// entries admit together is at most
//
//	L · (1 + m / (4·N))
//
// where L is the limit. Beyond the rate, each entry may admit a burst of one
// second and the one request that makes the level of its bucket negative.
// While entries disagree on the owner, each owner grants up to L; a new owner
// only renews existing grants until RenewOnlyDuration has passed.
package savorypinlimit

import (
	"fmt"
	"time"

	"savorypin/internal/savorypin"
)

// Intervals of the exchange between entries and owners.
const (
	// ExchangeInterval is the interval at which entries report to owners.
	ExchangeInterval = 250 * time.Millisecond
	// GrantTerm is how long a grant is valid.
	GrantTerm = 8 * time.Second
	// RenewOnlyDuration is how long a new owner only renews the grants of its
	// predecessor, which may still be valid.
	RenewOnlyDuration = 8 * time.Second
	// renewAfter is the age at which a grant is renewed.
	renewAfter = 5 * time.Second
)

// fallbackDivisor divides an equal share of the limit to get the fallback share
// of an entry without a valid grant.
const fallbackDivisor = 4

// Limit names a limit of an organisation.
type Limit string

// The limits of an organisation, in sorted order.
const (
	LimitConcurrency Limit = "concurrency"
	LimitRequests    Limit = "requests"
	LimitTokens      Limit = "tokens"
)

// LimitedError means that an organisation is over one of its limits.
type LimitedError struct {
	// Limit is the limit that is reached.
	Limit Limit
	// RetryAfter is the time after which the next request can begin.
	RetryAfter time.Duration
}

// Error returns the text of the error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("limit of %s is reached, room in %s", e.Limit, e.RetryAfter.Round(time.Millisecond))
}

// Amount is a part of an organisation's limits, or a demand for one. Its fields
// are exported for the codecs.
type Amount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	// Tokens is in tokens a second.
	Tokens float32
	// Requests is in requests a second.
	Requests float32
	// Concurrency is a number of requests.
	Concurrency int
}

// Usage is the demand and the load of an organisation at an entry, as the entry
// reports it to the owner. Its fields are exported for the codecs.
type Usage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Organisation string
	// Demand is what the organisation requests at the entry, including requests
	// that are refused.
	Demand Amount
	// Running is the number of running requests of the organisation.
	Running int
	// Held is the valid grant of the entry, if any. The owner may not know it
	// after a restart or a change of owners.
	Held *Amount
}

// held returns the valid grant of the entry, or zero.
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

// staleTolerance is the ratio of a grant to what would be granted now beyond
// which the grant is replaced. Up to it the others still get their demand.
const staleTolerance = 1.25

// wellBelow reports whether a is below a grant by more than staleTolerance.
func (a Amount) wellBelow(grant Amount) bool {
	return staleTolerance*a.Tokens < grant.Tokens ||
		staleTolerance*a.Requests < grant.Requests ||
		staleTolerance*float64(a.Concurrency) < float64(grant.Concurrency)
}

// canRaise reports whether a exceeds a grant in a part of which the demand
// exceeds the grant too.
func (a Amount) canRaise(demand, grant Amount) bool {
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
