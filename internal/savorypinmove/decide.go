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

// WatchDuration is how long the new version is still watched after a move is done. The
// old version must stay loaded for that long, so that the move can be rolled back.
const WatchDuration = 30 * time.Minute

// Settings for raising the share.
const (
	// maxProbeShare is the largest share with fewer than minAttempts attempts.
	maxProbeShare = 0.1
	// minAttempts is the number of attempts on the new version since the share or the
	// state last changed that a move needs to be done, even after its deadline. Only a
	// minimum share of 1 in the move's spec completes it without them.
	minAttempts = 20
	// rampRatio is the fraction of a move's time after which the share may be 1.
	rampRatio = 0.9
)

// shareSteps are the shares that a move steps through at equal intervals.
var shareSteps = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 1}

// shareCaps are the largest shares by the minimum number of the new version's
// attempts, in descending order.
var shareCaps = []struct {
	attempts int
	share    float64
}{
	{attempts: 150, share: 1},
	{attempts: 60, share: 0.5},
	{attempts: minAttempts, share: 0.25},
	{attempts: 0, share: maxProbeShare},
}

// Input is the input of Decide for one service.
type Input struct {
	// Rejected returns why a move's new version was rejected, and whether it was.
	Rejected func(Key) (string, bool)
	// Judge returns the verdict on a move from the evidence since it began or, if
	// done is set, since it was done.
	Judge func(key Key, done bool) Verdict
	// Moves are the moves of the service.
	Moves []savorypinconfig.Move
	// Now is the current time.
	Now time.Time
	// Serves reports whether any endpoint serves a version.
	Serves func(version string) bool
	// Version is the version in the service's spec, which has the traffic before the
	// first move.
	Version string
}

// Change is a move and the status that it should get.
type Change struct {
	Move   savorypinconfig.Move
	Status savorypin.MoveStatus
}

// Decide returns the moves whose status should change, with the new status. At most
// one move of a service is under way or watched at a time.
func Decide(in Input) []Change {
	moves := slices.Clone(in.Moves)
	slices.SortFunc(moves, compareMoves)
	var changes []Change
	current, activeMove := in.Version, ""
	for _, m := range moves {
		s := in.nextStatus(m, current, activeMove)
		switch s.State {
		case savorypin.MoveDone:
			current = m.Spec.To
			if in.Now.Before(s.At.Add(WatchDuration)) {
				activeMove = m.Name
			}
		case savorypin.MoveRunning, savorypin.MovePaused:
			activeMove = m.Name
		case savorypin.MovePending, savorypin.MoveRolledBack:
		}
		if s != m.Status {
			changes = append(changes, Change{Move: m, Status: s})
		}
	}
	return changes
}

// compareMoves orders started moves by their epochs, and the others after them by
// start, deadline and name.
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

// nextStatus returns the status that a move should get. current is the version that the
// service is on, and activeMove is the move that is under way or watched, if any.
func (in Input) nextStatus(m savorypinconfig.Move, current, activeMove string) savorypin.MoveStatus {
	if m.Status.State == savorypin.MoveRolledBack {
		return m.Status
	}
	if reason, ok := in.Rejected(KeyOf(m)); ok && m.Status.Epoch != 0 {
		return in.rollBack(m, "the new version is worse than the old one", reason)
	}
	switch m.Status.State {
	case savorypin.MoveDone:
		return in.decideWatched(m)
	case savorypin.MovePaused, savorypin.MoveRunning:
		return in.decideRunning(m)
	case savorypin.MovePending, savorypin.MoveRolledBack:
	}
	return in.tryStart(m, current, activeMove)
}

// tryStart returns the status of a move that has not started: running if nothing
// blocks it, else pending with the reason.
func (in Input) tryStart(m savorypinconfig.Move, current, activeMove string) savorypin.MoveStatus {
	s := savorypin.MoveStatus{At: m.Status.At, State: savorypin.MovePending}
	if s.At.IsZero() {
		s.At = in.Now
	}
	switch {
	case m.Spec.Action == savorypin.MoveRollback:
		return in.rollBack(m, "ordered by an operator before it began", "")
	case m.Spec.Action == savorypin.MoveHold:
		s.Reason = "held by an operator"
	case in.Now.Before(m.Spec.Start):
		s.Reason = "begins at " + m.Spec.Start.UTC().Format(time.RFC3339)
	case activeMove != "":
		s.Reason = fmt.Sprintf("waits for move %s, which is under way or watched", activeMove)
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
			Share:  max(shareSteps[0], m.Spec.MinShare),
			State:  savorypin.MoveRunning,
		}
	}
	return s
}

