package savorypinroute

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
)

// Settings of the choice.
const (
	// sampleSize is how many endpoints are looked at besides the one that was
	// last sent the same prefix.
	sampleSize = 3
	// spillGain is how much sooner the first token must come from another
	// region for work to cross the link.
	spillGain = 300 * time.Millisecond
	// tokenWireBytes is the mean length of a token between daemons, with its
	// share of frames and acknowledgements.
	tokenWireBytes = 24
)

// Counters that a Router counts up through Config.Count.
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
	// CountLinkBytes is followed by the purpose.
	CountLinkBytes = "route.link.bytes."
)

// Config configures a Router.
type Config struct {
	// Begun is told of each piece of work that is given to an endpoint.
	Begun func(purpose savorypin.Purpose)
	// Count counts events by name.
	Count func(name string, n int64)
	// LinkBytesPerSecond is what the link between regions may carry for all
	// entries of the own region together, in bytes a second.
	LinkBytesPerSecond float64
	// LinkDelay returns the time that a request and its first token spend on
	// the link between two regions.
	LinkDelay func(from, to string) time.Duration
	// Now is the clock.
	Now func() time.Time
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
	// Region is the own region.
	Region string
}

// Router chooses endpoints. It is safe for concurrent use; Choose takes no
// lock unless work crosses the link.
type Router struct {
	affinity affinity
	cfg      Config
	index    atomic.Pointer[index]
	link     *Link

	mu        sync.Mutex
	endpoints map[string]*endpoint
	services  map[string]*serviceStats
}

// NewRouter returns a router that knows no endpoints.
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

// Refresh takes over the members. It is called several times a second, so
// that the own work in flight is known as it was when a report was made.
func (r *Router) Refresh(view *savorypinmembership.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, e := range r.endpoints {
		e.sample(now)
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
			r.take(next, state, i, m.Heard())
		}
	}
	r.forget(next)
	r.index.Store(next)
	r.link.SetRate(r.cfg.LinkBytesPerSecond/float64(max(1, next.entries[r.cfg.Region])), now)
}

