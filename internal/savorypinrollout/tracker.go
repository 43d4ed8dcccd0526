package savorypinrollout

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypinfleet"
)

// Settings of the traffic that the new version gets.
const (
	// exposureRatio is the fraction of the exposure limit that is used before the
	// rest of the traffic moves; the remainder covers requests in flight.
	exposureRatio = 0.5
	// moveExposureRatio is the fraction of the exposure limit that may be used once
	// the rest of the traffic has moved too.
	moveExposureRatio = 0.8
	// minMoveWindow is the time before the deadline at which the rest of the traffic
	// moves at the latest, and completionWindow the time before the deadline at
	// which the rollout is completed.
	minMoveWindow    = 600 * time.Millisecond
	completionWindow = 250 * time.Millisecond
)

// Side selects the versions that may get a request.
type Side string

// The sides, in sorted order.
const (
	// SideAny means any version.
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
	// ExposureShare and ExposureSlack bound the requests that a bad version may get over all
	// gateways: at most ExposureShare (0 to 1) of the service's requests plus ExposureSlack.
	ExposureShare float64
	ExposureSlack float64
}

// missingOrderRetention is how long an order is kept that the store lost when its era
// changed, so that the operator can write it again.
const missingOrderRetention = 5 * time.Minute

// trackedRollout is a gateway's state of one rollout.
type trackedRollout struct {
	byRoute map[string]Counts
	// completed is set if the rollout was completed in this era of the store or an
	// earlier one.
	completed bool
	// missingSince is when the order was first missing in the store; zero while it
	// is there.
	missingSince time.Time
	// countsByGateway holds the counts by route that other gateways reported.
	countsByGateway map[string]map[string]Counts
	// rejected is set once the version was rejected and is never cleared.
	rejected bool
	rollout  savorypinfleet.Rollout
	sentNew  int64
	sentOld  int64
	// firstSeen is when the first gateway saw the order, as far as this one knows.
	firstSeen  time.Time
	oldLatency map[string]*latencyAverage
}

// Tracker holds a gateway's state of all rollouts. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu      sync.Mutex
	era     int64
	tracked map[string]*trackedRollout
}

// New returns a tracker without rollouts.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, tracked: map[string]*trackedRollout{}}
}

// Update applies the rollouts that the store holds in an era. State that the store
// lost with an earlier era stays in force: a rejected version stays rejected, its
// state is written again, and a missing order is kept for missingOrderRetention so
// that the operator can write it again.
func (t *Tracker) Update(rollouts []savorypinfleet.Rollout, era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[string]bool{}
	for _, r := range rollouts {
		present[r.Service] = true
		tracked := t.tracked[r.Service]
		if tracked == nil || t.isNewOrder(tracked, r) {
			tracked = &trackedRollout{
				byRoute: map[string]Counts{}, countsByGateway: map[string]map[string]Counts{},
				firstSeen: t.cfg.Now(), oldLatency: map[string]*latencyAverage{},
			}
			t.tracked[r.Service] = tracked
		}
		tracked.setRollout(r)
	}
	t.dropMissing(present, era)
	t.era = max(t.era, era)
}

// isNewOrder reports whether a rollout in the store is a new order rather than an
// update of the tracked one. An order that has ended never becomes open again, so an open
// one for the same version is new, unless the era has changed and the store lost its state.
func (t *Tracker) isNewOrder(tracked *trackedRollout, r savorypinfleet.Rollout) bool {
	if tracked.rollout.Version != r.Version {
		return true
	}
	return ended(tracked.rollout) && !ended(r) && tracked.rollout.Era == r.Era
}

// setRollout applies the store's current object for the tracked order.
func (tr *trackedRollout) setRollout(r savorypinfleet.Rollout) {
	tr.missingSince = time.Time{}
	tr.rollout = r
	tr.completed = tr.completed || r.State == savorypinfleet.RolloutCompleted
	tr.rejected = tr.rejected || r.State == savorypinfleet.RolloutRolledBack
}

// dropMissing drops the orders that are no longer in the store. An order that went
// missing when the era changed is kept for missingOrderRetention. The caller holds
// t.mu.
func (t *Tracker) dropMissing(present map[string]bool, era int64) {
	now := t.cfg.Now()
	for service, tr := range t.tracked {
		switch {
		case present[service]:
		case era > t.era && tr.missingSince.IsZero():
			tr.missingSince = now
		case tr.missingSince.IsZero(), now.Sub(tr.missingSince) > missingOrderRetention:
			delete(t.tracked, service)
		}
	}
}

// ended reports whether a rollout was completed or rolled back.
func ended(r savorypinfleet.Rollout) bool {
	return r.State == savorypinfleet.RolloutCompleted || r.State == savorypinfleet.RolloutRolledBack
}

