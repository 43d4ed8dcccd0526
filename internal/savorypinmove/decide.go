package savorypinmove

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
)

// WatchFor is how long the new version is watched after a move is done. The old
// version must stay ready for that long.
const WatchFor = 30 * time.Minute

// Settings of the growth of the share.
const (
	// maxProbe is the largest share while there is almost no evidence.
	maxProbe = 0.1
	// minEvidence is the number of attempts without which a move is not done,
	// even when its time has come.
	minEvidence = 20
	// rampTime is the part of a move after which the share may be 1.
	rampTime = 0.9
)

// steps are the shares that a move goes through, at equal intervals.
var steps = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 1}

// caps are the largest shares for a number of the new version's attempts.
var caps = []struct {
	attempts int
	share    float64
}{
	{attempts: 150, share: 1},
	{attempts: 60, share: 0.5},
	{attempts: minEvidence, share: 0.25},
	{attempts: 0, share: maxProbe},
}

// Input is what the moves of one service are decided from.
type Input struct {
	// Rejected returns why a move was judged bad, if it was.
	Rejected func(Key) (string, bool)
	// Judge returns the verdict on a move; done asks for the time since the move
	// was done.
	Judge func(key Key, done bool) Verdict
	// Moves are the moves of the service.
	Moves []savorypinconfig.Move
	// Now is the time.
	Now time.Time
	// Serves reports whether any endpoint serves a version.
	Serves func(version string) bool
	// Version is the version that the service began with.
	Version string
}

// Change is a status that a move should have.
type Change struct {
	Move   savorypinconfig.Move
	Status savorypin.MoveStatus
}

// Decide returns the statuses that should change.
func Decide(in Input) []Change {
	moves := slices.Clone(in.Moves)
	slices.SortFunc(moves, compareMoves)
	var changes []Change
	current, busy := in.Version, ""
	for _, m := range moves {
		s := in.decide(m, current, busy)
		switch s.State {
		case savorypin.MoveDone:
			current = m.Spec.To
			if in.Now.Before(s.At.Add(WatchFor)) {
				busy = m.Name
			}
		case savorypin.MoveRunning, savorypin.MovePaused:
			busy = m.Name
		case savorypin.MovePending, savorypin.MoveTakenBack:
		}
		if s != m.Status {
			changes = append(changes, Change{Move: m, Status: s})
		}
	}
	return changes
}

// compareMoves orders the moves that were taken on by their epochs, and the
// others after them by their start.
func compareMoves(a, b savorypinconfig.Move) int {
	switch {
	case a.Status.Epoch != 0 && b.Status.Epoch != 0:
		return cmp.Compare(a.Status.Epoch, b.Status.Epoch)
	case a.Status.Epoch != 0:
		return -1
	case b.Status.Epoch != 0:
		return 1
	}
	return cmp.Or(a.Spec.Start.Compare(b.Spec.Start), a.Spec.By.Compare(b.Spec.By), strings.Compare(a.Name, b.Name))
}

func (in Input) decide(m savorypinconfig.Move, current, busy string) savorypin.MoveStatus {
	if m.Status.State == savorypin.MoveTakenBack {
		return m.Status
	}
	if reason, ok := in.Rejected(KeyOf(m)); ok && m.Status.Epoch != 0 {
		return in.takeBack(m, "the new version is worse than the old one", reason)
	}
	switch m.Status.State {
	case savorypin.MoveDone:
		return in.watch(m)
	case savorypin.MovePaused, savorypin.MoveRunning:
		return in.run(m)
	case savorypin.MovePending, savorypin.MoveTakenBack:
	}
	return in.start(m, current, busy)
}

// start takes a move on if nothing stands against it.
func (in Input) start(m savorypinconfig.Move, current, busy string) savorypin.MoveStatus {
	s := savorypin.MoveStatus{At: m.Status.At, State: savorypin.MovePending}
	if s.At.IsZero() {
		s.At = in.Now
	}
	switch {
	case m.Spec.Action == savorypin.MoveRollback:
		return in.takeBack(m, "ordered by an operator before it began", "")
	case m.Spec.Action == savorypin.MoveHold:
		s.Reason = "held by an operator"
	case in.Now.Before(m.Spec.Start):
		s.Reason = "begins at " + m.Spec.Start.UTC().Format(time.RFC3339)
	case busy != "":
		s.Reason = fmt.Sprintf("waits for move %s, which is under way or watched", busy)
	case m.Spec.From != current:
		s.Reason = fmt.Sprintf("conflict: the move is from %s, but the service is on %s", m.Spec.From, current)
	case !in.Serves(m.Spec.To):
		s.Reason = fmt.Sprintf("no endpoint serves %s", m.Spec.To)
	default:
		return savorypin.MoveStatus{
			At:     in.Now,
			Begun:  in.Now,
			Epoch:  m.Version,
			Reason: "the new version gets its first requests",
			Share:  max(steps[0], m.Spec.MinShare),
			State:  savorypin.MoveRunning,
		}
	}
	return s
}

