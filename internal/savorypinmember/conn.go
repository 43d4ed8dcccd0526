package savorypinmember

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
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

// Sizes of queues, in frames.
const (
	queueFrames  = 1024
	streamFrames = 256
)

// writeBufferBytes is how much is gathered for one write.
const writeBufferBytes = 64 << 10

// Conn is a connection to another daemon.
type Conn struct {
	cfg       ConnConfig
	cancel    context.CancelCauseFunc
	conn      net.Conn
	ctx       context.Context //nolint:containedctx // It is the life of the connection.
	lastHeard atomic.Int64
	peer      Hello
	queue     chan []byte
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
		peer:    peer,
		queue:   make(chan []byte, queueFrames),
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
	if f.Stream == noticeStream {
		s := newStream(c, noticeStream)
		s.push(f)
		go c.cfg.Accept(s.ctx, s)
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

// sendNow queues a frame of the transport; a full queue needs no probe.
func (c *Conn) sendNow(kind FrameKind) {
	data, err := EncodeFrame(kind, 0, struct{}{})
	if err != nil {
		return
	}
	select {
	case c.queue <- data:
	default:
	}
}

func (c *Conn) write() {
	w := bufio.NewWriterSize(c.conn, writeBufferBytes)
	for {
		select {
		case data := <-c.queue:
			if err := c.writeAll(w, data); err != nil {
				c.fail(errors.Join(ErrClosed, err))
				return
			}
		case <-c.ctx.Done():
			return
		}
	}
}

// writeAll writes data and whatever else is queued in as few calls as it can.
func (c *Conn) writeAll(w *bufio.Writer, data []byte) error {
	for {
		if c.cfg.CountOut != nil {
			c.cfg.CountOut(len(data))
		}
		if _, err := w.Write(data); err != nil {
			return err
		}
		select {
		case data = <-c.queue:
		default:
			return w.Flush()
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

// Stream is a sequence of frames in both directions.
type Stream struct {
	cancel context.CancelCauseFunc
	conn   *Conn
	ctx    context.Context //nolint:containedctx // It is the life of the stream.
	id     uint64
	inbox  chan Frame
}

func newStream(c *Conn, id uint64) *Stream {
	ctx, cancel := context.WithCancelCause(c.ctx)
	return &Stream{
		cancel: cancel,
		conn:   c,
		ctx:    ctx,
		id:     id,
		inbox:  make(chan Frame, streamFrames),
	}
}

// Close ends the stream and tells the peer.
func (s *Stream) Close() {
	if s.ctx.Err() == nil && s.id != noticeStream {
		// A peer that cannot be told has lost the connection and knows.
		_ = s.Send(s.ctx, frameEnd, struct{}{})
	}
	s.fail(ErrClosed)
	s.forget()
}

// release ends the stream without telling the peer, who ends it too because
// the answer has been sent.
func (s *Stream) release() {
	s.fail(ErrClosed)
	s.forget()
}

// Conn returns the connection of the stream.
func (s *Stream) Conn() *Conn {
	return s.conn
}

// Receive returns the next frame. It returns a *savorypin.Error if the peer
// sent one, and ErrClosed or ErrSilent if the stream has ended.
func (s *Stream) Receive(ctx context.Context) (Frame, error) {
	select {
	case f := <-s.inbox:
		return s.check(f)
	default:
	}
	select {
	case f := <-s.inbox:
		return s.check(f)
	case <-s.ctx.Done():
		return Frame{}, context.Cause(s.ctx)
	case <-ctx.Done():
		return Frame{}, ctx.Err()
	}
}

// Send queues a frame. It blocks while the queue of the connection is full.
func (s *Stream) Send(ctx context.Context, kind FrameKind, v any) error {
	data, err := EncodeFrame(kind, s.id, v)
	if err != nil {
		return err
	}
	select {
	case s.conn.queue <- data:
		return nil
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SendError sends err to the peer, which receives it as a *savorypin.Error. It
// sends nothing if the peer awaits no answer.
func (s *Stream) SendError(ctx context.Context, err error) error {
	if s.id == noticeStream {
		return nil
	}
	return s.Send(ctx, frameError, newRemoteError(err))
}

func (s *Stream) check(f Frame) (Frame, error) {
	switch f.Kind {
	case frameEnd:
		s.fail(ErrClosed)
		s.forget()
		return f, ErrClosed
	case frameError:
		remote, err := Decode[remoteError](f)
		if err != nil {
			return f, err
		}
		return f, remote.error()
	default:
		return f, nil
	}
}

func (s *Stream) fail(err error) {
	s.cancel(err)
}

func (s *Stream) forget() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	delete(s.conn.streams, s.id)
}

// push hands a frame to the reader. It never blocks, so that a slow reader of
// one stream cannot hold up the others.
func (s *Stream) push(f Frame) {
	select {
	case s.inbox <- f:
		if f.Kind == frameEnd {
			s.endIfIdle()
		}
	default:
		s.fail(ErrOverrun)
		s.forget()
	}
}

// endIfIdle releases a stream whose peer has ended it. Frames that are still
// in the inbox can be received.
func (s *Stream) endIfIdle() {
	s.fail(ErrClosed)
	s.forget()
}

// remoteError is an error on the wire.
type remoteError struct {
	Kind       savorypin.ErrorKind `msgpack:"k"`
	Message    string              `msgpack:"m"`
	Object     string              `msgpack:"o"`
	RetryAfter time.Duration       `msgpack:"r"`
}

func newRemoteError(err error) remoteError {
	var e *savorypin.Error
	if errors.As(err, &e) {
		return remoteError{
			Kind:       e.Kind,
			Message:    e.Err.Error(),
			Object:     e.Object,
			RetryAfter: e.RetryAfter,
		}
	}
	return remoteError{Kind: savorypin.KindUnknown, Message: err.Error()}
}

func (r remoteError) error() error {
	return savorypin.Errorf(r.Kind, r.Object, "%s", r.Message).WithRetryAfter(r.RetryAfter)
}
