package savorypinconfig

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// Intervals and timeouts of the exchange.
const (
	// compareInterval is the minimum time between two comparisons with peers.
	compareInterval = time.Second
	// joinCompareInterval is the minimum time between two comparisons of a daemon that
	// does not have the whole configuration yet.
	joinCompareInterval = 250 * time.Millisecond
	// propagationDelay is how long after a change a daemon with the whole configuration
	// makes no comparison. Digests are expected to differ meanwhile, since the change is
	// still being distributed.
	propagationDelay = time.Second
	// requestTimeout is how long to wait for a requested object before it is requested
	// again.
	requestTimeout = 2 * time.Second
)

// Limits of one message, and the number of buckets.
const (
	// bucketCount is the number of buckets into which objects are divided by the hashes of
	// their keys. It must be the same in all daemons: bucket hashes of a different number
	// are ignored.
	bucketCount = 128
	// maxObjectBytes is the maximum total size of the names, specs and statuses of the
	// objects in a message. A larger object is sent alone.
	maxObjectBytes = 64 << 10
	// maxOffers is the maximum number of offers in a message. A bucket with more offers is
	// sent without offers of other buckets.
	maxOffers = 512
	// maxRequestedKeys is the maximum number of objects that a message requests.
	maxRequestedKeys = 256
)

// Message is a configuration message between two daemons. Requests and replies have
// the same form: a daemon handles a reply that is not empty like a request. Its fields
// are exported for the codecs.
type Message struct {
	// Buckets are the buckets whose objects are all listed in Offers. The receiver replies
	// with its objects in them that the sender lacks or has at an older version.
	Buckets []int `msgpack:"bkt,omitempty"`
	// Objects are objects that the receiver lacks or has at an older version.
	Objects []savorypin.Object `msgpack:"obj,omitempty"`
	// Offers are objects with the versions that the sender has.
	Offers []Offer `msgpack:"off,omitempty"`
	// BucketHashes are the hashes of the sender's buckets. The receiver replies with offers
	// of its objects in the buckets whose hashes differ.
	BucketHashes []uint32 `msgpack:"sum,omitempty"`
	// Wanted are the keys of objects that the sender requests.
	Wanted []savorypin.Key `msgpack:"want,omitempty"`
}

// Offer is the key of an object and the version that the sender has.
type Offer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.

	Kind    savorypin.Kind
	Name    string
	Version int64
}

// Empty reports whether there is nothing to send.
func (m Message) Empty() bool {
	return len(m.Buckets) == 0 && len(m.Objects) == 0 && len(m.Offers) == 0 && len(m.BucketHashes) == 0 && len(m.Wanted) == 0
}

// Envelope is an outgoing message with its receiver. The reply to it must be passed
// to Distributor.HandleReply.
type Envelope struct {
	// Address is the address of the receiver.
	Address string
	// Message is the message to send.
	Message Message
}

// DistributorConfig configures a Distributor.
type DistributorConfig struct {
	// OnChange is called with the objects that have come into force.
	OnChange func(objects []savorypin.Object)
	// Now is the clock.
	Now func() time.Time
	// Peers returns the addresses of the members to which changes are offered immediately.
	Peers func() []string
	// Store holds the configuration.
	Store *Store
	// Synced reports whether the daemon has the whole configuration.
	Synced func() bool
}

// Distributor distributes the configuration between daemons. It first offers a change
// by its version only, so that each object is sent to a daemon once. Two daemons whose
// digests differ compare the hashes of buckets and fetch only what differs. The
// Distributor does no I/O: it takes received messages and returns messages to send.
type Distributor struct {
	cfg DistributorConfig

	mu             sync.Mutex
	lastChange     time.Time
	lastComparison time.Time
	requestedAt    map[savorypin.Key]time.Time
}

// NewDistributor returns a Distributor.
func NewDistributor(cfg DistributorConfig) *Distributor {
	return &Distributor{cfg: cfg, requestedAt: map[savorypin.Key]time.Time{}}
}

// Apply applies objects that were read from the platform and returns the messages to
// send.
func (d *Distributor) Apply(objects ...savorypin.Object) []Envelope {
	return d.announce(d.cfg.Store.Apply(objects...))
}

// ApplyList applies a complete list of one kind that was read from the platform at a
// version, and returns the messages to send.
func (d *Distributor) ApplyList(kind savorypin.Kind, objects []savorypin.Object, version int64) []Envelope {
	return d.announce(d.cfg.Store.ApplyList(kind, objects, version))
}

// ChangedAt returns when an object last came into force.
func (d *Distributor) ChangedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastChange
}

// HandleDigest handles the digest of a peer and returns the messages to send.
func (d *Distributor) HandleDigest(address string, peerDigest savorypin.Digest) []Envelope {
	snapshot := d.cfg.Store.Snapshot()
	if peerDigest == snapshot.Digest() || !d.beginComparison() {
		return nil
	}
	return []Envelope{{Address: address, Message: Message{BucketHashes: snapshot.bucketHashes()}}}
}

