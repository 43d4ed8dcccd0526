package savorypingateway

import (
	"context"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinmirror"
)

// copies describes the state of this gateway's copies for other gateways.
func (s *store) copies() []savorypingossip.CopyStatus {
	now := s.cfg.Clock()
	copies := make([]savorypingossip.CopyStatus, 0, len(s.mirrors))
	for kind, mirror := range s.mirrors {
		state := mirror.State()
		c := savorypingossip.CopyStatus{Age: savorypingossip.Never, At: state.Version, Changed: state.LastChangeVersion, Era: state.Era, Floor: state.CompactedVersion, Kind: kind}
		if state.ConfirmedAt > 0 {
			c.Age = savorypingossip.Age(now - state.ConfirmedAt)
		}
		copies = append(copies, c)
	}
	return copies
}

// handleCopies processes the state of another gateway's copies: it fetches changes that this
// gateway lacks, and takes over confirmations of those that it has.
func (s *store) handleCopies(m savorypingossip.Message) {
	for _, c := range m.Copies {
		mirror, ok := s.mirrors[c.Kind]
		if !ok || c.Age < 0 {
			continue
		}
		switch mirror.State().Relate(savorypinmirror.State{Version: c.At, LastChangeVersion: c.Changed, Era: c.Era, CompactedVersion: c.Floor}) {
		case savorypinmirror.RelationAhead:
			go s.log.RunRecovered("fetch changes", func() { s.fetchChanges(m.Address, c.Kind) })
		case savorypinmirror.RelationCovered:
			s.confirmFromPeer(mirror, m, c)
		case savorypinmirror.RelationUnknown:
		}
	}
}

// confirmFromPeer takes over another gateway's confirmation of a copy whose changes this
// gateway has. The age counts from when this gateway's last message to the other one was sent,
// since the other one reported the age after that.
func (s *store) confirmFromPeer(mirror *savorypinmirror.Mirror, m savorypingossip.Message, c savorypingossip.CopyStatus) {
	if m.Echo == (savorypingossip.Echo{}) {
		return
	}
	mirror.Advance(c.At, c.Era)
	s.confirm(c.Kind, m.Echo.Sent, time.Duration(c.Age), c.Era)
}

// confirm records that this gateway's copy of a kind contains all changes of another gateway's
// copy in an era. The other gateway reported the age of its copy after requestedAt, when this
// one sent it a message, so that its copy was confirmed at requestedAt minus that age or later.
// At startup a copy older than its maximum age is used only if the store does not answer.
func (s *store) confirm(kind savorypin.Kind, requestedAt, age time.Duration, era int64) {
	s.mirrors[kind].Confirm(requestedAt-age, era)
	if age < s.maxAges[kind] || s.breaker.Failing() {
		s.markListed(kind)
	}
	s.confirmInForce(kind)
}

// fetchChanges fetches the changes of a kind from another gateway.
func (s *store) fetchChanges(address string, kind savorypin.Kind) {
	mirror := s.mirrors[kind]
	state, requestedAt := mirror.State(), s.cfg.Clock()
	t, ok := s.transfer(address, kind, state.Version, state.Era)
	if !ok {
		return
	}
	changed := mirror.Merge(t.Delta)
	s.putInForce(kind)
	if changed {
		s.notifyPeers()
	}
	if t.Age >= 0 {
		s.confirm(kind, requestedAt, time.Duration(t.Age), t.Delta.Era)
	}
}

// peerVersionDelayRatio is the fraction of the configuration delay after which a later
// configuration is fetched from a gateway that has it in force; until then it is expected from
// the store.
const peerVersionDelayRatio = 0.25

// peerVersion is a version of the configuration that is later than the one in force here and
// was reported by other gateways, with the time at which it was first reported.
type peerVersion struct {
	since   time.Time
	version int64
}

// handlePeerVersion processes the operator's version of the configuration that is in force at
// another gateway. If it stays later than the version in force here, the configuration is
// fetched from there: the store may have been restored from a copy that lacks it.
func (s *store) handlePeerVersion(address string, version int64) {
	if c := s.view.configuration(); c != nil && c.Version() >= version {
		return
	}
	now := time.Now()
	s.mu.Lock()
	if s.laterVersion.version != version {
		s.laterVersion = peerVersion{since: now, version: version}
	}
	waited := now.Sub(s.laterVersion.since)
	s.mu.Unlock()
	if waited < time.Duration(peerVersionDelayRatio*float64(s.cfg.Settings.ConfigDelay)) {
		return
	}
	go s.log.RunRecovered("fetch configuration", func() {
		t, ok := s.transfer(address, s.cfg.Objects.Configuration.Kind, 0, noEra)
		if !ok {
			return
		}
		for _, o := range t.Delta.Objects {
			if o.Key == s.cfg.Objects.Configuration {
				s.adoptConfiguration(o)
			}
		}
		s.confirmInForce(s.cfg.Objects.Configuration.Kind)
	})
}

// noEra is the era in the request of a gateway that has no copy; the response is a full copy.
const noEra = -1

// transfer requests the changes of a kind since a version from another gateway. It returns
// false if that fails or if another transfer of the kind is in progress.
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
		s.log.Debug("fetching changes from another gateway failed", "kind", kind, "peer", address, "err", err)
		return savorypingossip.Transfer{}, false
	}
	for i := range t.Delta.Objects {
		t.Delta.Objects[i].Kind = kind
	}
	return t, true
}
