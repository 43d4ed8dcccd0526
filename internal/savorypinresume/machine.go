package savorypinresume

import (
	"slices"
	"time"

	"savorypin/internal/savorypin"
)

// MachineConfig configures a Machine.
type MachineConfig struct {
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Limits are the limits of attempts and of the generation.
	Limits Limits
	// LastNumber is the number of the last attempt that was made before this machine;
	// zero if there is none.
	LastNumber int
	// Object is the name of the generation in errors.
	Object string
	// Policy says whether the generation favors low resume latency or little extra
	// work.
	Policy savorypin.ResumePolicy
	// IsSilent reports whether nothing at all has arrived recently on the connection
	// of an attempt. If so, a suspected attempt is first attached to on a new
	// connection, as the connection may have failed instead of the engine. The
	// function may be nil.
	IsSilent func(savorypin.AttemptID) bool
	// Term is the term of all attempts that the machine makes.
	Term uint64
}

// maxDelayDoublings keeps the doubling delay from overflowing.
const maxDelayDoublings = 16

// attempt is one open attempt.
type attempt struct {
	attaching         bool
	endpoint          string
	firstTokenTimeout time.Duration
	reattaches        int
	id                savorypin.AttemptID
	// produced is the number of tokens that the attempt has added to the log.
	produced     int
	tokenGaps    TokenGaps
	lastProgress time.Time
	suspected    bool
}

// Machine is the state machine of one generation. Its methods take the events of
// the attempts and return the actions to carry out. It is not safe for concurrent
// use.
type Machine struct {
	avoid        map[string]bool
	cfg          MachineConfig
	end          *End
	failures     int
	lastErr      error
	log          Log
	lastNumber   int
	openAttempts []*attempt
	// placing says that the result of the last ActionPlace is pending.
	placing           bool
	mayHaveRun        bool
	placementFailures int
	retryAt           time.Time
}

// NewMachine returns a machine without attempts. Begin or Adopt starts it.
func NewMachine(cfg MachineConfig) *Machine {
	return &Machine{avoid: map[string]bool{}, cfg: cfg, lastNumber: cfg.LastNumber}
}

// Avoid returns the endpoints that the next attempt must not use: those of open
// attempts, and those that have failed since the last failed choice of an endpoint.
func (m *Machine) Avoid() map[string]bool {
	avoid := map[string]bool{}
	for name := range m.avoid {
		avoid[name] = true
	}
	for _, a := range m.openAttempts {
		avoid[a.endpoint] = true
	}
	return avoid
}

// Attempts returns the number of attempts so far.
func (m *Machine) Attempts() int {
	return m.lastNumber
}

// End returns how the generation ended, or nil if it has not ended.
func (m *Machine) End() *End {
	return m.end
}

// IsOpen reports whether an attempt is open.
func (m *Machine) IsOpen(id savorypin.AttemptID) bool {
	return m.find(id) != nil
}

// Log returns the delivered log.
func (m *Machine) Log() *Log {
	return &m.log
}

// Term returns the term of the attempts.
func (m *Machine) Term() uint64 {
	return m.cfg.Term
}

// Begin returns the first actions of a new generation.
func (m *Machine) Begin() []Action {
	return m.requestPlacement()
}

// Adopt continues with an attempt that another entry made. The log must have been
// restored before.
func (m *Machine) Adopt(now time.Time, id savorypin.AttemptID, endpoint string, firstTokenTimeout time.Duration) []Action {
	m.mayHaveRun = true
	m.log.Begin(id)
	m.openAttempts = append(m.openAttempts, &attempt{attaching: true, endpoint: endpoint, firstTokenTimeout: firstTokenTimeout, id: id, lastProgress: now})
	return []Action{{Attempt: id, From: m.log.Len(), Kind: ActionAttach}}
}

// Placed reports that an endpoint was chosen, and the time after which an attempt
// there is suspected if it has no first token. It returns the id of the attempt to
// start there, or false if no attempt is needed any more.
func (m *Machine) Placed(now time.Time, endpoint string, firstTokenTimeout time.Duration) (savorypin.AttemptID, bool) {
	m.placing = false
	if m.end != nil || m.hasHealthyAttempt() {
		return savorypin.AttemptID{}, false
	}
	m.lastNumber++
	id := savorypin.AttemptID{Number: m.lastNumber, Term: m.cfg.Term}
	m.log.Begin(id)
	m.openAttempts = append(m.openAttempts, &attempt{endpoint: endpoint, firstTokenTimeout: firstTokenTimeout, id: id, lastProgress: now})
	return id, true
}

// PlacementFailed reports that no endpoint could be chosen. If no attempt is open, the
// choice is tried again after a delay, and then includes the endpoints that have
// failed.
func (m *Machine) PlacementFailed(now time.Time) []Action {
	m.placing = false
	m.avoid = map[string]bool{}
	if m.end != nil || len(m.openAttempts) > 0 {
		return nil
	}
	m.placementFailures++
	if !m.mayHaveRun && m.placementFailures >= m.cfg.Limits.MaxPlacementFailures {
		return m.abort("no endpoint takes the generation")
	}
	pause := m.cfg.Limits.PlaceRetryDelay << min(m.placementFailures-1, maxDelayDoublings)
	m.retryAt = now.Add(min(pause, m.cfg.Limits.MaxPlaceRetryDelay))
	return nil
}

