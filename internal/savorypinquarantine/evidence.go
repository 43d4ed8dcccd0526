package savorypinquarantine

import (
	"cmp"
	"slices"
	"time"

	"savorypin/internal/savorypinfleet"
)

// place is where a subject was found among those of the requests that an endpoint had.
type place struct {
	// depth is the number of suspects before it, at most.
	depth int
	// innermost is set if it was the last suspect of a prompt, or a request.
	innermost bool
	// sequel is set if it was sent after it may have crashed another endpoint.
	sequel bool
}

// crash is a crash of an endpoint, as all gateways together have reported it.
type crash struct {
	at       time.Time
	endpoint uint64
	// explainedBy are the suspects that were put into quarantine because of this crash and others.
	explainedBy []savorypinfleet.Subject
	suspects    map[savorypinfleet.Subject]place
}

// add adds the suspects of a gateway's report. It reports whether it learned anything.
func (c *crash) add(report Crash) bool {
	learned := false
	for depth, subject := range report.Suspects {
		known, ok := c.suspects[subject]
		last := depth == len(report.Suspects)-1 || report.Suspects[depth+1].IsRequest()
		p := place{depth: max(known.depth, depth), innermost: known.innermost || last, sequel: known.sequel || report.Sequel}
		learned = learned || !ok || p != known
		c.suspects[subject] = p
	}
	return learned
}

// evidence holds the crashes and the begins on subjects.
type evidence struct {
	// crashes are in no order, and bySubject indexes them by their suspects.
	crashes   []*crash
	bySubject map[savorypinfleet.Subject][]*crash
	begins    beginMemory
}

// crashOf returns the crash of an incarnation, or nil.
func (v *evidence) crashOf(endpoint uint64) *crash {
	i := slices.IndexFunc(v.crashes, func(c *crash) bool { return c.endpoint == endpoint })
	if i < 0 {
		return nil
	}
	return v.crashes[i]
}

// record adds a reported crash at a time, or more suspects of a known one. It drops the oldest crash
// if there are too many. It reports whether it learned anything: gateways send their reports again.
func (v *evidence) record(report Crash, at time.Time) bool {
	if len(report.Suspects) == 0 {
		return false
	}
	c := v.crashOf(report.Endpoint)
	if c == nil {
		c = &crash{at: at, endpoint: report.Endpoint, suspects: map[savorypinfleet.Subject]place{}}
		v.crashes = append(v.crashes, c)
	}
	if !c.add(report) {
		return false
	}
	if len(v.crashes) > maxCrashes {
		slices.SortFunc(v.crashes, func(a, b *crash) int { return b.at.Compare(a.at) })
		v.crashes = v.crashes[:maxCrashes]
	}
	v.index()
	return true
}

// index updates bySubject.
func (v *evidence) index() {
	v.bySubject = map[savorypinfleet.Subject][]*crash{}
	for _, c := range v.crashes {
		for subject := range c.suspects {
			v.bySubject[subject] = append(v.bySubject[subject], c)
		}
	}
}

// expire drops the crashes that are too old to count.
func (v *evidence) expire(now time.Time) {
	old := func(c *crash) bool { return now.Sub(c.at) > evidenceRetention }
	if slices.ContainsFunc(v.crashes, old) {
		v.crashes = slices.DeleteFunc(v.crashes, old)
		v.index()
	}
}

// explain marks the crashes that have a subject among their suspects as explained by it.
func (v *evidence) explain(subject savorypinfleet.Subject) {
	for _, c := range v.bySubject[subject] {
		if !slices.Contains(c.explainedBy, subject) {
			c.explainedBy = append(c.explainedBy, subject)
		}
	}
}

