package savorypinendpoint

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Limits of the connections to one endpoint.
const (
	// idleConnTimeout is shorter than that of servers, so that calls seldom
	// meet a connection that the server is about to close.
	idleConnTimeout = 2 * time.Second
	// maxConnsPerHost is the number of idle connections kept.
	maxConnsPerHost = 256
)

func newTransport() *http.Transport {
	return &http.Transport{
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConns:        maxConnsPerHost,
		MaxIdleConnsPerHost: maxConnsPerHost,
	}
}

// PlainConfig configures a Plain.
type PlainConfig struct {
	// HTTPClient makes the calls.
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
		cfg.HTTPClient = &http.Client{Transport: newTransport()}
	}
	return &Plain{cfg: cfg}
}

// Running returns the number of calls that run.
func (p *Plain) Running() int {
	return int(p.running.Load())
}

// Call is a call of a plain service.
type Call struct {
	Body        []byte
	ContentType string
	// Key is the idempotency key; empty if the call may be repeated.
	Key  string
	Path string
}

// Answer is the answer of a plain service.
type Answer struct {
	Body        []byte
	ContentType string
	Status      int
}

// Do makes a call. If it fails, sent says whether any of the call may have
// reached the service.
func (p *Plain) Do(ctx context.Context, call Call) (answer Answer, sent bool, err error) {
	p.running.Add(1)
	defer p.running.Add(-1)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.cfg.URL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, false, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	// The transport of net/http repeats a call that has an idempotency key if
	// the connection breaks. Without GetBody it cannot.
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(call.Body))
	req.Header.Set("Content-Type", call.ContentType)
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	resp, err := p.cfg.HTTPClient.Do(req)
	if err != nil {
		return Answer{}, connected.Load(), fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, true, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, true, fmt.Errorf("%w: answer is longer than %d bytes", ErrBroken, maxAnswerBytes)
	}
	return Answer{
		Body:        body,
		ContentType: resp.Header.Get("Content-Type"),
		Status:      resp.StatusCode,
	}, true, nil
}
