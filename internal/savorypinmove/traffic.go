// Package savorypinmove decides how the traffic of a service is shared between
// its versions while a move is under way.
package savorypinmove

import (
	"slices"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
)

// Traffic is how a service's new work is shared.
type Traffic struct {
	from  string
	share float64
	to    string
}

// TrafficOf returns how new work of a service is shared. The moves of a
// service apply in the order of their names' versions: a done move replaces
// the version that the service names.
func TrafficOf(snapshot *savorypinconfig.Snapshot, service string) Traffic {
	spec, _ := snapshot.Service(service)
	t := Traffic{from: spec.Version}
	moves := slices.Clone(snapshot.Moves(service))
	slices.SortFunc(moves, func(a, b savorypinconfig.Move) int { return a.Spec.By.Compare(b.Spec.By) })
	for _, m := range moves {
		if m.Spec.From != t.from {
			continue
		}
		switch m.Status.State {
		case savorypin.MoveDone:
			t = Traffic{from: m.Spec.To}
		case savorypin.MoveRunning, savorypin.MovePaused:
			t.to = m.Spec.To
			t.share = m.Status.Share
		case savorypin.MovePending, savorypin.MoveTakenBack:
		}
	}
	return t
}

// Choose returns the version for one piece of work, where u is uniform in
// [0, 1).
func (t Traffic) Choose(u float64) string {
	if t.to != "" && u < t.share {
		return t.to
	}
	return t.from
}

// Versions returns the versions that have a share of the traffic or may get it
// back.
func (t Traffic) Versions() []string {
	if t.to == "" {
		return []string{t.from}
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
