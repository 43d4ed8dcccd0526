package savorypinmembership

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypin"
)

// TickInterval is how often Gossip.Tick is to be called.
const TickInterval = 250 * time.Millisecond

// Times of the gossip.
const (
	// directTimeout is the silence after which others are asked to probe.
	directTimeout = 750 * time.Millisecond
	// forgetAfter is how long a dead member is kept, so that a cut of an hour
	// loses nobody.
	forgetAfter = 2 * time.Hour
	// forgetLeftAfter is the same for one that said that it would end.
	forgetLeftAfter = 5 * time.Minute
	// isolatedAfter is how long a daemon that hears of nobody trusts itself.
	isolatedAfter = time.Second
	// monitorInterval is how often a member is beaten by each of its monitors.
	monitorInterval = 500 * time.Millisecond
	// partnerInterval is how often a partner is sent a heartbeat.
	partnerInterval = time.Second
	// partnerPeriod is how long partners are kept.
	partnerPeriod = time.Minute
	// pauseLimit is the time between two ticks after which a daemon knows that
	// it was paused.
	pauseLimit = 2 * time.Second
	// publishInterval is how long a change that no routing depends on may wait
	// to be seen.
	publishInterval = 50 * time.Millisecond
	// regionSilentAfter is the silence after which a region is unreachable.
	regionSilentAfter = 10 * time.Second
	// relayInterval is how often relays talk across regions.
	relayInterval = time.Second
	// selfInterval is how often a daemon's own load is shown in its view.
	selfInterval = time.Second
	// resyncPeriod is how long a daemon judges nobody after a pause.
	resyncPeriod = 2 * time.Second
	// retryInterval is how often a dead member and a seed are tried.
	retryInterval = 2 * time.Second
	// suspectAfter is the silence after which a member is suspected.
	suspectAfter = 1250 * time.Millisecond
	// suspectTimeout is how long a member is suspected before it is dead.
	suspectTimeout = 4 * time.Second
	// syncInterval is the least time between two comparisons of records.
	syncInterval = time.Second
)

// Counts of the gossip.
const (
	// bucketCount is the number of hashes in a comparison of records.
	bucketCount = 64
	// helperCount is how many others are asked to probe a silent member.
	helperCount = 3
	// monitorCount is how many members each daemon monitors.
	monitorCount = 3
	// partnerCount is how many random members each daemon talks to.
	partnerCount = 3
	// relayCount is the number of relays of a region.
	relayCount = 2
	// smallSystem is the number of members up to which regions are ignored,
	// because a region may hold too few members to watch each other.
	smallSystem = 24
	// headsPerSync bounds the records that one comparison names.
	headsPerSync = 256
	// statesPerSync bounds the records that one comparison fetches or sends.
	statesPerSync = 48
	// transmitCount is how often a daemon passes a piece of news on.
	transmitCount = 4
	// updatesPerMessage bounds the records that a heartbeat carries.
	updatesPerMessage = 8
	// urgentFanout is how many members hear of urgent news at once.
	urgentFanout = 4
)

// GossipConfig configures a Gossip.
type GossipConfig struct {
	// Incarnation tells restarts of the daemon apart; newer is larger.
	Incarnation int64
	// Name is the name of the daemon.
	Name string
	// Now is the clock.
	Now func() time.Time
	// Rand returns a uniform number in [0, n).
	Rand func(n int) int
	// Seeds are addresses that are always tried.
	Seeds []string
	// Self returns what the daemon says of itself; Gossip adds incarnation
	// and sequence.
	Self func() savorypin.MemberState
	// Synced reports whether the daemon has the whole configuration.
	Synced func() bool
}

// record is what is held of one member.
type record struct {
	applied  savorypin.Digest
	health   Health
	heard    time.Time
	load     Report
	name     string
	number   uint64
	reported time.Time
	since    time.Time
	state    savorypin.MemberState
}

// Gossip is the membership of one daemon.
type Gossip struct {
	cfg  GossipConfig
	view atomic.Pointer[View]

	mu          sync.Mutex
	buckets     [bucketCount]uint32
	dirty       map[string]bool
	hostSeeds   []string
	incarnation int64
	lastHeard   time.Time
	lastSync    time.Time
	lastTick    time.Time
	members     map[string]Member
	monitored   map[string]*probe
	name        string
	names       []string
	nextPartner time.Time
	nextRelay   time.Time
	nextRetry   time.Time
	partners    []string
	partnersEnd time.Time
	pending     map[string][]string
	records     map[string]*record
	published   time.Time
	regions     map[string]time.Time
	reporter    reporter
	resyncUntil time.Time
	ring        []string
	ringStale   bool
	rumours     map[string]int
	self        savorypin.MemberState
	selfShown   time.Time
	sequence    uint64
	urgent      bool
}

