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
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/tmaxmax/go-sse"
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
// attaches again.
const DefaultQuietAfter = 10 * time.Second

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

// follower is one answer that is being followed.
type follower struct {
	client *Client
	handle func(Token) error
	id     string
	lastID string
	next   int
	req    Request
	result Result
}

// Stream generates an answer and calls handle for each token once, in order.
func (c *Client) Stream(ctx context.Context, req Request, handle func(Token) error) (Result, error) {
	f := &follower{client: c, handle: handle, req: req}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 50 * time.Millisecond
	retry.MaxInterval = time.Second
	for i := 0; ; i++ {
		entry := c.cfg.Entries[i%len(c.cfg.Entries)]
		before := f.next
		err := f.follow(ctx, entry)
		if err == nil {
			return f.result, nil
		}
		if ctx.Err() != nil || !errors.Is(err, errTransport) {
			return f.result, err
		}
		if f.id != "" {
			f.result.Attaches++
		}
		if f.next > before {
			retry.Reset()
		}
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
			return f.result, ctx.Err()
		}
	}
}

// follow reads events through one entry until the answer or the connection
// ends.
func (f *follower) follow(ctx context.Context, entry string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(f.client.cfg.QuietAfter, cancel)
	defer quiet.Stop()
	resp, err := f.open(ctx, entry)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("%w: %w", errTransport, err)
		}
		quiet.Reset(f.client.cfg.QuietAfter)
		finished, err := f.take(event)
		if finished || err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: stream ended early", errTransport)
}

func (f *follower) open(ctx context.Context, entry string) (*http.Response, error) {
	if f.id == "" {
		return f.client.post(ctx, entry+"/v1/generations/stream", "", f.req)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/generations/"+url.PathEscape(f.id)+"/stream", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Last-Event-ID", f.lastID)
	return f.client.do(req)
}

// take handles one event and reports whether the answer is whole.
func (f *follower) take(event sse.Event) (bool, error) {
	generation, index, _ := strings.Cut(event.LastEventID, "/")
	next, err := strconv.Atoi(index)
	if err != nil {
		return false, fmt.Errorf("%w: bad event id %q", errTransport, event.LastEventID)
	}
	f.id = generation
	f.lastID = event.LastEventID
	f.result.ID = generation
	switch event.Type {
	case "done":
		return true, json.Unmarshal([]byte(event.Data), &f.result)
	case "error":
		return false, parseError([]byte(event.Data), 0)
	case "token":
		if next != f.next+1 {
			return false, fmt.Errorf("%w: token %d came after token %d", errTransport, next, f.next)
		}
		var token Token
		if err := json.Unmarshal([]byte(event.Data), &token); err != nil {
			return false, fmt.Errorf("%w: %w", errTransport, err)
		}
		f.next = next
		return false, f.handle(token)
	default:
		return false, nil
	}
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
