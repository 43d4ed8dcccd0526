package savorypinmember

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinpanic"
)

const (
	// maxHandshakes limits the accepted connections whose handshake isn't complete.
	maxHandshakes = 64
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler serves one stream that a peer opened. Transport selects it by the kind of the first
// frame. An error that it returns is sent to the peer.
type Handler func(ctx context.Context, s *Stream, first Frame) error

// TransportConfig configures a Transport.
type TransportConfig struct {
	// CountIn and CountOut are called with the number of bytes received from and sent to a
	// peer; nil for no counting.
	CountIn, CountOut func(peer Hello, bytes int)
	// Dial opens a connection to an address; nil means net.DialTimeout over TCP.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
	// Handlers serve the streams that peers open, by the kind of the first frame.
	Handlers map[FrameKind]Handler
	// HandshakeTimeout bounds both the dial and the handshake of a connection.
	HandshakeTimeout time.Duration
	// IdleProbeAfter is how long a connection without open streams may receive nothing before
	// it is probed.
	IdleProbeAfter time.Duration
	// Key is the shared key of the daemons.
	Key []byte
	// Panicked is called when a handler panics; nil for no call.
	Panicked func(kind FrameKind, err *savorypinpanic.PanicError)
	// ProbeAfter is how long a connection with open streams may receive nothing before it is
	// probed.
	ProbeAfter time.Duration
	// Self identifies this daemon to its peers.
	Self Hello
	// ProbeTimeout is how long a probe may stay unanswered before the connection is closed.
	ProbeTimeout time.Duration
}

// Transport keeps one connection to each peer that this daemon calls, and serves the
// connections that peers open.
type Transport struct {
	cfg    TransportConfig
	dials  singleflight.Group
	wg     sync.WaitGroup
	mu     sync.Mutex
	closed bool
	conns  map[string]*Conn
	// retired are the replaced connections, on which no new streams are opened.
	retired map[*Conn]bool
	// accepted are the connections that peers opened.
	accepted map[*Conn]bool
	// handshakes are the accepted connections whose handshake isn't complete, the oldest first.
	handshakes []net.Conn
	ln         net.Listener
}

// NewTransport returns a transport without connections that does not listen yet.
func NewTransport(cfg TransportConfig) *Transport {
	if cfg.Dial == nil {
		cfg.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		}
	}
	return &Transport{
		cfg:      cfg,
		conns:    map[string]*Conn{},
		retired:  map[*Conn]bool{},
		accepted: map[*Conn]bool{},
	}
}

// Close closes the listener and all connections, and waits until they have ended.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	if t.ln != nil {
		t.ln.Close()
	}
	var conns []*Conn
	for _, c := range t.conns {
		conns = append(conns, c)
	}
	for c := range t.accepted {
		conns = append(conns, c)
	}
	for c := range t.retired {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
	t.wg.Wait()
}

// Connections returns the number of open connections.
func (t *Transport) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) + len(t.retired) + len(t.accepted)
}

// Get returns the connection to the daemon at address. It opens one if there is none.
func (t *Transport) Get(ctx context.Context, address string) (*Conn, error) {
	t.mu.Lock()
	c, ok := t.conns[address]
	t.mu.Unlock()
	if ok && c.Err() == nil {
		return c, nil
	}
	result := t.dials.DoChan(address, func() (any, error) { return t.dial(address) })
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*Conn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ReplaceIfIdle makes the next Get open a new connection to address if the current one has
// received nothing for longer than limit. Streams on the current one continue.
func (t *Transport) ReplaceIfIdle(address string, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.conns[address]
	if !ok || c.IdleTime() <= limit {
		return
	}
	delete(t.conns, address)
	t.retired[c] = true
	go func() {
		<-c.Done()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.retired, c)
	}()
}

// Serve accepts connections until the listener is closed. It returns nil if the listener is
// closed, and any other error of the listener.
func (t *Transport) Serve(ln net.Listener) error {
	t.mu.Lock()
	t.ln = ln
	closed := t.closed
	t.mu.Unlock()
	if closed {
		// Close was called before the listener was set and could not close it.
		ln.Close()
	}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Too many open files, or a connection that was closed at once. Both are
			// temporary.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !t.startServing(conn) {
			conn.Close()
		}
	}
}

// startServing starts to serve a connection. It returns false if the transport is closed. Close
// waits for all connections for which it returned true.
func (t *Transport) startServing(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wg.Go(func() { t.serveConn(conn) })
	return true
}

// beginHandshake records a connection whose peer isn't known yet. If there are too many, the oldest one
// is closed: an honest peer needs less time than it takes to open maxHandshakes connections.
func (t *Transport) beginHandshake(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.handshakes) >= maxHandshakes {
		t.handshakes[0].Close()
		t.handshakes = slices.Delete(t.handshakes, 0, 1)
	}
	t.handshakes = append(t.handshakes, conn)
}

