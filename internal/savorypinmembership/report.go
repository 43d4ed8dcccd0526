package savorypinmembership

import (
	"slices"
	"time"

	"savorypin/internal/savorypin"
)

// Timing of reports.
const (
	// otherRegionReportInterval is the interval of reports to an entry of another region.
	otherRegionReportInterval = 10 * time.Second
	// minReportInterval is the interval of reports to an entry of the same region while the
	// load changes significantly.
	minReportInterval = 500 * time.Millisecond
	// prefixInterval is the minimum time between two reports with cached prefixes to an entry
	// of the same region. Other regions receive none.
	prefixInterval = 8 * time.Second
	// reportInterval is the interval of reports to an entry of the same region.
	reportInterval = 2 * time.Second
	// maxMissedReports is how many reports may be missing before a member counts as suspect.
	maxMissedReports = 3
)

// Limits of reports.
const (
	// largeChangeDivisor determines which change of an endpoint's running or waiting requests is
	// significant: one of more than the endpoint's slots divided by it.
	largeChangeDivisor = 4
	// maxPrefixes bounds the reported prefixes of an endpoint.
	maxPrefixes = 16
)

// reporter tracks the loads that were reported to each entry.
type reporter struct {
	current savorypin.MemberState
	number  uint64
	sent    map[string]*sentReport
}

// sentReport is the last report to an entry.
type sentReport struct {
	applied        savorypin.Digest
	sentAt         time.Time
	endpoints      []EndpointLoad
	prefixesSentAt time.Time
}

// ReceiveReport processes a report. It ignores reports of unknown members and of other
// incarnations, and reports that arrive out of order.
func (g *Gossip) ReceiveReport(report Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.markResponsive(report.From)
	r, ok := g.records[report.From]
	if !ok || report.Incarnation != r.state.Incarnation || report.Number <= r.reportNumber {
		return
	}
	g.markRegionSeen(r.state.Region, now)
	for i, e := range report.Endpoints {
		if e.CachedPrefixes == nil && i < len(r.load.Endpoints) && r.load.Endpoints[i].Name == e.Name {
			report.Endpoints[i].CachedPrefixes = r.load.Endpoints[i].CachedPrefixes
		}
	}
	r.applied = report.Applied
	r.load = report
	r.reportNumber = report.Number
	r.reportedAt = now
	g.dirty[r.name] = true
	g.publish(now)
}

// dueReports returns the reports that are due. The first report to an entry has a random delay,
// so that not all members report at the same time.
func (g *Gossip) dueReports(now time.Time) []ReportEnvelope {
	var out []ReportEnvelope
	for _, r := range g.sortedRecords() {
		if r.name == g.name || r.state.Role != savorypin.RoleEntry || r.health == HealthDead {
			delete(g.reporter.sent, r.name)
			continue
		}
		sent, ok := g.reporter.sent[r.name]
		if !ok {
			sent = &sentReport{sentAt: now.Add(g.jitter(reportInterval) - reportInterval)}
			g.reporter.sent[r.name] = sent
		}
		if !g.reportDue(r, sent, now) {
			continue
		}
		out = append(out, ReportEnvelope{Address: r.state.Address, Report: g.newReport(r, sent, now)})
	}
	return out
}

// reportIntervalOf returns the interval of the reports that this daemon sends to an entry, or
// receives from a member if it is an entry itself.
func (g *Gossip) reportIntervalOf(r *record) time.Duration {
	if r.state.Region == g.self.Region {
		return reportInterval
	}
	return otherRegionReportInterval
}

func (g *Gossip) reportTimeout(r *record) time.Duration {
	return maxMissedReports * g.reportIntervalOf(r)
}

func (g *Gossip) reportDue(r *record, sent *sentReport, now time.Time) bool {
	interval := g.reportIntervalOf(r)
	if now.Sub(sent.sentAt) >= interval {
		return true
	}
	if sent.applied != g.self.Applied && now.Sub(sent.sentAt) >= interval/2 {
		return true
	}
	minInterval := minReportInterval * interval / reportInterval
	return now.Sub(sent.sentAt) >= minInterval && changedSignificantly(sent.endpoints, g.reporter.current.Endpoints)
}

func (g *Gossip) newReport(r *record, sent *sentReport, now time.Time) Report {
	withPrefixes := r.state.Region == g.self.Region && now.Sub(sent.prefixesSentAt) >= prefixInterval
	g.reporter.number++
	report := Report{
		Applied:     g.self.Applied,
		Endpoints:   endpointLoads(g.reporter.current.Endpoints, withPrefixes),
		From:        g.name,
		Incarnation: g.incarnation,
		Number:      g.reporter.number,
	}
	sent.applied = g.self.Applied
	sent.sentAt = now
	sent.endpoints = report.Endpoints
	if withPrefixes {
		sent.prefixesSentAt = now
	}
	return report
}

// changedSignificantly reports whether a load differs enough from the last report to be reported
// early.
func changedSignificantly(sent []EndpointLoad, endpoints []savorypin.EndpointState) bool {
	if len(sent) != len(endpoints) {
		return true
	}
	for i, e := range endpoints {
		last := sent[i]
		threshold := max(1, e.Slots/largeChangeDivisor)
		if last.Name != e.Name || last.Healthy != e.Healthy || (last.Waiting > 0) != (e.Waiting > 0) {
			return true
		}
		if absDiff(last.Running, e.Running) > threshold || absDiff(last.Waiting, e.Waiting) > threshold {
			return true
		}
	}
	return false
}

func absDiff(a, b int) int {
	return max(a-b, b-a)
}

// endpointLoads returns the loads of endpoints for a report.
func endpointLoads(endpoints []savorypin.EndpointState, withPrefixes bool) []EndpointLoad {
	var out []EndpointLoad
	for _, e := range endpoints {
		load := EndpointLoad{Name: e.Name, Healthy: e.Healthy, Running: e.Running, Waiting: e.Waiting}
		if withPrefixes {
			load.CachedPrefixes = e.CachedPrefixes[:min(len(e.CachedPrefixes), maxPrefixes)]
		}
		out = append(out, load)
	}
	return out
}

// withLoad returns a copy of the endpoints with their reported loads.
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
