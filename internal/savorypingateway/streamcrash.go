package savorypingateway

import (
	"context"
	"errors"
	"syscall"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

// handleBrokenConnection handles a connection that broke before the response was complete. It
// opens a new one to find out whether the endpoint is lost or just that connection.
func (s *stream) handleBrokenConnection(e *savorypinfleet.Endpoint, reason string) {
	g := s.gateway
	g.pool.CloseIdle(e.Address())
	crash := savorypinevent.EndpointCrashed{
		Domain: e.Domain(), Endpoint: e.ID(), Events: s.attemptEvents, ID: s.req.call.ID,
		Parts: savorypinfleet.JoinPromptParts(s.req.call.PromptParts),
	}
	go g.log.RunRecovered("look for endpoint", func() {
		conn, err := g.pool.Open(context.Background(), e.Address(), g.connectTimeout(e))
		if err == nil {
			g.pool.Put(conn, 0)
			g.log.Debug("endpoint accepts a new connection after a broken one", "endpoint", e.ID(), "reason", reason)
			return
		}
		if processEnded(err) {
			g.counters.endpointsCrashed.Inc(1)
			g.log.Emit(crash)
		}
		g.markEndpointFailed(e, reason)
	})
}

// processEnded reports whether the error of a connection attempt shows that the process is gone
// and its host is not: the host refused the connection. After a power loss or behind a partition
// there is no answer.
func processEnded(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
