package savorypinconfig

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// Times of the exchange.
const (
	// compareInterval is the least time between two comparisons.
	compareInterval = time.Second
	// joinInterval is the same for a daemon that has not all objects yet.
	joinInterval = 250 * time.Millisecond
	// settleTime is how long after a change a difference is expected, since
	// the news is on its way.
	settleTime = time.Second
	// wantTimeout is how long an object that was asked for is waited for.
	wantTimeout = 2 * time.Second
)

// Limits of one message.
const (
	bucketCount    = 128
	maxObjectBytes = 64 << 10
	maxOffers      = 512
	maxWants       = 256
)

// Exchange is a message about configuration between two daemons. An answer
// that is not empty is itself a message to the other one. Its fields are
// exported for the codecs.
type Exchange struct {
	// Buckets are the buckets of which Offer has every object.
	Buckets []int `msgpack:"bkt,omitempty"`
	// Objects are what the receiver lacks.
	Objects []savorypin.Object `msgpack:"obj,omitempty"`
	// Offer are versions that the sender holds.
	Offer []Offer `msgpack:"off,omitempty"`
	// Sums are hashes of the sender's objects; they ask for whatever differs.
	Sums []uint32 `msgpack:"sum,omitempty"`
	// Want are objects that the sender lacks.
	Want []savorypin.Key `msgpack:"want,omitempty"`
}

// Offer is an object and the version at which its sender holds it.
type Offer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Kind    savorypin.Kind
	Name    string
	Version int64
}

// Empty reports whether there is nothing to send.
func (e Exchange) Empty() bool {
	return len(e.Buckets) == 0 && len(e.Objects) == 0 && len(e.Offer) == 0 && len(e.Sums) == 0 && len(e.Want) == 0
}

// Envelope is an exchange with its receiver. The answer to it belongs to
// Distributor.Reply.
type Envelope struct {
	// Address is the address of the receiver.
	Address string
	// Exchange is what to send.
	Exchange Exchange
}

// DistributorConfig configures a Distributor.
type DistributorConfig struct {
	// Changed is called with objects that have come into force.
	Changed func(objects []savorypin.Object)
	// Now is the clock.
	Now func() time.Time
	// Peers returns addresses of members that should hear of news at once.
	Peers func() []string
	// Store holds the configuration.
	Store *Store
	// Synced reports whether the daemon has the whole configuration.
	Synced func() bool
}

// Distributor passes the configuration between daemons. News travels as
// versions first, so that each object crosses to a daemon once; a daemon whose
// digest differs compares hashes of buckets and fetches only what differs. It
// is a state machine: messages go in and messages come out.
type Distributor struct {
	cfg DistributorConfig

	mu       sync.Mutex
	changed  time.Time
	compared time.Time
	wanted   map[savorypin.Key]time.Time
}

// NewDistributor returns a Distributor.
func NewDistributor(cfg DistributorConfig) *Distributor {
	return &Distributor{cfg: cfg, wanted: map[savorypin.Key]time.Time{}}
}

// Apply takes objects of the platform over and returns what has to be sent.
func (d *Distributor) Apply(objects ...savorypin.Object) []Envelope {
	return d.announce(d.cfg.Store.Apply(objects...))
}

// Relist takes a whole list of the platform over and returns what has to be
// sent.
func (d *Distributor) Relist(kind savorypin.Kind, objects []savorypin.Object, version int64) []Envelope {
	return d.announce(d.cfg.Store.Relist(kind, objects, version))
}

// ChangedAt returns when an object last came into force.
func (d *Distributor) ChangedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Heard takes the digest of a peer in and returns what has to be sent.
func (d *Distributor) Heard(address string, theirs savorypin.Digest) []Envelope {
	mine := d.cfg.Store.Snapshot()
	if theirs == mine.Digest() || !d.mayCompare() {
		return nil
	}
	return []Envelope{{Address: address, Exchange: Exchange{Sums: mine.sums()}}}
}

// Request takes a message in and returns the answer, and what has to be sent
// to others.
func (d *Distributor) Request(m Exchange) (Exchange, []Envelope) {
	changed := d.cfg.Store.Apply(m.Objects...)
	snapshot := d.cfg.Store.Snapshot()
	var answer Exchange
	if m.Sums != nil {
		answer.Buckets, answer.Offer = snapshot.offerDiffering(m.Sums)
	}
	if len(m.Buckets) > 0 {
		answer.Objects = snapshot.missing(m.Buckets, m.Offer)
	}
	for _, key := range m.Want {
		if o, ok := snapshot.Object(key); ok {
			answer.Objects = append(answer.Objects, o)
		}
	}
	answer.Objects = bounded(answer.Objects)
	answer.Want = d.want(snapshot, m.Offer)
	return answer, d.announce(changed)
}

