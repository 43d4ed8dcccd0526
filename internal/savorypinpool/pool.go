// Package savorypinpool keeps HTTP/1.1 connections to endpoints. Unlike the transport
// of net/http, it never repeats a request on its own, and it does not reuse an idle
// connection that has received bytes, because they belong to no request.
package savorypinpool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of idle connections.
const (
	// idleMargin is how long before the endpoint's own idle timeout a connection is no
	// longer used: a request that crosses the endpoint's close may have been executed.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout for endpoints that do not announce theirs.
	// Announced timeouts are in whole seconds, so this is the shortest announced timeout
	// less idleMargin.
	defaultIdleTimeout = 500 * time.Millisecond
	// maxIdle is the maximum number of idle connections per endpoint.
	maxIdle = 32
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive
	// probes, by which the kernel detects an unresponsive peer. TCP counts the times in
	// whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxKeepAliveCount is the largest count that the kernel takes.
	maxKeepAliveCount = 127
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = 2 * time.Second
)

var (
	// ErrConnect means that nothing was sent, in most cases because no connection could
	// be made.
	ErrConnect = errors.New("endpoint cannot be reached")
	// ErrMalformed means that the response violates the protocol.
	ErrMalformed = errors.New("answer is malformed")
	// ErrUnrelated means that a response belongs to another request.
	ErrUnrelated = errors.New("answer belongs to another request")
)

// Config configures a Pool.
type Config struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// IdleTimeout is the idle timeout of connections to endpoints that do not announce
	// theirs; zero means defaultIdleTimeout.
	IdleTimeout time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	opened atomic.Int64

	mu   sync.Mutex
	idle map[string][]*Conn
	// sweepScheduled is true while a timer for the next sweep runs.
	sweepScheduled bool
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		dialer := newDialer()
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Pool{cfg: cfg, idle: map[string][]*Conn{}}
}

// newDialer returns a dialer whose connections detect an unresponsive peer.
func newDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	return p.opened.Load()
}

// Get returns the most recently used idle connection to an address, or a new one if
// none is usable. A new connection must be made within the timeout. The error wraps
// ErrConnect.
func (p *Pool) Get(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	for c := p.takeIdle(address); c != nil; c = p.takeIdle(address) {
		if c.usable() {
			return c, nil
		}
		c.Close()
	}
	return p.Open(ctx, address, timeout)
}

// Open returns a new connection, made within the timeout. The error wraps ErrConnect.
func (p *Pool) Open(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := p.cfg.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnect, err)
	}
	p.opened.Add(1)
	return newConn(nc, address), nil
}

// takeIdle removes and returns the most recently used idle connection, or returns nil
// if there is none that has not expired.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	if p.cfg.Now().Before(c.idleUntil) {
		c.reused = true
		return c
	}
	// The other connections have been idle for even longer.
	closeAll(conns)
	delete(p.idle, address)
	return nil
}

// Put returns a connection to the pool after its response was read to the end.
// keepAlive is the idle timeout announced by the endpoint; zero if unknown.
func (p *Pool) Put(c *Conn, keepAlive time.Duration) {
	idleTimeout := p.cfg.IdleTimeout
	if keepAlive > 0 {
		idleTimeout = keepAlive - idleMargin
	}
	c.idleUntil = p.cfg.Now().Add(idleTimeout)
	// Deadlines of the last request that have passed would make the connection look
	// broken.
	if err := c.nc.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	if c.tolerant {
		c.tolerant = false
		if err := c.setKeepAliveCount(keepAliveCount); err != nil {
			c.Close()
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.scheduleSweep()
}

// CloseIdle closes the idle connections to an address that is no longer trusted.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	closeAll(p.idle[address])
	delete(p.idle, address)
}

// scheduleSweep starts the timer for the next sweep if there are idle connections. The
// caller must hold p.mu.
func (p *Pool) scheduleSweep() {
	if p.sweepScheduled || len(p.idle) == 0 {
		return
	}
	p.sweepScheduled = true
	time.AfterFunc(sweepInterval, func() {
		p.Sweep()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sweepScheduled = false
		p.scheduleSweep()
	})
}

// Sweep closes expired idle connections. The pool calls it periodically.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.Close()
	}
}