// decideRunning returns the next status of a running or paused move.
func (in Input) decideRunning(m savorypinconfig.Move) savorypin.MoveStatus {
	if m.Spec.Action == savorypin.MoveRollback {
		return in.rollBack(m, "ordered by an operator", m.Status.Evidence)
	}
	v := in.Judge(KeyOf(m), false)
	s := m.Status
	switch {
	case v.Finding == FindingBad:
		return in.rollBack(m, "the new version is worse than the old one", v.Reason)
	case m.Spec.Action == savorypin.MoveHold:
		s.Reason = "held by an operator"
		s = in.withState(s, savorypin.MovePaused)
	case !in.Serves(m.Spec.To):
		s.Reason = "share kept: no endpoint serves the new version"
		s = in.withState(s, savorypin.MoveRunning)
	case v.Finding == FindingSuspect:
		s.Share = min(s.Share, shareSteps[0])
		s.Reason = "share cut: the evidence comes from a single failure domain or endpoint"
		s = in.withState(s, savorypin.MoveRunning)
	case v.Finding == FindingCaution:
		s.Reason = "share kept: the new version may be worse"
		s = in.withState(s, savorypin.MoveRunning)
	default:
		s = in.raiseShare(m, v)
	}
	if s.Share != m.Status.Share || s.State != m.Status.State {
		s.Requests = v.New
	}
	if s != m.Status {
		s.Evidence = v.Reason
	}
	return s
}

// withState returns the status with the state, and with the current time if the state
// changed.
func (in Input) withState(s savorypin.MoveStatus, state savorypin.MoveState) savorypin.MoveStatus {
	if s.State != state {
		s.At = in.Now
		s.State = state
	}
	return s
}

// raiseShare raises the share as time and evidence allow.
func (in Input) raiseShare(m savorypinconfig.Move, v Verdict) savorypin.MoveStatus {
	s := in.withState(m.Status, savorypin.MoveRunning)
	comparedBefore := s.Requests
	if comparedBefore > v.New {
		// Another daemon has become the evaluator and counts attempts from 0.
		comparedBefore = 0
	}
	enoughNew := v.New-comparedBefore >= minAttempts
	scheduled, limit := in.scheduledShare(m), maxShare(s.Share, v.New, enoughNew)
	late := !in.Now.Before(m.Spec.By)
	switch {
	case late && enoughNew:
		limit = 1
	case late && limit < 1:
		s.Reason = fmt.Sprintf("late: too little traffic for a verdict; %d attempts on the new version are needed", minAttempts)
	case limit < scheduled:
		s.Reason = "share limited by the number of attempts on the new version"
	default:
		s.Reason = "the share grows with time"
	}
	s.Share = max(s.Share, m.Spec.MinShare, min(scheduled, limit))
	if s.Share < 1 {
		return s
	}
	s.Reason = "all traffic is on the new version"
	if v.New < shareCaps[0].attempts {
		s.Reason = fmt.Sprintf("all traffic is on the new version, after %d attempts only", v.New)
	}
	return in.withState(s, savorypin.MoveDone)
}

// scheduledShare returns the share for the elapsed fraction of the move's time.
func (in Input) scheduledShare(m savorypinconfig.Move) float64 {
	begun := m.Status.Begun
	window := m.Spec.By.Sub(begun)
	if window <= 0 {
		return 1
	}
	elapsed := float64(in.Now.Sub(begun)) / (float64(window) * rampRatio)
	i := int(elapsed * float64(len(shareSteps)-1))
	return shareSteps[max(0, min(i, len(shareSteps)-1))]
}

// maxShare returns the largest share that the evidence allows after the current one,
// given the number of attempts on the new version. enoughNew is set if at least
// minAttempts of them came since the share changed. Above maxProbeShare the share rises
// one step at a time, and each step needs new attempts before the next.
func maxShare(share float64, attempts int, enoughNew bool) float64 {
	if !enoughNew {
		return max(share, maxProbeShare)
	}
	next := 1.0
	for _, step := range slices.Backward(shareSteps) {
		if step > share {
			next = step
		}
	}
	for _, c := range shareCaps {
		if attempts >= c.attempts {
			return min(c.share, max(next, maxProbeShare))
		}
	}
	return maxProbeShare
}

// decideWatched returns the next status of a move that is done.
func (in Input) decideWatched(m savorypinconfig.Move) savorypin.MoveStatus {
	s := m.Status
	if !in.Now.Before(s.At.Add(WatchDuration)) {
		// The old version may be unloaded; returning to it takes a new move.
		return s
	}
	if m.Spec.Action == savorypin.MoveRollback {
		return in.rollBack(m, "ordered by an operator after the move was done", s.Evidence)
	}
	if v := in.Judge(KeyOf(m), true); v.Finding == FindingBad {
		return in.rollBack(m, "the new version became worse after the move was done", v.Reason)
	}
	return s
}

// rollBack returns the final status of a move that is rolled back.
func (in Input) rollBack(m savorypinconfig.Move, reason, evidence string) savorypin.MoveStatus {
	s := m.Status
	s.At = in.Now
	s.Evidence = evidence
	s.Reason = reason
	s.Share = 0
	s.State = savorypin.MoveRolledBack
	return s
}

// SettledVersion returns the version that a service runs once its last move is done
// and no longer watched; ok is false if there is no such move, or one is under way.
// The caller writes the version into the service's spec, so that it is kept when the
// move is deleted.
func SettledVersion(moves []savorypinconfig.Move, now time.Time) (version string, ok bool) {
	sorted := slices.Clone(moves)
	slices.SortFunc(sorted, compareMoves)
	for _, m := range sorted {
		switch m.Status.State {
		case savorypin.MoveDone:
			version = m.Spec.To
			ok = !now.Before(m.Status.At.Add(WatchDuration))
		case savorypin.MoveRunning, savorypin.MovePaused:
			return "", false
		case savorypin.MovePending, savorypin.MoveRolledBack:
		}
	}
	return version, ok
}
