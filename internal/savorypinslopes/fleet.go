// Package savorypinslopes measures what the parts of a daemon cost as the
// number of daemons grows. It drives the real code of membership and
// configuration in one process, with an injected clock and an injected network
// that counts, loses, delays, duplicates and cuts. It is no simulator of a
// cluster: nothing else of a daemon runs.
package savorypinslopes

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// One-way delays of the network.
const (
	domainDelay = 500 * time.Microsecond
	regionDelay = 12 * time.Millisecond
)

// answerTimeout is how long an answer is waited for.
const answerTimeout = time.Second

// Place is a failure domain in a region.
type Place struct {
	Domain string
	Region string
}

// Places are three regions with seven failure domains.
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
	// Endpoints is the number of endpoints beside each agent.
	Endpoints int
	// EntryEvery makes one daemon in so many an entry.
	EntryEvery int
	// Members is the number of daemons.
	Members int
	// Seed makes a run repeatable.
	Seed uint64
}

// Fleet is a number of daemons' state machines on one clock.
type Fleet struct {
	byAddress map[string]*Node
	cfg       FleetConfig
	counts    Counts
	cut       func(from, to *Node) bool
	loss      float64
	nodes     []*Node
	now       time.Time
	queue     eventQueue
	rand      *rand.Rand
	serial    uint64
	store     *storeModel
	twice     float64
}

// Counts are what a fleet has sent.
type Counts struct {
	// Bytes are the encoded bytes of all frames.
	Bytes int
	// Calls are the calls of the platform by purpose; an open watch counts
	// when it is opened.
	Calls map[string]int
	// Frames are the frames of all messages.
	Frames int
	// ByKind are the encoded bytes by kind of frame.
	ByKind map[savorypinmember.FrameKind]int
}

// NewFleet returns a fleet whose daemons start within a second.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{
		byAddress: map[string]*Node{},
		cfg:       cfg,
		counts:    newCounts(),
		cut:       func(_, _ *Node) bool { return false },
		now:       time.Unix(1_800_000_000, 0),
		rand:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	f.store = newStoreModel(f)
	for i := range cfg.Members {
		n := &Node{address: fmt.Sprintf("10.0.%d.%d:7300", i/256, i%256), fleet: f, index: i}
		f.byAddress[n.address] = n
		f.nodes = append(f.nodes, n)
		f.after(time.Duration(f.rand.Int64N(int64(time.Second))), n.start)
	}
	return f
}

func newCounts() Counts {
	return Counts{Calls: map[string]int{}, ByKind: map[savorypinmember.FrameKind]int{}}
}

// Counts returns what was sent since the last call.
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

// SetCut cuts the links for which cut reports true; nil heals all.
func (f *Fleet) SetCut(cut func(from, to *Node) bool) {
	if cut == nil {
		cut = func(_, _ *Node) bool { return false }
	}
	f.cut = cut
}

// SetFaults sets the shares of messages that are lost and that arrive twice.
func (f *Fleet) SetFaults(loss, twice float64) {
	f.loss = loss
	f.twice = twice
}

// Run lets time pass.
func (f *Fleet) Run(d time.Duration) {
	f.RunUntil(d, func() bool { return false })
}

// RunUntil lets time pass until done reports true or the limit is over, and
// returns the time that has passed. It looks four times a round.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) time.Duration {
	const look = 62500 * time.Microsecond
	began := f.now
	end := began.Add(limit)
	check := began
	for f.now.Before(end) {
		if !f.now.Before(check) {
			if done() {
				break
			}
			check = f.now.Add(look)
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

func (f *Fleet) after(d time.Duration, run func()) {
	f.serial++
	heap.Push(&f.queue, &event{at: f.now.Add(d), run: run, serial: f.serial})
}

// node returns the daemon at an address.
func (f *Fleet) node(address string) *Node {
	return f.byAddress[address]
}

// delay returns the one-way delay between two daemons.
func (f *Fleet) delay(from, to *Node) time.Duration {
	if from.place().Region != to.place().Region {
		return regionDelay
	}
	return domainDelay
}

// transmit carries one frame, or loses it.
func transmit[T any](f *Fleet, from, to *Node, kind savorypinmember.FrameKind, v T, receive func(T)) {
	data, err := savorypinmember.EncodeFrame(kind, f.serial, v)
	if err != nil {
		panic(err)
	}
	f.count(from, to, kind, len(data))
	if f.cut(from, to) || f.rand.Float64() < f.loss {
		return
	}
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	copies := 1
	if f.rand.Float64() < f.twice {
		copies++
	}
	life := to.life
	for range copies {
		f.after(f.delay(from, to), func() {
			to.whenAwake(life, func() {
				var got T
				if err := msgpack.Unmarshal(body, &got); err != nil {
					panic(err)
				}
				receive(got)
			})
		})
	}
}

func (f *Fleet) count(from, to *Node, kind savorypinmember.FrameKind, bytes int) {
	from.bytes += bytes + segmentBytes
	to.bytes += bytes + segmentBytes
	f.counts.Bytes += bytes
	f.counts.ByKind[kind] += bytes
	f.counts.Frames++
}

// call sends a request and hands its answer to reply unless it comes late.
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
	life := from.life
	answered := false
	transmit(f, from, to, kind, request, func(got T) {
		answer := handle(to, got)
		transmit(f, to, from, "reply", answer, func(got T) {
			if answered || from.life != life || f.now.Sub(sent) > answerTimeout {
				return
			}
			answered = true
			reply(got)
		})
	})
}

// event is something that happens at a time.
type event struct {
	at     time.Time
	run    func()
	serial uint64
}

// eventQueue is a heap of events by time and then by serial number.
type eventQueue []*event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less orders events.
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
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

// inForce reports whether all daemons that run have an object in force.
func (f *Fleet) inForce(key savorypin.Key, version int64) bool {
	for _, n := range f.nodes {
		if n.running && !n.store.Snapshot().Holds(key, version) {
			return false
		}
	}
	return true
}