// NewGossip returns a Gossip that knows of nobody. Its first tick adds its own
// daemon and must come before any message.
func NewGossip(cfg GossipConfig) *Gossip {
	g := &Gossip{
		cfg:         cfg,
		dirty:       map[string]bool{},
		incarnation: cfg.Incarnation,
		members:     map[string]Member{},
		monitored:   map[string]*probe{},
		pending:     map[string][]string{},
		records:     map[string]*record{},
		regions:     map[string]time.Time{},
		reporter:    reporter{sent: map[string]*sentReport{}},
		ringStale:   true,
		rumours:     map[string]int{},
	}
	now := cfg.Now()
	g.name = cfg.Name
	g.nextPartner = now.Add(g.jitter(partnerInterval))
	g.nextRelay = now.Add(g.jitter(relayInterval))
	g.nextRetry = now
	g.view.Store(newView(nil))
	return g
}

// Self returns what the daemon says of itself, with its load.
func (g *Gossip) Self() savorypin.MemberState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.cfg.Self()
	s.Incarnation = g.incarnation
	s.Sequence = g.sequence
	return s
}

// View returns the members, this daemon included.
func (g *Gossip) View() *View {
	return g.view.Load()
}

// Peers returns addresses of random members that should hear of news of the
// configuration at once, those of other regions too if this daemon is a relay.
func (g *Gossip) Peers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, r := range append(g.choose(urgentFanout, g.near), g.farRelays()...) {
		addresses = append(addresses, r.state.Address)
	}
	return addresses
}

// Resyncing reports whether the daemon was paused and has not caught up yet.
// Until then it must decide nothing that rests on what it knows of others.
func (g *Gossip) Resyncing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resyncing(g.cfg.Now())
}

// SetHostSeeds sets addresses from the platform's list of hosts, to be tried
// like seeds.
func (g *Gossip) SetHostSeeds(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hostSeeds = addresses
}

// Tick returns what has to be sent now. Envelopes are requests whose answers
// go to Reply; reports have no answer.
func (g *Gossip) Tick() ([]Envelope, []ReportEnvelope) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	if gap := now.Sub(g.lastTick); !g.lastTick.IsZero() && gap > pauseLimit {
		g.resume(now, gap)
	}
	g.lastTick = now
	out := g.refreshSelf(now)
	g.age(now)
	out = append(out, g.monitor(now)...)
	out = append(out, g.beatPartners(now)...)
	out = append(out, g.beatRelays(now)...)
	out = append(out, g.retry(now)...)
	reports := g.reports(now)
	g.publish(now)
	return out, reports
}

// Leave returns what has to be sent so that this daemon's leave is known. The
// daemon must say by then that it drains.
func (g *Gossip) Leave() []Envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.refreshSelf(now)
	return g.broadcast(now)
}

// Request takes a message in and returns the answer, and what has to be sent
// to others at once.
func (g *Gossip) Request(m Message) (Message, []Envelope) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.hear(m, now)
	out := g.merge(m, now)
	if m.Probe != "" {
		out = append(out, g.probeFor(m.From, m.Probe)...)
	}
	answer := g.message(now)
	switch {
	case m.Buckets != nil:
		answer.Bulk = true
		answer.Buckets = slices.Clone(g.buckets[:])
		answer.Updates = g.heads(m.Buckets)
	case m.Want != nil:
		answer.Bulk = true
		answer.Updates = g.wholes(m.Want)
	default:
		answer.Updates = g.piggyback()
	}
	answer.Updates = append(answer.Updates, g.accusation(m.From)...)
	g.publish(now)
	return answer, out
}

// Reply takes the answer to an envelope in and returns what has to be sent at
// once.
func (g *Gossip) Reply(e Envelope, m Message) []Envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.hear(m, now)
	out := g.merge(m, now)
	if asker, ok := g.pending[m.From]; ok {
		delete(g.pending, m.From)
		out = append(out, g.tellAlive(asker, m.From, now)...)
	}
	if m.Buckets != nil {
		out = append(out, g.settleHeads(e.Address, m, now)...)
	} else if g.mayCompare(m, now) {
		g.lastSync = now
		compare := g.envelope(e.Address, m.From, nil, now)
		compare.Message.Buckets = slices.Clone(g.buckets[:])
		out = append(out, compare)
	}
	g.publish(now)
	return out
}

