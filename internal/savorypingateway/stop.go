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

// Times of a planned stop.
const (
	// stopAcceptPart is the part of the grace for which new requests are still
	// taken: the balancer needs some seconds to send them elsewhere.
	stopAcceptPart = 0.5
	// balancerTime is how long the balancer goes on sending new callers: it asks
	// each second and takes a gateway out after two misses.
	balancerTime = 2500 * time.Millisecond
	// finishFactor is how many times the usual duration of a stream must be left
	// for one that comes later.
	finishFactor = 2
	// stopMargin is how long before the end of the grace the process exits.
	stopMargin = 600 * time.Millisecond
)

const (
	// knowledgeWait is how long callers wait at the start: a few calls to the
	// store, and less than a caller waits for its request to be read.
	knowledgeWait = 300 * time.Millisecond
	// knowledgeLook is how often it is looked whether they may come in.
	knowledgeLook = 2 * time.Millisecond
)

// Limits of callers until the first configuration names them.
const (
	firstIdleTimeout = 60 * time.Second
	firstHeaderBytes = 64 << 10
)

// takesStream reports whether a stream is taken that comes some time after the
// stop began, given the grace and the usual duration of streams. One that would
// be cut is better served by another gateway from the beginning.
func takesStream(since, grace, usual time.Duration) bool {
	return since < balancerTime || grace-stopMargin-since > finishFactor*usual
}

// stoppedFor is how long ago the stop began; zero if it has not.
func (g *Gateway) stoppedFor() time.Duration {
	at := g.stopBegan.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// callersServer returns the server for callers, with the limits of the first
// configuration. Later ones bound bodies only.
func (g *Gateway) callersServer() *http.Server {
	server := &http.Server{
		Handler:           g,
		IdleTimeout:       firstIdleTimeout,
		MaxHeaderBytes:    firstHeaderBytes,
		ReadHeaderTimeout: firstIdleTimeout,
	}
	c := g.view.configuration.Load()
	if c == nil {
		return server
	}
	limits := c.Limits()
	if limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = limits.HeaderBytes
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout
		// A new connection may be idle before its first head, too.
		server.ReadHeaderTimeout = limits.IdleTimeout + limits.HeaderTimeout
	}
	return server
}

// awaitKnowledge waits a moment for the first configuration and list of
// endpoints. Until then connections wait in the listener's queue, for less time
// than a refusal would cost the caller.
func (g *Gateway) awaitKnowledge(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, knowledgeWait)
	defer cancel()
	for g.view.configuration.Load() == nil || !g.view.listed.Load() {
		if err := wait(ctx, knowledgeLook); err != nil {
			return
		}
	}
}

// serveCallers serves callers until ctx ends and what was begun is finished, or
// the grace is over.
func (g *Gateway) serveCallers(ctx context.Context, l net.Listener) error {
	g.awaitKnowledge(ctx)
	server := g.callersServer()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	g.log.Emit(savorypinevent.Process{What: "stop begun"})
	began := time.Now()
	g.stopBegan.Store(&began)
	g.stopping.Store(true)
	grace := g.settings.Load().Grace
	// Callers keep sending on open connections; each answer now asks them to
	// close.
	accept := time.Duration(stopAcceptPart * float64(grace))
	if err := wait(context.WithoutCancel(ctx), accept); err != nil {
		return err
	}
	rest, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace-stopMargin-time.Since(began))
	defer cancel()
	if err := server.Shutdown(rest); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stop serving callers: %w", err)
	}
	return nil
}
