// Package savorypinscaling measures how the cost of the parts of a daemon grows
// with the number of daemons. It runs the real code of membership and
// configuration in one process, with an injected clock and an injected network
// that counts, loses, delays and duplicates messages and cuts links. It doesn't
// simulate a cluster: nothing else of a daemon runs.
package savorypinscaling

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// One-way delays of the network, within a region and between regions.
const (
	intraRegionDelay = 500 * time.Microsecond
	interRegionDelay = 12 * time.Millisecond
)

// answerTimeout is the time after a request at which its answer is ignored.
const answerTimeout = time.Second

// Place is a failure domain in a region.
type Place struct {
	Domain string
	Region string
}

// Places are seven failure domains in three regions.
var Places = []Place{
	{Domain: "a1", Region: "a"},
	{Domain: "b1", Region: "b"},
	{Domain: "c1", Region: "c"},
	{Domain: "a2", Region: "a"},
	{Domain: "b2", Region: "b"},
	{Domain: "c2", Region: "c"},
	{Domain: "a3", Region: "a"},
}

// FleetConfig configures a Fleet.
type FleetConfig struct {
	// Endpoints is the number of endpoints of each agent.
	Endpoints int
	// EntryEvery makes one in EntryEvery daemons an entry; the others are agents.
	EntryEvery int
	// Members is the number of daemons.
	Members int
	// Seed is the seed of random numbers, which makes a run repeatable.
	Seed uint64
}

// Fleet runs the state machines of a number of daemons on one simulated clock.
type Fleet struct {
	byAddress      map[string]*Node
	cfg            FleetConfig
	counts         Counts
	isCut          func(from, to *Node) bool
	lossRatio      float64
	nodes          []*Node
	now            time.Time
	queue          eventQueue
	rand           *rand.Rand
	eventSeq       uint64
	platform       *fakePlatform
	duplicateRatio float64
}

// Counts are the numbers of bytes, frames and calls that a fleet has sent.
type Counts struct {
	// Bytes is the number of encoded bytes of all frames.
	Bytes int
	// Calls are the calls to the platform by purpose: list or watch. A watch
	// counts once, when it is opened.
	Calls map[string]int
	// Frames is the number of frames.
	Frames int
	// ByKind are the encoded bytes of the frames by kind.
	ByKind map[savorypinmember.FrameKind]int
}

// NewFleet returns a fleet whose daemons start at random times within the first
// second.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{
		byAddress: map[string]*Node{},
		cfg:       cfg,
		counts:    newCounts(),
		isCut:     func(_, _ *Node) bool { return false },
		now:       time.Unix(1_800_000_000, 0),
		rand:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	f.platform = newFakePlatform(f)
	for i := range cfg.Members {
		n := &Node{address: fmt.Sprintf("10.0.%d.%d:7300", i/256, i%256), fleet: f, index: i}
		f.byAddress[n.address] = n
		f.nodes = append(f.nodes, n)
		f.schedule(time.Duration(f.rand.Int64N(int64(time.Second))), n.start)
	}
	return f
}

func newCounts() Counts {
	return Counts{Calls: map[string]int{}, ByKind: map[savorypinmember.FrameKind]int{}}
}

// Counts returns the counts since its last call and resets them.
func (f *Fleet) Counts() Counts {
	counts := f.counts
	f.counts = newCounts()
	return counts
}

// Nodes returns the daemons.
func (f *Fleet) Nodes() []*Node {
	return f.nodes
}

// Now returns the time of the fleet's clock.
func (f *Fleet) Now() time.Time {
	return f.now
}

// SetCut cuts the links for which cut reports true. Nil restores all links.
func (f *Fleet) SetCut(cut func(from, to *Node) bool) {
	if cut == nil {
		cut = func(_, _ *Node) bool { return false }
	}
	f.isCut = cut
}

// SetFaults sets the ratios of messages that are lost and that arrive twice, each
// from 0 to 1.
func (f *Fleet) SetFaults(loss, duplicates float64) {
	f.lossRatio = loss
	f.duplicateRatio = duplicates
}

