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

// TickInterval is the interval at which Gossip.Tick has to be called.
const TickInterval = 250 * time.Millisecond

// Timing of the gossip.
const (
	// indirectProbeAfter is the time without an answer from a member after which other members
	// are asked to probe it.
	indirectProbeAfter = 750 * time.Millisecond
	// forgetAfter is how long a dead member is kept, so that a network partition of an hour
	// loses no member.
	forgetAfter = 2 * time.Hour
	// forgetLeftAfter is the same for a member that announced that it leaves.
	forgetLeftAfter = 5 * time.Minute
	// isolatedAfter is the time without any message after which a daemon considers itself
	// isolated and no longer takes missing answers for failures of other members.
	isolatedAfter = time.Second
	// monitorInterval is the interval of heartbeats from each monitor to a member.
	monitorInterval = 500 * time.Millisecond
	// partnerInterval is the interval of heartbeats to each partner.
	partnerInterval = time.Second
	// partnerRotationInterval is the interval at which one partner is replaced.
	partnerRotationInterval = time.Minute
	// pauseLimit is the time between two ticks from which a daemon considers itself to have
	// been paused.
	pauseLimit = 2 * time.Second
	// publishInterval is the minimum time between two views if no change is urgent. Urgent are
	// a new suspicion by this daemon, its refutation of an update about itself, and a suspicion or
	// a change of health or of draining that another member reports. Others, such as loads, wait.
	publishInterval = 50 * time.Millisecond
	// regionUnreachableAfter is the time without a message after which a region counts as
	// unreachable.
	regionUnreachableAfter = 10 * time.Second
	// relayInterval is the interval of heartbeats between relays of different regions.
	relayInterval = time.Second
	// selfPublishInterval is the interval at which a daemon's own load is updated in its view.
	selfPublishInterval = time.Second
	// resyncDuration is how long after a pause a daemon suspects no other member.
	resyncDuration = 2 * time.Second
	// retryInterval is the interval of messages to members that are not live and to seeds.
	retryInterval = 2 * time.Second
	// suspectAfter is the time without an answer after which a member is suspected.
	suspectAfter = 1250 * time.Millisecond
	// suspectTimeout is how long a member is suspected before it is considered dead.
	suspectTimeout = 4 * time.Second
	// syncInterval is the minimum time between two comparisons of records.
	syncInterval = time.Second
)

// Numbers and sizes of the gossip.
const (
	// bucketCount is the number of buckets into which records are divided for a comparison,
	// each with one hash.
	bucketCount = 64
	// helperCount is how many other members are asked to probe a member that does not answer.
	helperCount = 3
	// monitorCount is how many members each daemon monitors.
	monitorCount = 3
	// partnerCount is how many random members each daemon sends heartbeats to.
	partnerCount = 3
	// relayCount is the number of relays of a region.
	relayCount = 2
	// maxFlatMembers is the number of members up to which regions are ignored, because a
	// region may have too few members to monitor each other.
	maxFlatMembers = 24
	// maxSummariesPerSync bounds the records that one comparison lists.
	maxSummariesPerSync = 256
	// maxStatesPerSync bounds the records that one comparison requests or sends.
	maxStatesPerSync = 48
	// transmitCount is how many times a daemon transmits an update.
	transmitCount = 4
	// maxUpdatesPerMessage bounds the updates in a heartbeat.
	maxUpdatesPerMessage = 8
	// urgentFanout is the number of members to which an urgent update is sent at once.
	urgentFanout = 4
)

// GossipConfig configures a Gossip.
type GossipConfig struct {
	// Incarnation identifies a run of the daemon; that of a later run is larger.
	Incarnation int64
	// Name is the name of the daemon.
	Name string
	// Now returns the current time.
	Now func() time.Time
	// Rand returns a uniformly distributed random number in [0, n).
	Rand func(n int) int
	// Seeds are addresses to which messages are sent while no live member has them.
	Seeds []string
	// Self returns the state of the daemon; Gossip adds incarnation and sequence.
	Self func() savorypin.MemberState
	// Synced reports whether the daemon has the complete configuration.
	Synced func() bool
}

// record is the state of one member as known to this daemon.
type record struct {
	applied      savorypin.Digest
	health       Health
	receivedAt   time.Time
	load         Report
	name         string
	reportNumber uint64
	reportedAt   time.Time
	healthSince  time.Time
	state        savorypin.MemberState
}

