package savorypinweb

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connState says how far the current request of a connection is.
type connState = int32

const (
	// connWaiting means that the request head isn't complete, or has not begun.
	connWaiting connState = iota
	// connEnded means that the head has ended, and the body hasn't, or that the head is invalid.
	connEnded
	// connServing means that the request is complete and in progress.
	connServing
	// connStopped means that the connection is closed for a limit and begins no request.
	connStopped
)

// conn is a connection whose memory a Budget limits.
type conn struct {
	*net.TCPConn

	budget *Budget
	close  sync.Once
	// held is the memory that is charged to the connection.
	held atomic.Int64
	// served says that a response was sent, begun that the next request has begun since.
	served, begun atomic.Bool
	// since is the time at which the connection began to wait for a request, in nanoseconds.
	since atomic.Int64
	state atomic.Int32

	// headDeadline, lines and unpaid are used by the goroutine that reads request heads and calls the
	// handler only.
	headDeadline time.Time
	// lines is the number of lines of a head that were read.
	lines int
	// unpaid is the cost of the part of a head that was read and isn't charged yet. A head that
	// arrives in one read is never charged.
	unpaid int64
}

// Read reads, and charges what the connection holds if the head isn't complete after a read.
func (c *conn) Read(p []byte) (int, error) {
	if c.state.Load() != connWaiting {
		return c.TCPConn.Read(p)
	}
	if c.unpaid > 0 {
		switch {
		case c.lines > c.budget.cfg.Lines:
			return 0, c.refuseHead("431 Request Header Fields Too Large")
		case c.lines > defaultLines && c.budget.crowded():
			return 0, c.refuseHead("503 Service Unavailable")
		}
		c.continueHead()
	}
	n, err := c.TCPConn.Read(p)
	lines := bytes.Count(p[:n], []byte{'\n'})
	c.lines += lines
	c.unpaid += int64(2*n + lineCost*lines)
	return n, err
}

// refuseHead answers a head with too many lines and returns the error with which its read ends. The
// server itself answers no failed read.
func (c *conn) refuseHead(status string) error {
	response := "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// The response fits into the buffer of the socket, unless the caller reads none.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.TCPConn, response); err != nil {
		return err
	}
	return io.EOF
}

// continueHead is called before a read for the rest of a head.
func (c *conn) continueHead() {
	c.begun.Store(true)
	unpaid := c.unpaid
	c.unpaid = 0
	if timeout := c.budget.cfg.HeaderTimeout; timeout > 0 && c.headDeadline.IsZero() {
		c.headDeadline = time.Now().Add(timeout)
		// A read after this fails if the connection is closed.
		_ = c.TCPConn.SetReadDeadline(c.headDeadline)
	}
	c.budget.charge(c, unpaid)
}

// SetReadDeadline sets the deadline of reads, but no later one than that of a head that has begun.
// The server sets one that includes the time for which a connection may be idle.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.state.Load() == connWaiting && !c.headDeadline.IsZero() && t.After(c.headDeadline) {
		t = c.headDeadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close closes the connection and returns what it holds to the budget.
func (c *conn) Close() error {
	c.close.Do(func() { c.budget.remove(c) })
	return c.TCPConn.Close()
}

// evictable reports whether no request is in progress.
func (c *conn) evictable() bool {
	s := c.state.Load()
	return s == connWaiting || s == connEnded
}

// idle reports whether the connection waits for a further request that has not begun.
func (c *conn) idle() bool {
	return c.state.Load() == connWaiting && c.served.Load() && !c.begun.Load()
}

// stop prevents that a request begins. It returns false if one has begun, or if the connection was
// stopped before.
func (c *conn) stop() bool {
	return c.state.CompareAndSwap(connWaiting, connStopped) || c.state.CompareAndSwap(connEnded, connStopped)
}

// endHead is called when a head has ended, or is invalid.
func (c *conn) endHead() {
	if !c.state.CompareAndSwap(connWaiting, connEnded) {
		return
	}
	c.headDeadline = time.Time{}
}

// awaitBody charges the last part of a head whose request isn't complete.
func (c *conn) awaitBody() {
	unpaid := c.unpaid
	c.unpaid = 0
	c.budget.charge(c, unpaid)
}

// begin is called when a request is complete. It returns false if the connection was stopped.
func (c *conn) begin() bool {
	if c.state.CompareAndSwap(connEnded, connServing) {
		c.budget.release(c)
	}
	return c.state.Load() == connServing
}

// endRequest is called when a response was sent and the connection stays open.
func (c *conn) endRequest() {
	c.lines, c.unpaid = 0, 0
	c.served.Store(true)
	c.begun.Store(false)
	c.since.Store(time.Now().UnixNano())
	c.budget.release(c)
	if c.state.CompareAndSwap(connServing, connWaiting) || c.state.CompareAndSwap(connEnded, connWaiting) {
		c.budget.charge(c, connCost)
		c.budget.signal()
	}
}

// budgetConn returns the connection of a budget that a server's connection is or wraps; nil if there is none.
func budgetConn(nc net.Conn) *conn {
	for {
		switch inner := nc.(type) {
		case *conn:
			return inner
		case interface{ NetConn() net.Conn }:
			nc = inner.NetConn()
		default:
			return nil
		}
	}
}

// trackState follows the states of a server's connection.
func trackState(nc net.Conn, state http.ConnState) {
	c := budgetConn(nc)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.endHead()
	case http.StateIdle:
		c.endRequest()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Begin says that the request of a context is complete, so that its connection isn't closed for a
// limit any more. It returns false if that has happened already; the request must not run then.
func Begin(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c == nil || c.begin()
}
