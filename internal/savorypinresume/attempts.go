package savorypinresume

import (
	"slices"
	"time"

	"savorypin/internal/savorypin"
)

// maxOpen is the largest number of attempts that run side by side.
const maxOpen = 2

// The time to the first token after which an attempt is taken as stalled, over
// the time after which it is suspected. A caller that has tokens already waits
// for the next one, not in a queue.
const (
	gapsFirst       = 4
	gapsFirstResume = 2
)

// judge decides whether an attempt has been quiet for too long.
func (m *Machine) judge(now time.Time, a *attempt) []Action {
	suspected, sure := m.limits(a)
	quiet := now.Sub(a.since)
	if quiet >= sure {
		cause := CauseStalled
		if a.attaching {
			cause = CauseHost
		}
		return m.Failed(now, a.id, cause, nil)
	}
	if quiet < suspected || a.suspected {
		return nil
	}
	a.suspected = true
	if !a.attaching && m.cfg.Silent != nil && m.cfg.Silent(a.id) {
		return m.attach(now, a)
	}
	if !m.hedges() {
		return nil
	}
	return m.place()
}

// limits returns how long an attempt may be quiet until it is suspected, and
// until it is taken as failed.
func (m *Machine) limits(a *attempt) (suspected, sure time.Duration) {
	switch {
	case a.attaching:
		return m.cfg.Limits.AttachSuspected, m.cfg.Limits.AttachSure
	case a.produced == 0 && m.log.Len() > 0:
		return a.first, gapsFirstResume * a.first
	case a.produced == 0:
		return a.first, gapsFirst * a.first
	default:
		return a.tokenGaps.Suspected(), a.tokenGaps.Sure()
	}
}

// hedges reports whether a second attempt is made on suspicion.
func (m *Machine) hedges() bool {
	return m.cfg.Policy == savorypin.ResumeLatency
}

// healthy reports whether an open attempt is not suspected.
func (m *Machine) healthy() bool {
	return slices.ContainsFunc(m.open, func(a *attempt) bool { return !a.suspected })
}

// place asks for an endpoint, unless that is under way.
func (m *Machine) place() []Action {
	if m.placing || m.end != nil || len(m.open) >= maxOpen {
		return nil
	}
	m.placing = true
	return []Action{{Kind: ActionPlace, Purpose: m.Purpose()}}
}

// Purpose says why the next attempt is made.
func (m *Machine) Purpose() savorypin.Purpose {
	switch {
	case len(m.open) > 0:
		return savorypin.PurposeHedge
	case m.log.Len() > 0:
		return savorypin.PurposeResume
	case m.number > 0:
		return savorypin.PurposeRetry
	default:
		return savorypin.PurposeFirst
	}
}

// charge counts a failure. A request that makes engines fail must not be given
// to one after the other, so failures after little progress add up. An attempt
// that waits long for its first token does not count, since its engine may have a
// queue.
func (m *Machine) charge(a *attempt, cause Cause) {
	switch {
	case a.produced >= m.cfg.Limits.Progress:
		m.failures = 1
	case cause != CauseStalled || a.produced > 0:
		m.failures++
	}
}

// repeat asks for the tokens that were lost on the way.
func (m *Machine) repeat(now time.Time, a *attempt) []Action {
	a.gaps++
	if a.gaps > m.cfg.Limits.Gaps {
		return m.Failed(now, a.id, CauseEngine, ErrGap)
	}
	return m.attach(now, a)
}

// attach asks for the tokens of an attempt from the end of the log on.
func (m *Machine) attach(now time.Time, a *attempt) []Action {
	if !a.attaching {
		a.attaching = true
		a.since = now
		a.suspected = false
	}
	return []Action{{Attempt: a.id, From: m.log.Len(), Kind: ActionAttach}}
}

// supersede cancels all attempts but the one that extended the log.
func (m *Machine) supersede(winner savorypin.AttemptID) []Action {
	if len(m.open) == 1 {
		return nil
	}
	var actions []Action
	for _, a := range slices.Clone(m.open) {
		if a.id == winner {
			continue
		}
		m.remove(a)
		actions = append(actions, Action{Attempt: a.id, Cause: a.lostBy(), Kind: ActionCancel})
	}
	return actions
}

// lostBy tells why another attempt went on: if this one was suspected, the
// suspicion has proved right.
func (a *attempt) lostBy() Cause {
	switch {
	case !a.suspected:
		return CauseSuperseded
	case a.attaching:
		return CauseHost
	default:
		return CauseStalled
	}
}

// giveUp ends a generation that cannot be finished. It is not run only if no
// endpoint began it.
func (m *Machine) giveUp(why string) []Action {
	kind := savorypin.KindIncomplete
	if !m.ran && len(m.open) == 0 {
		kind = savorypin.KindNotRun
	}
	err := savorypin.Errorf(kind, m.cfg.Object, "%s after %d attempts and %d tokens", why, m.number, m.log.Len())
	if m.last != nil {
		err = savorypin.Errorf(kind, m.cfg.Object, "%s after %d attempts and %d tokens: %w", why, m.number, m.log.Len(), m.last)
	}
	if kind == savorypin.KindNotRun {
		err = err.WithRetryAfter(time.Second)
	}
	return m.finish(End{Err: err}, savorypin.AttemptID{})
}

// finish ends the generation and cancels all attempts but the one that has
// ended by itself.
func (m *Machine) finish(end End, done savorypin.AttemptID) []Action {
	m.end = &end
	var actions []Action
	for _, a := range slices.Clone(m.open) {
		m.remove(a)
		if a.id != done {
			actions = append(actions, Action{Attempt: a.id, Cause: CauseSuperseded, Kind: ActionCancel})
		}
	}
	return append(actions, Action{Attempt: done, Kind: ActionFinish})
}

func (m *Machine) find(id savorypin.AttemptID) *attempt {
	for _, a := range m.open {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (m *Machine) remove(a *attempt) {
	m.log.Drop(a.id)
	m.open = slices.DeleteFunc(m.open, func(b *attempt) bool { return a == b })
}