// Tokens reports tokens of an attempt. The first of them has index first. It returns
// the number of tokens that were new to the log.
func (m *Machine) Tokens(now time.Time, id savorypin.AttemptID, first int, tokens []savorypin.Token) (int, []Action) {
	a := m.find(id)
	if a == nil || m.end != nil {
		return 0, nil
	}
	taken, err := m.log.Offer(id, first, tokens)
	if err != nil {
		return 0, m.refetchMissing(now, a)
	}
	m.Attached(now, id)
	if taken == 0 {
		return 0, nil
	}
	a.reattaches = 0
	m.placementFailures = 0
	if a.produced > 0 {
		a.tokenGaps.Observe(now.Sub(a.lastProgress))
	}
	a.produced += taken
	a.lastProgress = now
	a.suspected = false
	m.mayHaveRun = true
	return taken, m.supersede(id)
}

// Attached reports that the agent serves an attempt on a new stream.
func (m *Machine) Attached(now time.Time, id savorypin.AttemptID) {
	if a := m.find(id); a != nil && a.attaching {
		a.attaching = false
		a.lastProgress = now
		a.suspected = false
	}
}

// Done reports that an attempt has completed an answer of length tokens.
func (m *Machine) Done(now time.Time, id savorypin.AttemptID, length int, reason savorypin.FinishReason) []Action {
	a := m.find(id)
	switch {
	case a == nil || m.end != nil || !m.log.Extends(id):
		return nil
	case length > m.log.Len():
		return m.refetchMissing(now, a)
	case length < m.log.Len():
		return m.Failed(now, id, CauseEngine, nil)
	}
	return m.finish(End{Reason: reason}, id)
}

// ConnectionLost reports that the connection of an attempt was lost. The attempt may
// still be running, so it is attached to again at the first token that the log lacks.
func (m *Machine) ConnectionLost(now time.Time, id savorypin.AttemptID) []Action {
	a := m.find(id)
	if a == nil || m.end != nil {
		return nil
	}
	a.reattaches++
	if a.reattaches > m.cfg.Limits.MaxReattaches {
		return m.Failed(now, id, CauseHost, nil)
	}
	return m.attach(now, a)
}

// Failed reports that an attempt has failed for good. The error may be nil.
func (m *Machine) Failed(now time.Time, id savorypin.AttemptID, cause Cause, err error) []Action {
	a := m.find(id)
	if a == nil || m.end != nil {
		return nil
	}
	m.remove(a)
	m.avoid[a.endpoint] = true
	m.lastErr = err
	var actions []Action
	switch cause {
	case CauseSuperseded:
		return m.HandOver()
	case CauseRefused:
	case CauseStopping:
		m.mayHaveRun = true
	default:
		m.mayHaveRun = true
		m.countFailure(a, cause)
		actions = append(actions, Action{Attempt: id, Cause: cause, Kind: ActionCancel})
	}
	if m.failures >= m.cfg.Limits.MaxFailures {
		return append(actions, m.abort("too many attempts failed")...)
	}
	if len(m.openAttempts) > 0 {
		return actions
	}
	return append(actions, m.requestPlacement()...)
}

// Cancel ends the generation because it is no longer needed.
func (m *Machine) Cancel() []Action {
	if m.end != nil {
		return nil
	}
	return m.finish(End{Reason: savorypin.FinishCancelled}, savorypin.AttemptID{})
}

// HandOver ends the generation in this entry because another entry continues it.
// Its attempts keep running.
func (m *Machine) HandOver() []Action {
	if m.end != nil {
		return nil
	}
	m.openAttempts = nil
	return m.finish(End{Err: savorypin.Errorf(savorypin.KindConflict, m.cfg.Object, "another entry has taken over")}, savorypin.AttemptID{})
}

// Tick handles the timeouts that have expired by now. It should be called at the time
// that NextTick returns.
func (m *Machine) Tick(now time.Time) []Action {
	if m.end != nil {
		return nil
	}
	if !now.Before(m.cfg.Deadline) {
		return m.abort("time is up")
	}
	if m.restartTimeoutsAfterPause(now) {
		return nil
	}
	var actions []Action
	for _, a := range slices.Clone(m.openAttempts) {
		actions = append(actions, m.checkStall(now, a)...)
	}
	if !m.retryAt.IsZero() && !now.Before(m.retryAt) {
		m.retryAt = time.Time{}
		if len(m.openAttempts) == 0 {
			actions = append(actions, m.requestPlacement()...)
		}
	}
	return actions
}

// restartTimeoutsAfterPause restarts the timeouts of all open attempts if this tick
// is late by MaxTickDelay or more, and reports whether it did so. The daemon itself
// was paused then, so the missing progress says nothing about the attempts.
func (m *Machine) restartTimeoutsAfterPause(now time.Time) bool {
	if now.Sub(m.NextTick()) < m.cfg.Limits.MaxTickDelay {
		return false
	}
	for _, a := range m.openAttempts {
		a.lastProgress = now
	}
	return len(m.openAttempts) > 0
}

// NextTick returns the earliest time at which Tick has something to do.
func (m *Machine) NextTick() time.Time {
	wake := m.cfg.Deadline
	if !m.retryAt.IsZero() && m.retryAt.Before(wake) {
		wake = m.retryAt
	}
	for _, a := range m.openAttempts {
		suspectAfter, failAfter := m.timeouts(a)
		due := a.lastProgress.Add(failAfter)
		if !a.suspected {
			due = a.lastProgress.Add(suspectAfter)
		}
		if due.Before(wake) {
			wake = due
		}
	}
	return wake
}
