// Package savorypinquarantine finds subjects that crash the endpoints that begin an answer on them
// (poison pills), and keeps requests with such a subject from endpoints. Gateways add up what they
// observe by exchanging reports. The package does no network I/O and takes the
// time from its configuration.
package savorypinquarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
)

const (
	// minCrashes is the number of crashes after which a subject is put into quarantine, and
	// minCrashesShared that for one which other evidence speaks for.
	minCrashes       = 3
	minCrashesShared = 5
	// maxCrashesPerRequest is the number of endpoints that one request may crash if one of its
	// subjects is suspect.
	maxCrashesPerRequest = 2
	// partCauseWindow is the time within which several crashes count as one against a part, and
	// requestCauseWindow that for a request, which may crash endpoints within a few milliseconds.
	partCauseWindow    = 250 * time.Millisecond
	requestCauseWindow = 100 * time.Millisecond
	// trustPeriod is the time after the last begin on a subject in which it isn't blamed.
	trustPeriod = 3 * time.Second
	// trustMemory is how long a begin speaks for a subject.
	trustMemory = 2 * time.Minute
	// evidenceRetention is how long a crash counts.
	evidenceRetention = 10 * time.Minute
	// reportRetention is how long a gateway reports its own observations.
	reportRetention = 15 * time.Second
	// probeStagger is the time by which the gateways' probes are apart, so that the outcome of
	// one is known before the next.
	probeStagger = 4 * time.Second
)

// Bounds of what is kept.
const (
	maxCrashes          = 256
	maxSuspects         = 32
	maxBeginsRemembered = 4096
	maxVerdicts         = 1024
)

// Config configures a Registry.
type Config struct {
	// Now returns the current time.
	Now func() time.Time
	// OnVerdict is called after a subject was put into quarantine or released, without locks.
	OnVerdict func(Change)
	// Rank returns the place of this gateway in the order in which gateways may probe a subject.
	Rank func(savorypinfleet.Subject) int
}

// Change is a change of the quarantine of a subject.
type Change struct {
	Verdict
	// Crashes is the number of crashes that count against the subject; zero if another gateway
	// decided.
	Crashes int
	// Remaining is the time until the next probe.
	Remaining time.Duration
}

// confined is a subject with a verdict.
type confined struct {
	Verdict
	// until is when the first gateway may send a probe, or when the subject was released.
	until time.Time
	// probing is set while a request of this gateway is the probe.
	probing bool
}

// Registry holds the subjects in quarantine and the evidence for further ones. It is safe for
// concurrent use; requests take no lock while no subject is in quarantine.
type Registry struct {
	cfg Config
	// active is the number of subjects in quarantine.
	active atomic.Int64
	// watching is set while there is a crash or a verdict.
	watching atomic.Bool

	mu       sync.Mutex
	evidence evidence
	verdicts map[savorypinfleet.Subject]*confined
	// ownBegins are the begins of this gateway's own answers.
	ownBegins beginMemory
	// own are this gateway's observations that it still reports.
	own ownReport
	// beginSerials are the serials of other gateways' begins that were processed.
	beginSerials map[beginKey]uint32
	changes      []Change
	// isolated holds the services that have an isolated request of this gateway.
	isolated map[string]bool
}

// beginKey identifies the begins that a gateway reports on a subject.
type beginKey struct {
	origin  string
	subject savorypinfleet.Subject
}

// New returns a Registry without evidence.
func New(cfg Config) *Registry {
	return &Registry{
		cfg: cfg, beginSerials: map[beginKey]uint32{}, isolated: map[string]bool{}, verdicts: map[savorypinfleet.Subject]*confined{},
	}
}

// Watching reports whether there is a crash or a verdict that may concern a request. Until then
// requests needn't be hashed.
func (r *Registry) Watching() bool {
	return r.watching.Load()
}

// unlock releases the lock and reports the changes that were made under it.
func (r *Registry) unlock() {
	changes := r.changes
	r.changes = nil
	r.watching.Store(len(r.evidence.crashes) > 0 || r.active.Load() > 0)
	r.mu.Unlock()
	for _, c := range changes {
		r.cfg.OnVerdict(c)
	}
}

