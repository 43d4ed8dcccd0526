package savorypinroute

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
)

// Settings of the selection.
const (
	// sampleSize is the number of random endpoints that are compared, in addition
	// to the one to which the same prefix was last sent.
	sampleSize = 3
	// minSpillGain is the least gain in time to the first token for which a request
	// is sent to another region.
	minSpillGain = 300 * time.Millisecond
	// tokenWireBytes is the mean number of bytes that a token takes between daemons,
	// with its share of frames and acknowledgements.
	tokenWireBytes = 24
)

// Names of the counters that a Router increments through Config.Count.
const (
	CountChoiceForced = "route.choices.forced"
	CountChoicePrefix = "route.choices.prefix"
	CountChoiceSample = "route.choices.sample"
	CountChoiceScan   = "route.choices.scan"
	CountEjections    = "route.ejections"
	CountRefusedLate  = "route.refusals.late"
	CountRefusedLink  = "route.refusals.link"
	CountRefusedNone  = "route.refusals.none"
	CountSpills       = "route.spills"
	// CountLinkBytes is a prefix; the purpose follows.
	CountLinkBytes = "route.link.bytes."
)

// Config configures a Router.
type Config struct {
	// OnBegin is called for each request that is sent to an endpoint.
	OnBegin func(purpose savorypin.Purpose)
	// Count adds n to the named counter.
	Count func(name string, n int64)
	// LinkBytesPerSecond is the bandwidth of the link between regions for all
	// entries of this region together, in bytes per second.
	LinkBytesPerSecond float64
	// LinkDelay returns the delay that the link between two regions adds to a
	// request and its first token together.
	LinkDelay func(from, to string) time.Duration
	// Now is the clock.
	Now func() time.Time
	// Rand returns a uniformly distributed number in [0, 1).
	Rand func() float64
	// Region is the region of this daemon.
	Region string
}

// Router selects endpoints. It is safe for concurrent use; Choose takes no lock
// unless another region is better and it checks the budget of the link.
type Router struct {
	affinity affinity
	cfg      Config
	index    atomic.Pointer[index]
	link     *Link

	mu        sync.Mutex
	endpoints map[string]*endpoint
	services  map[string]*serviceStats
}

// NewRouter returns a router without endpoints.
func NewRouter(cfg Config) *Router {
	r := &Router{
		cfg:       cfg,
		endpoints: map[string]*endpoint{},
		link:      NewLink(cfg.LinkBytesPerSecond, cfg.Now()),
		services:  map[string]*serviceStats{},
	}
	r.index.Store(newIndex(nil))
	return r
}

// Refresh applies a view of the members. It must be called several times a second,
// as each call also samples this daemon's requests in flight, whose number at the
// time of each load report is needed.
func (r *Router) Refresh(view *savorypinmembership.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, e := range r.endpoints {
		e.recordInFlight(now)
	}
	if r.index.Load().view == view {
		return
	}
	next := newIndex(view)
	for _, m := range view.All() {
		if !m.Usable() {
			continue
		}
		state := m.State()
		if state.Role == savorypin.RoleEntry {
			next.entries[state.Region]++
		}
		for i := range state.Endpoints {
			r.addEndpoint(next, state, i, m.LastSeen())
		}
	}
	r.removeUnreported(next)
	r.index.Store(next)
	r.link.SetRate(r.cfg.LinkBytesPerSecond/float64(max(1, next.entries[r.cfg.Region])), now)
}

