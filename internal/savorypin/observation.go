package savorypin

import "time"

// Purpose says why a piece of work is given to an endpoint.
type Purpose string

// The purposes of work, in sorted order.
const (
	// PurposeFirst is the first attempt of a request.
	PurposeFirst Purpose = "first"
	// PurposeHedge is a second attempt beside one that may still succeed.
	PurposeHedge Purpose = "hedge"
	// PurposeResume is an attempt that goes on after delivered tokens.
	PurposeResume Purpose = "resume"
	// PurposeRetry is an attempt after one that delivered nothing.
	PurposeRetry Purpose = "retry"
)

// Observation is what one attempt or call showed of a version.
type Observation struct {
	// BetweenTokens is the mean time between tokens; zero if fewer than two
	// came.
	BetweenTokens time.Duration
	// Domain is the failure domain of the endpoint.
	Domain string
	// Endpoint is the endpoint that ran the work.
	Endpoint string
	// Err is why the attempt failed; nil if it did not.
	Err error
	// FirstToken is the time to the first token or to the answer; zero if none
	// came.
	FirstToken time.Duration
	// Load is the number of requests that the endpoint reported at the start,
	// running and waiting, over its slots.
	Load float64
	// Organisation is whose work it was.
	Organisation string
	// Purpose says why the work was given to the endpoint.
	Purpose Purpose
	// Region is the region of the endpoint.
	Region string
	// Route is the route of the service.
	Route string
	// Service is the service.
	Service string
	// Tokens is the number of tokens that the attempt produced.
	Tokens int
	// Version is the version that ran; empty for plain services.
	Version string
}
