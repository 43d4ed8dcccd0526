package savorypinquarantine

import (
	"time"

	"savorypin/internal/savorypinfleet"
)

// Confinement says that a request must not be sent to an endpoint, because of one of its
// subjects.
type Confinement struct {
	Subject savorypinfleet.Subject
	// RetryAfter is the time until the subject may be probed.
	RetryAfter time.Duration
}

// Probe is a request that is sent although subjects of it are in quarantine, to see whether
// they still crash endpoints. A nil Probe is one of no subject.
type Probe struct {
	registry *Registry
	subjects []*confined
}

// Confined returns the confinement of a request with the given subjects; nil if none of them is in
// quarantine.
func (r *Registry) Confined(subjects []savorypinfleet.Subject) *Confinement {
	if r.active.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	matched := r.match(subjects)
	if len(matched) == 0 {
		return nil
	}
	return r.confinement(matched, r.cfg.Now())
}

// Admit decides whether a new request with the given subjects is sent. It returns a confinement if
// it isn't, and a probe if it is one.
func (r *Registry) Admit(subjects []savorypinfleet.Subject) (*Probe, *Confinement) {
	if r.active.Load() == 0 {
		return nil, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	matched := r.match(subjects)
	if len(matched) == 0 {
		return nil, nil
	}
	if c := r.checkProbe(matched); c != nil {
		return nil, c
	}
	for _, v := range matched {
		v.probing = true
	}
	return &Probe{registry: r, subjects: matched}, nil
}

// Preview returns what Admit would decide now: whether the request would be a probe, and its
// confinement if it would not be sent. It changes nothing.
func (r *Registry) Preview(subjects []savorypinfleet.Subject) (probe bool, c *Confinement) {
	if r.active.Load() == 0 {
		return false, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	matched := r.match(subjects)
	if len(matched) == 0 {
		return false, nil
	}
	c = r.checkProbe(matched)
	return c == nil, c
}

// checkProbe returns the confinement of a request with subjects that are in quarantine; nil if it
// may be sent as a probe of them. The caller holds r.mu.
func (r *Registry) checkProbe(matched []*confined) *Confinement {
	now := r.cfg.Now()
	for _, v := range matched {
		if v.probing || now.Before(r.probeAt(v)) {
			return r.confinement(matched, now)
		}
	}
	return nil
}

// match returns the subjects that are in quarantine. The caller holds r.mu.
func (r *Registry) match(subjects []savorypinfleet.Subject) []*confined {
	var matched []*confined
	for _, s := range subjects {
		if v, ok := r.verdicts[s]; ok && !v.Released {
			matched = append(matched, v)
		}
	}
	return matched
}

// probeAt returns when this gateway may probe a subject.
func (r *Registry) probeAt(v *confined) time.Time {
	return v.until.Add(time.Duration(r.cfg.Rank(v.Subject)) * probeStagger)
}

// confinement returns the confinement by the subject that lasts longest. Another gateway may
// probe a subject before this one; the outcome of a probe is known soon.
func (r *Registry) confinement(matched []*confined, now time.Time) *Confinement {
	c := &Confinement{}
	for _, v := range matched {
		if remaining := max(v.until.Sub(now), probeStagger); remaining > c.RetryAfter {
			c.Subject, c.RetryAfter = v.Subject, remaining
		}
	}
	return c
}

// End ends a probe. If it neither crashed an endpoint nor released its subjects, another request may
// be the next probe at once.
func (p *Probe) End() {
	if p == nil {
		return
	}
	p.registry.mu.Lock()
	defer p.registry.mu.Unlock()
	for _, v := range p.subjects {
		v.probing = false
	}
}
