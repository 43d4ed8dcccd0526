package savorypinpool

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings of reads.
const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// headBytes bounds the head of an answer, with all interim answers before it.
	headBytes = 64 << 10
)

// Conn is a connection to an endpoint that carries one request at a time. Only
// Close may be called from another goroutine.
type Conn struct {
	address   string
	br        *bufio.Reader
	head      *headReader
	idleUntil time.Time
	nc        net.Conn
	reused    bool
}

func newConn(nc net.Conn, address string) *Conn {
	head := &headReader{nc: nc}
	return &Conn{address: address, br: bufio.NewReaderSize(head, readBufferBytes), head: head, nc: nc}
}

// headReader reads from a connection and bounds the bytes of a head.
type headReader struct {
	left    int
	limited bool
	nc      net.Conn
}

// Read reads from the connection. Past the bound of a head it returns an error that
// wraps ErrMalformed.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.nc.Read(p)
	}
	if h.left <= 0 {
		return 0, fmt.Errorf("%w: head is longer than %d bytes", ErrMalformed, headBytes)
	}
	n, err := h.nc.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// Request is a request on the wire.
type Request struct {
	Body   []byte
	Header http.Header
	Host   string
	Method string
	// URI is the request target as the caller wrote it.
	URI string
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Buffered is the number of bytes that can be read at once.
func (c *Conn) Buffered() int { return c.br.Buffered() }

// Close closes the connection. What was sent may still run.
func (c *Conn) Close() {
	c.nc.Close()
}

// SetReadDeadline bounds the reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.nc.SetReadDeadline(t)
}

// Send writes a request until the deadline.
func (c *Conn) Send(r Request, deadline time.Time) error {
	var buf bytes.Buffer
	buf.Grow(len(r.Body) + 1024)
	buf.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&buf); err != nil {
		return fmt.Errorf("write request head: %w", err)
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(r.Body)
	if err := c.nc.SetWriteDeadline(deadline); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := c.nc.Write(buf.Bytes()); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// Receive reads the head of the answer. The body must be read before the next
// request. The error wraps ErrMalformed if what came is no head.
func (c *Conn) Receive(method string) (*http.Response, error) {
	c.head.left, c.head.limited = headBytes, true
	defer func() { c.head.limited = false }()
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer head: %w", ReadError(err))
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		resp.Body.Close()
	}
}

// ReadError returns the error of a read of an answer, and wraps ErrMalformed if the
// connection holds but what came is not in the protocol.
func ReadError(err error) error {
	var broken net.Error
	switch {
	case errors.Is(err, ErrMalformed), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken):
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// usable reports whether an idle connection is open and silent. Bytes that
// arrived while no request waited make it unusable.
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
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
