package savorypinmember

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ConnConfig configures a Conn.
type ConnConfig struct {
	// Accept is called in its own goroutine for each stream that the peer opens.
	Accept func(ctx context.Context, s *Stream)
	// CountIn and CountOut are called with the number of bytes received and sent; nil for no
	// counting.
	CountIn, CountOut func(bytes int)
	// Dialer says that this end opened the connection.
	Dialer bool
	// Now returns the current time.
	Now func() time.Time
	// ProbeAfter is how long a connection with open streams may receive nothing before it is
	// probed.
	ProbeAfter time.Duration
	// IdleProbeAfter is the same as ProbeAfter for a connection without open streams.
	IdleProbeAfter time.Duration
	// ProbeTimeout is how long a connection may receive nothing after a probe before it is
	// closed.
	ProbeTimeout time.Duration
	// Wait returns a channel that receives a value after a duration, like time.After.
	Wait func(time.Duration) <-chan time.Time
}

// maxStreamFrames bounds the unread frames that a stream buffers.
const maxStreamFrames = 1024

// readBufferBytes is the size of the read buffer of a connection.
const readBufferBytes = 64 << 10

// Conn is a connection to another daemon.
type Conn struct {
	cfg          ConnConfig
	cancel       context.CancelCauseFunc
	conn         net.Conn
	ctx          context.Context //nolint:containedctx // It ends with the connection.
	lastReceived atomic.Int64
	outbox       *outbox
	peer         Hello
	wg           sync.WaitGroup

	mu         sync.Mutex
	nextStream uint64
	streams    map[uint64]*Stream
}

// newConn starts the goroutines of a connection after its handshake.
func newConn(cfg ConnConfig, conn net.Conn, r *bufio.Reader, peer Hello) *Conn {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &Conn{
		cfg:     cfg,
		cancel:  cancel,
		conn:    conn,
		ctx:     ctx,
		outbox:  newOutbox(),
		peer:    peer,
		streams: map[uint64]*Stream{},
	}
	if cfg.Dialer {
		c.nextStream = 1
	} else {
		c.nextStream = 2
	}
	c.markReceived()
	c.wg.Go(func() { c.read(r) })
	c.wg.Go(c.write)
	c.wg.Go(c.probeWhenIdle)
	return c
}

// Close closes the connection and all its streams.
func (c *Conn) Close() {
	c.fail(ErrClosed)
	c.wg.Wait()
}

// Done returns a channel that is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} {
	return c.ctx.Done()
}

// Err returns why the connection has ended; nil if it is open.
func (c *Conn) Err() error {
	return context.Cause(c.ctx)
}

// Peer returns the hello that the peer sent.
func (c *Conn) Peer() Hello {
	return c.peer
}

// Open opens a stream to the peer. It returns an error if the connection has ended.
func (c *Conn) Open() (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.Err(); err != nil {
		return nil, err
	}
	s := newStream(c, c.nextStream)
	c.streams[s.id] = s
	c.nextStream += 2
	return s, nil
}

// IdleTime returns the time since a frame was last received. It stays short on a working
// connection with open streams, as that is probed.
func (c *Conn) IdleTime() time.Duration {
	return c.cfg.Now().Sub(time.Unix(0, c.lastReceived.Load()))
}

// Streams returns the number of open streams.
func (c *Conn) Streams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

func (c *Conn) fail(err error) {
	c.cancel(err)
	c.conn.Close()
	c.mu.Lock()
	streams := c.streams
	c.streams = map[uint64]*Stream{}
	c.mu.Unlock()
	for _, s := range streams {
		s.fail(err)
	}
}

func (c *Conn) markReceived() {
	c.lastReceived.Store(c.cfg.Now().UnixNano())
}

func (c *Conn) read(r *bufio.Reader) {
	for {
		f, err := ReadFrame(r)
		if err != nil {
			c.fail(errors.Join(ErrClosed, err))
			return
		}
		c.markReceived()
		if c.cfg.CountIn != nil {
			c.cfg.CountIn(len(f.Body))
		}
		c.dispatch(f)
	}
}

func (c *Conn) dispatch(f Frame) {
	switch f.Kind {
	case framePing:
		c.sendControl(framePong)
		return
	case framePong:
		return
	}
	if f.Stream == noticeStream {
		s := newStream(c, noticeStream)
		s.push(f)
		go c.cfg.Accept(s.ctx, s)
		return
	}
	c.mu.Lock()
	s, ok := c.streams[f.Stream]
	if !ok && f.Kind != frameEnd && c.peerMayOpen(f.Stream) {
		s = newStream(c, f.Stream)
		c.streams[f.Stream] = s
		c.mu.Unlock()
		s.push(f)
		go c.cfg.Accept(s.ctx, s)
		return
	}
	c.mu.Unlock()
	if ok {
		s.push(f)
	}
}

// peerMayOpen reports whether the peer may open a stream with this id. Late frames of a stream
// that this end opened and closed must not open it again.
func (c *Conn) peerMayOpen(id uint64) bool {
	const even = 2
	fromDialer := id%even == 1
	return fromDialer != c.cfg.Dialer
}

// sendControl queues a frame that belongs to no stream. It never blocks.
func (c *Conn) sendControl(kind FrameKind) {
	// The body is constant, so encoding can't fail.
	_ = c.send(context.Background(), kind, 0, struct{}{}, true)
}

// send encodes a frame and queues it. It blocks while the queue is full, unless the frame is
// urgent.
func (c *Conn) send(ctx context.Context, kind FrameKind, stream uint64, v any, urgent bool) error {
	e := frameEncoders.Get().(*frameEncoder)
	defer e.release()
	if err := e.encode(kind, stream, v); err != nil {
		return err
	}
	for {
		room := c.outbox.put(e.buf.Bytes(), urgent)
		if room == nil {
			return nil
		}
		select {
		case <-room:
		case <-c.ctx.Done():
			return c.Err()
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// write writes the queued frames, with as few system calls as possible.
func (c *Conn) write() {
	for {
		select {
		case <-c.outbox.ready():
		case <-c.ctx.Done():
			return
		}
		data := c.outbox.take()
		if len(data) == 0 {
			continue
		}
		if c.cfg.CountOut != nil {
			c.cfg.CountOut(len(data))
		}
		if _, err := c.conn.Write(data); err != nil {
			c.fail(errors.Join(ErrClosed, err))
			return
		}
	}
}

// probeWhenIdle probes a connection that receives nothing, and closes it if the probe isn't
// answered.
func (c *Conn) probeWhenIdle() {
	for {
		limit := c.cfg.IdleProbeAfter
		if c.Streams() > 0 {
			limit = c.cfg.ProbeAfter
		}
		idle := c.cfg.Now().Sub(time.Unix(0, c.lastReceived.Load()))
		if idle < limit {
			if !c.sleep(min(limit-idle, c.cfg.ProbeAfter)) {
				return
			}
			continue
		}
		before := c.lastReceived.Load()
		c.sendControl(framePing)
		if !c.sleep(c.cfg.ProbeTimeout) {
			return
		}
		if c.lastReceived.Load() == before {
			c.fail(ErrUnresponsive)
			return
		}
	}
}

// sleep waits for d. It returns false if the connection has ended.
func (c *Conn) sleep(d time.Duration) bool {
	select {
	case <-c.cfg.Wait(d):
		return true
	case <-c.ctx.Done():
		return false
	}
}
