package savorypinquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"savorypin/internal/savorypinfleet"
)

// timedCrash is a crash with the time from which it is reported.
type timedCrash struct {
	Crash
	at time.Time
}

// timedBegin is a begin with the time from which it is reported.
type timedBegin struct {
	Begin
	at time.Time
}

// ownReport holds this gateway's observations until they are old. Entries don't change while they
// are reported, so that the gossip sends them no more than needed.
type ownReport struct {
	begins  map[savorypinfleet.Subject]timedBegin
	crashes []timedCrash
	serial  uint32
}

// addCrash adds a crash.
func (o *ownReport) addCrash(c Crash, now time.Time) {
	same := func(known timedCrash) bool {
		return known.Endpoint == c.Endpoint && known.Sequel == c.Sequel && slices.Equal(known.Suspects, c.Suspects)
	}
	if !slices.ContainsFunc(o.crashes, same) {
		o.crashes = append(o.crashes, timedCrash{Crash: c, at: now})
	}
}

// addBegin adds a begin that was some time ago.
func (o *ownReport) addBegin(subject savorypinfleet.Subject, age time.Duration, now time.Time) {
	if o.begins == nil {
		o.begins = map[savorypinfleet.Subject]timedBegin{}
	}
	o.serial++
	o.begins[subject] = timedBegin{Begin: Begin{Age: age, Subject: subject, Serial: o.serial}, at: now}
}

// expire drops the observations that were reported for long enough.
func (o *ownReport) expire(now time.Time) {
	o.crashes = slices.DeleteFunc(o.crashes, func(c timedCrash) bool { return now.Sub(c.at) > reportRetention })
	maps.DeleteFunc(o.begins, func(_ savorypinfleet.Subject, b timedBegin) bool { return now.Sub(b.at) > reportRetention })
}

// Report returns what this gateway reports to the others. It is empty while there are neither
// crashes nor verdicts.
func (r *Registry) Report() Report {
	r.mu.Lock()
	defer r.unlock()
	r.own.expire(r.cfg.Now())
	r.evidence.expire(r.cfg.Now())
	var report Report
	suspects := 0
	for _, c := range slices.Backward(r.own.crashes) {
		if suspects += len(c.Suspects); suspects > maxReportSuspects {
			break
		}
		report.Crashes = append(report.Crashes, c.Crash)
	}
	for _, b := range r.own.begins {
		report.Begins = append(report.Begins, b.Begin)
	}
	// The latest begins come first.
	slices.SortFunc(report.Begins, func(a, b Begin) int { return cmp.Compare(b.Serial, a.Serial) })
	report.Begins = report.Begins[:min(len(report.Begins), maxReportBegins)]
	report.Verdicts = r.sortedVerdicts(r.cfg.Now())
	report.Verdicts = report.Verdicts[:min(len(report.Verdicts), maxReportVerdicts)]
	return report
}

// sortedVerdicts returns the verdicts that are reported, those in force first. The caller holds
// r.mu.
func (r *Registry) sortedVerdicts(now time.Time) []Verdict {
	var verdicts []Verdict
	for _, v := range r.verdicts {
		if now.Sub(v.until) < verdictRetention {
			verdicts = append(verdicts, v.Verdict)
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(compareBool(a.Released, b.Released), cmp.Compare(b.Round, a.Round), cmp.Compare(a.Subject, b.Subject))
	})
	return verdicts
}

// Apply processes a report that another gateway published the given time ago.
func (r *Registry) Apply(origin string, report Report, age time.Duration) {
	r.mu.Lock()
	defer r.unlock()
	now := r.cfg.Now()
	for _, b := range report.Begins {
		r.applyBegin(origin, b, now.Add(-age))
	}
	for _, v := range report.Verdicts {
		r.applyVerdict(v, now)
	}
	learned := false
	for _, c := range report.Crashes {
		c.Suspects = c.Suspects[:min(len(c.Suspects), maxSuspects+1)]
		learned = r.evidence.record(c, now.Add(-age)) || learned
	}
	if learned {
		r.reportTrust(now)
		r.judge(now)
	}
}

