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

// logSent logs the endpoint that the request is sent to and why it was chosen. Waiting is the
// number of prompt tokens that were queued there.
func (s *stream) logSent(a savorypinfleet.Attempt, waiting int) {
	backup := ""
	if a.Backup != nil {
		backup = a.Backup.ID()
	}
	g := s.gateway
	g.log.Emit(savorypinevent.StreamSent{
		Age: time.Since(s.req.arrived), Attempt: s.attempts, Backup: backup, DirectoryAge: g.store.age(g.cfg.Objects.EndpointKind),
		Domain: a.Endpoint.Domain(), Endpoint: a.Endpoint.ID(), Event: s.lastEventID, ID: s.req.call.ID, Restored: a.RestoreFromBackup,
		Waiting: waiting,
	})
}
