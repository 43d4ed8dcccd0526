package savorypingateway

import (
	"context"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinmirror"
)

// copies says how far the copies are.
func (s *store) copies() []savorypingossip.Copy {
	now := bootClock()
	copies := make([]savorypingossip.Copy, 0, len(s.mirrors))
	for kind, mirror := range s.mirrors {
		state := mirror.State()
		c := savorypingossip.Copy{Age: savorypingossip.Never, At: state.At, Changed: state.Changed, Era: state.Era, Floor: state.Floor, Kind: kind}
		if state.Confirmed > 0 {
			c.Age = savorypingossip.Age(now - state.Confirmed)
		}
		copies = append(copies, c)
	}
	return copies
}

// heard takes over how far another gateway's copies are, and fetches changes
// that this one lacks.
func (s *store) heard(m savorypingossip.Message) {
	for _, c := range m.Copies {
		mirror, ok := s.mirrors[c.Kind]
		if !ok || c.Age < 0 {
			continue
		}
		switch mirror.State().Relate(savorypinmirror.State{At: c.At, Changed: c.Changed, Era: c.Era, Floor: c.Floor}) {
		case savorypinmirror.RelationAhead:
			go s.log.Contain("fetch changes", func() { s.fetch(m.Address, c.Kind) })
		case savorypinmirror.RelationCovered:
			s.confirmBy(mirror, m, c)
		case savorypinmirror.RelationUnknown:
		}
	}
}

// confirmBy takes over the confirmation of a copy whose changes this one has. Its
// age counts from when this gateway's last message to the other was sent, since
// the other spoke after that.
func (s *store) confirmBy(mirror *savorypinmirror.Mirror, m savorypingossip.Message, c savorypingossip.Copy) {
	if m.Echo == (savorypingossip.Echo{}) {
		return
	}
	mirror.Advance(c.At, c.Era)
	s.confirm(c.Kind, m.Echo.Sent, time.Duration(c.Age), c.Era)
}

// confirm takes note that a copy has what another gateway had of an era, whose copy was
// confirmed some time before it was asked. An old one is better than none only if the
// store does not answer.
func (s *store) confirm(kind savorypin.Kind, asked, age time.Duration, era int64) {
	s.mirrors[kind].Confirm(asked-age, era)
	if age < s.limits[kind] || s.gate.Failing() {
		s.noteListed(kind)
	}
}

// fetch gets the changes of a kind from another gateway.
func (s *store) fetch(address string, kind savorypin.Kind) {
	mirror := s.mirrors[kind]
	state, asked := mirror.State(), bootClock()
	t, ok := s.transfer(address, kind, state.At, state.Era)
	if !ok {
		return
	}
	if mirror.Merge(t.Delta) {
		s.publish[kind]()
		s.news()
	}
	if t.Age >= 0 {
		s.confirm(kind, asked, time.Duration(t.Age), t.Delta.Era)
	}
}

// laterHeardPart is the part of the configuration delay after which a configuration
// that others have in force is fetched from them: until then it comes by the store.
const laterHeardPart = 0.25

// heardVersion is a later version of the configuration than the one in force, and
// since when it is known of.
type heardVersion struct {
	since   time.Time
	version int64
}

// heardConfiguration takes note of the operator's version of the configuration that is
// in force at another gateway. One that stays later than the one in force here is
// fetched from there: the store may have come back from a copy that lacks it.
func (s *store) heardConfiguration(address string, version int64) {
	if c := s.view.configuration.Load(); c != nil && c.Version() >= version {
		return
	}
	now := time.Now()
	s.mu.Lock()
	if s.later.version != version {
		s.later = heardVersion{since: now, version: version}
	}
	waited := now.Sub(s.later.since)
	s.mu.Unlock()
	if waited < time.Duration(laterHeardPart*float64(s.cfg.Settings.ConfigDelay)) {
		return
	}
	go s.log.Contain("fetch configuration", func() {
		t, ok := s.transfer(address, s.cfg.Objects.Configuration.Kind, 0, noEra)
		if ok {
			s.adoptConfiguration(t.Delta.Objects)
		}
	})
}

// noEra is the era of an asker that has nothing: the answer holds all objects.
const noEra = -1

// transfer gets the changes of a kind since a version from another gateway, one
// transfer of a kind at a time.
func (s *store) transfer(address string, kind savorypin.Kind, since, era int64) (savorypingossip.Transfer, bool) {
	s.mu.Lock()
	busy := s.fetching[kind]
	s.fetching[kind] = true
	s.mu.Unlock()
	if busy {
		return savorypingossip.Transfer{}, false
	}
	defer func() {
		s.mu.Lock()
		s.fetching[kind] = false
		s.mu.Unlock()
	}()
	t, err := savorypingossip.Fetch(context.Background(), s.sealer, address, kind, since, era)
	if err != nil {
		s.log.Debug("changes not fetched", "kind", kind, "peer", address, "err", err)
		return savorypingossip.Transfer{}, false
	}
	for i := range t.Delta.Objects {
		t.Delta.Objects[i].Kind = kind
	}
	return t, true
}
