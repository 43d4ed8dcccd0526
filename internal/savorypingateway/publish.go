package savorypingateway

import (
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

// publishConfiguration puts the newest configuration in force.
func (s *store) publishConfiguration() {
	for _, o := range s.mirrors[s.cfg.Objects.Configuration.Kind].Objects() {
		if o.Key != s.cfg.Objects.Configuration {
			continue
		}
		c, err := s.cfg.Objects.DecodeConfiguration(o)
		if err != nil {
			s.log.Emit(savorypinevent.Ignored{Err: err, What: "configuration"})
			continue
		}
		if s.view.adopt(c) {
			s.log.Emit(savorypinevent.ConfigurationInForce{Revision: o.Version, Version: c.Version()})
		}
	}
}

// publishEndpoints puts the list of endpoints in force.
func (s *store) publishEndpoints() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*savorypinfleet.Endpoint
	for _, o := range s.mirrors[s.cfg.Objects.EndpointKind].Objects() {
		e, err := s.cfg.Objects.DecodeEndpoint(o)
		if err != nil {
			s.log.Debug("endpoint ignored", "err", err)
			continue
		}
		list = append(list, e)
	}
	old := s.view.directory.Load()
	next := savorypinfleet.NewDirectory(list)
	s.view.directory.Store(next)
	s.view.listed.Store(true)
	s.changed(old, next)
}

// publishRollouts passes the roll-outs on.
func (s *store) publishRollouts() {
	var rollouts []savorypinfleet.Rollout
	for _, o := range s.mirrors[s.cfg.Objects.RolloutKind].Objects() {
		r, err := s.cfg.Objects.DecodeRollout(o)
		if err != nil {
			s.log.Emit(savorypinevent.Ignored{Err: err, What: "rollout " + o.Name})
			continue
		}
		rollouts = append(rollouts, r)
		s.log.Emit(rolloutEvent("seen", r, nil))
	}
	s.rollouts(rollouts)
}
