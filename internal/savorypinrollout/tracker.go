package savorypinrollout

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypinfleet"
)

// Settings of the traffic.
const (
	// exposurePart is the part of the allowed exposure that is used before the
	// traffic is moved; the rest is for what is on its way.
	exposurePart = 0.5
	// movePart is the part of the allowed exposure that may be used once the rest
	// of the traffic is moved too.
	movePart = 0.8
	// leastMoveTime is how long before the deadline the rest of the traffic is
	// moved at the latest, and completionTime when the roll-out is completed.
	leastMoveTime  = 600 * time.Millisecond
	completionTime = 250 * time.Millisecond
)

// Side says which versions may get a request.
type Side string

// The sides, in sorted order.
const (
	// SideAny means that the version does not matter.
	SideAny Side = "any"
	// SideNew means the version that is rolled out.
	SideNew Side = "new"
	// SideOld means all other versions.
	SideOld Side = "old"
)

// Config configures a Tracker.
type Config struct {
	// Gateways returns the number of gateways that share the allowed exposure.
	Gateways func() int
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Share and Slack bound the requests that a bad version may get: the share of
	// all requests of the service, and some more.
	Share float64
	Slack float64
}

// Report is what a gateway has seen of a roll-out.
type Report struct {
	// Age is how long ago the order was first seen by any gateway.
	Age time.Duration `msgpack:"a"`
	// ByRoute are the answers by route.
	ByRoute map[string]Counts `msgpack:"r"`
	// Rejected says that the version was found bad; it is never taken back.
	Rejected bool   `msgpack:"x"`
	Service  string `msgpack:"s"`
	Version  string `msgpack:"v"`
}

// missingTime is for how long an order is remembered that the store has lost with an
// era: the operator writes it again.
const missingTime = 5 * time.Minute

// trial is one roll-out as a gateway sees it.
type trial struct {
	byRoute map[string]Counts
	// completed says that the roll-out was completed, in this era of the store or an
	// earlier one.
	completed bool
	// missingSince is since when the store lacks the order; zero while it has it.
	missingSince time.Time
	others       map[string]map[string]Counts
	// rejected says that the version was found bad; it is never taken back.
	rejected bool
	rollout  savorypinfleet.Rollout
	sentNew  int64
	sentOld  int64
	since    time.Time
	usual    map[string]*usual
}

// Tracker follows the roll-outs. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu     sync.Mutex
	era    int64
	trials map[string]*trial
}

// New returns a tracker without roll-outs.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, trials: map[string]*trial{}}
}

// Update takes over the roll-outs that the store holds in an era. What an earlier era
// has lost stays in force: a version that was found bad stays so, a state is written
// again, and an order that is missing is remembered until the operator has written
// it again.
func (t *Tracker) Update(rollouts []savorypinfleet.Rollout, era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := map[string]bool{}
	for _, r := range rollouts {
		held[r.Service] = true
		known := t.trials[r.Service]
		if known == nil || t.another(known, r) {
			known = &trial{
				byRoute: map[string]Counts{}, others: map[string]map[string]Counts{},
				since: t.cfg.Now(), usual: map[string]*usual{},
			}
			t.trials[r.Service] = known
		}
		known.take(r)
	}
	t.dropMissing(held, era)
	t.era = max(t.era, era)
}

// another reports whether an entry of the store is another order than the one that is
// known. Within an era an order that is carried out is not carried out again.
func (t *Tracker) another(known *trial, r savorypinfleet.Rollout) bool {
	if known.rollout.Version != r.Version {
		return true
	}
	return ended(known.rollout) && !ended(r) && known.rollout.Era == r.Era
}

// take takes over an entry of the store about the trial's order.
func (tr *trial) take(r savorypinfleet.Rollout) {
	tr.missingSince = time.Time{}
	tr.rollout = r
	tr.completed = tr.completed || r.State == savorypinfleet.RolloutCompleted
	tr.rejected = tr.rejected || r.State == savorypinfleet.RolloutRolledBack
}

// dropMissing drops the orders that the store holds no more, but for those that it
// has lost with its last era. The caller holds t.mu.
func (t *Tracker) dropMissing(held map[string]bool, era int64) {
	now := t.cfg.Now()
	for service, tr := range t.trials {
		switch {
		case held[service]:
		case era > t.era && tr.missingSince.IsZero():
			tr.missingSince = now
		case tr.missingSince.IsZero(), now.Sub(tr.missingSince) > missingTime:
			delete(t.trials, service)
		}
	}
}

// ended reports whether an order is carried out.
func ended(r savorypinfleet.Rollout) bool {
	return r.State == savorypinfleet.RolloutCompleted || r.State == savorypinfleet.RolloutRolledBack
}

// Choose returns which versions may get the next request of a service, and the
// version that the sides are about.
func (t *Tracker) Choose(service string) (Side, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.trials[service]
	if tr == nil {
		return SideAny, ""
	}
	version := tr.rollout.Version
	switch {
	case tr.rejected:
		return SideOld, version
	case tr.completed, t.moving(tr):
		return SideNew, version
	case t.mayExpose(tr):
		return SideNew, version
	default:
		return SideOld, version
	}
}

