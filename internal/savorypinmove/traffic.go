// Package savorypinmove decides how the traffic of a service is shared between
// its versions while a move is under way, and whether the new version is worse
// than the old one. It knows no sockets and no clock.
package savorypinmove

import (
	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
)

// Key identifies a move. A move that is deleted and ordered again under the
// same name has another epoch.
type Key struct {
	Epoch int64  `msgpack:"ep"`
	Name  string `msgpack:"n"`
}

// KeyOf returns the key of a move.
func KeyOf(m savorypinconfig.Move) Key {
	return Key{Epoch: m.Status.Epoch, Name: m.Name}
}

// Traffic is how a service's new work is shared.
type Traffic struct {
	from string
	move Key
	// settled says that the service's spec names the new version of a done move,
	// so that the old one is not needed any more.
	settled bool
	share   float64
	state   savorypin.MoveState
	to      string
}

// From returns the version that gets the work that To does not get.
func (t Traffic) From() string {
	return t.from
}

// Move returns the key of the move under way, or of the last one that is done.
func (t Traffic) Move() Key {
	return t.move
}

// Share returns the share of To, 0 to 1.
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

// Moving reports whether work is shared between two versions.
func (t Traffic) Moving() bool {
	return t.state == savorypin.MoveRunning || t.state == savorypin.MovePaused
}

// TrafficOf returns how new work of a service is shared by what the platform
// says.
func TrafficOf(snapshot *savorypinconfig.Snapshot, service string) Traffic {
	return TrafficWith(snapshot, service, func(Key) bool { return false })
}

// TrafficWith returns how new work of a service is shared. Moves apply in the
// order in which they were taken on, which later edits do not change: a done
// move stays done whatever its spec or the service's spec says afterwards.
// Moves that are rejected are taken back before the platform says so.
func TrafficWith(snapshot *savorypinconfig.Snapshot, service string, rejected func(Key) bool) Traffic {
	spec, _ := snapshot.Service(service)
	t := Traffic{from: spec.Version}
	var back, done, open *savorypinconfig.Move
	moves := snapshot.Moves(service)
	for i := range moves {
		m := &moves[i]
		if m.Status.Epoch == 0 {
			continue
		}
		state := m.Status.State
		if rejected(KeyOf(*m)) {
			state = savorypin.MoveTakenBack
		}
		switch state {
		case savorypin.MoveDone:
			done = later(done, m)
		case savorypin.MoveRunning, savorypin.MovePaused:
			open = later(open, m)
		case savorypin.MoveTakenBack:
			back = later(back, m)
		case savorypin.MovePending:
		}
	}
	if done != nil {
		t = Traffic{
			from: done.Spec.From, move: KeyOf(*done), settled: spec.Version == done.Spec.To,
			share: 1, state: done.Status.State, to: done.Spec.To,
		}
	}
	if back != nil && later(done, back) == back && t.Current() == back.Spec.To {
		// The service's spec was edited to a version that was taken back since.
		t = Traffic{from: back.Spec.From}
	}
	if open != nil && later(done, open) == open {
		t = Traffic{from: t.Current(), move: KeyOf(*open), share: open.Status.Share, state: open.Status.State, to: open.Spec.To}
	}
	return t
}

// later returns the move that was taken on later.
func later(a, b *savorypinconfig.Move) *savorypinconfig.Move {
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

// Versions returns the versions that have a share of the traffic or may get it
// back.
func (t Traffic) Versions() []string {
	if t.to == "" || t.settled {
		return []string{t.Current()}
	}
	return []string{t.from, t.to}
}

// ShareOf returns the share of new work that a version gets, 0 to 1.
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
