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
	// Limits decide when an attempt has failed.
	Limits Limits
	// Number is the number of the last attempt before this machine.
	Number int
	// Object names the generation in errors.
	Object string
	// Policy chooses between resume latency and extra work.
	Policy savorypin.ResumePolicy
	// Silent reports whether nothing at all has come lately on the connection
	// of an attempt. Then the connection is suspected before the engine is.
	Silent func(savorypin.AttemptID) bool
	// Term is the term of all attempts that the machine makes.
	Term uint64
}

// maxPauseDoublings keeps the doubling of pauses from overflowing.
const maxPauseDoublings = 16

// attempt is one open attempt.
type attempt struct {
	attaching bool
	endpoint  string
	first     time.Duration
	gaps      int
	id        savorypin.AttemptID
	produced  int
	tokenGaps TokenGaps
	since     time.Time
	suspected bool
}

// Machine decides what is done for one generation: it takes what is seen of
// its attempts and returns what has to be done. It is not safe for concurrent
// use.
type Machine struct {
	avoid    map[string]bool
	cfg      MachineConfig
	end      *End
	failures int
	last     error
	log      Log
	number   int
	open     []*attempt
	placing  bool
	ran      bool
	refusals int
	retryAt  time.Time
}

// NewMachine returns a machine that has made no attempt.
func NewMachine(cfg MachineConfig) *Machine {
	return &Machine{avoid: map[string]bool{}, cfg: cfg, number: cfg.Number}
}

// Avoid returns the endpoints that failed this generation lately.
func (m *Machine) Avoid() map[string]bool {
	avoid := map[string]bool{}
	for name := range m.avoid {
		avoid[name] = true
	}
	for _, a := range m.open {
		avoid[a.endpoint] = true
	}
	return avoid
}

// Attempts returns the number of attempts so far.
func (m *Machine) Attempts() int {
	return m.number
}

// End returns how the generation ended, or nil if it has not.
func (m *Machine) End() *End {
	return m.end
}

