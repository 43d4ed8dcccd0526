package savorypinpool

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings of reads and writes.
const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxHeadBytes is the maximum size of a response head, including all interim
	// responses before it.
	maxHeadBytes = 64 << 10
	// headBytes is the usual size of a request's head.
	headBytes = 1 << 10
	// maxCopiedBytes is the size of a request body up to which it is copied, to be sent with its head in
	// one piece.
	maxCopiedBytes = 16 << 10
	// maxRefusals is the number of refusals after which a connection isn't used again.
	maxRefusals = 32
)

// Conn is a connection to an endpoint that carries one request at a time. Only
// Close may be called from another goroutine.
type Conn struct {
	address   string
	br        *bufio.Reader
	head      *headReader
	idleUntil time.Time
	nc        net.Conn
	// refused are the IDs of the requests that the endpoint refused on this connection.
	refused []string
	reused  bool
	// tolerant is set if the connection outlasts a longer silence of its peer than others.
	tolerant bool
}

func newConn(nc net.Conn, address string) *Conn {
	head := &headReader{nc: nc}
	return &Conn{address: address, br: bufio.NewReaderSize(head, readBufferBytes), head: head, nc: nc}
}

// headReader reads from a connection and limits the size of a response head.
type headReader struct {
	remaining int
	limited   bool
	nc        net.Conn
}

// Read reads from the connection. Beyond the limit of a head it returns an error that
// wraps ErrMalformed.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.nc.Read(p)
	}
	if h.remaining <= 0 {
		return 0, fmt.Errorf("%w: response head exceeds %d bytes", ErrMalformed, maxHeadBytes)
	}
	n, err := h.nc.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}

// Request is an HTTP request to be sent on a Conn.
type Request struct {
	Body   []byte
	Header http.Header
	Host   string
	Method string
	// URI is the request target exactly as the caller sent it.
	URI string
}

// Reused reports whether the connection has carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// RecordRefusal records that the endpoint refused the request with an ID on this connection. It
// reports whether the connection may be used again.
func (c *Conn) RecordRefusal(id string) bool {
	c.refused = append(c.refused, id)
	return len(c.refused) <= maxRefusals
}

// HasRefused reports whether the endpoint refused a request with an ID on this connection. If it writes
// that refusal once more, it looks like the response to a repeat.
func (c *Conn) HasRefused(id string) bool { return slices.Contains(c.refused, id) }

// Buffered returns the number of bytes that can be read without blocking.
func (c *Conn) Buffered() int { return c.br.Buffered() }

// Close closes the connection. A request that was already sent may still be executed.
func (c *Conn) Close() {
	c.nc.Close()
}

// SetReadDeadline sets the deadline of future reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.nc.SetReadDeadline(t)
}

// TolerateSilence makes the kernel keep the connection for a time although the peer's host is silent. A
// host that has restarted meanwhile still ends it, as it resets connections that it doesn't know.
func (c *Conn) TolerateSilence(d time.Duration) error {
	count := int((d - keepAliveIdle) / keepAliveInterval)
	if count <= keepAliveCount {
		return nil
	}
	c.tolerant = true
	return c.setKeepAliveCount(min(count, maxKeepAliveCount))
}

// setKeepAliveCount sets the number of unanswered probes after which the kernel ends the connection.
func (c *Conn) setKeepAliveCount(count int) error {
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: count})
}

// Send writes a request, before the deadline if it is not zero.
func (c *Conn) Send(r Request, deadline time.Time) error {
	var buf bytes.Buffer
	copied := len(r.Body) <= maxCopiedBytes
	if copied {
		buf.Grow(len(r.Body) + headBytes)
	}
	buf.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&buf); err != nil {
		return fmt.Errorf("write request head: %w", err)
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	parts := net.Buffers{buf.Bytes(), r.Body}
	if copied {
		buf.Write(r.Body)
		parts = net.Buffers{buf.Bytes()}
	}
	if err := c.nc.SetWriteDeadline(deadline); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := parts.WriteTo(c.nc); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// Receive reads the head of the response and skips interim responses. The body must be
// read before the next request. The error wraps ErrMalformed if the head is malformed.
func (c *Conn) Receive(method string) (*http.Response, error) {
	c.head.remaining, c.head.limited = maxHeadBytes, true
	defer func() { c.head.limited = false }()
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read response head: %w", ClassifyReadError(err))
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		resp.Body.Close()
	}
}

// ClassifyReadError classifies an error from reading a response: it wraps ErrMalformed if the
// connection is intact but the response violates the protocol, and returns other errors
// unchanged.
func ClassifyReadError(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrMalformed), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// usable reports whether an idle connection is still open and has received no data.
// Data that arrived without a request makes it unusable.
func (c *Conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}