// count returns the number of crashes that count against a subject: those that came after the last
// begin on it and aren't explained. Those at about the same time have a cause in common more often
// than a subject, such as a lost failure domain or a completed rollout, and count once; but not those
// under a request that was sent to one endpoint after the other.
func (v *evidence) count(subject savorypinfleet.Subject) int {
	begun := v.begins.last(subject)
	var crashes []*crash
	requests := map[savorypinfleet.Subject]bool{}
	for _, c := range v.bySubject[subject] {
		if c.at.After(begun) && !c.explainedFor(subject, requests) {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	window := partCauseWindow
	if subject.IsRequest() {
		window = requestCauseWindow
	}
	groups := 0
	var first time.Time
	for _, c := range crashes {
		sequel := subject.IsRequest() && c.suspects[subject].sequel
		if groups == 0 || sequel || c.at.Sub(first) >= window {
			groups++
			first = c.at
		}
	}
	return groups
}

// explainedFor reports whether a crash no longer counts against a subject. One that a part explains
// counts against no other subject. One that a request explains still counts against other requests,
// which may have been beside it, and all that it explains count once against a part, which may be
// what makes several requests crash endpoints: requests holds those that have been counted.
func (c *crash) explainedFor(subject savorypinfleet.Subject, requests map[savorypinfleet.Subject]bool) bool {
	if len(c.explainedBy) == 0 {
		return false
	}
	byPart := slices.ContainsFunc(c.explainedBy, func(by savorypinfleet.Subject) bool { return !by.IsRequest() })
	if byPart || subject.IsRequest() {
		return byPart || slices.Contains(c.explainedBy, subject)
	}
	counted := requests[c.explainedBy[0]]
	requests[c.explainedBy[0]] = true
	return counted
}

// candidate is a subject that may have caused crashes.
type candidate struct {
	place
	subject savorypinfleet.Subject
	crashes int
	// trusted is set if an answer on the subject has begun lately.
	trusted bool
}

// candidates returns the suspects of the unexplained crashes, with the crashes that each of them
// would explain.
func (v *evidence) candidates(now time.Time) []candidate {
	var candidates []candidate
	for subject, crashes := range v.bySubject {
		n := v.count(subject)
		if n == 0 {
			continue
		}
		c := candidate{subject: subject, crashes: n, trusted: v.trusted(subject, now)}
		for _, crash := range crashes {
			p := crash.suspects[subject]
			c.depth, c.innermost = max(c.depth, p.depth), c.innermost || p.innermost
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// culprit returns the subject that explains the most crashes, of those with enough crashes to blame
// them. Of several that explain as many, it is one on which no answer has begun lately, then a
// request, which bars the fewest others, and then the part deepest in its prompt, since the parts
// before it are shared by more requests.
func (v *evidence) culprit(now time.Time) (savorypinfleet.Subject, bool) {
	blamed := slices.DeleteFunc(v.candidates(now), func(c candidate) bool { return !v.enough(c, now) })
	if len(blamed) == 0 {
		return 0, false
	}
	worst := slices.MaxFunc(blamed, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.crashes, b.crashes), compareBool(!a.trusted, !b.trusted),
			compareBool(a.subject.IsRequest(), b.subject.IsRequest()), compareBool(a.innermost, b.innermost),
			cmp.Compare(a.depth, b.depth), cmp.Compare(a.subject, b.subject),
		)
	})
	return worst.subject, true
}

// enough reports whether a subject has caused enough crashes to be blamed. A part on which answers
// began lately, or behind which there always was another one, needs more, so that the others are
// blamed first.
func (v *evidence) enough(c candidate, now time.Time) bool {
	if c.subject.IsRequest() || !c.trusted && c.innermost {
		return c.crashes >= minCrashes
	}
	return c.crashes >= minCrashesShared && now.Sub(v.begins.last(c.subject)) >= trustPeriod
}

// trusted reports whether an answer on a subject has begun lately.
func (v *evidence) trusted(subject savorypinfleet.Subject, now time.Time) bool {
	begun := v.begins.last(subject)
	return !begun.IsZero() && now.Sub(begun) < trustMemory
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// beginMemory remembers when answers on subjects last began. It keeps the subjects of two generations,
// so that subjects that are never seen again don't add up.
type beginMemory struct {
	current, previous map[savorypinfleet.Subject]time.Time
}

// record remembers a begin, unless a later one is known.
func (m *beginMemory) record(subject savorypinfleet.Subject, at time.Time) {
	if !at.After(m.last(subject)) {
		return
	}
	if m.current == nil || len(m.current) >= maxBeginsRemembered {
		m.previous, m.current = m.current, map[savorypinfleet.Subject]time.Time{}
	}
	m.current[subject] = at
}

// last returns when an answer on a subject last began; zero if that isn't known.
func (m *beginMemory) last(subject savorypinfleet.Subject) time.Time {
	if at, ok := m.current[subject]; ok {
		return at
	}
	return m.previous[subject]
}
