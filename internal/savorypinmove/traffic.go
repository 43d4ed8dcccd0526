// Package savorypinmove decides how the traffic of a service is divided between its
// versions while a move is under way, and whether the new version is worse than the old
// one. It uses no network and no clock of its own.
package savorypinmove

import (
	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
)

// Key identifies a move. A move that is deleted and created again under the same name
// has another epoch.
type Key struct {
	Epoch int64  `msgpack:"ep"`
	Name  string `msgpack:"n"`
}

// KeyOf returns the key of a move.
func KeyOf(m savorypinconfig.Move) Key {
	return Key{Epoch: m.Status.Epoch, Name: m.Name}
}

// Traffic is the division of a service's new requests between versions.
type Traffic struct {
	from string
	move Key
	// settled is set if the service's spec names the new version of a done move, so
	// that the old one is no longer needed.
	settled bool
	share   float64
	state   savorypin.MoveState
	to      string
}

// From returns the version that gets the requests that To does not get.
func (t Traffic) From() string {
	return t.from
}

// Move returns the key of the move under way, or of the last one that was done; zero if
// the service has none.
func (t Traffic) Move() Key {
	return t.move
}

// Share returns the share of new requests that To gets, 0 to 1.
func (t Traffic) Share() float64 {
	return t.share
}

// State returns the state of the move; empty if the service has none.
func (t Traffic) State() savorypin.MoveState {
	return t.state
}

// To returns the new version; empty if the service has no move.
func (t Traffic) To() string {
	return t.to
}

// Moving reports whether a move is running or paused, so that both versions get requests.
func (t Traffic) Moving() bool {
	return t.state == savorypin.MoveRunning || t.state == savorypin.MovePaused
}

// TrafficOf returns the traffic of a service according to the configuration alone.
func TrafficOf(snapshot *savorypinconfig.Snapshot, service string) Traffic {
	return TrafficWithRejections(snapshot, service, func(Key) bool { return false })
}

// TrafficWithRejections returns the traffic of a service. Moves apply in the order in
// which they were started, which later edits do not change: a done move stays done
// whatever its spec or the service's spec says afterwards. Moves for which rejected
// returns true count as rolled back even before the platform has that state.
func TrafficWithRejections(snapshot *savorypinconfig.Snapshot, service string, rejected func(Key) bool) Traffic {
	spec, _ := snapshot.Service(service)
	t := Traffic{from: spec.Version}
	var rolledBack, done, open *savorypinconfig.Move
	moves := snapshot.Moves(service)
	for i := range moves {
		m := &moves[i]
		if m.Status.Epoch == 0 {
			continue
		}
		state := m.Status.State
		if rejected(KeyOf(*m)) {
			state = savorypin.MoveRolledBack
		}
		switch state {
		case savorypin.MoveDone:
			done = laterMove(done, m)
		case savorypin.MoveRunning, savorypin.MovePaused:
			open = laterMove(open, m)
		case savorypin.MoveRolledBack:
			rolledBack = laterMove(rolledBack, m)
		case savorypin.MovePending:
		}
	}
	if done != nil {
		t = Traffic{
			from: done.Spec.From, move: KeyOf(*done), settled: spec.Version == done.Spec.To,
			share: 1, state: done.Status.State, to: done.Spec.To,
		}
	}
	if rolledBack != nil && laterMove(done, rolledBack) == rolledBack && t.Current() == rolledBack.Spec.To {
		// The service's spec was edited to a version that has since been rolled back.
		t = Traffic{from: rolledBack.Spec.From}
	}
	if open != nil && laterMove(done, open) == open {
		t = Traffic{from: t.Current(), move: KeyOf(*open), share: open.Status.Share, state: open.Status.State, to: open.Spec.To}
	}
	return t
}

// laterMove returns the move that was started later, by epoch; a may be nil.
func laterMove(a, b *savorypinconfig.Move) *savorypinconfig.Move {
	if a == nil || b.Status.Epoch > a.Status.Epoch {
		return b
	}
	return a
}

// Current returns the version that has the traffic when no move is under way.
func (t Traffic) Current() string {
	if t.state == savorypin.MoveDone {
		return t.to
	}
	return t.from
}

// Versions returns the versions that have a share of the traffic or may get it again.
func (t Traffic) Versions() []string {
	if t.to == "" || t.settled {
		return []string{t.Current()}
	}
	return []string{t.from, t.to}
}

// ShareOf returns the share of new requests that a version gets, 0 to 1.
func (t Traffic) ShareOf(version string) float64 {
	switch {
	case version == t.to && t.to != "":
		return t.share
	case version == t.from:
		return 1 - t.share
	default:
		return 0
	}
}
