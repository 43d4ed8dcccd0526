package savorypingateway

import (
	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

// publishConfiguration puts the newest configuration in force. If the store was restored from an
// older copy, the configuration in force stays, and the mirror keeps it for gateways that
// request it.
func (s *store) publishConfiguration() {
	mirror := s.mirrors[s.cfg.Objects.Configuration.Kind]
	s.adoptConfiguration(mirror.Objects())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce.Name != "" {
		mirror.ReplaceIfLater(s.inForce, s.isLaterConfiguration)
	}
}

// isLaterConfiguration reports whether the configuration a has a later version than b, by the
// operator's numbering. One that can't be decoded counts as earlier.
func (s *store) isLaterConfiguration(a, b savorypin.Object) bool {
	first, err := s.cfg.Objects.DecodeConfiguration(a)
	if err != nil {
		return false
	}
	second, err := s.cfg.Objects.DecodeConfiguration(b)
	return err != nil || first.Version() > second.Version()
}

// adoptConfiguration puts the configuration among the objects in force if it is later than the
// current one.
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
		s.configurationChanged()
	}
}

// adopt puts a configuration in force if it is later than the current one.
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
			s.log.Debug("decoding an endpoint object failed; ignoring it", "err", err)
			continue
		}
		list = append(list, e)
	}
	old := s.view.directory.Load()
	next := savorypinfleet.NewDirectory(list)
	s.view.directory.Store(next)
	s.endpointsChanged(old, next, s.mirrors[s.cfg.Objects.EndpointKind].State().Era)
}

// markListed records that a kind was read from the store, or that another gateway has confirmed
// a fetched copy. Requests are served only once that is so for the endpoints: the copy that a
// starting gateway fetches may come from one that has had no updates for a long time.
func (s *store) markListed(kind savorypin.Kind) {
	if kind == s.cfg.Objects.EndpointKind {
		s.view.listed.Store(true)
	}
}

// publishRollouts passes the current rollouts to the tracker.
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
	s.updateRollouts(rollouts, s.mirrors[s.cfg.Objects.RolloutKind].State().Era)
}
