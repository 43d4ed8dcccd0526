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
	// Accept is called on a goroutine of its own for each stream that the peer
	// opens.
	Accept func(ctx context.Context, s *Stream)
	// CountIn and CountOut count bytes by what they are for.
	CountIn, CountOut func(bytes int)
	// Dialer says that this end dialed.
	Dialer bool
	// Now is the clock.
	Now func() time.Time
	// ProbeAfter is how long a connection with open streams may be quiet
	// before it is probed.
	ProbeAfter time.Duration
	// IdleProbeAfter is the same for a connection without open streams.
	IdleProbeAfter time.Duration
	// SilentAfter is how long after a probe a quiet connection is closed.
	SilentAfter time.Duration
	// Wait returns a channel that receives after a duration.
	Wait func(time.Duration) <-chan time.Time
}

// streamFrames is how many frames a stream may hold at its receiver.
const streamFrames = 1024

// readBufferBytes is how much is read at once.
const readBufferBytes = 64 << 10

// Conn is a connection to another daemon.
type Conn struct {
	cfg       ConnConfig
	cancel    context.CancelCauseFunc
	conn      net.Conn
	ctx       context.Context //nolint:containedctx // It is the life of the connection.
	lastHeard atomic.Int64
	out       *outbox
	peer      Hello
	wg        sync.WaitGroup

	mu      sync.Mutex
	next    uint64
	streams map[uint64]*Stream
}

// newConn starts the goroutines of a connection whose handshake is done.
func newConn(cfg ConnConfig, conn net.Conn, r *bufio.Reader, peer Hello) *Conn {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &Conn{
		cfg:     cfg,
		cancel:  cancel,
		conn:    conn,
		ctx:     ctx,
		out:     newOutbox(),
		peer:    peer,
		streams: map[uint64]*Stream{},
	}
	if cfg.Dialer {
		c.next = 1
	} else {
		c.next = 2
	}
	c.heard()
	c.wg.Go(func() { c.read(r) })
	c.wg.Go(c.write)
	c.wg.Go(c.watch)
	return c
}

// Close closes the connection and all its streams.
func (c *Conn) Close() {
	c.fail(ErrClosed)
	c.wg.Wait()
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.ctx.Done()
}

// Err returns why the connection has ended, or nil if it is open.
func (c *Conn) Err() error {
	return context.Cause(c.ctx)
}

// Peer returns what the peer said of itself.
func (c *Conn) Peer() Hello {
	return c.peer
}

// Open opens a stream to the peer.
func (c *Conn) Open() (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.Err(); err != nil {
		return nil, err
	}
	s := newStream(c, c.next)
	c.streams[s.id] = s
	c.next += 2
	return s, nil
}

// Quiet returns how long nothing has come from the peer. A connection with
// open streams is probed, so that a live one is never quiet for long.
func (c *Conn) Quiet() time.Duration {
	return c.cfg.Now().Sub(time.Unix(0, c.lastHeard.Load()))
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

func (c *Conn) heard() {
	c.lastHeard.Store(c.cfg.Now().UnixNano())
}

func (c *Conn) read(r *bufio.Reader) {
	for {
		f, err := ReadFrame(r)
		if err != nil {
			c.fail(errors.Join(ErrClosed, err))
			return
		}
		c.heard()
		if c.cfg.CountIn != nil {
			c.cfg.CountIn(len(f.Body))
		}
		c.dispatch(f)
	}
}

func (c *Conn) dispatch(f Frame) {
	switch f.Kind {
	case framePing:
		c.sendNow(framePong)
		return
	case framePong:
		return
	}
	c.mu.Lock()
	s, ok := c.streams[f.Stream]
	if !ok && f.Kind != frameEnd && c.opensHere(f.Stream) {
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

// opensHere reports whether the peer may open the stream. Late frames of a
// stream that this end opened and closed must not open it again.
func (c *Conn) opensHere(id uint64) bool {
	const even = 2
	fromDialer := id%even == 1
	return fromDialer != c.cfg.Dialer
}

// sendNow queues a frame of the transport.
func (c *Conn) sendNow(kind FrameKind) {
	// The bodies of these frames are constant and can be encoded.
	_ = c.send(context.Background(), kind, 0, struct{}{}, true)
}

// send encodes a frame and queues it. An urgent frame never waits.
func (c *Conn) send(ctx context.Context, kind FrameKind, stream uint64, v any, urgent bool) error {
	e := encodings.Get().(*encoding)
	defer e.release()
	if err := e.encode(kind, stream, v); err != nil {
		return err
	}
	for {
		room := c.out.put(e.buf.Bytes(), urgent)
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

// write writes all that is queued in as few calls as it can.
func (c *Conn) write() {
	for {
		select {
		case <-c.out.ready():
		case <-c.ctx.Done():
			return
		}
		data := c.out.take()
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

// watch probes a quiet connection and closes a silent one.
func (c *Conn) watch() {
	for {
		limit := c.cfg.IdleProbeAfter
		if c.Streams() > 0 {
			limit = c.cfg.ProbeAfter
		}
		quiet := c.cfg.Now().Sub(time.Unix(0, c.lastHeard.Load()))
		if quiet < limit {
			if !c.pause(min(limit-quiet, c.cfg.ProbeAfter)) {
				return
			}
			continue
		}
		heard := c.lastHeard.Load()
		c.sendNow(framePing)
		if !c.pause(c.cfg.SilentAfter) {
			return
		}
		if c.lastHeard.Load() == heard {
			c.fail(ErrSilent)
			return
		}
	}
}

// pause waits and reports false if the connection has ended.
func (c *Conn) pause(d time.Duration) bool {
	select {
	case <-c.cfg.Wait(d):
		return true
	case <-c.ctx.Done():
		return false
	}
}
