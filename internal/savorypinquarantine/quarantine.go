// Package savorypinquarantine finds parts of prompts that crash the endpoints that begin an
// answer on them (poison pills), and keeps requests with such a part from endpoints. Gateways
// add up what they observe by exchanging reports. The package does no network I/O and takes the
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
	// minCrashes is the number of crashes after which a part is put into quarantine, and
	// minCrashesShared that for a part which other evidence speaks for.
	minCrashes       = 3
	minCrashesShared = 5
	// maxCrashesPerRequest is the number of endpoints that one request may crash if one of its
	// parts is suspect.
	maxCrashesPerRequest = 2
	// commonCauseWindow is the time within which several crashes count as one.
	commonCauseWindow = 250 * time.Millisecond
	// trustPeriod is the time after the last begin on a part in which it isn't blamed.
	trustPeriod = 3 * time.Second
	// trustMemory is how long a begin speaks for a part.
	trustMemory = 2 * time.Minute
	// evidenceRetention is how long a crash counts.
	evidenceRetention = 10 * time.Minute
	// reportRetention is how long a gateway reports its own observations.
	reportRetention = 15 * time.Second
	// firstQuarantine is the time from the first crashes to the first probe. Each failed probe
	// multiplies it by quarantineFactor, up to maxQuarantine.
	firstQuarantine  = 30 * time.Second
	quarantineFactor = 4
	maxQuarantine    = 32 * time.Minute
	// verdictRetention is how long a verdict is reported after its release, or after the time
	// of its probe if no request with the part comes. It is kept longer, so that no gateway
	// adopts it again from another one.
	verdictRetention = time.Hour
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
	// OnVerdict is called after a part was put into quarantine or released, without locks.
	OnVerdict func(Change)
	// Rank returns the place of this gateway in the order in which gateways may probe a part.
	Rank func(savorypinfleet.Subject) int
}

// Change is a change of the quarantine of a part.
type Change struct {
	Verdict
	// Crashes is the number of crashes that count against the part; zero if another gateway
	// decided.
	Crashes int
	// Remaining is the time until the next probe.
	Remaining time.Duration
}

// confined is a part with a verdict.
type confined struct {
	Verdict
	// until is when the first gateway may send a probe, or when the part was released.
	until time.Time
	// probing is set while a request of this gateway is the probe.
	probing bool
}

// Registry holds the parts in quarantine and the evidence for further ones. It is safe for
// concurrent use; requests take no lock while no part is in quarantine.
type Registry struct {
	cfg Config
	// active is the number of parts in quarantine.
	active atomic.Int64

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
}

// beginKey identifies the begins that a gateway reports on a part.
type beginKey struct {
	origin string
	part   savorypinfleet.Subject
}

// New returns a Registry without evidence.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, beginSerials: map[beginKey]uint32{}, verdicts: map[savorypinfleet.Subject]*confined{}}
}

// unlock releases the lock and reports the changes that were made under it.
func (r *Registry) unlock() {
	changes := r.changes
	r.changes = nil
	r.mu.Unlock()
	for _, c := range changes {
		r.cfg.OnVerdict(c)
	}
}

// RecordCrash records that an endpoint of this gateway crashed while it had a request with the
// given parts on which it had not begun an answer that went on. Probe says that the request was
// a probe of its parts in quarantine.
func (r *Registry) RecordCrash(e *savorypinfleet.Endpoint, parts []savorypinfleet.Subject, probe bool) {
	r.mu.Lock()
	defer r.unlock()
	now := r.cfg.Now()
	if probe {
		r.failProbe(parts, now)
	}
	suspects := r.suspects(parts, now)
	if len(suspects) == 0 {
		return
	}
	c := Crash{Endpoint: e.IncarnationHash(), Suspects: suspects}
	r.own.addCrash(c, now)
	if r.evidence.record(c.Endpoint, now, suspects) {
		r.judge(now)
	}
}

// suspects returns the parts on which no answer has begun just now, at most maxSuspects. Of more
// it returns a random selection, so that the same ones can't stay out each time.
func (r *Registry) suspects(parts []savorypinfleet.Subject, now time.Time) []savorypinfleet.Subject {
	var suspects []savorypinfleet.Subject
	seen := map[savorypinfleet.Subject]bool{}
	for _, part := range parts {
		begun := r.evidence.begins.last(part)
		if !seen[part] && (begun.IsZero() || now.Sub(begun) >= trustPeriod) {
			suspects = append(suspects, part)
		}
		seen[part] = true
	}
	if len(suspects) <= maxSuspects {
		return suspects
	}
	selected := rand.Perm(len(suspects))[:maxSuspects]
	slices.Sort(selected)
	selection := make([]savorypinfleet.Subject, 0, maxSuspects)
	for _, i := range selected {
		selection = append(selection, suspects[i])
	}
	return selection
}

