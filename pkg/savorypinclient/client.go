// Package savorypinclient is the Go client of savorypin. It follows an answer
// through the loss of connections and entries: it attaches again at the last
// token that it has, through the next entry if need be.
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

// Kind says what a caller may do after an error.
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

// Error is an error of savorypin.
type Error struct {
	kind       Kind
	message    string
	retryAfter time.Duration
}

// Error returns the text of the error.
func (e *Error) Error() string {
	return string(e.kind) + ": " + e.message
}

// Kind says what the caller may do next.
func (e *Error) Kind() Kind {
	return e.kind
}

// RetryAfter returns when a retry makes sense, or zero.
func (e *Error) RetryAfter() time.Duration {
	return e.retryAfter
}

// errTransport marks a failure of a connection, which may be followed by
// another try.
var errTransport = errors.New("connection failed")

// Config configures a Client.
type Config struct {
	// Entries are the base URLs of entries. They are tried in turn.
	Entries []string
	// HTTPClient makes the calls.
	HTTPClient *http.Client
	// QuietAfter is how long a stream may be quiet before the client attaches
	// again; zero means DefaultQuietAfter.
	QuietAfter time.Duration
	// Token is the bearer token of the organisation.
	Token string
}

// DefaultQuietAfter is how long a stream may be quiet before the client
// attaches again. Entries send an event at least every 500 ms.
const DefaultQuietAfter = 1500 * time.Millisecond

// replayedHeader tells the answers of services, of any status, from errors of
// savorypin.
const replayedHeader = "Idempotent-Replayed"

// maxEventBytes bounds one event.
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

// Request is what is to be generated.
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

// Result describes a whole answer.
type Result struct {
	// Attaches is how often the client attached again.
	Attaches int `json:"-"`
	// Attempts is the number of attempts that savorypin made.
	Attempts     int    `json:"attempts"`
	FinishReason string `json:"finish_reason"`
	// ID is the generation id.
	ID string `json:"-"`
	// Tokens is the length of the answer.
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

// Status returns the HTTP status that the service answered with. A call that
// the service refused has run all the same.
func (a Answer) Status() int {
	return a.status
}

// Replayed reports whether the answer is that of an earlier run.
func (a Answer) Replayed() bool {
	return a.replayed
}

// Call calls a route of a plain service through the first entry. A route that
// is not idempotent needs a key; the caller may repeat the call with the same
// key, through any entry. Any status that the service answers with is an
// answer, not an error.
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

// Outcome is what is known of an idempotency key.
type Outcome string

// The outcomes of keys.
const (
	// OutcomeDone means that the key has run.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the key has not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the key may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Outcome asks the first entry for the outcome of a key. A key that has not
// run is closed by the question: use a new key afterwards.
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
	// The transport of net/http must not repeat a request by itself.
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
