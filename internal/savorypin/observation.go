package savorypin

import "time"

// Purpose says why an attempt or call is sent to an endpoint.
type Purpose string

// The purposes of attempts, in sorted order.
const (
	// PurposeFirst is the first attempt of a request.
	PurposeFirst Purpose = "first"
	// PurposeHedge is a second attempt in parallel to one that may still succeed.
	PurposeHedge Purpose = "hedge"
	// PurposeResume is an attempt that continues after delivered tokens.
	PurposeResume Purpose = "resume"
	// PurposeRetry is an attempt after one that delivered nothing.
	PurposeRetry Purpose = "retry"
)

// Observation is the measured result of one attempt or call on a version.
type Observation struct {
	// TokenInterval is the mean time between tokens; zero if fewer than two
	// arrived.
	TokenInterval time.Duration
	// Domain is the failure domain of the endpoint.
	Domain string
	// Endpoint is the endpoint that ran the attempt.
	Endpoint string
	// Err is the error with which the attempt failed; nil if it succeeded.
	Err error
	// FirstToken is the time to the first token or to the answer; zero if none
	// arrived.
	FirstToken time.Duration
	// Load is the number of running and waiting requests that the endpoint reported at
	// the start, divided by its slots.
	Load float64
	// Organisation is the organisation that made the request.
	Organisation string
	// Purpose says why the attempt was made.
	Purpose Purpose
	// Region is the region of the endpoint.
	Region  string
	Route   string
	Service string
	// Tokens is the number of tokens that the attempt produced.
	Tokens int
	// Version is the version that ran the attempt; empty for plain services.
	Version string
}