// take adds an endpoint of a member to the index that is being built.
func (r *Router) take(next *index, member savorypin.MemberState, i int, heard time.Time) {
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
		held := member
		e.report.Store(&report{
			baseline: e.flightAt(heard.Add(-reportLag)),
			member:   &held,
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

// forget drops the endpoints that no member reports any more.
func (r *Router) forget(next *index) {
	for name, e := range r.endpoints {
		if e.index != next && e.flight.Load() == 0 {
			delete(r.endpoints, name)
		}
	}
}

// choice is a target with its cost, and the counter of the way it was found.
type choice struct {
	cost   time.Duration
	reason string
	target *target
}

func (c choice) better(o choice) bool {
	return c.target != nil && (o.target == nil || c.cost < o.cost)
}

// Choose chooses the endpoint for a piece of work. It returns ErrNoEndpoint,
// ErrLinkBudget or a *TooLateError if the work must not begin.
func (r *Router) Choose(need Need) (Candidate, error) {
	now := r.cfg.Now()
	g := r.index.Load().groups[groupKey{service: need.Service, version: need.Version}]
	if g == nil {
		r.cfg.Count(CountRefusedNone, 1)
		return Candidate{}, ErrNoEndpoint
	}
	best := r.local(g, &need, now)
	best, crosses, err := r.spill(g, &need, best, now)
	if err != nil {
		return Candidate{}, err
	}
	// What failures add ranks endpoints; where none is better, it is no reason
	// to refuse.
	expected := best.cost - best.target.penalty(now)
	if late := need.Within > 0 && expected > need.Within; late && need.Purpose != savorypin.PurposeResume {
		r.cfg.Count(CountRefusedLate, 1)
		return Candidate{}, &TooLateError{Estimate: expected, Within: need.Within}
	}
	return r.candidate(best, need, crosses), nil
}

// local returns the best choice in the own region.
func (r *Router) local(g *group, need *Need, now time.Time) choice {
	targets := g.regions[r.cfg.Region]
	best := r.sample(targets, need, now)
	if t := r.affinity.find(need.Prefixes, groupKey{service: need.Service, version: need.Version}); t != nil {
		best = r.consider(best, t, targets, need, now)
	}
	if best.target != nil && best.cost < spillGain {
		return best
	}
	return scan(best, targets, need, now)
}

// consider returns the better of a choice and the target that was last sent
// the same prefix.
func (r *Router) consider(best choice, t *target, targets []*target, need *Need, now time.Time) choice {
	if t.endpoint.report.Load().member.Region != r.cfg.Region || !t.usable(need, now) || !slices.Contains(targets, t) {
		return best
	}
	if c := (choice{cost: t.cost(need, now), reason: CountChoicePrefix, target: t}); c.better(best) {
		return c
	}
	return best
}

// sample returns the best of a few targets taken at random.
func (r *Router) sample(targets []*target, need *Need, now time.Time) choice {
	var best choice
	if len(targets) <= sampleSize {
		return scan(best, targets, need, now)
	}
	for range sampleSize {
		t := targets[int(r.cfg.Rand()*float64(len(targets)))]
		if !t.usable(need, now) {
			continue
		}
		if c := (choice{cost: t.cost(need, now), reason: CountChoiceSample, target: t}); c.better(best) {
			best = c
		}
	}
	return best
}

// scan returns the better of a choice and all targets.
func scan(best choice, targets []*target, need *Need, now time.Time) choice {
	for _, t := range targets {
		if !t.usable(need, now) {
			continue
		}
		if c := (choice{cost: t.cost(need, now), reason: CountChoiceScan, target: t}); c.better(best) {
			best = c
		}
	}
	return best
}

// spill looks at other regions if that may pay. It reports whether the choice
// crosses the link.
func (r *Router) spill(g *group, need *Need, local choice, now time.Time) (choice, bool, error) {
	if local.target != nil && local.cost < spillGain {
		return local, false, nil
	}
	remote := r.remote(g, need, now)
	pays := remote.target != nil && (local.target == nil || remote.cost+spillGain <= local.cost)
	if pays && r.link.Allows(purposeOf(need), need.linkBytes(), now) {
		return remote, true, nil
	}
	switch {
	case local.target != nil:
		return local, false, nil
	case remote.target != nil:
		r.cfg.Count(CountRefusedLink, 1)
		return choice{}, false, ErrLinkBudget
	}
	if forced := forced(g.regions[r.cfg.Region], need, now); forced.target != nil {
		return forced, false, nil
	}
	r.cfg.Count(CountRefusedNone, 1)
	return choice{}, false, ErrNoEndpoint
}

// remote returns the best choice in other regions, whose cost contains the
// link.
func (r *Router) remote(g *group, need *Need, now time.Time) choice {
	var best choice
	for region, targets := range g.regions {
		if region == r.cfg.Region {
			continue
		}
		c := r.sample(targets, need, now)
		if c.target == nil {
			c = scan(c, targets, need, now)
		}
		c.cost += r.cfg.LinkDelay(r.cfg.Region, region)
		if c.better(best) {
			best = c
		}
	}
	return best
}

// forced returns the best target, though it may be ejected.
func forced(targets []*target, need *Need, now time.Time) choice {
	var best choice
	for _, t := range targets {
		if need.Avoid[t.endpoint.name] {
			continue
		}
		if c := (choice{cost: t.cost(need, now), reason: CountChoiceForced, target: t}); c.better(best) {
			best = c
		}
	}
	return best
}

func purposeOf(need *Need) LinkPurpose {
	if need.Purpose == savorypin.PurposeResume {
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

// PrefillRate returns the rate at which the usable endpoints of a service read
// prompts together, in tokens a second.
func (r *Router) PrefillRate(service string) float64 {
	return r.index.Load().prefill[service]
}

// mayEject reports whether so few endpoints of a target's group are ejected
// that one more may be.
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
	return ejected*ejectedShareInverse <= len(g.all)
}
