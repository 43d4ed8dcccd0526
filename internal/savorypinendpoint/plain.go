package savorypinendpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinpool"
)

// idleTimeout is how long a connection may be idle. It is shorter than the timeout of
// servers, so that requests rarely use a connection that the server is about to close.
const idleTimeout = 2 * time.Second

// newHTTPClient returns a client that never sends a request twice.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: savorypinpool.NewTransport(savorypinpool.TransportConfig{IdleTimeout: idleTimeout})}
}

// PlainConfig configures a Plain.
type PlainConfig struct {
	// HTTPClient sends the requests; nil means a client that opens a new connection
	// for each.
	HTTPClient *http.Client
	// URL is the base URL of the service.
	URL string
}

// Plain is a client of one plain service. It is safe for concurrent use.
type Plain struct {
	cfg     PlainConfig
	running atomic.Int64
}

// NewPlain returns a client of a plain service.
func NewPlain(cfg PlainConfig) *Plain {
	if cfg.HTTPClient == nil {
		// Answers do not identify their call, so a connection that is used again could
		// return the late answer to an earlier call. Services run next to the agent,
		// so that new connections are cheap.
		cfg.HTTPClient = &http.Client{Transport: savorypinpool.NewTransport(savorypinpool.TransportConfig{DisableReuse: true})}
	}
	return &Plain{cfg: cfg}
}

// Running returns the number of running calls.
func (p *Plain) Running() int {
	return int(p.running.Load())
}

// Call is a call of a plain service.
type Call struct {
	Body        []byte
	ContentType string
	// Key is the idempotency key; empty if the call is idempotent.
	Key  string
	Path string
}

// Answer is the answer of a plain service.
type Answer struct {
	Body        []byte
	ContentType string
	Status      int
}

// Do sends a call. If it fails, sent reports whether the service may have received any
// of the call.
func (p *Plain) Do(ctx context.Context, call Call) (answer Answer, sent bool, err error) {
	p.running.Add(1)
	defer p.running.Add(-1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.cfg.URL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, false, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	// Without GetBody, the client does not follow a 307 or 308 redirect of a call with a
	// body, which would send the call again. A call without a body is still sent again
	// after such a redirect.
	req.GetBody = nil
	req.Header.Set("Content-Type", call.ContentType)
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	resp, err := p.cfg.HTTPClient.Do(req)
	if err != nil {
		return Answer{}, !errors.Is(err, savorypinpool.ErrConnect), fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, true, fmt.Errorf("%w: %w", ErrBrokenAnswer, err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, true, fmt.Errorf("%w: answer is longer than %d bytes", ErrBrokenAnswer, maxAnswerBytes)
	}
	return Answer{
		Body:        body,
		ContentType: resp.Header.Get("Content-Type"),
		Status:      resp.StatusCode,
	}, true, nil
}