// allowed is the exposure that this gateway's part of the bound allows.
func (t *Tracker) allowed(requests float64) float64 {
	return t.cfg.Share*requests + t.cfg.Slack/float64(t.cfg.Gateways())
}

func (t *Tracker) mayExpose(tr *trial) bool {
	requests := float64(tr.sentNew + tr.sentOld + 1)
	return float64(tr.sentNew+1) <= exposurePart*t.allowed(requests)
}

// left is the time until the deadline of an order.
func (t *Tracker) left(tr *trial) time.Duration {
	return tr.since.Add(tr.rollout.Duration).Sub(t.cfg.Now())
}

// moving reports whether the rest of the traffic is moved: as late as the
// allowed exposure demands, since a fault may show late.
func (t *Tracker) moving(tr *trial) bool {
	left := t.left(tr)
	if left <= leastMoveTime {
		return true
	}
	passed := t.cfg.Now().Sub(tr.since)
	if passed <= 0 {
		return false
	}
	requests := float64(tr.sentNew + tr.sentOld)
	coming := requests * float64(left) / float64(passed)
	return float64(tr.sentNew)+coming <= movePart*t.allowed(requests+coming)
}

// Sent takes note that a request was sent to a version.
func (t *Tracker) Sent(service, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.trials[service]
	switch {
	case tr == nil:
	case version == tr.rollout.Version:
		tr.sentNew++
	default:
		tr.sentOld++
	}
}

// Answered takes note of an answer and reports whether the new version is now
// found bad.
func (t *Tracker) Answered(service, route, version string, failed bool, took time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.trials[service]
	if tr == nil {
		return false
	}
	u := tr.usual[route]
	if u == nil {
		u = &usual{}
		tr.usual[route] = u
	}
	c := Count{Total: 1}
	if failed || u.slow(took) {
		c.Bad = 1
	}
	counts := tr.byRoute[route]
	if version == tr.rollout.Version {
		counts.New.add(c)
	} else {
		counts.Old.add(c)
		u.note(took)
	}
	tr.byRoute[route] = counts
	return t.judge(tr)
}

// judge reports whether the version was found bad just now. A rejection stays.
func (t *Tracker) judge(tr *trial) bool {
	if tr.rejected || tr.completed || ended(tr.rollout) || strongest(tr.total()) < evidenceBad {
		return false
	}
	tr.rejected = true
	return true
}

// total returns the counts of all gateways.
func (tr *trial) total() map[string]Counts {
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
	for _, byRoute := range tr.others {
		add(byRoute)
	}
	return total
}

// Reports returns what this gateway tells the others.
func (t *Tracker) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for service, tr := range t.trials {
		if ended(tr.rollout) {
			continue
		}
		byRoute := map[string]Counts{}
		for route, c := range tr.byRoute {
			byRoute[route] = c
		}
		reports = append(reports, Report{
			Age: t.cfg.Now().Sub(tr.since), ByRoute: byRoute, Rejected: tr.rejected, Service: service, Version: tr.rollout.Version,
		})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}

// Hear takes over what another gateway tells. It reports whether a version is
// now found bad.
func (t *Tracker) Hear(gateway string, reports []Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for _, r := range reports {
		tr := t.trials[r.Service]
		if tr == nil || tr.rollout.Version != r.Version {
			continue
		}
		// The order is as old as the gateway says that saw it first.
		if since := t.cfg.Now().Add(-r.Age); since.Before(tr.since) {
			tr.since = since
		}
		tr.others[gateway] = r.ByRoute
		if r.Rejected && !tr.rejected {
			tr.rejected = true
			found = true
		}
		found = t.judge(tr) || found
	}
	return found
}

// Due returns the roll-outs whose state has to be written, with that state.
func (t *Tracker) Due() []savorypinfleet.Rollout {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []savorypinfleet.Rollout
	for _, tr := range t.trials {
		if ended(tr.rollout) || !tr.missingSince.IsZero() {
			continue
		}
		next := t.next(tr)
		if next == tr.rollout.State {
			continue
		}
		r := tr.rollout
		r.State = next
		due = append(due, r)
	}
	slices.SortFunc(due, func(a, b savorypinfleet.Rollout) int { return cmp.Compare(a.Service, b.Service) })
	return due
}

// next returns the state that a roll-out should have.
func (t *Tracker) next(tr *trial) savorypinfleet.RolloutState {
	switch {
	case tr.rejected:
		return savorypinfleet.RolloutRolledBack
	case tr.completed:
		return savorypinfleet.RolloutCompleted
	case t.left(tr) > completionTime:
		return savorypinfleet.RolloutRunning
	case strongest(tr.total()) >= evidenceDoubt:
		tr.rejected = true
		return savorypinfleet.RolloutRolledBack
	default:
		return savorypinfleet.RolloutCompleted
	}
}
