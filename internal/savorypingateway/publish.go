package savorypingateway

import (
	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
)

// publishConfiguration puts the newest configuration in force. If the store was restored from an
// older copy, the configuration in force stays, and the mirror keeps it for gateways that
// request it.
func (s *store) publishConfiguration(objects []savorypin.Object, _ int64) {
	for _, o := range objects {
		if o.Key == s.cfg.Objects.Configuration {
			s.keepInForce(o, s.adoptConfiguration(o))
		}
	}
}

// keepInForce replaces the mirror's object with that of the configuration in force if this is later, or
// if the object can't be decoded, in which case its configuration is nil. It decodes nothing, since it
// holds the mirror's lock, for which gossip waits.
func (s *store) keepInForce(o savorypin.Object, c *savorypinfleet.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce.Name == "" || c != nil && c.Version() >= s.view.configuration().Version() {
		return
	}
	s.mirrors[o.Kind].ReplaceIfLater(s.inForce, func(_, held savorypin.Object) bool {
		return held.Era == o.Era && held.Version == o.Version
	})
}

// adoptConfiguration puts the configuration of an object in force if it is later than the current
// one. It returns the configuration, or nil if the object can't be decoded.
func (s *store) adoptConfiguration(o savorypin.Object) *savorypinfleet.Configuration {
	c, err := s.cfg.Objects.DecodeConfiguration(o)
	if err != nil {
		s.log.Emit(savorypinevent.Ignored{Err: err, What: "configuration"})
		return nil
	}
	s.adopt(o, c)
	s.configurationChanged()
	return c
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

// publishEndpoints puts a list of endpoints in force.
func (s *store) publishEndpoints(objects []savorypin.Object, era int64) {
	list := make([]*savorypinfleet.Endpoint, 0, len(objects))
	for _, o := range objects {
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
	s.endpointsChanged(old, next, era)
}

// markListed records that a kind was read from the store, or that another gateway has confirmed
// a fetched copy. Requests are served only once that is so for the endpoints, and the copy is in
// force: the one that a starting gateway fetches may come from one that has had no updates for a
// long time.
func (s *store) markListed(kind savorypin.Kind) {
	if kind == s.cfg.Objects.EndpointKind {
		s.listed.Store(true)
	}
}

// publishRollouts passes rollouts to the tracker.
func (s *store) publishRollouts(objects []savorypin.Object, era int64) {
	var rollouts []savorypinfleet.Rollout
	for _, o := range objects {
		r, err := s.cfg.Objects.DecodeRollout(o)
		if err != nil {
			s.log.Emit(savorypinevent.Ignored{Err: err, What: "rollout " + o.Name})
			continue
		}
		rollouts = append(rollouts, r)
		s.log.Emit(rolloutEvent("seen", r, nil))
	}
	s.updateRollouts(rollouts, era)
}