// Holds reports whether an attempt is open.
func (m *Machine) Holds(id savorypin.AttemptID) bool {
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

// Begin returns the first action of a generation.
func (m *Machine) Begin() []Action {
	return m.place()
}

// Adopt goes on with an attempt that another entry made, after the tokens that
// the log has been restored with.
func (m *Machine) Adopt(now time.Time, id savorypin.AttemptID, endpoint string, first time.Duration) []Action {
	m.ran = true
	m.log.Begin(id)
	m.open = append(m.open, &attempt{attaching: true, endpoint: endpoint, first: first, id: id, since: now})
	return []Action{{Attempt: id, From: m.log.Len(), Kind: ActionAttach}}
}

// Placed says that an endpoint was chosen, whose first token is expected
// within a time. It returns the id of the attempt to start there, or false if
// none is needed any more.
func (m *Machine) Placed(now time.Time, endpoint string, first time.Duration) (savorypin.AttemptID, bool) {
	m.placing = false
	if m.end != nil || m.healthy() {
		return savorypin.AttemptID{}, false
	}
	m.number++
	id := savorypin.AttemptID{Number: m.number, Term: m.cfg.Term}
	m.log.Begin(id)
	m.open = append(m.open, &attempt{endpoint: endpoint, first: first, id: id, since: now})
	return id, true
}

// NotPlaced says that no endpoint could be chosen. Those that failed may be
// tried again after a pause.
func (m *Machine) NotPlaced(now time.Time) []Action {
	m.placing = false
	m.avoid = map[string]bool{}
	if m.end != nil || len(m.open) > 0 {
		return nil
	}
	m.refusals++
	if !m.ran && m.refusals >= m.cfg.Limits.Refusals {
		return m.giveUp("no endpoint takes the generation")
	}
	pause := m.cfg.Limits.PlacePause << min(m.refusals-1, maxPauseDoublings)
	m.retryAt = now.Add(min(pause, m.cfg.Limits.MaxPlacePause))
	return nil
}

// Tokens takes tokens of an attempt and returns how many the log lacked.
func (m *Machine) Tokens(now time.Time, id savorypin.AttemptID, first int, tokens []savorypin.Token) (int, []Action) {
	a := m.find(id)
	if a == nil || m.end != nil {
		return 0, nil
	}
	taken, err := m.log.Offer(id, first, tokens)
	if err != nil {
		return 0, m.repeat(now, a)
	}
	m.Attached(now, id)
	if taken == 0 {
		return 0, nil
	}
	a.gaps = 0
	m.refusals = 0
	if a.produced > 0 {
		a.tokenGaps.Observe(now.Sub(a.since))
	}
	a.produced += taken
	a.since = now
	a.suspected = false
	m.ran = true
	return taken, m.supersede(id)
}

// Attached says that the agent serves an attempt again.
func (m *Machine) Attached(now time.Time, id savorypin.AttemptID) {
	if a := m.find(id); a != nil && a.attaching {
		a.attaching = false
		a.since = now
		a.suspected = false
	}
}

// Done says that an attempt has ended an answer of a length.
func (m *Machine) Done(now time.Time, id savorypin.AttemptID, length int, reason savorypin.FinishReason) []Action {
	a := m.find(id)
	switch {
	case a == nil || m.end != nil || !m.log.Extends(id):
		return nil
	case length > m.log.Len():
		return m.repeat(now, a)
	case length < m.log.Len():
		return m.Failed(now, id, CauseEngine, nil)
	}
	return m.finish(End{Reason: reason}, id)
}

// Lost says that the connection of an attempt was lost. The agent may live, so
// the attempt is attached to again at the first token that the log lacks.
func (m *Machine) Lost(now time.Time, id savorypin.AttemptID) []Action {
	a := m.find(id)
	if a == nil || m.end != nil {
		return nil
	}
	a.gaps++
	if a.gaps > m.cfg.Limits.Gaps {
		return m.Failed(now, id, CauseHost, nil)
	}
	return m.attach(now, a)
}

// Failed says that an attempt has failed for good.
func (m *Machine) Failed(now time.Time, id savorypin.AttemptID, cause Cause, err error) []Action {
	a := m.find(id)
	if a == nil || m.end != nil {
		return nil
	}
	m.remove(a)
	m.avoid[a.endpoint] = true
	m.last = err
	var actions []Action
	switch cause {
	case CauseSuperseded:
		return m.HandOver()
	case CauseRefused:
	case CauseStopping:
		m.ran = true
	default:
		m.ran = true
		m.charge(a, cause)
		actions = append(actions, Action{Attempt: id, Cause: cause, Kind: ActionCancel})
	}
	if m.failures >= m.cfg.Limits.Failures {
		return append(actions, m.giveUp("too many attempts failed")...)
	}
	if len(m.open) > 0 {
		return actions
	}
	return append(actions, m.place()...)
}

// Cancel ends the generation because nobody wants it any more.
func (m *Machine) Cancel() []Action {
	if m.end != nil {
		return nil
	}
	return m.finish(End{Reason: savorypin.FinishCancelled}, savorypin.AttemptID{})
}

// HandOver ends the generation here because another entry goes on with it. Its
// attempts are left running.
func (m *Machine) HandOver() []Action {
	if m.end != nil {
		return nil
	}
	m.open = nil
	return m.finish(End{Err: savorypin.Errorf(savorypin.KindConflict, m.cfg.Object, "another entry has taken over")}, savorypin.AttemptID{})
}

// Tick does what is due at a time.
func (m *Machine) Tick(now time.Time) []Action {
	if m.end != nil {
		return nil
	}
	if !now.Before(m.cfg.Deadline) {
		return m.giveUp("time is up")
	}
	if m.late(now) {
		return nil
	}
	var actions []Action
	for _, a := range slices.Clone(m.open) {
		actions = append(actions, m.judge(now, a)...)
	}
	if !m.retryAt.IsZero() && !now.Before(m.retryAt) {
		m.retryAt = time.Time{}
		if len(m.open) == 0 {
			actions = append(actions, m.place()...)
		}
	}
	return actions
}

// late reports whether this tick comes long after it was due: then the daemon
// itself was paused, and the quiet of its attempts means nothing. They are
// judged anew from now on.
func (m *Machine) late(now time.Time) bool {
	if now.Sub(m.Wake()) < m.cfg.Limits.Late {
		return false
	}
	for _, a := range m.open {
		a.since = now
	}
	return len(m.open) > 0
}

// Wake returns when Tick has something to do at the earliest.
func (m *Machine) Wake() time.Time {
	wake := m.cfg.Deadline
	if !m.retryAt.IsZero() && m.retryAt.Before(wake) {
		wake = m.retryAt
	}
	for _, a := range m.open {
		suspected, sure := m.limits(a)
		due := a.since.Add(sure)
		if !a.suspected {
			due = a.since.Add(suspected)
		}
		if due.Before(wake) {
			wake = due
		}
	}
	return wake
}
