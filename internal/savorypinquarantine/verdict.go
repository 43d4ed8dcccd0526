package savorypinquarantine

import (
	"time"

	"savorypin/internal/savorypinfleet"
)

// Times of verdicts.
const (
	// firstQuarantine is the time from the first crashes to the first probe. Each failed probe
	// multiplies it by quarantineFactor, up to maxQuarantine.
	firstQuarantine  = 30 * time.Second
	quarantineFactor = 4
	maxQuarantine    = 32 * time.Minute
	// maxRequestProbes is the number of probes of a request, which may have but few endpoints to
	// crash, until it is left to the operators: the next one comes after lastQuarantine.
	maxRequestProbes = 2
	lastQuarantine   = 24 * time.Hour
	// verdictRetention is how long a verdict is reported after its release, or after the time
	// of its probe if no request with the subject comes. It is kept longer, so that no gateway
	// adopts it again from another one.
	verdictRetention = time.Hour
)

// failProbe prolongs the quarantine of the subjects that a probe had.
func (r *Registry) failProbe(subjects []savorypinfleet.Subject, now time.Time) {
	for _, subject := range subjects {
		if v, ok := r.verdicts[subject]; ok && !v.Released {
			r.confine(Verdict{Failed: v.Failed + 1, Subject: subject, Round: v.Round + 1}, 1, now)
		}
	}
}

// judge puts the subjects into quarantine that the evidence is enough for. The caller holds r.mu.
func (r *Registry) judge(now time.Time) {
	r.evidence.expire(now)
	for subject, v := range r.verdicts {
		if !v.Released {
			r.evidence.explain(subject)
		}
	}
	r.expireVerdicts(now)
	for {
		subject, ok := r.evidence.culprit(now)
		if !ok {
			return
		}
		round := int32(1)
		if v, ok := r.verdicts[subject]; ok {
			round = v.Round + 1
		}
		crashes := r.evidence.count(subject)
		r.evidence.explain(subject)
		r.confine(Verdict{Subject: subject, Round: round}, crashes, now)
	}
}

// confine puts a subject into quarantine or prolongs it. The caller holds r.mu.
func (r *Registry) confine(v Verdict, crashes int, now time.Time) {
	remaining := quarantineOf(v.Subject, v.Failed)
	r.setVerdict(&confined{Verdict: v, until: now.Add(remaining)})
	r.changes = append(r.changes, Change{Verdict: v, Crashes: crashes, Remaining: remaining})
}

// quarantineOf returns the time to the next probe of a subject after a number of failed ones.
func quarantineOf(subject savorypinfleet.Subject, failed int32) time.Duration {
	if subject.IsRequest() && failed >= maxRequestProbes {
		return lastQuarantine
	}
	d := firstQuarantine
	for ; failed > 0 && d < maxQuarantine; failed-- {
		d *= quarantineFactor
	}
	return min(d, maxQuarantine)
}

// setVerdict replaces the verdict on a subject. If there are too many, it drops one that was released,
// or else the one that ends first. The caller holds r.mu.
func (r *Registry) setVerdict(v *confined) {
	r.verdicts[v.Subject] = v
	if len(r.verdicts) > maxVerdicts {
		delete(r.verdicts, r.leastNeeded())
	}
	r.countActive()
}

// expireVerdicts drops the verdicts that no gateway reports any more. The caller holds r.mu.
func (r *Registry) expireVerdicts(now time.Time) {
	for subject, v := range r.verdicts {
		if now.Sub(v.until) > 2*verdictRetention {
			delete(r.verdicts, subject)
		}
	}
	r.countActive()
}

// countActive updates the number of subjects in quarantine. The caller holds r.mu.
func (r *Registry) countActive() {
	active := 0
	for _, v := range r.verdicts {
		if !v.Released {
			active++
		}
	}
	r.active.Store(int64(active))
}

// leastNeeded returns the subject whose verdict is dropped first. The caller holds r.mu.
func (r *Registry) leastNeeded() savorypinfleet.Subject {
	var least *confined
	for _, v := range r.verdicts {
		if least == nil || compareBool(!v.Released, !least.Released) < 0 || v.Released == least.Released && v.until.Before(least.until) {
			least = v
		}
	}
	return least.Subject
}

// release ends the quarantine of a subject. The caller holds r.mu.
func (r *Registry) release(v Verdict) {
	r.setVerdict(&confined{Verdict: v, until: r.cfg.Now()})
	r.changes = append(r.changes, Change{Verdict: v})
}

// Release ends the quarantine of a subject by order of an operator. It reports whether it was
// in quarantine.
func (r *Registry) Release(subject savorypinfleet.Subject) bool {
	r.mu.Lock()
	defer r.unlock()
	v, ok := r.verdicts[subject]
	if !ok || v.Released {
		return false
	}
	r.release(Verdict{Subject: subject, Round: v.Round, Released: true})
	return true
}
