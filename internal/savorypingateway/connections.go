package savorypingateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinweb"
)

// Shares of the memory and of the descriptors that connections may use.
const (
	// headMemoryRatio is the fraction of the memory that callers' connections may hold while their
	// requests aren't complete, bufferMemoryRatio that of their socket buffers before new ones get
	// small buffers.
	headMemoryRatio   = 0.25
	bufferMemoryRatio = 0.25
	// internalMemoryRatio is the same of the readiness and of the metrics server.
	internalMemoryRatio = 1.0 / 64
	// defaultMemoryBytes is assumed if the settings name no memory limit.
	defaultMemoryBytes = 256 << 20
	// memoryPerConnection bounds the number of callers' connections by the memory: small socket
	// buffers, which use 64 KiB, and as much again for the rest of the process.
	memoryPerConnection = 128 << 10
	// reservedDescriptors are the descriptors for files, the store, other gateways, readiness checks
	// and metrics, but at most reservedRatio of all. Half of the others are for connections to
	// endpoints.
	reservedDescriptors = 200
	reservedRatio       = 0.25
	// internalRatio is the fraction of the reserved descriptors for each of the servers for readiness
	// checks, metrics and other gateways.
	internalRatio = 1.0 / 6
	// minConnections is the minimum number of connections of a server.
	minConnections = 8
)

// Limits of the servers for readiness checks and metrics.
const (
	// internalHeaderTimeout limits how long the load balancer or a metrics scraper may take to send
	// a request, and internalWriteTimeout how long to read the response.
	internalHeaderTimeout  = 5 * time.Second
	internalWriteTimeout   = 10 * time.Second
	internalIdleTimeout    = 2 * time.Minute
	internalMaxHeaderBytes = 16 << 10
)

// connectionLimits are the limits on connections that follow from the settings.
type connectionLimits struct {
	// callers and internal are the numbers of connections of callers, and of each other server.
	callers, internal int
	memory            int64
}

func newConnectionLimits(s *Settings) connectionLimits {
	descriptors := s.MaxDescriptors
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	memory := s.MemoryBytes
	if memory == 0 {
		memory = defaultMemoryBytes
	}
	reserved := min(reservedDescriptors, int(reservedRatio*float64(descriptors)))
	callers := min((descriptors-reserved)/2, int(memory/memoryPerConnection))
	return connectionLimits{
		callers: max(minConnections, callers), internal: max(minConnections, int(internalRatio*float64(reserved))), memory: memory,
	}
}

// descriptorLimit returns the number of descriptors that the process may open.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		// The call fails for invalid arguments only.
		panic(fmt.Sprintf("read limit on descriptors: %v", err))
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// minLineBytes is the length of the shortest header field: a name of one byte, a colon and the end of the line.
const minLineBytes = 4

// newCallerConnections returns the budget of callers' connections. No head within its limit in bytes has too
// many lines for it.
func (g *Gateway) newCallerConnections(idleTimeout time.Duration, headBytes int) *savorypinweb.Budget {
	limits := newConnectionLimits(g.settings.Load())
	headerTimeout := idleTimeout
	if c := g.view.configuration(); c != nil && c.Limits().HeaderTimeout > 0 {
		headerTimeout = c.Limits().HeaderTimeout
	}
	return savorypinweb.NewBudget(savorypinweb.BudgetConfig{
		BufferBytes:   int64(bufferMemoryRatio * float64(limits.memory)),
		Bytes:         int64(headMemoryRatio * float64(limits.memory)),
		Connections:   limits.callers,
		Evicted:       g.connectionsClosed("callers"),
		HeaderTimeout: headerTimeout,
		IdleTimeout:   idleTimeout,
		Lines:         headBytes / minLineBytes,
		Wrap:          func(nc net.Conn) net.Conn { return newCallerConn(nc) },
	})
}

// connectionsClosed returns a function that counts and logs the connections that a server closed.
func (g *Gateway) connectionsClosed(server string) func(savorypinweb.Eviction) {
	return func(e savorypinweb.Eviction) {
		g.counters.connectionsClosed.Inc(int64(e.Connections))
		g.log.Emit(savorypinevent.ConnectionsClosed{Bytes: e.Bytes, Connections: e.Connections, Remote: e.Remote, Server: server})
	}
}

// serveInternal serves readiness checks or metrics until ctx is done.
func (g *Gateway) serveInternal(ctx context.Context, l net.Listener, h http.Handler) error {
	limits := newConnectionLimits(g.settings.Load())
	bytes := int64(internalMemoryRatio * float64(limits.memory))
	budget := savorypinweb.NewBudget(savorypinweb.BudgetConfig{
		BufferBytes:   bytes,
		Bytes:         bytes,
		Connections:   limits.internal,
		Evicted:       g.connectionsClosed(l.Addr().String()),
		HeaderTimeout: internalHeaderTimeout,
		IdleTimeout:   internalIdleTimeout,
	})
	server := &http.Server{
		Handler: h, IdleTimeout: internalIdleTimeout, MaxHeaderBytes: internalMaxHeaderBytes,
		ReadTimeout: internalHeaderTimeout, WriteTimeout: internalWriteTimeout,
	}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := budget.Serve(server, l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}
