// Package savorypinroute selects the endpoint to which a request is sent.
//
// A Router estimates the time to the first token at an endpoint: the wait for a
// slot, the prefill of the part of the prompt that is not cached, and the delay
// of the link. It compares a few random endpoints and the one to which the same
// prefix was last sent, so that entries with the same outdated load reports do
// not all select the same endpoint.
package savorypinroute

import (
	"errors"
	"fmt"
	"time"

	"savorypin/internal/savorypin"
)

// ErrNoEndpoint means that no usable endpoint serves the service and version.
var ErrNoEndpoint = errors.New("no endpoint is live")

// ErrLinkBudget means that only another region has endpoints for the request and
// that the link has no bytes left for its purpose.
var ErrLinkBudget = errors.New("link between regions has no bytes left")

// TooLateError means that no endpoint is expected to produce the first token in
// time.
type TooLateError struct {
	// Estimate is the least estimated time to the first token.
	Estimate time.Duration
	// MaxFirstToken is the maximum time to the first token that the request allows.
	MaxFirstToken time.Duration
}

// Error returns the text of the error.
func (e *TooLateError) Error() string {
	return fmt.Sprintf("first token is expected in %s, not within %s",
		e.Estimate.Round(time.Millisecond), e.MaxFirstToken.Round(time.Millisecond))
}

// RetryAfter returns the time after which the queues are short enough if no more
// requests arrive.
func (e *TooLateError) RetryAfter() time.Duration {
	return e.Estimate - e.MaxFirstToken
}

// Request describes a request and its requirements on an endpoint.
type Request struct {
	// Avoid are names of endpoints that must not be chosen.
	Avoid map[string]bool
	// Delivered is the number of tokens that were generated before and that the
	// endpoint has to prefill.
	Delivered int
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// PromptBytes is the length of the prompt, or of the body of a call, in bytes.
	PromptBytes int
	// Purpose is the reason for which the request is sent to an endpoint.
	Purpose savorypin.Purpose
	// Region is the region of the daemon that sends the request.
	Region string
	// Service is the service that the endpoint must serve.
	Service string
	// Version is the version that must be loaded; empty for plain services.
	Version string
	// MaxFirstToken is the maximum time to the first token; zero means no limit.
	// Requests with PurposeResume are never refused for it.
	MaxFirstToken time.Duration
}

// promptTokens returns the estimated number of tokens to prefill.
func (r Request) promptTokens() int {
	return r.PromptBytes/bytesPerToken + r.Delivered
}

// linkBytes returns the number of bytes that the request is expected to send over
// a link if it generates half of MaxTokens.
func (r Request) linkBytes() int {
	const expectedDivisor = 2
	return r.PromptBytes + (r.Delivered+r.MaxTokens/expectedDivisor)*tokenWireBytes
}

// Candidate is an endpoint that was selected for a request. The request counts as
// in flight there from Begin to Done. A candidate may be dropped without Begin. The
// methods Begin, Delivered and Done have no effect on the results of Candidates.
type Candidate struct {
	endpoint savorypin.EndpointState
	member   savorypin.MemberState
	attempt  *attempt
}

// Endpoint returns the reported state of the endpoint.
func (c Candidate) Endpoint() savorypin.EndpointState {
	return c.endpoint
}

// Member returns the reported state of the agent of the endpoint.
func (c Candidate) Member() savorypin.MemberState {
	return c.member
}

// Begin records that the request is sent to the endpoint. Only the first call has
// an effect.
func (c Candidate) Begin() {
	if c.attempt != nil {
		c.attempt.begin()
	}
}

// Delivered records that the endpoint has produced n more tokens.
func (c Candidate) Delivered(n int) {
	if c.attempt != nil {
		c.attempt.delivered(n)
	}
}

// Done records the end of the request with its error, or nil. Only the first call
// has an effect.
func (c Candidate) Done(err error) {
	if c.attempt != nil {
		c.attempt.done(err)
	}
}
