// Package savorypinroute decides which endpoint gets a piece of work.
//
// A Router estimates for each endpoint the time until it would give the first
// token: the wait for a slot, the prefill of what is not cached of the prompt,
// and the link. It looks at a few endpoints taken at random and at the one that
// was last sent the same prefix, so that entries that hold the same late load
// reports do not all choose the same endpoint.
package savorypinroute

import (
	"errors"
	"fmt"
	"time"

	"savorypin/internal/savorypin"
)

// ErrNoEndpoint means that no endpoint serves the service and version.
var ErrNoEndpoint = errors.New("no endpoint is live")

// ErrLinkBudget means that only another region could take the work and that the
// link has no bytes left for its purpose.
var ErrLinkBudget = errors.New("link between regions has no bytes left")

// TooLateError means that no endpoint is expected to give the first token in
// time.
type TooLateError struct {
	// Estimate is the least estimated time to the first token.
	Estimate time.Duration
	// Within is the time to the first token that was asked for.
	Within time.Duration
}

// Error returns the text of the error.
func (e *TooLateError) Error() string {
	return fmt.Sprintf("first token is expected in %s, not within %s",
		e.Estimate.Round(time.Millisecond), e.Within.Round(time.Millisecond))
}

// RetryAfter returns the time after which the queues will have drained far
// enough if no more work is added.
func (e *TooLateError) RetryAfter() time.Duration {
	return e.Estimate - e.Within
}

// Need is what a piece of work needs of an endpoint.
type Need struct {
	// Avoid are names of endpoints that must not be chosen.
	Avoid map[string]bool
	// Delivered is the number of tokens that exist already and must be read
	// again by the endpoint.
	Delivered int
	// MaxTokens is the largest number of tokens to generate.
	MaxTokens int
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// PromptBytes is the length of the prompt or of the body of a call.
	PromptBytes int
	// Purpose says why the work is given to an endpoint.
	Purpose savorypin.Purpose
	// Region is the region of whoever asks.
	Region string
	// Service is the service that must be served.
	Service string
	// Version is the version that must be loaded; empty for plain services.
	Version string
	// Within is the time in which the first token must come; zero if it does
	// not matter. Resumed work is never refused for it.
	Within time.Duration
}

// promptTokens returns the number of tokens that have to be read.
func (n Need) promptTokens() int {
	return n.PromptBytes/bytesPerToken + n.Delivered
}

// linkBytes returns the number of bytes that the work is expected to send
// over a link.
func (n Need) linkBytes() int {
	const expectedRatio = 2
	return n.PromptBytes + (n.Delivered+n.MaxTokens/expectedRatio)*tokenWireBytes
}

// Candidate is an endpoint that was chosen for a piece of work. The work counts
// as in flight there from Begin to Done. A candidate that is not begun costs
// nothing.
type Candidate struct {
	endpoint savorypin.EndpointState
	member   savorypin.MemberState
	work     *work
}

// Endpoint returns what is known of the endpoint.
func (c Candidate) Endpoint() savorypin.EndpointState {
	return c.endpoint
}

// Member returns what is known of the agent beside the endpoint.
func (c Candidate) Member() savorypin.MemberState {
	return c.member
}

// Begin tells that the work is given to the endpoint. Only the first call
// counts.
func (c Candidate) Begin() {
	if c.work != nil {
		c.work.begin()
	}
}

// Delivered tells that the endpoint has given n tokens.
func (c Candidate) Delivered(n int) {
	if c.work != nil {
		c.work.delivered(n)
	}
}

// Done tells that the work has ended, and how. Only the first call counts.
func (c Candidate) Done(err error) {
	if c.work != nil {
		c.work.done(err)
	}
}