// applyBegin records another gateway's begin, unless it was recorded already. The caller holds
// r.mu.
func (r *Registry) applyBegin(origin string, b Begin, publishedAt time.Time) {
	key := beginKey{origin: origin, subject: b.Subject}
	if r.beginSerials[key] == b.Serial {
		return
	}
	if len(r.beginSerials) >= maxBeginsRemembered {
		clear(r.beginSerials)
	}
	r.beginSerials[key] = b.Serial
	r.evidence.begins.record(b.Subject, publishedAt.Add(-b.Age))
}

// applyVerdict adopts another gateway's verdict if it supersedes the known one. The caller holds
// r.mu.
func (r *Registry) applyVerdict(v Verdict, now time.Time) {
	if known, ok := r.verdicts[v.Subject]; ok && !v.supersedes(known.Verdict) {
		return
	}
	if v.Released {
		r.release(v)
		return
	}
	r.confine(v, 0, now)
}

// reportTrust reports this gateway's last begins on subjects that others are about to blame. The
// caller holds r.mu.
func (r *Registry) reportTrust(now time.Time) {
	for _, c := range r.evidence.candidates(now) {
		begun := r.ownBegins.last(c.subject)
		if c.crashes < minCrashes-1 || begun.IsZero() || now.Sub(begun) > trustMemory {
			continue
		}
		if known, ok := r.own.begins[c.subject]; ok && !begun.After(known.at.Add(-known.Age)) {
			continue
		}
		r.own.addBegin(c.subject, now.Sub(begun), now)
	}
}

// Saved is a subject in quarantine, as it is kept in the platform's store.
type Saved struct {
	Failed  int32                  `json:"failed"`
	Subject savorypinfleet.Subject `json:"part"`
	Round   int32                  `json:"round"`
	// Until is when the quarantine ends, in milliseconds since the Unix epoch.
	Until int64 `json:"until"`
}

// Save returns the subjects in quarantine, sorted.
func (r *Registry) Save() []Saved {
	r.mu.Lock()
	defer r.mu.Unlock()
	var saved []Saved
	for _, v := range r.verdicts {
		if !v.Released {
			saved = append(saved, Saved{Failed: v.Failed, Subject: v.Subject, Round: v.Round, Until: v.until.UnixMilli()})
		}
	}
	slices.SortFunc(saved, func(a, b Saved) int { return cmp.Compare(a.Subject, b.Subject) })
	return saved
}

// Load adds subjects that were saved before all gateways stopped. They are probed at the saved time, but
// not later than after a new verdict, since the wall clock may have been set back.
func (r *Registry) Load(saved []Saved) {
	r.mu.Lock()
	defer r.unlock()
	now := r.cfg.Now()
	for _, s := range saved {
		v := Verdict{Failed: s.Failed, Subject: s.Subject, Round: s.Round}
		if known, ok := r.verdicts[s.Subject]; s.Round < 1 || s.Round > maxRound || s.Failed < 0 || ok && !v.supersedes(known.Verdict) {
			continue
		}
		remaining := min(time.UnixMilli(s.Until).Sub(now), quarantineOf(s.Subject, s.Failed))
		r.setVerdict(&confined{Verdict: v, until: now.Add(remaining)})
		r.changes = append(r.changes, Change{Verdict: v, Remaining: remaining})
	}
}

// Len returns the number of subjects in quarantine.
func (r *Registry) Len() int {
	return int(r.active.Load())
}

// Count returns the number of parts and of requests in quarantine.
func (r *Registry) Count() (parts, requests int) {
	for _, s := range r.Save() {
		if s.Subject.IsRequest() {
			requests++
		} else {
			parts++
		}
	}
	return parts, requests
}
