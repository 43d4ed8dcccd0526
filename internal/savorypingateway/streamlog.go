package savorypingateway

import (
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

// logEnd logs the end of the stream.
func (s *stream) logEnd(what savorypinevent.Kind, err error) {
	s.gateway.log.Emit(savorypinevent.RequestEnded{
		Age: time.Since(s.req.arrived), Attempts: s.attempts, Configuration: s.gateway.configurationVersion(), Err: err,
		Event: s.lastEventID, First: s.firstEventDelay, ID: s.req.call.ID, LongestPause: s.longestPause, Route: s.req.route.Name(), EventKind: what,
	})
}

// endpointLoad is the load of an endpoint when a stream is sent there, over all gateways.
type endpointLoad struct {
	// reserved is the number of tokens of KV memory that are reserved, waiting the number of prompt
	// tokens that are queued.
	reserved, waiting int
}

// loadOf returns the load of an endpoint.
func (g *Gateway) loadOf(e *savorypinfleet.Endpoint) endpointLoad {
	return endpointLoad{reserved: g.picker.ReservedTokens(e), waiting: g.picker.WaitingTokens(e)}
}

// logSent logs the endpoint that the request is sent to and why it was chosen. The load is that before
// the request.
func (s *stream) logSent(a savorypinfleet.Attempt, load endpointLoad) {
	backup := ""
	if a.Backup != nil {
		backup = a.Backup.ID()
	}
	g := s.gateway
	g.log.Emit(savorypinevent.StreamSent{
		Age: time.Since(s.req.arrived), Attempt: s.attempts, Backup: backup, DirectoryAge: g.store.age(g.cfg.Objects.EndpointKind),
		Domain: a.Endpoint.Domain(), Endpoint: a.Endpoint.ID(), Event: s.lastEventID, ID: s.req.call.ID, Restored: a.RestoreFromBackup,
		PromptTokens: s.req.call.PromptTokens, Priority: s.req.priority.rank, Reserved: load.reserved, Waiting: load.waiting,
	})
}