// HandleRequest handles a message of a peer. It returns the reply, and the messages to send
// to other daemons.
func (d *Distributor) HandleRequest(m Message) (Message, []Envelope) {
	changed := d.cfg.Store.Apply(m.Objects...)
	snapshot := d.cfg.Store.Snapshot()
	var reply Message
	if m.BucketHashes != nil {
		reply.Buckets, reply.Offers = snapshot.differingBuckets(m.BucketHashes)
	}
	if len(m.Buckets) > 0 {
		reply.Objects = snapshot.objectsNewerThan(m.Buckets, m.Offers)
	}
	for _, key := range m.Wanted {
		if o, ok := snapshot.Object(key); ok {
			reply.Objects = append(reply.Objects, o)
		}
	}
	reply.Objects = truncateObjects(reply.Objects)
	reply.Wanted = d.keysToRequest(snapshot, m.Offers)
	return reply, d.announce(changed)
}

// HandleReply handles the reply to an envelope and returns the messages to send.
func (d *Distributor) HandleReply(address string, m Message) []Envelope {
	reply, out := d.HandleRequest(m)
	if !reply.Empty() {
		out = append(out, Envelope{Address: address, Message: reply})
	}
	return out
}

// beginComparison reports whether a comparison is due, and if so starts the interval
// until the next one.
func (d *Distributor) beginComparison() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	interval := compareInterval
	if !d.cfg.Synced() {
		interval = joinCompareInterval
	} else if now.Sub(d.lastChange) < propagationDelay {
		return false
	}
	if now.Sub(d.lastComparison) < interval {
		return false
	}
	d.lastComparison = now
	return true
}

// keysToRequest returns the keys of the objects that are offered at a newer version
// than the daemon has. It leaves out those that were requested within requestTimeout.
func (d *Distributor) keysToRequest(snapshot *Snapshot, offers []Offer) []savorypin.Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	var keys []savorypin.Key
	for _, o := range offers {
		key := savorypin.Key{Kind: o.Kind, Name: o.Name}
		if snapshot.HasVersion(key, o.Version) || now.Sub(d.requestedAt[key]) < requestTimeout {
			continue
		}
		d.requestedAt[key] = now
		keys = append(keys, key)
		if len(keys) == maxRequestedKeys {
			break
		}
	}
	return keys
}

// announce records that objects have come into force, calls OnChange and returns the
// messages that offer the objects to peers. Objects beyond maxOffers are not offered;
// peers find them when they compare digests.
func (d *Distributor) announce(objects []savorypin.Object) []Envelope {
	if len(objects) == 0 {
		return nil
	}
	d.mu.Lock()
	d.lastChange = d.cfg.Now()
	for _, o := range objects {
		delete(d.requestedAt, o.Key)
	}
	d.mu.Unlock()
	d.cfg.OnChange(objects)
	var offers []Offer
	for _, o := range objects[:min(len(objects), maxOffers)] {
		offers = append(offers, Offer{Kind: o.Kind, Name: o.Name, Version: o.Version})
	}
	var out []Envelope
	for _, address := range d.cfg.Peers() {
		out = append(out, Envelope{Address: address, Message: Message{Offers: offers}})
	}
	return out
}

// bucketHashes returns the hash of each bucket, which is the sum of the hashes of its
// objects.
func (s *Snapshot) bucketHashes() []uint32 {
	hashes := make([]uint32, bucketCount)
	for _, stored := range s.objects {
		hashes[stored.bucket] += uint32(stored.hash)
	}
	return hashes
}

// differingBuckets returns the buckets that differ from a peer's and the offers of the
// objects in them. Buckets that exceed maxOffers are left to the next comparison.
func (s *Snapshot) differingBuckets(peerHashes []uint32) ([]int, []Offer) {
	if len(peerHashes) != bucketCount {
		return nil, nil
	}
	hashes := s.bucketHashes()
	offersByBucket := make([][]Offer, bucketCount)
	for _, key := range slices.SortedFunc(maps.Keys(s.objects), compareKeys) {
		stored := s.objects[key]
		if hashes[stored.bucket] != peerHashes[stored.bucket] {
			offersByBucket[stored.bucket] = append(offersByBucket[stored.bucket], Offer{Kind: key.Kind, Name: key.Name, Version: stored.object.Version})
		}
	}
	var buckets []int
	var offers []Offer
	for b := range bucketCount {
		if hashes[b] == peerHashes[b] || len(offers) > 0 && len(offers)+len(offersByBucket[b]) > maxOffers {
			continue
		}
		buckets = append(buckets, b)
		offers = append(offers, offersByBucket[b]...)
	}
	return buckets, offers
}

// objectsNewerThan returns the objects of some buckets that a peer lacks or has at an
// older version.
func (s *Snapshot) objectsNewerThan(buckets []int, peerOffers []Offer) []savorypin.Object {
	versions := map[savorypin.Key]int64{}
	for _, o := range peerOffers {
		versions[savorypin.Key{Kind: o.Kind, Name: o.Name}] = o.Version
	}
	var objects []savorypin.Object
	for _, key := range slices.SortedFunc(maps.Keys(s.objects), compareKeys) {
		stored := s.objects[key]
		if slices.Contains(buckets, stored.bucket) && stored.object.Version > versions[key] {
			objects = append(objects, stored.object)
		}
	}
	return objects
}

func compareKeys(a, b savorypin.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// truncateObjects returns the first objects that fit into maxObjectBytes, at least
// one.
func truncateObjects(objects []savorypin.Object) []savorypin.Object {
	size := 0
	for i, o := range objects {
		size += len(o.Spec) + len(o.Status) + len(o.Name)
		if i > 0 && size > maxObjectBytes {
			return objects[:i]
		}
	}
	return objects
}