// addEndpoint adds the endpoint i of a member, whose state arrived at receivedAt,
// to the index that is being built.
func (r *Router) addEndpoint(next *index, member savorypin.MemberState, i int, receivedAt time.Time) {
	state := &member.Endpoints[i]
	e := r.endpoints[state.Name]
	if e == nil || e.targets[0].key.service != state.Service {
		e = newEndpoint(state.Name, groupKey{service: state.Service}, r.stats(state.Service))
		r.endpoints[state.Name] = e
	}
	e.index = next
	if !usable(*state) {
		return
	}
	old := e.report.Load()
	if old == nil || member.Newer(*old.member) || member.Name != old.member.Name {
		copied := member
		e.report.Store(&report{
			baseline: e.inFlightAt(receivedAt.Add(-reportLag)),
			member:   &copied,
			state:    state,
		})
		e.setVersions(state.Versions)
	}
	next.prefill[state.Service] += state.PrefillPerSecond
	for _, t := range e.targets {
		next.add(member.Region, t)
	}
}

func (r *Router) stats(service string) *serviceStats {
	s := r.services[service]
	if s == nil {
		s = newServiceStats()
		r.services[service] = s
	}
	return s
}

// removeUnreported removes the endpoints that no member reports any more and that
// have no requests of this daemon in flight.
func (r *Router) removeUnreported(next *index) {
	for name, e := range r.endpoints {
		if e.index != next && e.inFlight.Load() == 0 {
			delete(r.endpoints, name)
		}
	}
}

// choice is a target with its cost and the name of the counter for how the target
// was found.
type choice struct {
	cost    time.Duration
	counter string
	target  *target
}

// better reports whether c has a target and costs less than the other choice.
func (c choice) better(other choice) bool {
	return c.target != nil && (other.target == nil || c.cost < other.cost)
}

// Choose selects the endpoint for a request. It returns ErrNoEndpoint,
// ErrLinkBudget or a *TooLateError if the request must not be sent.
func (r *Router) Choose(req Request) (Candidate, error) {
	now := r.cfg.Now()
	g := r.index.Load().groups[groupKey{service: req.Service, version: req.Version}]
	if g == nil {
		r.cfg.Count(CountRefusedNone, 1)
		return Candidate{}, ErrNoEndpoint
	}
	best := r.bestLocal(g, &req, now)
	best, crossesLink, err := r.spill(g, &req, best, now)
	if err != nil {
		return Candidate{}, err
	}
	// The penalty for failures only ranks endpoints. If all of them fail, it is no
	// reason to refuse the request.
	expected := best.cost - best.target.penalty(now)
	if late := req.MaxFirstToken > 0 && expected > req.MaxFirstToken; late && req.Purpose != savorypin.PurposeResume {
		r.cfg.Count(CountRefusedLate, 1)
		return Candidate{}, &TooLateError{Estimate: expected, MaxFirstToken: req.MaxFirstToken}
	}
	return r.newCandidate(best, req, crossesLink), nil
}

// bestLocal returns the best choice in the region of this daemon.
func (r *Router) bestLocal(g *group, req *Request, now time.Time) choice {
	targets := g.regions[r.cfg.Region]
	best := r.sampleTargets(targets, req, now)
	if t := r.affinity.find(req.Prefixes, groupKey{service: req.Service, version: req.Version}); t != nil {
		best = r.considerAffinityTarget(best, t, targets, req, now)
	}
	if best.target != nil && best.cost < minSpillGain {
		return best
	}
	return scan(best, targets, req, now)
}

// considerAffinityTarget returns the better of a choice and the target t, to which
// the same prefix was last sent.
func (r *Router) considerAffinityTarget(best choice, t *target, targets []*target, req *Request, now time.Time) choice {
	if t.endpoint.report.Load().member.Region != r.cfg.Region || !t.usable(req, now) || !slices.Contains(targets, t) {
		return best
	}
	if c := (choice{cost: t.cost(req, now), counter: CountChoicePrefix, target: t}); c.better(best) {
		return c
	}
	return best
}

