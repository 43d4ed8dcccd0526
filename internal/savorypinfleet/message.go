package savorypinfleet

import (
	"net/http"
	"time"
)

// Call is a caller's request as a gateway handles it.
type Call struct {
	// Body is the whole body.
	Body []byte
	// Deadline is how long the caller waits; zero if it does not say.
	Deadline time.Duration
	// Header holds the headers that are passed on.
	Header http.Header
	// Host and URI are the request's, as the caller sent them.
	Host   string
	ID     string
	Key    string
	Method string
	// LastEvent is the number of the last event that the caller has; empty if it
	// has none.
	LastEvent string
	// OutputTokens is the most tokens that the answer may have.
	OutputTokens int
	// Prompt names the last part of the prompt; empty if unknown.
	Prompt string
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int
	URI          string
}

// Attempt is a call as it is sent to one endpoint.
type Attempt struct {
	// Backup is the endpoint to which the run's memory is copied; nil for none.
	Backup *Endpoint
	Call   *Call
	// Deadline is the time that is left.
	Deadline time.Duration
	// Endpoint is the incarnation that may run the call.
	Endpoint *Endpoint
	// LastEvent is the number of the last event that was delivered; empty for
	// none.
	LastEvent string
	// Organisation is the name of the caller's organisation; empty for none.
	Organisation string
	// Priority is the rank among waiting requests from 0, which is first, to 9.
	Priority int
	// Restore says that the endpoint holds a copy of the run's memory.
	Restore bool
}

// Reply says what the head of an endpoint's answer means.
type Reply struct {
	// ID is the id of the request that is answered; empty if it is missing.
	ID string
	// KeepAlive is how long the connection may stay idle; zero if unknown.
	KeepAlive time.Duration
	// Leaving says that the endpoint is about to stop.
	Leaving bool
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// RetryAfter is how long the endpoint wants no requests; zero if it does not say.
	RetryAfter time.Duration
	// Signed says that the answer bears the endpoint's signature.
	Signed bool
	// Encoded says that the body isn't the plain body that was asked for.
	Encoded bool
}

// Report is what an engine says of its work, some hundred milliseconds late.
type Report struct {
	// Pending is the number of requests that wait or whose prompt is being read.
	Pending int
	// Running are the ids of the requests that generate tokens.
	Running []string
}

// Codec spells calls and answers for the callers and endpoints of a platform.
type Codec struct {
	// DecodeCall reads the head of a caller's request.
	DecodeCall func(*http.Request) *Call
	// DecodeReport reads an engine's report.
	DecodeReport func([]byte) (Report, error)
	// DecodeReply reads the head of an endpoint's answer.
	DecodeReply func(*http.Response) Reply
	// EncodeAttempt returns the headers of a request to an endpoint.
	EncodeAttempt func(Attempt) http.Header
	// EncodeReply copies the headers of an endpoint's answer for the caller.
	EncodeReply func(dst http.Header, resp *http.Response, call *Call)
	// ReportPath is where an engine reports.
	ReportPath string
	// EncodeFailure sets the headers of an answer that the gateway gives itself.
	EncodeFailure func(dst http.Header, call *Call, retryAfter time.Duration)
}
