package savorypingateway

import (
	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

// publishConfiguration puts the newest configuration in force. Where the store has
// come back from an older copy, the one that is in force stays, and this gateway's
// copy keeps it for those that ask for it.
func (s *store) publishConfiguration() {
	mirror := s.mirrors[s.cfg.Objects.Configuration.Kind]
	s.adoptConfiguration(mirror.Objects())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce.Name != "" {
		mirror.Keep(s.inForce, s.laterConfiguration)
	}
}

// laterConfiguration reports whether a configuration is later than another one by
// the operator's versions.
func (s *store) laterConfiguration(a, b savorypin.Object) bool {
	first, err := s.cfg.Objects.DecodeConfiguration(a)
	if err != nil {
		return false
	}
	second, err := s.cfg.Objects.DecodeConfiguration(b)
	return err != nil || first.Version() > second.Version()
}

// adoptConfiguration puts the configuration among some objects in force if it is
// later than the present one.
func (s *store) adoptConfiguration(objects []savorypin.Object) {
	for _, o := range objects {
		if o.Key != s.cfg.Objects.Configuration {
			continue
		}
		c, err := s.cfg.Objects.DecodeConfiguration(o)
		if err != nil {
			s.log.Emit(savorypinevent.Ignored{Err: err, What: "configuration"})
			continue
		}
		s.adopt(o, c)
	}
}

// adopt puts a configuration in force if it is later than the present one.
func (s *store) adopt(o savorypin.Object, c *savorypinfleet.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.view.adopt(c) {
		return
	}
	s.inForce = o
	s.log.Emit(savorypinevent.ConfigurationInForce{Era: o.Era, Revision: o.Version, Version: c.Version()})
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
	s.changed(old, next, s.mirrors[s.cfg.Objects.EndpointKind].State().Era)
}

// noteListed takes note that a kind was read from the store, or that another gateway
// has confirmed what was fetched. Requests are served only then: what a gateway
// fetches when it starts may come from one that has heard no news for long.
func (s *store) noteListed(kind savorypin.Kind) {
	if kind == s.cfg.Objects.EndpointKind {
		s.view.listed.Store(true)
	}
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
	s.rollouts(rollouts, s.mirrors[s.cfg.Objects.RolloutKind].State().Era)
}