// failProbe prolongs the quarantine of the parts that a probe had.
func (r *Registry) failProbe(parts []savorypinfleet.Subject, now time.Time) {
	for _, part := range parts {
		if v, ok := r.verdicts[part]; ok && !v.Released {
			r.confine(Verdict{Failed: v.Failed + 1, Part: part, Round: v.Round + 1}, 1, now)
		}
	}
}

// judge puts the parts into quarantine that the evidence is enough for. The caller holds r.mu.
func (r *Registry) judge(now time.Time) {
	r.evidence.expire(now)
	for part, v := range r.verdicts {
		if !v.Released {
			r.evidence.explain(part)
		}
	}
	r.expireVerdicts(now)
	for {
		part, ok := r.evidence.culprit(now)
		if !ok {
			return
		}
		round := int32(1)
		if v, ok := r.verdicts[part]; ok {
			round = v.Round + 1
		}
		crashes := r.evidence.count(part)
		r.evidence.explain(part)
		r.confine(Verdict{Part: part, Round: round}, crashes, now)
	}
}

// confine puts a part into quarantine or prolongs it. The caller holds r.mu.
func (r *Registry) confine(v Verdict, crashes int, now time.Time) {
	remaining := quarantineOf(v.Failed)
	r.setVerdict(&confined{Verdict: v, until: now.Add(remaining)})
	r.changes = append(r.changes, Change{Verdict: v, Crashes: crashes, Remaining: remaining})
}

// quarantineOf returns the time to the next probe after a number of failed ones.
func quarantineOf(failed int32) time.Duration {
	d := firstQuarantine
	for ; failed > 0 && d < maxQuarantine; failed-- {
		d *= quarantineFactor
	}
	return min(d, maxQuarantine)
}

// setVerdict replaces the verdict on a part. If there are too many, it drops one that was released,
// or else the one that ends first. The caller holds r.mu.
func (r *Registry) setVerdict(v *confined) {
	r.verdicts[v.Part] = v
	if len(r.verdicts) > maxVerdicts {
		delete(r.verdicts, r.leastNeeded())
	}
	r.countActive()
}

// expireVerdicts drops the verdicts that no gateway reports any more. The caller holds r.mu.
func (r *Registry) expireVerdicts(now time.Time) {
	for part, v := range r.verdicts {
		if now.Sub(v.until) > 2*verdictRetention {
			delete(r.verdicts, part)
		}
	}
	r.countActive()
}

// countActive updates the number of parts in quarantine. The caller holds r.mu.
func (r *Registry) countActive() {
	active := 0
	for _, v := range r.verdicts {
		if !v.Released {
			active++
		}
	}
	r.active.Store(int64(active))
}

// leastNeeded returns the part whose verdict is dropped first. The caller holds r.mu.
func (r *Registry) leastNeeded() savorypinfleet.Subject {
	var least *confined
	for _, v := range r.verdicts {
		if least == nil || compareBool(!v.Released, !least.Released) < 0 || v.Released == least.Released && v.until.Before(least.until) {
			least = v
		}
	}
	return least.Part
}

// RecordBegin records that an answer of this gateway's on the given parts has begun and gone on,
// which releases them.
func (r *Registry) RecordBegin(parts []savorypinfleet.Subject) {
	if len(parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.unlock()
	now := r.cfg.Now()
	for _, part := range parts {
		if v, ok := r.verdicts[part]; ok && !v.Released {
			r.release(Verdict{Part: part, Round: v.Round, Released: true})
		}
		if r.evidence.count(part) > 0 {
			r.own.addBegin(part, 0, now)
		}
		r.evidence.begins.record(part, now)
		r.ownBegins.record(part, now)
	}
}

// release ends the quarantine of a part. The caller holds r.mu.
func (r *Registry) release(v Verdict) {
	r.setVerdict(&confined{Verdict: v, until: r.cfg.Now()})
	r.changes = append(r.changes, Change{Verdict: v})
}

// Release ends the quarantine of a part by order of an operator. It reports whether the part was
// in quarantine.
func (r *Registry) Release(part savorypinfleet.Subject) bool {
	r.mu.Lock()
	defer r.unlock()
	v, ok := r.verdicts[part]
	if !ok || v.Released {
		return false
	}
	r.release(Verdict{Part: part, Round: v.Round, Released: true})
	return true
}

// Suspicion returns the number of crashes that count against the most suspect of the parts.
func (r *Registry) Suspicion(parts []savorypinfleet.Subject) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	worst := 0
	for _, part := range parts {
		worst = max(worst, r.evidence.count(part))
	}
	return worst
}

// MayCrashAnother reports whether a request that has crashed a number of endpoints may be sent to
// another one.
func (r *Registry) MayCrashAnother(crashed int, parts []savorypinfleet.Subject) bool {
	return crashed < maxCrashesPerRequest || r.Suspicion(parts) < maxCrashesPerRequest
}