// hear notes that a message came from a member.
func (g *Gossip) hear(m Message, now time.Time) {
	g.lastHeard = now
	g.answered(m.From)
	if m.Alive != "" {
		g.answered(m.Alive)
	}
	for region, age := range m.Regions {
		g.hearRegion(region, now.Add(-time.Duration(age)*time.Millisecond))
	}
	if r, ok := g.records[m.From]; ok {
		g.hearRegion(r.state.Region, now)
		if r.applied != m.Applied {
			r.applied = m.Applied
			g.dirty[r.name] = true
		}
	}
}

func (g *Gossip) hearRegion(region string, at time.Time) {
	if g.regions[region].Before(at) {
		g.regions[region] = at
	}
}

// message returns a message without updates.
func (g *Gossip) message(now time.Time) Message {
	m := Message{
		Applied: g.self.Applied,
		From:    g.name,
		Synced:  g.cfg.Synced(),
		Table:   g.tableHash(),
	}
	for region, at := range g.regions {
		if region == g.self.Region {
			continue
		}
		if m.Regions == nil {
			m.Regions = map[string]int64{}
		}
		m.Regions[region] = now.Sub(at).Milliseconds()
	}
	return m
}

func (g *Gossip) envelope(address, name string, updates []Update, now time.Time) Envelope {
	m := g.message(now)
	m.Updates = updates
	return Envelope{Address: address, Message: m, Name: name}
}

func (g *Gossip) beat(r *record, now time.Time) Envelope {
	return g.envelope(r.state.Address, r.name, g.piggyback(), now)
}

func (g *Gossip) jitter(d time.Duration) time.Duration {
	return time.Duration(g.cfg.Rand(int(d)))
}

func (g *Gossip) resyncing(now time.Time) bool {
	return now.Before(g.resyncUntil) || g.lastHeard.Before(g.resyncUntil.Add(-resyncPeriod))
}

// resume makes up for a pause of the daemon: the silence of others was its
// own.
func (g *Gossip) resume(now time.Time, gap time.Duration) {
	g.resyncUntil = now.Add(resyncPeriod)
	clear(g.monitored)
	clear(g.pending)
	for _, r := range g.records {
		r.since = r.since.Add(gap)
		if !r.reported.IsZero() {
			r.reported = r.reported.Add(gap)
		}
	}
	for region, at := range g.regions {
		g.regions[region] = at.Add(gap)
	}
	g.sequence++
	g.self.Sequence = g.sequence
	g.putSelf(now)
}

// publish makes a new view if anything has changed. Loads arrive often and
// are seen together.
func (g *Gossip) publish(now time.Time) {
	if len(g.dirty) == 0 || !g.urgent && now.Sub(g.published) < publishInterval {
		return
	}
	g.published = now
	g.urgent = false
	for name := range g.dirty {
		r, ok := g.records[name]
		if !ok {
			delete(g.members, name)
			continue
		}
		g.members[name] = r.member(g.effective(r, now))
	}
	clear(g.dirty)
	g.sorted()
	g.view.Store(newSortedView(maps.Clone(g.members), g.names))
}

// member returns the record as others see it, with the reported load.
func (r *record) member(health Health) Member {
	state := r.state
	state.Applied = r.applied
	if len(r.load.Endpoints) > 0 {
		state.Endpoints = withLoad(state.Endpoints, r.load.Endpoints)
	}
	return Member{health: health, heard: r.heard, state: state}
}

// hash returns the summand of a record in its bucket; a dead member counts as
// little as an unknown one.
func (r *record) hash() uint32 {
	if r.health == HealthDead {
		return 0
	}
	d := xxhash.NewWithSeed(uint64(r.state.Incarnation) ^ r.state.Sequence<<2 ^ uint64(r.health.rank()))
	_, _ = d.WriteString(r.name)
	return uint32(d.Sum64())
}

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % bucketCount)
}

func (g *Gossip) tableHash() uint32 {
	var sum uint32
	for _, b := range g.buckets {
		sum += b
	}
	return sum
}
