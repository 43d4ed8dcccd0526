package savorypinmembership

import (
	"slices"
	"time"

	"savorypin/internal/savorypin"
)

// Times of reports.
const (
	// farReportInterval is how often an entry of another region gets a report.
	farReportInterval = 10 * time.Second
	// minReportInterval is the same for a load that changes much.
	minReportInterval = 500 * time.Millisecond
	// prefixInterval is how often cached prefixes are reported.
	prefixInterval = 8 * time.Second
	// reportInterval is how often an entry of the own region gets a report.
	reportInterval = 2 * time.Second
	// reportsMissed is how many reports may be missing.
	reportsMissed = 3
)

// Limits of reports.
const (
	// loadStep is the part of an endpoint's slots that is a large change.
	loadStep = 4
	// maxPrefixes bounds the reported prefixes of an endpoint.
	maxPrefixes = 16
)

// reporter decides when the load is reported to whom.
type reporter struct {
	current savorypin.MemberState
	number  uint64
	sent    map[string]*sentReport
}

// sentReport is what an entry was told last.
type sentReport struct {
	applied   savorypin.Digest
	at        time.Time
	endpoints []EndpointLoad
	prefixes  time.Time
}

// ReceiveReport takes a report in.
func (g *Gossip) ReceiveReport(report Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.answered(report.From)
	r, ok := g.records[report.From]
	if !ok || report.Incarnation != r.state.Incarnation || report.Number <= r.number {
		return
	}
	g.hearRegion(r.state.Region, now)
	for i, e := range report.Endpoints {
		if e.CachedPrefixes == nil && i < len(r.load.Endpoints) && r.load.Endpoints[i].Name == e.Name {
			report.Endpoints[i].CachedPrefixes = r.load.Endpoints[i].CachedPrefixes
		}
	}
	r.applied = report.Applied
	r.load = report
	r.number = report.Number
	r.reported = now
	g.dirty[r.name] = true
	g.publish(now)
}

// reports returns the reports that are due.
func (g *Gossip) reports(now time.Time) []ReportEnvelope {
	var out []ReportEnvelope
	for _, r := range g.sorted() {
		if r.name == g.name || r.state.Role != savorypin.RoleEntry || r.health == HealthDead {
			delete(g.reporter.sent, r.name)
			continue
		}
		sent, ok := g.reporter.sent[r.name]
		if !ok {
			sent = &sentReport{at: now.Add(g.jitter(reportInterval) - reportInterval)}
			g.reporter.sent[r.name] = sent
		}
		if !g.reportDue(r, sent, now) {
			continue
		}
		out = append(out, ReportEnvelope{Address: r.state.Address, Report: g.report(r, sent, now)})
	}
	return out
}

// interval returns how often a member reports to an entry, or an entry hears
// from a member.
func (g *Gossip) interval(r *record) time.Duration {
	if r.state.Region == g.self.Region {
		return reportInterval
	}
	return farReportInterval
}

func (g *Gossip) reportLimit(r *record) time.Duration {
	return reportsMissed * g.interval(r)
}

func (g *Gossip) reportDue(r *record, sent *sentReport, now time.Time) bool {
	interval := g.interval(r)
	if now.Sub(sent.at) >= interval {
		return true
	}
	if sent.applied != g.self.Applied && now.Sub(sent.at) >= interval/2 {
		return true
	}
	soon := minReportInterval * interval / reportInterval
	return now.Sub(sent.at) >= soon && changedMuch(sent.endpoints, g.reporter.current.Endpoints)
}

func (g *Gossip) report(r *record, sent *sentReport, now time.Time) Report {
	prefixes := r.state.Region == g.self.Region && now.Sub(sent.prefixes) >= prefixInterval
	g.reporter.number++
	report := Report{
		Applied:     g.self.Applied,
		Endpoints:   loads(g.reporter.current.Endpoints, prefixes),
		From:        g.name,
		Incarnation: g.incarnation,
		Number:      g.reporter.number,
	}
	sent.applied = g.self.Applied
	sent.at = now
	sent.endpoints = report.Endpoints
	if prefixes {
		sent.prefixes = now
	}
	return report
}

// changedMuch reports whether a load differs so much from what was reported
// that it should be told before its time.
func changedMuch(sent []EndpointLoad, endpoints []savorypin.EndpointState) bool {
	if len(sent) != len(endpoints) {
		return true
	}
	for i, e := range endpoints {
		was := sent[i]
		step := max(1, e.Slots/loadStep)
		if was.Name != e.Name || was.Healthy != e.Healthy || (was.Waiting > 0) != (e.Waiting > 0) {
			return true
		}
		if distance(was.Running, e.Running) > step || distance(was.Waiting, e.Waiting) > step {
			return true
		}
	}
	return false
}

func distance(a, b int) int {
	return max(a-b, b-a)
}

// loads returns what reports carry of endpoints.
func loads(endpoints []savorypin.EndpointState, prefixes bool) []EndpointLoad {
	var out []EndpointLoad
	for _, e := range endpoints {
		load := EndpointLoad{Name: e.Name, Healthy: e.Healthy, Running: e.Running, Waiting: e.Waiting}
		if prefixes {
			load.CachedPrefixes = e.CachedPrefixes[:min(len(e.CachedPrefixes), maxPrefixes)]
		}
		out = append(out, load)
	}
	return out
}

// withLoad returns endpoints with a reported load.
func withLoad(endpoints []savorypin.EndpointState, reported []EndpointLoad) []savorypin.EndpointState {
	out := slices.Clone(endpoints)
	for i := range out {
		for _, load := range reported {
			if load.Name == out[i].Name {
				out[i].CachedPrefixes = load.CachedPrefixes
				out[i].Healthy = load.Healthy
				out[i].Running = load.Running
				out[i].Waiting = load.Waiting
			}
		}
	}
	return out
}