// Gossip is the membership protocol of one daemon. It is safe for concurrent use.
type Gossip struct {
	cfg  GossipConfig
	view atomic.Pointer[View]

	mu              sync.Mutex
	buckets         [bucketCount]uint32
	dirty           map[string]bool
	hostSeeds       []string
	incarnation     int64
	lastReceived    time.Time
	lastSync        time.Time
	lastTick        time.Time
	members         map[string]Member
	monitored       map[string]*probe
	name            string
	names           []string
	nextPartner     time.Time
	nextRelay       time.Time
	nextRetry       time.Time
	partners        []string
	nextRotation    time.Time
	probeRequesters map[string][]string
	records         map[string]*record
	publishedAt     time.Time
	regionsSeen     map[string]time.Time
	reporter        reporter
	resyncUntil     time.Time
	ring            []string
	ringStale       bool
	transmitsLeft   map[string]int
	self            savorypin.MemberState
	selfPublishedAt time.Time
	sequence        uint64
	publishUrgent   bool
}

// NewGossip returns a Gossip without members. Tick has to be called before any message is
// passed in; the first call adds the daemon itself.
func NewGossip(cfg GossipConfig) *Gossip {
	g := &Gossip{
		cfg:             cfg,
		dirty:           map[string]bool{},
		incarnation:     cfg.Incarnation,
		members:         map[string]Member{},
		monitored:       map[string]*probe{},
		probeRequesters: map[string][]string{},
		records:         map[string]*record{},
		regionsSeen:     map[string]time.Time{},
		reporter:        reporter{sent: map[string]*sentReport{}},
		ringStale:       true,
		transmitsLeft:   map[string]int{},
	}
	now := cfg.Now()
	g.name = cfg.Name
	g.nextPartner = now.Add(g.jitter(partnerInterval))
	g.nextRelay = now.Add(g.jitter(relayInterval))
	g.nextRetry = now
	g.view.Store(newView(nil))
	return g
}

// Self returns the state of the daemon, with its load.
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

// UrgentPeers returns the addresses of the members that should be notified of a configuration
// change at once: random ones and, if this daemon is a relay, the relays of other regions.
func (g *Gossip) UrgentPeers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, r := range append(g.chooseRandom(urgentFanout, g.reachesDirectly), g.otherRegionRelays()...) {
		addresses = append(addresses, r.state.Address)
	}
	return addresses
}

// Resyncing reports whether the daemon was paused and its view may still be outdated. Until it is
// up to date the daemon must make no decision that depends on the state of other members.
func (g *Gossip) Resyncing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resyncing(g.cfg.Now())
}

// SetHostSeeds sets addresses from the platform's list of hosts, which are tried like seeds.
func (g *Gossip) SetHostSeeds(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hostSeeds = addresses
}

// Tick returns the messages to send now. Envelopes are requests whose answers have to be
// passed to HandleAnswer; reports have no answer.
func (g *Gossip) Tick() ([]Envelope, []ReportEnvelope) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	if gap := now.Sub(g.lastTick); !g.lastTick.IsZero() && gap > pauseLimit {
		g.recoverFromPause(now, gap)
	}
	g.lastTick = now
	out := g.refreshSelf(now)
	g.ageRecords(now)
	out = append(out, g.monitorSuccessors(now)...)
	out = append(out, g.heartbeatPartners(now)...)
	out = append(out, g.heartbeatRelays(now)...)
	out = append(out, g.retryUnreachable(now)...)
	reports := g.dueReports(now)
	g.publish(now)
	return out, reports
}

// Leave returns the messages that announce that this daemon leaves. The state returned by
// GossipConfig.Self must already say that it drains.
func (g *Gossip) Leave() []Envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.refreshSelf(now)
	return g.broadcast(now)
}

// HandleRequest processes a request. It returns the answer, and messages to send to other
// members at once.
func (g *Gossip) HandleRequest(m Message) (Message, []Envelope) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.recordMessage(m, now)
	out := g.applyUpdates(m, now)
	if m.Probe != "" {
		out = append(out, g.probeOnBehalf(m.From, m.Probe)...)
	}
	answer := g.newMessage(now)
	switch {
	case m.Buckets != nil:
		answer.Bulk = true
		answer.Buckets = slices.Clone(g.buckets[:])
		answer.Updates = g.summaries(m.Buckets)
	case m.Want != nil:
		answer.Bulk = true
		answer.Updates = g.fullUpdates(m.Want)
	default:
		answer.Updates = g.piggyback()
	}
	answer.Updates = append(answer.Updates, g.notLiveUpdate(m.From)...)
	g.publish(now)
	return answer, out
}

