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
	// stopMargin is how long before the end of the grace the process exits.
	stopMargin = 600 * time.Millisecond
)

// Limits of callers until the first configuration names them.
const (
	firstHeaderTimeout = 10 * time.Second
	firstIdleTimeout   = 60 * time.Second
	firstHeaderBytes   = 64 << 10
)

// serveCallers serves callers until ctx ends and what was begun is finished, or
// the grace is over.
func (g *Gateway) serveCallers(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           g,
		IdleTimeout:       firstIdleTimeout,
		MaxHeaderBytes:    firstHeaderBytes,
		ReadHeaderTimeout: firstHeaderTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	g.log.Emit(savorypinevent.Process{What: "stop begun"})
	g.stopping.Store(true)
	began := time.Now()
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
