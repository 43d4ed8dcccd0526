package savorypingateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"savorypin/internal/savorypinbuffer"
)

// errGaveWay means that a stream was aborted so that others can buffer their events.
var errGaveWay = errors.New("memory of slow callers is used up")

// callerConn is a connection of a caller. While a stream is relayed on it, what the kernel does not take
// at once is queued within a budget and written by a goroutine that lasts until the queue is empty. A
// caller that keeps up costs one system call for each write, as without the queue.
type callerConn struct {
	net.Conn

	// raw gives access to the socket; nil if the connection has none, which is then never buffered.
	raw syscall.RawConn
	// attempt is the method attemptWrite, kept to save an allocation for each write.
	attempt func(fd uintptr) bool
	mu      sync.Mutex
	// changed is signalled when the queue gets shorter or the goroutine ends.
	changed sync.Cond
	// draining is set while a goroutine writes the queue. The queue is empty while it is not set.
	draining bool
	// err is why nothing more can be written: the error of the goroutine, or errGaveWay.
	err   error
	queue blockQueue
	// use is how the current stream uses the queue; nil if nothing may be queued.
	use *bufferUse
	// attempted, written and attemptErr are the argument and the results of attemptWrite.
	attempted  []byte
	written    int
	attemptErr error
}

// bufferUse is how a stream uses the queue of its caller's connection.
type bufferUse struct {
	// ctx ends when the caller leaves.
	ctx    context.Context //nolint:containedctx // it is used only if the caller reads slowly
	holder *savorypinbuffer.Holder
	// onBuffering is called when bytes are queued for the first time, and onFull when the budget is used up
	// for the first time.
	onBuffering, onFull func()

	buffering, full bool
	// stop ends the watch for a caller that leaves; nil until the caller has proved slow.
	stop func() bool
}

// newCallerConn returns a connection whose writes can be queued.
func newCallerConn(nc net.Conn) *callerConn {
	c := &callerConn{Conn: nc}
	c.attempt = c.attemptWrite
	c.changed.L = &c.mu
	if sc, ok := nc.(syscall.Conn); ok {
		// Without access to the socket, all writes block.
		c.raw, _ = sc.SyscallConn()
	}
	return c
}

// NetConn returns the connection whose writes are queued.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// CloseWrite shuts down the writing side, which net/http does before it closes a connection whose
// request it has not read whole.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Write writes to the caller. It queues what would block, if a stream is relayed.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.use == nil && c.err == nil {
		c.mu.Unlock()
		return c.Conn.Write(p)
	}
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	n := 0
	if !c.draining {
		var err error
		if n, err = c.writeAtOnce(p); err != nil || n == len(p) {
			return n, err
		}
	}
	queued, err := c.enqueueLocked(p[n:])
	return n + queued, err
}

// writeAtOnce writes what the kernel takes without blocking. The caller holds c.mu.
func (c *callerConn) writeAtOnce(p []byte) (int, error) {
	c.attempted, c.written, c.attemptErr = p, 0, nil
	err := c.raw.Write(c.attempt)
	c.attempted = nil
	if err == nil {
		err = c.attemptErr
	}
	return c.written, err
}

// attemptWrite makes one attempt to write to a socket that does not block. It returns true, so that the
// runtime does not wait until the socket is writable.
func (c *callerConn) attemptWrite(fd uintptr) bool {
	for {
		n, err := unix.Write(int(fd), c.attempted)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
		case err != nil:
			c.attemptErr = &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
		default:
			c.written = n
		}
		return true
	}
}

// enqueueLocked queues p. Beyond the budget it waits, as a write that blocks does. The caller holds c.mu.
func (c *callerConn) enqueueLocked(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		if c.err != nil {
			return n, c.err
		}
		if added := c.queue.fill(p[n:]); added > 0 {
			n += added
			continue
		}
		switch {
		case c.use.holder.Reserve(blockBytes):
			c.queue.grow()
			c.drainLocked()
		case c.draining:
			c.recordFullLocked()
			c.changed.Wait()
		default:
			c.recordFullLocked()
			written, err := c.writeBlocking(p[n:])
			return n + written, err
		}
	}
	return n, nil
}

// writeBlocking writes p as without a queue. The caller holds c.mu, which is released meanwhile.
func (c *callerConn) writeBlocking(p []byte) (int, error) {
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.Conn.Write(p)
}

// drainLocked starts the goroutine that writes the queue, unless it runs. The caller holds c.mu.
func (c *callerConn) drainLocked() {
	if c.draining {
		return
	}
	c.draining = true
	if !c.use.buffering {
		c.use.buffering = true
		c.use.onBuffering()
	}
	c.watchLocked()
	go c.drain(c.use.holder)
}

// watchLocked closes the connection when the caller leaves. A write that blocks would otherwise go on until
// its deadline. The caller holds c.mu.
func (c *callerConn) watchLocked() {
	if c.use.stop == nil {
		c.use.stop = context.AfterFunc(c.use.ctx, func() { c.Close() })
	}
}

// recordFullLocked reports once for each stream that the budget is used up. The caller holds c.mu.
func (c *callerConn) recordFullLocked() {
	if !c.use.full {
		c.use.full = true
		c.use.onFull()
	}
	c.watchLocked()
}

// drain writes the queue until it is empty or a write fails.
func (c *callerConn) drain(holder *savorypinbuffer.Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	defer func() { c.draining = false }()
	for !c.queue.empty() {
		batch := c.queue.take()
		held := int64(len(batch)) * blockBytes
		c.mu.Unlock()
		_, err := batch.WriteTo(c.Conn)
		c.mu.Lock()
		holder.Release(held)
		if c.err == nil {
			c.err = err
		}
		if c.err != nil {
			holder.Release(int64(c.queue.clear()) * blockBytes)
			return
		}
		c.changed.Broadcast()
	}
}

// begin lets a stream queue what it writes, until finish is called.
func (c *callerConn) begin(use *bufferUse) {
	if c == nil || c.raw == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use = use
}

// finish waits until all that is queued has been written, and ends the use of the queue. If that is not
// possible, as the caller leaves or the deadline of writes passes, it closes the connection and returns an
// error.
func (c *callerConn) finish() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.draining {
		c.changed.Wait()
	}
	if c.use != nil && c.use.stop != nil {
		c.use.stop()
	}
	c.use = nil
	if c.err != nil {
		c.Close()
	}
	return c.err
}

// yield ends a stream, unless it has finished meanwhile. The goroutine that writes the queue discards it.
// The lock can't lead to a deadlock although the other stream holds its own: a stream that has given way
// makes no other do so.
func (c *callerConn) yield(use *bufferUse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != use {
		return false
	}
	c.err = errGaveWay
	c.Close()
	return true
}

// gaveWay reports whether the stream on the connection has lost its memory to another one.
func (c *callerConn) gaveWay() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(c.err, errGaveWay)
}