// Observation is the end of an endpoint's process while it had a request on which it had not begun
// an answer that went on, as a gateway saw it.
type Observation struct {
	Endpoint *savorypinfleet.Endpoint
	// Probe says that the request was a probe of its subjects in quarantine.
	Probe bool
	// Sequel says that the request was sent after it may have crashed another endpoint.
	Sequel bool
	// Subjects are the parts of the prompt and the request itself.
	Subjects []savorypinfleet.Subject
}

// RecordCrash records an observation of this gateway.
func (r *Registry) RecordCrash(o Observation) {
	r.mu.Lock()
	defer r.unlock()
	now := r.cfg.Now()
	if o.Probe {
		r.failProbe(o.Subjects, now)
	}
	suspects := r.suspects(o.Subjects, now)
	if len(suspects) == 0 {
		return
	}
	c := Crash{Endpoint: o.Endpoint.IncarnationHash(), Sequel: o.Sequel, Suspects: suspects}
	r.own.addCrash(c, now)
	if r.evidence.record(c, now) {
		r.judge(now)
	}
}

// suspects returns the subjects on which no answer has begun just now: at most maxSuspects parts, and
// the request. Of more parts it returns a random selection, so that the same ones can't stay out each
// time.
func (r *Registry) suspects(subjects []savorypinfleet.Subject, now time.Time) []savorypinfleet.Subject {
	var parts, requests []savorypinfleet.Subject
	seen := map[savorypinfleet.Subject]bool{}
	for _, subject := range subjects {
		begun := r.evidence.begins.last(subject)
		known := seen[subject]
		seen[subject] = true
		switch {
		case known, !begun.IsZero() && now.Sub(begun) < trustPeriod:
		case subject.IsRequest():
			requests = append(requests, subject)
		default:
			parts = append(parts, subject)
		}
	}
	return append(selectParts(parts), requests...)
}

// selectParts returns the parts, or maxSuspects of them at random in their order.
func selectParts(parts []savorypinfleet.Subject) []savorypinfleet.Subject {
	if len(parts) <= maxSuspects {
		return parts
	}
	selected := rand.Perm(len(parts))[:maxSuspects]
	slices.Sort(selected)
	selection := make([]savorypinfleet.Subject, 0, maxSuspects)
	for _, i := range selected {
		selection = append(selection, parts[i])
	}
	return selection
}

// RecordBegin records that an answer of this gateway's on the given subjects has begun and gone on,
// which releases them.
func (r *Registry) RecordBegin(subjects []savorypinfleet.Subject) {
	if len(subjects) == 0 {
		return
	}
	r.mu.Lock()
	defer r.unlock()
	now := r.cfg.Now()
	for _, subject := range subjects {
		if subject.IsRequest() && !r.suspected(subject) {
			// Most requests are never seen again and would only displace parts.
			continue
		}
		if v, ok := r.verdicts[subject]; ok && !v.Released {
			r.release(Verdict{Subject: subject, Round: v.Round, Released: true})
		}
		if r.evidence.count(subject) > 0 {
			r.own.addBegin(subject, 0, now)
		}
		r.evidence.begins.record(subject, now)
		r.ownBegins.record(subject, now)
	}
}

// suspected reports whether a crash or a verdict concerns a subject. The caller holds r.mu.
func (r *Registry) suspected(subject savorypinfleet.Subject) bool {
	v, ok := r.verdicts[subject]
	return ok && !v.Released || len(r.evidence.bySubject[subject]) > 0
}

// Suspicion returns the number of crashes that count against the most suspect of the subjects.
func (r *Registry) Suspicion(subjects []savorypinfleet.Subject) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	worst := 0
	for _, subject := range subjects {
		worst = max(worst, r.evidence.count(subject))
	}
	return worst
}

// MayCrashAnother reports whether a request that has crashed a number of endpoints may be sent to
// another one.
func (r *Registry) MayCrashAnother(crashed int, subjects []savorypinfleet.Subject) bool {
	return crashed < maxCrashesPerRequest || r.Suspicion(subjects) < maxCrashesPerRequest
}