// Choose returns which versions may get the next request of a service, and the
// version that is rolled out; SideAny and "" if the service has no rollout.
func (t *Tracker) Choose(service string) (Side, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.tracked[service]
	if tr == nil {
		return SideAny, ""
	}
	version := tr.rollout.Version
	switch {
	case tr.rejected:
		return SideOld, version
	case tr.completed, t.movesAllTraffic(tr):
		return SideNew, version
	case t.mayExpose(tr):
		return SideNew, version
	default:
		return SideOld, version
	}
}

// exposureLimit returns how many of this gateway's requests may go to the new version,
// given the number of its requests.
func (t *Tracker) exposureLimit(requests float64) float64 {
	return t.cfg.ExposureShare*requests + t.cfg.ExposureSlack/float64(t.cfg.Gateways())
}

// mayExpose reports whether the new version may get the next request within exposureRatio
// of the exposure limit.
func (t *Tracker) mayExpose(tr *trackedRollout) bool {
	requests := float64(tr.sentNew + tr.sentOld + 1)
	return float64(tr.sentNew+1) <= exposureRatio*t.exposureLimit(requests)
}

// timeLeft returns the time until the deadline of an order.
func (t *Tracker) timeLeft(tr *trackedRollout) time.Duration {
	return tr.firstSeen.Add(tr.rollout.Duration).Sub(t.cfg.Now())
}

// movesAllTraffic reports whether all traffic now goes to the new version. This starts
// as late as possible, since a fault may show late: once the requests expected until
// the deadline fit into moveExposureRatio of the exposure limit, or minMoveWindow before
// the deadline.
func (t *Tracker) movesAllTraffic(tr *trackedRollout) bool {
	timeLeft := t.timeLeft(tr)
	if timeLeft <= minMoveWindow {
		return true
	}
	elapsed := t.cfg.Now().Sub(tr.firstSeen)
	if elapsed <= 0 {
		return false
	}
	requests := float64(tr.sentNew + tr.sentOld)
	expected := requests * float64(timeLeft) / float64(elapsed)
	return float64(tr.sentNew)+expected <= moveExposureRatio*t.exposureLimit(requests+expected)
}

// CountSent counts a request that was sent to a version.
func (t *Tracker) CountSent(service, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.tracked[service]
	switch {
	case tr == nil:
	case version == tr.rollout.Version:
		tr.sentNew++
	default:
		tr.sentOld++
	}
}

// RecordAnswer counts an answer, as failed if it was too slow. It reports whether this
// answer made the tracker reject the new version.
func (t *Tracker) RecordAnswer(service, route, version string, failed bool, took time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.tracked[service]
	if tr == nil {
		return false
	}
	average := tr.oldLatency[route]
	if average == nil {
		average = &latencyAverage{}
		tr.oldLatency[route] = average
	}
	c := Count{Total: 1}
	if failed || average.isSlow(took) {
		c.Bad = 1
	}
	counts := tr.byRoute[route]
	if version == tr.rollout.Version {
		counts.New.add(c)
	} else {
		counts.Old.add(c)
		average.observe(took)
	}
	tr.byRoute[route] = counts
	return t.evaluate(tr)
}

// evaluate rejects the version if the evidence suffices, and reports whether it did so
// in this call. A rejection is final.
func (t *Tracker) evaluate(tr *trackedRollout) bool {
	if tr.rejected || tr.completed || ended(tr.rollout) || maxLogLikelihoodRatio(tr.totalCounts()) < rejectThreshold {
		return false
	}
	tr.rejected = true
	return true
}

// PendingUpdates returns the rollouts whose state in the store has to change, with the new
// state, sorted by service.
func (t *Tracker) PendingUpdates() []savorypinfleet.Rollout {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []savorypinfleet.Rollout
	for _, tr := range t.tracked {
		if ended(tr.rollout) || !tr.missingSince.IsZero() {
			continue
		}
		nextState := t.nextState(tr)
		if nextState == tr.rollout.State {
			continue
		}
		r := tr.rollout
		r.State = nextState
		due = append(due, r)
	}
	slices.SortFunc(due, func(a, b savorypinfleet.Rollout) int { return cmp.Compare(a.Service, b.Service) })
	return due
}

// nextState returns the state that a rollout should have in the store. It rejects the
// version if the evidence at the deadline reaches deadlineRejectThreshold.
func (t *Tracker) nextState(tr *trackedRollout) savorypinfleet.RolloutState {
	switch {
	case tr.rejected:
		return savorypinfleet.RolloutRolledBack
	case tr.completed:
		return savorypinfleet.RolloutCompleted
	case t.timeLeft(tr) > completionWindow:
		return savorypinfleet.RolloutRunning
	case maxLogLikelihoodRatio(tr.totalCounts()) >= deadlineRejectThreshold:
		tr.rejected = true
		return savorypinfleet.RolloutRolledBack
	default:
		return savorypinfleet.RolloutCompleted
	}
}
