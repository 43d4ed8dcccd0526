package savorypingateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"savorypin/internal/savorypinevent"
)

// Times of a graceful shutdown.
const (
	// stopAcceptRatio is the fraction of the grace period in which new requests are still
	// accepted: the load balancer takes some seconds to send them elsewhere.
	stopAcceptRatio = 0.5
	// stopMargin is the time between the exit of the process and the end of the grace period.
	stopMargin = 600 * time.Millisecond
	// lastResponseTime is the time before the exit in which requests without a response get one.
	lastResponseTime = 150 * time.Millisecond
)

const (
	// startupTimeout is how long callers wait at startup: long enough for a few calls to the
	// store, and shorter than callers wait for a connection to be served.
	startupTimeout = 300 * time.Millisecond
	// startupPollInterval is the interval at which the initial state is checked.
	startupPollInterval = 2 * time.Millisecond
)

// Limits for callers if there is no configuration yet.
const (
	defaultIdleTimeout    = 60 * time.Second
	defaultMaxHeaderBytes = 64 << 10
)

// stoppingFor returns the time since the shutdown began; zero if it has not.
func (g *Gateway) stoppingFor() time.Duration {
	at := g.stopStart.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// acceptPeriod returns the time after the start of a shutdown in which new connections are accepted.
func acceptPeriod(grace time.Duration) time.Duration {
	return time.Duration(stopAcceptRatio * float64(grace))
}

// newCallerServer returns the server for callers, with the limits of the configuration in force.
// Of later configurations only the limit on bodies applies.
func (g *Gateway) newCallerServer() *http.Server {
	server := &http.Server{
		ConnContext:       withCallerConn,
		Handler:           g,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    defaultMaxHeaderBytes,
		ReadHeaderTimeout: defaultIdleTimeout,
	}
	c := g.view.configuration()
	if c == nil {
		return server
	}
	limits := c.Limits()
	if limits.MaxHeaderBytes > 0 {
		server.MaxHeaderBytes = limits.MaxHeaderBytes
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout
		// A new connection may also be idle before its first request header.
		server.ReadHeaderTimeout = limits.IdleTimeout + limits.HeaderTimeout
	}
	return server
}

// awaitInitialState waits up to startupTimeout for the first configuration and list of
// endpoints. Until then connections wait in the listener's backlog, which costs callers less
// time than a refusal.
func (g *Gateway) awaitInitialState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	for g.view.configuration() == nil || !g.view.listed.Load() {
		if err := wait(ctx, startupPollInterval); err != nil {
			return
		}
	}
}

// serveCallers serves callers until ctx is done, and then until all requests are finished or the
// grace period is about to end.
func (g *Gateway) serveCallers(ctx context.Context, l net.Listener) error {
	g.awaitInitialState(ctx)
	server := g.newCallerServer()
	budget := g.newCallerConnections(server.IdleTimeout, server.MaxHeaderBytes)
	failed := make(chan error, 1)
	go func() { failed <- budget.Serve(server, l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	g.log.Emit(savorypinevent.Process{What: "stop begun"})
	start := time.Now()
	g.stopStart.Store(&start)
	g.stopping.Store(true)
	grace := g.settings.Load().StopGracePeriod
	g.refuseWaiting()
	defer time.AfterFunc(loadBalancerDelay, g.refuseWaiting).Stop()
	// Callers go on sending requests on open connections; each response now tells them to
	// close the connection.
	if err := wait(context.WithoutCancel(ctx), acceptPeriod(grace)); err != nil {
		return err
	}
	left := grace - stopMargin - time.Since(start)
	defer time.AfterFunc(left-lastResponseTime, g.exit).Stop()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stop serving callers: %w", err)
	}
	return nil
}
