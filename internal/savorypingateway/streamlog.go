package savorypingateway

import (
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

// logEnd logs how the stream ended.
func (s *stream) logEnd(what savorypinevent.Kind, err error) {
	s.gateway.log.Emit(savorypinevent.Ended{
		Age: time.Since(s.req.arrived), Attempts: s.sent, Configuration: s.gateway.configurationVersion(), Err: err,
		Event: s.last, First: s.firstAfter, ID: s.req.call.ID, LongestPause: s.longestPause, Route: s.req.route.Name(), What: what,
	})
}

// logSent logs where the stream is sent and what decided that. Waiting is the
// number of prompt tokens that waited there.
func (s *stream) logSent(a savorypinfleet.Attempt, waiting int) {
	backup := ""
	if a.Backup != nil {
		backup = a.Backup.ID()
	}
	g := s.gateway
	g.log.Emit(savorypinevent.StreamSent{
		Age: time.Since(s.req.arrived), Attempt: s.sent, Backup: backup, DirectoryAge: g.store.age(g.cfg.Objects.EndpointKind),
		Domain: a.Endpoint.Domain(), Endpoint: a.Endpoint.ID(), Event: s.last, ID: s.req.call.ID, Restored: a.Restore,
		Waiting: waiting,
	})
}