// run decides on a move that has a share.
func (in Input) run(m savorypinconfig.Move) savorypin.MoveStatus {
	if m.Spec.Action == savorypin.MoveRollback {
		return in.takeBack(m, "ordered by an operator", m.Status.Evidence)
	}
	v := in.Judge(KeyOf(m), false)
	s := m.Status
	switch {
	case v.Finding == FindingBad:
		return in.takeBack(m, "the new version is worse than the old one", v.Reason)
	case m.Spec.Action == savorypin.MoveHold:
		s.Reason = "held by an operator"
		s = in.enter(s, savorypin.MovePaused)
	case !in.Serves(m.Spec.To):
		s.Reason = "share kept: no endpoint serves the new version"
		s = in.enter(s, savorypin.MoveRunning)
	case v.Finding == FindingSuspect:
		s.Share = min(s.Share, steps[0])
		s.Reason = "share cut: the evidence comes from a single failure domain or endpoint"
		s = in.enter(s, savorypin.MoveRunning)
	case v.Finding == FindingCaution:
		s.Reason = "share kept: the new version may be worse"
		s = in.enter(s, savorypin.MoveRunning)
	default:
		s = in.grow(m, v)
	}
	if s.Share != m.Status.Share || s.State != m.Status.State {
		s.Requests = v.New
	}
	if s != m.Status {
		s.Evidence = v.Reason
	}
	return s
}

// enter sets the state, and its time if the state is new.
func (in Input) enter(s savorypin.MoveStatus, state savorypin.MoveState) savorypin.MoveStatus {
	if s.State != state {
		s.At = in.Now
		s.State = state
	}
	return s
}

// grow raises the share as time and evidence allow.
func (in Input) grow(m savorypinconfig.Move, v Verdict) savorypin.MoveStatus {
	s := in.enter(m.Status, savorypin.MoveRunning)
	before := s.Requests
	if before > v.New {
		// Another daemon evaluates now, and counts from 0.
		before = 0
	}
	fresh := v.New-before >= minEvidence
	due, limit := in.due(m), limitOf(s.Share, v.New, fresh)
	late := !in.Now.Before(m.Spec.By)
	switch {
	case late && fresh:
		limit = 1
	case late && limit < 1:
		s.Reason = fmt.Sprintf("late: too little traffic for a verdict; %d attempts on the new version are needed", minEvidence)
	case limit < due:
		s.Reason = "share limited by the number of attempts on the new version"
	default:
		s.Reason = "the share grows with time"
	}
	s.Share = max(s.Share, m.Spec.MinShare, min(due, limit))
	if s.Share < 1 {
		return s
	}
	s.Reason = "all traffic is on the new version"
	if v.New < caps[0].attempts {
		s.Reason = fmt.Sprintf("all traffic is on the new version, after %d attempts only", v.New)
	}
	return in.enter(s, savorypin.MoveDone)
}

// due returns the share that the time allows.
func (in Input) due(m savorypinconfig.Move) float64 {
	begun := m.Status.Begun
	window := m.Spec.By.Sub(begun)
	if window <= 0 {
		return 1
	}
	part := float64(in.Now.Sub(begun)) / (float64(window) * rampTime)
	i := int(part * float64(len(steps)-1))
	return steps[max(0, min(i, len(steps)-1))]
}

// limitOf returns the share that the evidence allows after a share, given the
// number of attempts on the new version and whether enough of them came since
// the share changed. Above a probe, the share goes up one step at a time, and
// each step is tried before the next.
func limitOf(share float64, attempts int, fresh bool) float64 {
	if !fresh {
		return max(share, maxProbe)
	}
	next := 1.0
	for _, step := range slices.Backward(steps) {
		if step > share {
			next = step
		}
	}
	for _, c := range caps {
		if attempts >= c.attempts {
			return min(c.share, max(next, maxProbe))
		}
	}
	return maxProbe
}

// watch decides on a move that is done.
func (in Input) watch(m savorypinconfig.Move) savorypin.MoveStatus {
	s := m.Status
	if !in.Now.Before(s.At.Add(WatchFor)) {
		// The old version may be gone; only a new move leads back to it.
		return s
	}
	if m.Spec.Action == savorypin.MoveRollback {
		return in.takeBack(m, "ordered by an operator after the move was done", s.Evidence)
	}
	if v := in.Judge(KeyOf(m), true); v.Finding == FindingBad {
		return in.takeBack(m, "the new version became worse after the move was done", v.Reason)
	}
	return s
}

// takeBack returns the status of a move that is taken back, which is final.
func (in Input) takeBack(m savorypinconfig.Move, reason, evidence string) savorypin.MoveStatus {
	s := m.Status
	s.At = in.Now
	s.Evidence = evidence
	s.Reason = reason
	s.Share = 0
	s.State = savorypin.MoveTakenBack
	return s
}

// Settled returns the version that a service is on once its last move is done
// and no longer watched; ok is false if there is no such move, or one under way.
// Written into the spec of the service, it outlasts the deletion of the move.
func Settled(moves []savorypinconfig.Move, now time.Time) (version string, ok bool) {
	sorted := slices.Clone(moves)
	slices.SortFunc(sorted, compareMoves)
	for _, m := range sorted {
		switch m.Status.State {
		case savorypin.MoveDone:
			version = m.Spec.To
			ok = !now.Before(m.Status.At.Add(WatchFor))
		case savorypin.MoveRunning, savorypin.MovePaused:
			return "", false
		case savorypin.MovePending, savorypin.MoveTakenBack:
		}
	}
	return version, ok
}
