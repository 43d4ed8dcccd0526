package savorypinfleet

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is a caller's request as a gateway handles it.
type Call struct {
	// Body is the complete request body.
	Body []byte
	// Deadline is how long the caller waits; zero if the request does not set it.
	Deadline time.Duration
	// Header holds the headers that are forwarded to endpoints.
	Header http.Header
	// Host and URI are those of the request, as the caller sent them.
	Host string
	// ID is the ID of the request; empty if the caller sent none.
	ID string
	// APIKey is the caller's API key; empty if the caller sent none.
	APIKey string
	Method string
	// LastEventID is the number of the last event that the caller received; empty for none.
	LastEventID string
	// OutputTokens is the maximum number of tokens of the response; zero if unknown.
	OutputTokens int
	// PromptID is the ID of the last part of the prompt; empty if unknown.
	PromptID string
	// PromptParts are the parts of the prompt that other requests may share, in order: all but
	// the last.
	PromptParts []Subject
	// PromptTokens is the number of tokens of the prompt; zero if unknown.
	PromptTokens int
	URI          string
}

// Path returns the path of the URI.
func (c *Call) Path() string {
	path, _, _ := strings.Cut(c.URI, "?")
	return path
}

// LastEvent returns the number of the last event that the caller received; zero for none.
func (c *Call) LastEvent() int64 {
	n, err := strconv.ParseInt(c.LastEventID, 10, 64)
	if err != nil {
		// Endpoints get the ID as the caller sent it, and decide what it means.
		return 0
	}
	return n
}

// Attempt is a call as it is sent to one endpoint.
type Attempt struct {
	// Backup is the endpoint to which the KV cache of the generation is copied; nil for none.
	Backup *Endpoint
	Call   *Call
	// Deadline is the time that remains for the call.
	Deadline time.Duration
	// Endpoint is the endpoint that is to run the call. Another incarnation must refuse it.
	Endpoint *Endpoint
	// LastEventID is the number of the last event delivered to the caller; empty for none.
	LastEventID string
	// Organisation is the name of the caller's organisation; empty for none.
	Organisation string
	// Priority is the priority among waiting requests, from 0 (highest) to 9 (lowest). If it is
	// negative, no priority is sent.
	Priority int
	// RestoreFromBackup says that the endpoint holds a copy of the KV cache of the generation,
	// from which it is to resume.
	RestoreFromBackup bool
}

// LimitState says whether a response names a limit on requests.
type LimitState string

// The states of limits, in sorted order.
const (
	// LimitAbsent means that the endpoint names no limit.
	LimitAbsent LimitState = ""
	// LimitInvalid means that the limit can't be read, so that an earlier one stays in force.
	LimitInvalid LimitState = "invalid"
	// LimitNamed means that the endpoint names a limit.
	LimitNamed LimitState = "named"
)

// RequestLimit is the limit that an endpoint names on the requests of all gateways together.
type RequestLimit struct {
	// PerSecond is the number of requests a second; it may be zero.
	PerSecond float64
	State     LimitState
}

// Reply is the decoded head of an endpoint's response.
type Reply struct {
	// ID is the ID of the request to which the endpoint responds; empty if it is missing.
	ID string
	// KeepAlive is how long the connection may be idle before the endpoint closes it; zero if
	// unknown.
	KeepAlive time.Duration
	// Limit is the limit on requests that the endpoint names.
	Limit RequestLimit
	// Leaving says that the endpoint is about to stop.
	Leaving bool
	// NotExecuted says that the endpoint did not run the request.
	NotExecuted bool
	// RetryAfter is how long the endpoint must get no requests; zero if it does not set it.
	RetryAfter time.Duration
	// Signed says that the response has an endpoint's signature.
	Signed bool
	// ContentEncoded says that the body has a content encoding, although none was requested.
	ContentEncoded bool
}

// EngineReport is an engine's report on its requests. It is a few hundred milliseconds old.
type EngineReport struct {
	// Pending is the number of requests that wait or whose prompt is being processed.
	Pending int
	// Running are the IDs of the requests that generate tokens.
	Running []string
}

// Codec encodes and decodes the requests and responses of a platform's callers and endpoints.
type Codec struct {
	// DecodeCall decodes the head of a caller's request.
	DecodeCall func(*http.Request) *Call
	// DecodeReport decodes an engine's report.
	DecodeReport func([]byte) (EngineReport, error)
	// DecodeReply decodes the head of an endpoint's response.
	DecodeReply func(*http.Response) Reply
	// EncodeAttempt returns the headers of a request to an endpoint.
	EncodeAttempt func(Attempt) http.Header
	// EncodeReply copies the headers of an endpoint's response to the caller's response.
	EncodeReply func(dst http.Header, resp *http.Response, call *Call)
	// ReportPath is the path of an engine's report.
	ReportPath string
	// EncodeFailure sets the headers of an error response that the gateway generates.
	EncodeFailure func(dst http.Header, call *Call, retryAfter time.Duration)
}