// Reply takes the answer to an envelope in and returns what has to be sent.
func (d *Distributor) Reply(address string, m Exchange) []Envelope {
	next, out := d.Request(m)
	if !next.Empty() {
		out = append(out, Envelope{Address: address, Exchange: next})
	}
	return out
}

// mayCompare reports whether a comparison is due.
func (d *Distributor) mayCompare() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	interval := compareInterval
	if !d.cfg.Synced() {
		interval = joinInterval
	} else if now.Sub(d.changed) < settleTime {
		return false
	}
	if now.Sub(d.compared) < interval {
		return false
	}
	d.compared = now
	return true
}

// want returns what is offered at a newer version than is held and has not
// just been asked for.
func (d *Distributor) want(snapshot *Snapshot, offer []Offer) []savorypin.Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	var want []savorypin.Key
	for _, o := range offer {
		key := savorypin.Key{Kind: o.Kind, Name: o.Name}
		if snapshot.Holds(key, o.Version) || now.Sub(d.wanted[key]) < wantTimeout {
			continue
		}
		d.wanted[key] = now
		want = append(want, key)
		if len(want) == maxWants {
			break
		}
	}
	return want
}

// announce offers objects that have come into force to peers.
func (d *Distributor) announce(objects []savorypin.Object) []Envelope {
	if len(objects) == 0 {
		return nil
	}
	d.mu.Lock()
	d.changed = d.cfg.Now()
	for _, o := range objects {
		delete(d.wanted, o.Key)
	}
	d.mu.Unlock()
	d.cfg.Changed(objects)
	var offer []Offer
	for _, o := range objects[:min(len(objects), maxOffers)] {
		offer = append(offer, Offer{Kind: o.Kind, Name: o.Name, Version: o.Version})
	}
	var out []Envelope
	for _, address := range d.cfg.Peers() {
		out = append(out, Envelope{Address: address, Exchange: Exchange{Offer: offer}})
	}
	return out
}

// sums returns the hashes of the buckets.
func (s *Snapshot) sums() []uint32 {
	sums := make([]uint32, bucketCount)
	for _, e := range s.entries {
		sums[e.bucket] += uint32(e.hash)
	}
	return sums
}

// offerDiffering returns the buckets that differ from a peer's and the versions
// in them. What does not fit is left for the next comparison.
func (s *Snapshot) offerDiffering(theirs []uint32) ([]int, []Offer) {
	if len(theirs) != bucketCount {
		return nil, nil
	}
	mine := s.sums()
	held := make([][]Offer, bucketCount)
	for _, key := range slices.SortedFunc(maps.Keys(s.entries), compareKeys) {
		e := s.entries[key]
		if mine[e.bucket] != theirs[e.bucket] {
			held[e.bucket] = append(held[e.bucket], Offer{Kind: key.Kind, Name: key.Name, Version: e.object.Version})
		}
	}
	var buckets []int
	var offer []Offer
	for b := range bucketCount {
		if mine[b] == theirs[b] || len(offer) > 0 && len(offer)+len(held[b]) > maxOffers {
			continue
		}
		buckets = append(buckets, b)
		offer = append(offer, held[b]...)
	}
	return buckets, offer
}

// missing returns the objects of some buckets that a peer lacks or holds at an
// older version.
func (s *Snapshot) missing(buckets []int, theirs []Offer) []savorypin.Object {
	versions := map[savorypin.Key]int64{}
	for _, o := range theirs {
		versions[savorypin.Key{Kind: o.Kind, Name: o.Name}] = o.Version
	}
	var objects []savorypin.Object
	for _, key := range slices.SortedFunc(maps.Keys(s.entries), compareKeys) {
		e := s.entries[key]
		if slices.Contains(buckets, e.bucket) && e.object.Version > versions[key] {
			objects = append(objects, e.object)
		}
	}
	return objects
}

func compareKeys(a, b savorypin.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// bounded returns the first objects that fit into one message, at least one.
func bounded(objects []savorypin.Object) []savorypin.Object {
	size := 0
	for i, o := range objects {
		size += len(o.Spec) + len(o.Status) + len(o.Name)
		if i > 0 && size > maxObjectBytes {
			return objects[:i]
		}
	}
	return objects
}
