package savorypinresume

import (
	"slices"
	"time"

	"savorypin/internal/savorypin"
)

// maxOpenAttempts is the maximum number of concurrent attempts of a generation.
const maxOpenAttempts = 2

// An attempt without a first token counts as stalled after this many times the
// timeout after which it is suspected. The factor is smaller for a resume, because a
// caller that already has tokens waits for the next token and not in a queue.
const (
	firstTokenStallFactor        = 4
	resumedFirstTokenStallFactor = 2
)

// checkStall suspects or fails an attempt that has made no progress for too long.
func (m *Machine) checkStall(now time.Time, a *attempt) []Action {
	suspectAfter, failAfter := m.timeouts(a)
	idle := now.Sub(a.lastProgress)
	if idle >= failAfter {
		cause := CauseStalled
		if a.attaching {
			cause = CauseHost
		}
		return m.Failed(now, a.id, cause, nil)
	}
	if idle < suspectAfter || a.suspected {
		return nil
	}
	a.suspected = true
	if !a.attaching && m.cfg.IsSilent != nil && m.cfg.IsSilent(a.id) {
		return m.attach(now, a)
	}
	if !m.hedges() {
		return nil
	}
	return m.requestPlacement()
}

// timeouts returns how long an attempt may go without progress before it is
// suspected, and before it counts as failed.
func (m *Machine) timeouts(a *attempt) (suspectAfter, failAfter time.Duration) {
	switch {
	case a.attaching:
		return m.cfg.Limits.AttachSuspectTimeout, m.cfg.Limits.AttachTimeout
	case a.produced == 0 && m.log.Len() > 0:
		return a.firstTokenTimeout, resumedFirstTokenStallFactor * a.firstTokenTimeout
	case a.produced == 0:
		return a.firstTokenTimeout, firstTokenStallFactor * a.firstTokenTimeout
	default:
		return a.tokenGaps.SuspectTimeout(), a.tokenGaps.StallTimeout()
	}
}

// hedges reports whether a suspected attempt is hedged by a second one.
func (m *Machine) hedges() bool {
	return m.cfg.Policy == savorypin.ResumeLatency
}

// hasHealthyAttempt reports whether any open attempt is not suspected.
func (m *Machine) hasHealthyAttempt() bool {
	return slices.ContainsFunc(m.openAttempts, func(a *attempt) bool { return !a.suspected })
}

// requestPlacement requests an endpoint for a new attempt, unless a request is
// pending or the maximum number of attempts is open.
func (m *Machine) requestPlacement() []Action {
	if m.placing || m.end != nil || len(m.openAttempts) >= maxOpenAttempts {
		return nil
	}
	m.placing = true
	return []Action{{Kind: ActionPlace, Purpose: m.Purpose()}}
}

// Purpose returns the purpose of the next attempt.
func (m *Machine) Purpose() savorypin.Purpose {
	switch {
	case len(m.openAttempts) > 0:
		return savorypin.PurposeHedge
	case m.log.Len() > 0:
		return savorypin.PurposeResume
	case m.lastNumber > 0:
		return savorypin.PurposeRetry
	default:
		return savorypin.PurposeFirst
	}
}

// countFailure counts the failure of an attempt. Failures after little progress add
// up, so that a request that crashes engines is not sent to one engine after the
// other. An attempt that stalls before its first token does not count, since its
// engine may have a long queue.
func (m *Machine) countFailure(a *attempt, cause Cause) {
	switch {
	case a.produced >= m.cfg.Limits.MinProgressTokens:
		m.failures = 1
	case cause != CauseStalled || a.produced > 0:
		m.failures++
	}
}

// refetchMissing requests tokens that were lost between the agent and the log, or
// fails the attempt if that has happened too often.
func (m *Machine) refetchMissing(now time.Time, a *attempt) []Action {
	a.reattaches++
	if a.reattaches > m.cfg.Limits.MaxReattaches {
		return m.Failed(now, a.id, CauseEngine, ErrMissingTokens)
	}
	return m.attach(now, a)
}

// attach requests the tokens of an attempt from the end of the log on.
func (m *Machine) attach(now time.Time, a *attempt) []Action {
	if !a.attaching {
		a.attaching = true
		a.lastProgress = now
		a.suspected = false
	}
	return []Action{{Attempt: a.id, From: m.log.Len(), Kind: ActionAttach}}
}

// supersede cancels all attempts but the one that extended the log.
func (m *Machine) supersede(winner savorypin.AttemptID) []Action {
	if len(m.openAttempts) == 1 {
		return nil
	}
	var actions []Action
	for _, a := range slices.Clone(m.openAttempts) {
		if a.id == winner {
			continue
		}
		m.remove(a)
		actions = append(actions, Action{Attempt: a.id, Cause: a.cancelCause(), Kind: ActionCancel})
	}
	return actions
}

// cancelCause returns why an attempt is cancelled once another one has extended the
// log: for a suspected attempt, that confirms the suspicion.
func (a *attempt) cancelCause() Cause {
	switch {
	case !a.suspected:
		return CauseSuperseded
	case a.attaching:
		return CauseHost
	default:
		return CauseStalled
	}
}

// abort ends a generation that can't be completed. Its error is of kind not run
// only if no endpoint has started the generation.
func (m *Machine) abort(reason string) []Action {
	kind := savorypin.KindIncomplete
	if !m.mayHaveRun && len(m.openAttempts) == 0 {
		kind = savorypin.KindNotRun
	}
	err := savorypin.Errorf(kind, m.cfg.Object, "%s after %d attempts and %d tokens", reason, m.lastNumber, m.log.Len())
	if m.lastErr != nil {
		err = savorypin.Errorf(kind, m.cfg.Object, "%s after %d attempts and %d tokens: %w", reason, m.lastNumber, m.log.Len(), m.lastErr)
	}
	if kind == savorypin.KindNotRun {
		err = err.WithRetryAfter(time.Second)
	}
	return m.finish(End{Err: err}, savorypin.AttemptID{})
}

// finish ends the generation and cancels all open attempts except done, which has
// completed.
func (m *Machine) finish(end End, done savorypin.AttemptID) []Action {
	m.end = &end
	var actions []Action
	for _, a := range slices.Clone(m.openAttempts) {
		m.remove(a)
		if a.id != done {
			actions = append(actions, Action{Attempt: a.id, Cause: CauseSuperseded, Kind: ActionCancel})
		}
	}
	return append(actions, Action{Attempt: done, Kind: ActionFinish})
}

func (m *Machine) find(id savorypin.AttemptID) *attempt {
	for _, a := range m.openAttempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (m *Machine) remove(a *attempt) {
	m.log.Drop(a.id)
	m.openAttempts = slices.DeleteFunc(m.openAttempts, func(b *attempt) bool { return a == b })
}