// sampleTargets returns the best of a few random targets.
func (r *Router) sampleTargets(targets []*target, req *Request, now time.Time) choice {
	var best choice
	if len(targets) <= sampleSize {
		return scan(best, targets, req, now)
	}
	for range sampleSize {
		t := targets[int(r.cfg.Rand()*float64(len(targets)))]
		if !t.usable(req, now) {
			continue
		}
		if c := (choice{cost: t.cost(req, now), counter: CountChoiceSample, target: t}); c.better(best) {
			best = c
		}
	}
	return best
}

// scan returns the best of a choice and all targets.
func scan(best choice, targets []*target, req *Request, now time.Time) choice {
	for _, t := range targets {
		if !t.usable(req, now) {
			continue
		}
		if c := (choice{cost: t.cost(req, now), counter: CountChoiceScan, target: t}); c.better(best) {
			best = c
		}
	}
	return best
}

// spill returns the local choice, or one in another region if there is no local one
// or the gain is at least minSpillGain, and the budget of the link allows it. If no
// region has a usable target, it returns the best ejected local one. It reports
// whether the choice crosses the link.
func (r *Router) spill(g *group, req *Request, local choice, now time.Time) (choice, bool, error) {
	if local.target != nil && local.cost < minSpillGain {
		return local, false, nil
	}
	remote := r.bestRemote(g, req, now)
	worthwhile := remote.target != nil && (local.target == nil || remote.cost+minSpillGain <= local.cost)
	if worthwhile && r.link.Allows(linkPurpose(req), req.linkBytes(), now) {
		return remote, true, nil
	}
	switch {
	case local.target != nil:
		return local, false, nil
	case remote.target != nil:
		r.cfg.Count(CountRefusedLink, 1)
		return choice{}, false, ErrLinkBudget
	}
	if forced := bestIgnoringBreaker(g.regions[r.cfg.Region], req, now); forced.target != nil {
		return forced, false, nil
	}
	r.cfg.Count(CountRefusedNone, 1)
	return choice{}, false, ErrNoEndpoint
}

// bestRemote returns the best choice in other regions. Its cost includes the delay
// of the link.
func (r *Router) bestRemote(g *group, req *Request, now time.Time) choice {
	var best choice
	for region, targets := range g.regions {
		if region == r.cfg.Region {
			continue
		}
		c := r.sampleTargets(targets, req, now)
		if c.target == nil {
			c = scan(c, targets, req, now)
		}
		c.cost += r.cfg.LinkDelay(r.cfg.Region, region)
		if c.better(best) {
			best = c
		}
	}
	return best
}

// bestIgnoringBreaker returns the best target, including ejected ones.
func bestIgnoringBreaker(targets []*target, req *Request, now time.Time) choice {
	var best choice
	for _, t := range targets {
		if req.Avoid[t.endpoint.name] {
			continue
		}
		if c := (choice{cost: t.cost(req, now), counter: CountChoiceForced, target: t}); c.better(best) {
			best = c
		}
	}
	return best
}

// linkPurpose returns the purpose of the bytes that a request sends over a link.
func linkPurpose(req *Request) LinkPurpose {
	if req.Purpose == savorypin.PurposeResume {
		return LinkResume
	}
	return LinkSpill
}

// Link returns the budget of the link between regions.
func (r *Router) Link() *Link {
	return r.link
}

// Entries returns the number of live entries, at least 1.
func (r *Router) Entries() int {
	n := 0
	for _, entries := range r.index.Load().entries {
		n += entries
	}
	return max(1, n)
}

// PrefillRate returns the total prefill rate of the usable endpoints of a
// service, in tokens per second.
func (r *Router) PrefillRate(service string) float64 {
	return r.index.Load().prefill[service]
}

// mayEject reports whether one more endpoint of the target's group may be ejected.
func (r *Router) mayEject(t *target, now time.Time) bool {
	g := r.index.Load().groups[t.key]
	if g == nil {
		return true
	}
	ejected := 1
	for _, other := range g.all {
		if other != t && other.breaker.open(now) {
			ejected++
		}
	}
	return ejected*maxEjectedDivisor <= len(g.all)
}
