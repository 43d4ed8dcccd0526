// Package savorypinpool keeps HTTP/1.1 connections to endpoints. Unlike the
// transport of net/http it never repeats a request by itself, and it notices
// bytes that arrive on an idle connection, which belong to no request.
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
	// idleMargin is how long before the endpoint's own timeout a connection is no
	// longer used: a request that crosses the endpoint's close may have run.
	idleMargin = 500 * time.Millisecond
	// idleUnknown is how long a connection may be idle if the endpoint does not
	// name its timeout, which is stated in whole seconds if there are any.
	idleUnknown = 500 * time.Millisecond
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 32
	// keepAliveIdle and keepAliveInterval let the kernel notice a peer that has
	// gone silent; TCP counts them in whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// sweepInterval is how often idle connections are looked at while there are any.
	sweepInterval = 2 * time.Second
)

// Errors of connections.
var (
	// ErrConnect means that no connection could be made, so that nothing was sent.
	ErrConnect = errors.New("endpoint cannot be reached")
	// ErrMalformed means that what came is no answer of the protocol.
	ErrMalformed = errors.New("answer is malformed")
	// ErrUnrelated means that an answer belongs to another request.
	ErrUnrelated = errors.New("answer belongs to another request")
)

// Config configures a Pool.
type Config struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Idle is how long a connection may be idle if the endpoint does not name its
	// timeout; zero means idleUnknown.
	Idle time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	opened atomic.Int64

	mu   sync.Mutex
	idle map[string][]*Conn
	// sweeping says that the next look at the idle connections is due.
	sweeping bool
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		dialer := newDialer()
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.Idle == 0 {
		cfg.Idle = idleUnknown
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Pool{cfg: cfg, idle: map[string][]*Conn{}}
}

// newDialer returns a dialer whose connections notice a peer that has gone silent.
func newDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
}

// Opened is the number of connections that were opened.
func (p *Pool) Opened() int64 {
	return p.opened.Load()
}

// Get returns a connection to an address, the one used last if one is idle. A
// new one must be made within the timeout. The error wraps ErrConnect.
func (p *Pool) Get(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		if c.usable() {
			return c, nil
		}
		c.Close()
	}
	return p.Open(ctx, address, timeout)
}

// Open returns a new connection.
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

// take removes the idle connection that was used last and is not too old.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	if p.cfg.Now().Before(c.idleUntil) {
		c.reused = true
		return c
	}
	// The others have been idle for longer still.
	closeAll(list)
	delete(p.idle, address)
	return nil
}

// Put keeps a connection whose answer was read whole. KeepAlive is the time
// after which the endpoint closes it; zero if unknown.
func (p *Pool) Put(c *Conn, keepAlive time.Duration) {
	usable := p.cfg.Idle
	if keepAlive > 0 {
		usable = keepAlive - idleMargin
	}
	c.idleUntil = p.cfg.Now().Add(usable)
	// The deadlines of the last request would make the connection look broken.
	if err := c.nc.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.sweepLater()
}

// Drop closes the idle connections to an address that is not trusted any more.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	closeAll(p.idle[address])
	delete(p.idle, address)
}

// sweepLater lets the idle connections be looked at, if there are any. The caller
// holds p.mu.
func (p *Pool) sweepLater() {
	if p.sweeping || len(p.idle) == 0 {
		return
	}
	p.sweeping = true
	time.AfterFunc(sweepInterval, func() {
		p.Sweep()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sweeping = false
		p.sweepLater()
	})
}

// Sweep closes connections that have been idle for too long. The pool does so from
// time to time by itself.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
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

func closeAll(list []*Conn) {
	for _, c := range list {
		c.Close()
	}
}