func (t *Transport) endHandshake(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.handshakes, conn); i >= 0 {
		t.handshakes = slices.Delete(t.handshakes, i, i+1)
	}
}

// serveConn performs the handshake of an accepted connection and serves it until it ends.
func (t *Transport) serveConn(conn net.Conn) {
	t.beginHandshake(conn)
	r := bufio.NewReaderSize(conn, readBufferBytes)
	peer, err := handshake(conn, r, t.cfg.Self, t.cfg.Key, t.cfg.HandshakeTimeout)
	t.endHandshake(conn)
	if err != nil {
		conn.Close()
		return
	}
	c := newConn(t.connConfig(false, peer), conn, r, peer)
	t.mu.Lock()
	closed := t.closed
	t.accepted[c] = true
	t.mu.Unlock()
	if closed {
		c.Close()
	}
	<-c.Done()
	t.mu.Lock()
	delete(t.accepted, c)
	t.mu.Unlock()
}

func (t *Transport) dial(address string) (*Conn, error) {
	conn, err := t.cfg.Dial(address, t.cfg.HandshakeTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: dial %s: %w", ErrClosed, address, err)
	}
	r := bufio.NewReaderSize(conn, readBufferBytes)
	peer, err := handshake(conn, r, t.cfg.Self, t.cfg.Key, t.cfg.HandshakeTimeout)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	c := newConn(t.connConfig(true, peer), conn, r, peer)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		c.fail(ErrClosed)
		return nil, ErrClosed
	}
	t.conns[address] = c
	go t.removeWhenDone(address, c)
	return c, nil
}

// removeWhenDone removes a connection when it ends.
func (t *Transport) removeWhenDone(address string, c *Conn) {
	<-c.Done()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == c {
		delete(t.conns, address)
	}
}

func (t *Transport) connConfig(dialer bool, peer Hello) ConnConfig {
	cfg := ConnConfig{
		Accept:         t.serveStream,
		Dialer:         dialer,
		IdleProbeAfter: t.cfg.IdleProbeAfter,
		Now:            time.Now,
		ProbeAfter:     t.cfg.ProbeAfter,
		ProbeTimeout:   t.cfg.ProbeTimeout,
		Wait:           time.After,
	}
	if t.cfg.CountIn != nil {
		cfg.CountIn = func(n int) { t.cfg.CountIn(peer, n) }
	}
	if t.cfg.CountOut != nil {
		cfg.CountOut = func(n int) { t.cfg.CountOut(peer, n) }
	}
	return cfg
}

func (t *Transport) serveStream(ctx context.Context, s *Stream) {
	defer s.Close()
	first, err := s.Receive(ctx)
	if err != nil {
		return
	}
	handler, ok := t.cfg.Handlers[first.Kind]
	if !ok {
		err = savorypin.Errorf(savorypin.KindInvalid, string(first.Kind), "no handler for this kind of frame")
	} else {
		err = savorypinpanic.Recover(func() error { return handler(ctx, s, first) })
		t.reportPanic(first.Kind, err)
	}
	if err != nil {
		// If the error can't be sent, the stream or its connection has ended.
		_ = s.SendError(ctx, err)
	}
}

// reportPanic calls Panicked if err is the panic of a handler.
func (t *Transport) reportPanic(kind FrameKind, err error) {
	var panicked *savorypinpanic.PanicError
	if errors.As(err, &panicked) && t.cfg.Panicked != nil {
		t.cfg.Panicked(kind, panicked)
	}
}

// Call sends a request on a new stream and returns the answer. It returns a *savorypin.Error
// if the peer answered with one.
func Call[Req, Resp any](ctx context.Context, t *Transport, address string, kind FrameKind, req Req) (Resp, error) {
	var none Resp
	c, err := t.Get(ctx, address)
	if err != nil {
		return none, err
	}
	s, err := c.Open()
	if err != nil {
		return none, err
	}
	defer s.Close()
	if err := s.Send(ctx, kind, req); err != nil {
		return none, err
	}
	f, err := s.Receive(ctx)
	if err != nil {
		return none, err
	}
	s.endUnannounced()
	return Decode[Resp](f)
}

// HandleCall returns a handler that answers a request with one frame.
func HandleCall[Req, Resp any](handle func(ctx context.Context, peer Hello, req Req) (Resp, error)) Handler {
	return func(ctx context.Context, s *Stream, first Frame) error {
		req, err := Decode[Req](first)
		if err != nil {
			return savorypin.Errorf(savorypin.KindInvalid, string(first.Kind), "%w", err)
		}
		resp, err := handle(ctx, s.Conn().Peer(), req)
		if err != nil {
			return err
		}
		if err := s.Send(ctx, frameReply, resp); err != nil {
			return err
		}
		s.endUnannounced()
		return nil
	}
}
