package savorypinrollout

import (
	"cmp"
	"slices"
	"time"
)

// Report is the state of a rollout that a gateway sends to the others.
type Report struct {
	// Age is the time since the first gateway saw the order.
	Age time.Duration `msgpack:"a"`
	// ByRoute holds the gateway's own counts by route.
	ByRoute map[string]Counts `msgpack:"r"`
	// Rejected is set once the version was rejected and is never cleared.
	Rejected bool   `msgpack:"x"`
	Service  string `msgpack:"s"`
	Version  string `msgpack:"v"`
}

// totalCounts returns the counts by route over all gateways.
func (tr *trackedRollout) totalCounts() map[string]Counts {
	total := map[string]Counts{}
	add := func(byRoute map[string]Counts) {
		for route, c := range byRoute {
			sum := total[route]
			sum.New.add(c.New)
			sum.Old.add(c.Old)
			total[route] = sum
		}
	}
	add(tr.byRoute)
	for _, byRoute := range tr.countsByGateway {
		add(byRoute)
	}
	return total
}

// Reports returns the reports on open rollouts that this gateway sends to the others,
// sorted by service.
func (t *Tracker) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for service, tr := range t.tracked {
		if ended(tr.rollout) {
			continue
		}
		byRoute := map[string]Counts{}
		for route, c := range tr.byRoute {
			byRoute[route] = c
		}
		reports = append(reports, Report{
			Age: t.cfg.Now().Sub(tr.firstSeen), ByRoute: byRoute, Rejected: tr.rejected, Service: service, Version: tr.rollout.Version,
		})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}

// ApplyReports applies the reports of another gateway. It reports whether they made the
// tracker reject a version.
func (t *Tracker) ApplyReports(gateway string, reports []Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rejected := false
	for _, r := range reports {
		tr := t.tracked[r.Service]
		if tr == nil || tr.rollout.Version != r.Version {
			continue
		}
		// The deadline counts from when the first gateway saw the order.
		if since := t.cfg.Now().Add(-r.Age); since.Before(tr.firstSeen) {
			tr.firstSeen = since
		}
		tr.countsByGateway[gateway] = r.ByRoute
		if r.Rejected && !tr.rejected {
			tr.rejected = true
			rejected = true
		}
		rejected = t.evaluate(tr) || rejected
	}
	return rejected
}