// HandleAnswer processes the answer to an envelope and returns messages to send at once.
func (g *Gossip) HandleAnswer(e Envelope, m Message) []Envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.recordMessage(m, now)
	out := g.applyUpdates(m, now)
	if requesters, ok := g.probeRequesters[m.From]; ok {
		delete(g.probeRequesters, m.From)
		out = append(out, g.confirmResponsive(requesters, m.From, now)...)
	}
	if m.Buckets != nil {
		out = append(out, g.answerSummaries(e.Address, m, now)...)
	} else if g.syncDue(m, now) {
		g.lastSync = now
		request := g.newEnvelope(e.Address, m.From, nil, now)
		request.Message.Buckets = slices.Clone(g.buckets[:])
		out = append(out, request)
	}
	g.publish(now)
	return out
}

// recordMessage records what a message says about its sender, a probed member and the regions.
// It doesn't apply the updates in the message.
func (g *Gossip) recordMessage(m Message, now time.Time) {
	g.lastReceived = now
	g.markResponsive(m.From)
	if m.Responsive != "" {
		g.markResponsive(m.Responsive)
	}
	for region, age := range m.Regions {
		g.markRegionSeen(region, now.Add(-time.Duration(age)*time.Millisecond))
	}
	if r, ok := g.records[m.From]; ok {
		g.markRegionSeen(r.state.Region, now)
		if r.applied != m.Applied {
			r.applied = m.Applied
			g.dirty[r.name] = true
		}
	}
}

// markRegionSeen records when this daemon or another one received a message from a region.
func (g *Gossip) markRegionSeen(region string, at time.Time) {
	if g.regionsSeen[region].Before(at) {
		g.regionsSeen[region] = at
	}
}

// newMessage returns a message without updates.
func (g *Gossip) newMessage(now time.Time) Message {
	m := Message{
		Applied: g.self.Applied,
		From:    g.name,
		Synced:  g.cfg.Synced(),
		Table:   g.tableHash(),
	}
	for region, at := range g.regionsSeen {
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

func (g *Gossip) newEnvelope(address, name string, updates []Update, now time.Time) Envelope {
	m := g.newMessage(now)
	m.Updates = updates
	return Envelope{Address: address, Message: m, Name: name}
}

func (g *Gossip) heartbeat(r *record, now time.Time) Envelope {
	return g.newEnvelope(r.state.Address, r.name, g.piggyback(), now)
}

func (g *Gossip) jitter(d time.Duration) time.Duration {
	return time.Duration(g.cfg.Rand(int(d)))
}

// resyncing reports whether a pause ended less than resyncDuration ago or no message was
// received since its end.
func (g *Gossip) resyncing(now time.Time) bool {
	return now.Before(g.resyncUntil) || g.lastReceived.Before(g.resyncUntil.Add(-resyncDuration))
}

// recoverFromPause handles a pause of this daemon. Messages that it could not receive during the
// pause must not count as missing, so it moves the times of other members forward by the gap.
func (g *Gossip) recoverFromPause(now time.Time, gap time.Duration) {
	g.resyncUntil = now.Add(resyncDuration)
	clear(g.monitored)
	clear(g.probeRequesters)
	for _, r := range g.records {
		r.healthSince = r.healthSince.Add(gap)
		if !r.reportedAt.IsZero() {
			r.reportedAt = r.reportedAt.Add(gap)
		}
	}
	for region, at := range g.regionsSeen {
		g.regionsSeen[region] = at.Add(gap)
	}
	g.sequence++
	g.self.Sequence = g.sequence
	g.putSelf(now)
}

// publish stores a new view if a member has changed. Changes that aren't urgent, such as
// loads, are frequent; those within publishInterval are combined into one view.
func (g *Gossip) publish(now time.Time) {
	if len(g.dirty) == 0 || !g.publishUrgent && now.Sub(g.publishedAt) < publishInterval {
		return
	}
	g.publishedAt = now
	g.publishUrgent = false
	for name := range g.dirty {
		r, ok := g.records[name]
		if !ok {
			delete(g.members, name)
			continue
		}
		g.members[name] = r.member(g.routingHealth(r, now))
	}
	clear(g.dirty)
	// Updates g.names.
	g.sortedRecords()
	g.view.Store(newSortedView(maps.Clone(g.members), g.names))
}

// member returns the record as a member of the view, with the reported load.
func (r *record) member(health Health) Member {
	state := r.state
	state.Applied = r.applied
	if len(r.load.Endpoints) > 0 {
		state.Endpoints = withLoad(state.Endpoints, r.load.Endpoints)
	}
	return Member{health: health, receivedAt: r.receivedAt, state: state}
}

// hash returns what the record adds to the hash of its bucket. A dead member adds nothing,
// as if it were unknown.
func (r *record) hash() uint32 {
	if r.health == HealthDead {
		return 0
	}
	d := xxhash.NewWithSeed(uint64(r.state.Incarnation) ^ r.state.Sequence<<2 ^ uint64(r.health.severity()))
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
