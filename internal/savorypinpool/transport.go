package savorypinpool

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// connectTimeout limits a connection attempt of a Transport. TCP resends a lost first
// packet after one second, so the timeout allows for that.
const connectTimeout = 3 * time.Second

// tlsPrefix marks pool addresses that are connected to with TLS.
const tlsPrefix = "tls://"

// TransportConfig configures a Transport.
type TransportConfig struct {
	// DisableReuse opens a new connection for each request. Where responses don't identify
	// their requests, a late second copy of a response can't be told from the response to
	// the next request on the same connection.
	DisableReuse bool
	// IdleTimeout is the idle timeout of connections to endpoints that do not announce
	// theirs; zero means half a second.
	IdleTimeout time.Duration
}

// Transport is an http.RoundTripper that uses pooled connections. Unlike the transport
// of net/http, it never repeats a request on its own. An error that wraps ErrConnect
// means that nothing was sent.
type Transport struct {
	disableReuse bool
	pool         *Pool
}

// NewTransport returns a Transport without connections.
func NewTransport(cfg TransportConfig) *Transport {
	dialer := newDialer()
	return &Transport{disableReuse: cfg.DisableReuse, pool: New(Config{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			hostPort, ok := strings.CutPrefix(address, tlsPrefix)
			if !ok {
				return dialer.DialContext(ctx, "tcp", address)
			}
			return (&tls.Dialer{NetDialer: dialer}).DialContext(ctx, "tcp", hostPort)
		},
		IdleTimeout: cfg.IdleTimeout,
	})}
}

// RoundTrip sends a request once and returns the response, whose body must be read to
// its end or closed.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := readBody(req)
	if err != nil {
		return nil, err
	}
	address, err := addressOf(req)
	if err != nil {
		return nil, err
	}
	ctx := req.Context()
	conn, err := t.pool.Get(ctx, address, connectTimeout)
	if err != nil {
		return nil, err
	}
	stopContextWatch := context.AfterFunc(ctx, conn.Close)
	resp, err := exchange(conn, req, body)
	if err != nil {
		stopContextWatch()
		conn.Close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	resp.Request = req
	resp.Body = &responseBody{conn: conn, reusable: !resp.Close && !t.disableReuse, pool: t.pool, body: resp.Body, stopContextWatch: stopContextWatch}
	return resp, nil
}

// exchange sends a request and reads the head of its response.
func exchange(conn *Conn, req *http.Request, body []byte) (*http.Response, error) {
	host := req.Host
	if host == "" {
		host = req.URL.Host
	}
	// If the context has no deadline, the write has none either; the end of the context
	// still closes the connection.
	deadline, _ := req.Context().Deadline()
	request := Request{Body: body, Header: req.Header, Host: host, Method: req.Method, URI: req.URL.RequestURI()}
	if err := conn.Send(request, deadline); err != nil {
		return nil, err
	}
	return conn.Receive(req.Method)
}

// readBody reads and closes the body of a request.
func readBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer req.Body.Close()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: read request body: %w", ErrConnect, err)
	}
	return body, nil
}

// addressOf returns the pool address for a request's URL.
func addressOf(req *http.Request) (string, error) {
	ports := map[string]string{"http": "80", "https": "443"}
	port, ok := ports[req.URL.Scheme]
	if !ok {
		return "", fmt.Errorf("%w: scheme %q is not HTTP", ErrConnect, req.URL.Scheme)
	}
	if p := req.URL.Port(); p != "" {
		port = p
	}
	address := net.JoinHostPort(req.URL.Hostname(), port)
	if req.URL.Scheme == "https" {
		address = tlsPrefix + address
	}
	return address, nil
}

// responseBody returns its connection to the pool once the body has been read to the
// end, and closes the connection if the body is closed before.
type responseBody struct {
	conn     *Conn
	released bool
	reusable bool
	pool     *Pool
	body     io.ReadCloser
	// stopContextWatch stops the end of the request's context from closing the connection.
	// It returns false if the closing has already begun.
	stopContextWatch func() bool
}

// Read reads from the response body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.release(b.reusable)
	}
	return n, err
}

// Close closes the connection unless the body has been read to the end.
func (b *responseBody) Close() error {
	b.release(false)
	return nil
}

// release returns the connection to the pool or closes it. Calls after the first have
// no effect.
func (b *responseBody) release(reusable bool) {
	if b.released {
		return
	}
	b.released = true
	if b.stopContextWatch() && reusable {
		b.pool.Put(b.conn, 0)
		return
	}
	b.conn.Close()
}
