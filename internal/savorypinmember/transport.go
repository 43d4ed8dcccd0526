package savorypinmember

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinguard"
)

// Handler serves one stream that a peer opened. The first frame says which
// handler gets the stream. An error that it returns is sent to the peer.
type Handler func(ctx context.Context, s *Stream, first Frame) error

// TransportConfig configures a Transport.
type TransportConfig struct {
	// CountIn and CountOut count the bytes exchanged with a peer.
	CountIn, CountOut func(peer Hello, bytes int)
	// Dial opens a connection to an address; nil means net.DialTimeout over TCP.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
	// Handlers serve the streams that peers open, by the kind of the first
	// frame.
	Handlers map[FrameKind]Handler
	// HandshakeTimeout bounds the opening of a connection.
	HandshakeTimeout time.Duration
	// IdleProbeAfter is how long a connection without streams may be quiet.
	IdleProbeAfter time.Duration
	// Key is the key that daemons prove to know.
	Key []byte
	// Panicked is called when a handler panicked; nil for nothing.
	Panicked func(kind FrameKind, err *savorypinguard.PanicError)
	// ProbeAfter is how long a connection with streams may be quiet.
	ProbeAfter time.Duration
	// Self is what this daemon says of itself.
	Self Hello
	// SilentAfter is how long a probe may stay unanswered.
	SilentAfter time.Duration
}

// Transport keeps one connection to each peer that it talks to.
type Transport struct {
	cfg    TransportConfig
	dials  singleflight.Group
	wg     sync.WaitGroup
	mu     sync.Mutex
	closed bool
	conns  map[string]*Conn
	// retired are connections that get no new streams.
	retired map[*Conn]bool
	served  map[*Conn]bool
	ln      net.Listener
}

// NewTransport returns a transport that neither listens nor has connections.
func NewTransport(cfg TransportConfig) *Transport {
	if cfg.Dial == nil {
		cfg.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		}
	}
	return &Transport{
		cfg:     cfg,
		conns:   map[string]*Conn{},
		retired: map[*Conn]bool{},
		served:  map[*Conn]bool{},
	}
}

// Close closes the listener and all connections.
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
	for c := range t.served {
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
	return len(t.conns) + len(t.retired) + len(t.served)
}

// Get returns the connection to the daemon at address, which it opens if
// there is none.
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

// Renew makes the next Get open a new connection to address if the present one
// has been quiet for longer than a limit. Streams on the present one go on.
func (t *Transport) Renew(address string, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.conns[address]
	if !ok || c.Quiet() <= limit {
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

// Serve accepts connections until the listener is closed.
func (t *Transport) Serve(ln net.Listener) error {
	t.mu.Lock()
	t.ln = ln
	closed := t.closed
	t.mu.Unlock()
	if closed {
		// Close came first and could not close the listener.
		ln.Close()
	}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept member connection: %w", err)
		}
		if !t.serve(conn) {
			conn.Close()
		}
	}
}

// serve begins to serve a connection. It returns false if the transport closes, which
// waits for those that were begun before.
func (t *Transport) serve(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wg.Go(func() { t.accept(conn) })
	return true
}

func (t *Transport) accept(conn net.Conn) {
	r := bufio.NewReaderSize(conn, readBufferBytes)
	peer, err := handshake(conn, r, t.cfg.Self, t.cfg.Key, t.cfg.HandshakeTimeout)
	if err != nil {
		conn.Close()
		return
	}
	c := newConn(t.connConfig(false, peer), conn, r, peer)
	t.mu.Lock()
	closed := t.closed
	t.served[c] = true
	t.mu.Unlock()
	if closed {
		c.Close()
	}
	<-c.Done()
	t.mu.Lock()
	delete(t.served, c)
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
	go t.forget(address, c)
	return c, nil
}

func (t *Transport) forget(address string, c *Conn) {
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
		SilentAfter:    t.cfg.SilentAfter,
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
		err = savorypinguard.Do(func() error { return handler(ctx, s, first) })
		t.notePanic(first.Kind, err)
	}
	if err != nil {
		// A peer that cannot be told has lost the stream and knows.
		_ = s.SendError(ctx, err)
	}
}

// notePanic tells of a handler that panicked; its stream ends with the error.
func (t *Transport) notePanic(kind FrameKind, err error) {
	var panicked *savorypinguard.PanicError
	if errors.As(err, &panicked) && t.cfg.Panicked != nil {
		t.cfg.Panicked(kind, panicked)
	}
}

// Call sends a request on a stream of its own and returns the answer.
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
	s.release()
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
		s.release()
		return nil
	}
}
