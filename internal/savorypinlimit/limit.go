// Package savorypinlimit enforces the rate and concurrency limits of
// organisations.
//
// A limit applies to the total over all entries, but no request needs a call to
// the store. For each organisation, rendezvous hashing selects one of the live
// entries as the owner of its limits. The entries report their demand to the
// owner and get grants: parts of the limit that expire after GrantTerm unless
// renewed. An entry renews all grants of one owner together, by a checksum that
// both sides compute; it reports the usage of an organisation only when the
// demand exceeds the grant, the owner requests it, or the total demand exceeds
// the limit. The owner never grants more than the limit in total. An entry whose
// grant is missing, expired or zero uses a small fallback share, so that no
// request waits for the exchange.
//
// With N known entries of which m use the fallback share, the rate that all
// entries admit together is at most
//
//	L · (1 + m / (4·N))
//
// where L is the limit. In addition, each entry may admit a burst of one second
// and the one request that makes the level of its bucket negative.
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
	// ExchangeInterval is the interval at which entries send due reports to owners.
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

// Limit is the name of a limit of an organisation.
type Limit string

// The limits of an organisation.
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

// Amount holds a quantity for each limit of an organisation: the limits themselves,
// a grant, or a demand. Its fields are exported for the codecs.
type Amount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	// Tokens is in tokens per second.
	Tokens float32
	// Requests is in requests per second.
	Requests float32
	// Concurrency is a number of concurrent requests.
	Concurrency int
}

// Usage is the demand and the load of an organisation at an entry, as the entry
// reports it to the owner. Its fields are exported for the codecs.
type Usage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Organisation string
	// Demand is the rate of tokens and requests that the organisation asks for at
	// the entry, refused requests included, and the number of its running requests
	// plus one.
	Demand Amount
	// Running is the number of running requests of the organisation.
	Running int
	// Grant is the valid grant of the entry, if any. The owner may not know it
	// after a restart or a change of owners.
	Grant *Amount
}

// validGrant returns the valid grant of the entry, or zero.
func (u Usage) validGrant() Amount {
	if u.Grant == nil {
		return Amount{}
	}
	return *u.Grant
}

// limitsOf returns the limits of an organisation.
func limitsOf(spec savorypin.OrganisationSpec) Amount {
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

// staleTolerance is the ratio of a grant to what would be granted now above which
// the grant is replaced. Up to this ratio, the other entries still get their
// demand.
const staleTolerance = 1.25

// wellBelow reports whether a is below a grant by more than staleTolerance.
func (a Amount) wellBelow(grant Amount) bool {
	return staleTolerance*a.Tokens < grant.Tokens ||
		staleTolerance*a.Requests < grant.Requests ||
		staleTolerance*float64(a.Concurrency) < float64(grant.Concurrency)
}

// canRaise reports whether, for any of the limits, both a and the demand exceed
// the grant, so that a larger grant is available and would be used.
func (a Amount) canRaise(demand, grant Amount) bool {
	return a.Tokens > grant.Tokens && demand.Tokens > grant.Tokens ||
		a.Requests > grant.Requests && demand.Requests > grant.Requests ||
		a.Concurrency > grant.Concurrency && demand.Concurrency > grant.Concurrency
}

// fallback returns the share of an entry without a valid grant. It allows at least
// one concurrent request.
func (a Amount) fallback(entries int) Amount {
	divisor := fallbackDivisor * max(1, entries)
	return Amount{
		Tokens:      a.Tokens / float32(divisor),
		Requests:    a.Requests / float32(divisor),
		Concurrency: max(1, a.Concurrency/divisor),
	}
}
