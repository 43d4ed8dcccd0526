// Package savorypinclient is the Go client of savorypin. When it loses a connection or
// an entry in the middle of an answer, it attaches to the stream again after the last
// token that it received, if necessary through another entry.
package savorypinclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Kind is the kind of an error, from which the caller decides what to do next.
type Kind string

// The kinds of errors.
const (
	KindConflict     Kind = "conflict"
	KindIncomplete   Kind = "incomplete"
	KindInvalid      Kind = "invalid"
	KindLimited      Kind = "limited"
	KindNotFound     Kind = "not_found"
	KindNotRun       Kind = "not_run"
	KindUnauthorized Kind = "unauthorized"
	KindUnknown      Kind = "unknown"
	KindUnreachable  Kind = "unreachable"
)

// Error is an error that savorypin returned.
type Error struct {
	kind       Kind
	message    string
	retryAfter time.Duration
}

// Error returns the text of the error.
func (e *Error) Error() string {
	return string(e.kind) + ": " + e.message
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind {
	return e.kind
}

// RetryAfter returns how long to wait before a retry, or zero if savorypin gave no time.
func (e *Error) RetryAfter() time.Duration {
	return e.retryAfter
}

// errTransport marks a failed connection or a malformed response, after which Stream
// tries again.
var errTransport = errors.New("connection failed")

// Config configures a Client.
type Config struct {
	// Entries are the base URLs of entries. Stream tries them in turn; Call and Outcome
	// use only the first one.
	Entries []string
	// HTTPClient makes the calls; nil means a client with the defaults of net/http.
	HTTPClient *http.Client
	// QuietAfter is how long a stream may be without events before the client attaches
	// again; zero means DefaultQuietAfter.
	QuietAfter time.Duration
	// Token is the bearer token of the organisation.
	Token string
}

// DefaultQuietAfter is the default of Config.QuietAfter. Entries send an event at least
// every 500 ms.
const DefaultQuietAfter = 1500 * time.Millisecond

// replayedHeader distinguishes answers of services, which may have any status, from
// errors of savorypin.
const replayedHeader = "Idempotent-Replayed"

// maxEventBytes is the maximum size of one event, and of an error response.
const maxEventBytes = 1 << 20

// Client calls savorypin. It is safe for concurrent use.
type Client struct {
	cfg Config
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = &http.Client{}
	}
	if cfg.QuietAfter == 0 {
		cfg.QuietAfter = DefaultQuietAfter
	}
	return &Client{cfg: cfg}
}

// Request describes the answer to generate.
type Request struct {
	MaxTokens   int     `json:"max_tokens"`
	Prompt      string  `json:"prompt"`
	Route       string  `json:"route,omitempty"`
	Seed        int64   `json:"seed"`
	Service     string  `json:"service"`
	Temperature float64 `json:"temperature"`
	TimeoutMS   int     `json:"timeout_ms,omitempty"`
}

// Token is one token of an answer.
type Token struct {
	ID   int32  `json:"id"`
	Text string `json:"text"`
}

// Result describes a completed answer.
type Result struct {
	// Attaches is how many times the client tried to attach to the stream again.
	Attaches int `json:"-"`
	// Attempts is the number of attempts that savorypin made.
	Attempts     int    `json:"attempts"`
	FinishReason string `json:"finish_reason"`
	// ID is the generation id.
	ID string `json:"-"`
	// Tokens is the length of the answer, in tokens.
	Tokens  int    `json:"tokens"`
	Version string `json:"version"`
}

// Answer is the answer of a plain service.
type Answer struct {
	body        []byte
	contentType string
	replayed    bool
	status      int
}

// Body returns the body of the answer.
func (a Answer) Body() []byte {
	return a.body
}

// ContentType returns the content type of the answer.
func (a Answer) ContentType() string {
	return a.contentType
}

// Status returns the HTTP status of the service's answer. A call that the service
// answered with an error status has also run.
func (a Answer) Status() int {
	return a.status
}

// Replayed reports whether the answer is the stored answer of an earlier call with the
// same key.
func (a Answer) Replayed() bool {
	return a.replayed
}

// Call calls a route of a plain service through the first entry. A route that is not
// idempotent needs a key, with which the caller may repeat the call through any entry.
// An error status of the service is returned as an answer, not as an error.
func (c *Client) Call(ctx context.Context, service, route, key string, body any) (Answer, error) {
	path := "/v1/services/" + url.PathEscape(service) + "/" + url.PathEscape(route)
	resp, err := c.post(ctx, c.cfg.Entries[0]+path, key, body)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", errTransport, err)
	}
	return Answer{
		body:        data,
		contentType: resp.Header.Get("Content-Type"),
		replayed:    resp.Header.Get(replayedHeader) == "true",
		status:      resp.StatusCode,
	}, nil
}

// Outcome is what savorypin knows about the call with an idempotency key.
type Outcome string

// The outcomes of keys.
const (
	// OutcomeDone means that the call has run.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the call has not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Outcome queries the outcome of a key at the first entry. If the call has not run, the
// query closes the key, and a later call needs a new one.
func (c *Client) Outcome(ctx context.Context, service, key string) (Outcome, error) {
	path := "/v1/outcomes/" + url.PathEscape(service) + "/" + url.PathEscape(key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.Entries[0]+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := c.do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var body struct {
		Outcome Outcome `json:"outcome"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&body); err != nil {
		return "", fmt.Errorf("%w: %w", errTransport, err)
	}
	return body.Outcome, nil
}

func (c *Client) post(ctx context.Context, address, key string, v any) (*http.Response, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not send the request again on another connection. The
	// service may already have run it.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return c.do(req)
}

func (c *Client) do(req *http.Request) (*http.Response, error) {
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.cfg.HTTPClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTransport, err)
	}
	if resp.StatusCode < http.StatusBadRequest || resp.Header.Get(replayedHeader) != "" {
		return resp, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTransport, err)
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return nil, parseError(data, time.Duration(seconds)*time.Second)
}

func parseError(data []byte, retryAfter time.Duration) error {
	var body struct {
		Kind       Kind   `json:"kind"`
		Message    string `json:"message"`
		RetryAfter int    `json:"retry_after"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("%w: %w", errTransport, err)
	}
	if body.RetryAfter > 0 {
		retryAfter = time.Duration(body.RetryAfter) * time.Second
	}
	return &Error{kind: body.Kind, message: body.Message, retryAfter: retryAfter}
}