// Run advances the clock by d and runs the events that are due.
func (f *Fleet) Run(d time.Duration) {
	f.RunUntil(d, func() bool { return false })
}

// RunUntil advances the clock until done reports true, but at most by limit, and
// returns the time that has passed. It calls done four times per tick of the
// membership.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) time.Duration {
	const checkInterval = 62500 * time.Microsecond
	began := f.now
	end := began.Add(limit)
	check := began
	for f.now.Before(end) {
		if !f.now.Before(check) {
			if done() {
				break
			}
			check = f.now.Add(checkInterval)
		}
		stop := check
		if end.Before(stop) {
			stop = end
		}
		if len(f.queue) == 0 || f.queue[0].at.After(stop) {
			f.now = stop
			continue
		}
		e := heap.Pop(&f.queue).(*event)
		f.now = e.at
		e.run()
	}
	return f.now.Sub(began)
}

// schedule runs a function after d on the fleet's clock.
func (f *Fleet) schedule(d time.Duration, run func()) {
	f.eventSeq++
	heap.Push(&f.queue, &event{at: f.now.Add(d), run: run, seq: f.eventSeq})
}

// node returns the daemon at an address, or nil.
func (f *Fleet) node(address string) *Node {
	return f.byAddress[address]
}

// delay returns the one-way delay between two daemons.
func (f *Fleet) delay(from, to *Node) time.Duration {
	if from.place().Region != to.place().Region {
		return interRegionDelay
	}
	return intraRegionDelay
}

// transmit sends one frame. Unless the link is cut, the frame arrives after the
// delay of the link, and is lost or duplicated at the ratios set by SetFaults.
func transmit[T any](f *Fleet, from, to *Node, kind savorypinmember.FrameKind, v T, receive func(T)) {
	data, err := savorypinmember.EncodeFrame(kind, f.eventSeq, v)
	if err != nil {
		panic(err)
	}
	f.count(from, to, kind, len(data))
	if f.isCut(from, to) || f.rand.Float64() < f.lossRatio {
		return
	}
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	copies := 1
	if f.rand.Float64() < f.duplicateRatio {
		copies++
	}
	epoch := to.epoch
	for range copies {
		f.schedule(f.delay(from, to), func() {
			to.runUnpaused(epoch, func() {
				var got T
				if err := msgpack.Unmarshal(body, &got); err != nil {
					panic(err)
				}
				receive(got)
			})
		})
	}
}

// count adds a frame to the counts of the fleet, and its bytes with headers to the
// counts of the sender and the receiver.
func (f *Fleet) count(from, to *Node, kind savorypinmember.FrameKind, bytes int) {
	from.bytes += bytes + segmentBytes
	to.bytes += bytes + segmentBytes
	f.counts.Bytes += bytes
	f.counts.ByKind[kind] += bytes
	f.counts.Frames++
}

// call sends a request, which handle answers at the receiver, and calls reply with
// the answer. Answers later than answerTimeout are dropped.
func call[T any](
	from *Node,
	address string,
	kind savorypinmember.FrameKind,
	request T,
	handle func(to *Node, request T) T,
	reply func(T),
) {
	f := from.fleet
	to := f.node(address)
	if to == nil {
		return
	}
	sent := f.now
	epoch := from.epoch
	answered := false
	transmit(f, from, to, kind, request, func(got T) {
		answer := handle(to, got)
		transmit(f, to, from, "reply", answer, func(got T) {
			if answered || from.epoch != epoch || f.now.Sub(sent) > answerTimeout {
				return
			}
			answered = true
			reply(got)
		})
	})
}

// event is a function to run at a time.
type event struct {
	at  time.Time
	run func()
	seq uint64
}

// eventQueue is a heap of events ordered by time and then by sequence number.
type eventQueue []*event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less reports whether event i runs before event j.
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// inForce reports whether all running daemons have a version of an object in
// force.
func (f *Fleet) inForce(key savorypin.Key, version int64) bool {
	for _, n := range f.nodes {
		if n.running && !n.store.Snapshot().HasVersion(key, version) {
			return false
		}
	}
	return true
}
