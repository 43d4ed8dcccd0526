package savorypinscaling

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
)

// Times of a measurement on the fleet's clock.
const (
	// changeTimeout is how long a measurement waits until a change is in force
	// everywhere.
	changeTimeout = time.Minute
	// warmUpTime is how long the daemons exchange their first updates before
	// anything is counted.
	warmUpTime = 3 * time.Second
	// measureTime is how long bytes, frames and calls are counted.
	measureTime = 10 * time.Second
)

// Sizes of a measurement.
const (
	// changeCount is the number of changes whose propagation time is measured.
	changeCount = 5
	// endpointsPerAgent gives 600 endpoints to 320 members.
	endpointsPerAgent = 2
	// entryEvery gives 20 entries to 320 members.
	entryEvery = 16
	// objectCount is the number of configuration objects.
	objectCount = 1000
)

// segmentBytes is the size of the IP and TCP headers of a segment, with the TCP
// timestamps option.
const segmentBytes = 52

// Sizes are the numbers of members to measure at.
var Sizes = []int{40, 80, 160, 320}

// Row is one measured value of one part of the system at one size.
type Row struct {
	// Members is the number of daemons.
	Members int
	// Name says what was measured.
	Name string
	// Unit is the unit of Value.
	Unit string
	// Value is the measured value.
	Value float64
}

// Part is a part of the system whose cost is measured at several sizes.
type Part struct {
	// Measure measures the part at a size.
	Measure func(members int) []Row
	// Name is the name of the part.
	Name string
}

// Parts are all parts, in sorted order.
var Parts = []Part{
	{Measure: Control, Name: "control"},
	{Measure: Limit, Name: "limit"},
	{Measure: Naive, Name: "naive"},
	{Measure: Relay, Name: "relay"},
	{Measure: Route, Name: "route"},
	{Measure: Start, Name: "start"},
}

// Control measures membership and configuration: the bytes and frames that a
// daemon sends and receives, its processor time and memory, the calls to the
// platform, and how long a change takes to be in force everywhere.
func Control(members int) []Row {
	before := heapBytes()
	f := NewFleet(FleetConfig{Endpoints: endpointsPerAgent, EntryEvery: entryEvery, Members: members, Seed: 1})
	for i := range objectCount {
		f.Write(savorypin.KindOrganisation, fmt.Sprintf("organisation-%04d", i), false)
	}
	f.Run(time.Second)
	f.syncAll()
	f.Run(warmUpTime)
	f.Counts()
	for _, n := range f.nodes {
		n.bytes = 0
	}
	cpu := processorTime()
	f.Run(measureTime)
	worst := f.maxDaemonBytes()
	cpu = processorTime() - cpu
	steady := f.Counts()
	memory := heapBytes() - before
	slowest := f.timeChanges()
	changes := f.Counts()
	perDaemon := float64(members) * measureTime.Seconds()
	// Each frame has a sender and a receiver.
	const ends = 2
	rows := []Row{
		{Name: "payload sent and received", Unit: "B/s", Value: ends * float64(steady.Bytes) / perDaemon},
		{Name: "the same with TCP headers", Unit: "B/s", Value: ends * float64(steady.Bytes+segmentBytes*steady.Frames) / perDaemon},
		{Name: "the same, worst daemon", Unit: "B/s", Value: float64(worst) / measureTime.Seconds()},
		{Name: "frames sent and received", Unit: "/s", Value: ends * float64(steady.Frames) / perDaemon},
		{Name: "processor", Unit: "% of a core", Value: 100 * cpu.Seconds() / perDaemon},
		{Name: "memory", Unit: "MB", Value: float64(memory) / float64(members) / (1 << 20)},
		{Name: "payload of a change", Unit: "B", Value: ends * float64(changes.ByKind["config"]) / float64(members) / changeCount},
		{Name: "change in force, slowest", Unit: "s", Value: slowest.Seconds()},
		{Name: "change in force, slowest", Unit: "rounds", Value: rounds(slowest)},
	}
	for _, purpose := range []string{"list", "watch"} {
		rows = append(rows, Row{Name: "platform: " + purpose, Unit: "calls/s", Value: float64(steady.Calls[purpose]) / measureTime.Seconds()})
	}
	for i := range rows {
		rows[i].Members = members
	}
	return rows
}

// maxDaemonBytes returns the number of bytes, with headers, of the daemon that
// sent and received the most.
func (f *Fleet) maxDaemonBytes() int {
	most := 0
	for _, n := range f.nodes {
		most = max(most, n.bytes)
	}
	return most
}

// Start measures the cost of all daemons starting within a second with no state
// but the addresses of the seeds.
func Start(members int) []Row {
	f := NewFleet(FleetConfig{Endpoints: endpointsPerAgent, EntryEvery: entryEvery, Members: members, Seed: 1})
	for i := range objectCount {
		f.Write(savorypin.KindOrganisation, fmt.Sprintf("organisation-%04d", i), false)
	}
	took := f.RunUntil(changeTimeout, func() bool { return f.allJoined() })
	join := f.Counts()
	const ends = 2
	return []Row{
		{Members: members, Name: "payload sent and received", Unit: "kB", Value: ends * float64(join.Bytes) / float64(members) / 1000},
		{Members: members, Name: "all know all", Unit: "s", Value: took.Seconds()},
		{Members: members, Name: "platform: list", Unit: "calls", Value: float64(join.Calls["list"])},
	}
}

// allJoined reports whether all daemons have the whole configuration and know all
// others.
func (f *Fleet) allJoined() bool {
	for _, n := range f.nodes {
		if !n.Synced() || len(n.Members().All()) < len(f.nodes) {
			return false
		}
	}
	return true
}

// syncAll gives all daemons the whole configuration and all members, so that a
// measurement need not wait until they have discovered each other.
func (f *Fleet) syncAll() {
	var updates []savorypinmembership.Update
	for _, n := range f.nodes {
		self := n.gossip.Self()
		updates = append(updates, savorypinmembership.Update{
			Health:      savorypinmembership.HealthLive,
			Incarnation: self.Incarnation,
			Name:        self.Name,
			Sequence:    self.Sequence,
			State:       &self,
		})
	}
	var objects []savorypin.Object
	for _, o := range f.platform.objects {
		objects = append(objects, o)
	}
	for _, n := range f.nodes {
		n.gossip.HandleRequest(savorypinmembership.Message{Bulk: true, From: f.nodes[0].Name(), Updates: updates})
		n.store.Apply(objects...)
	}
}

// timeChanges makes changes one after another and returns the longest time until
// a change was in force everywhere.
func (f *Fleet) timeChanges() time.Duration {
	var times []time.Duration
	for i := range changeCount {
		o := f.Write(savorypin.KindOrganisation, fmt.Sprintf("organisation-%04d", i), false)
		times = append(times, f.RunUntil(changeTimeout, func() bool { return f.inForce(o.Key, o.Version) }))
		f.Run(time.Second)
	}
	return slices.Max(times)
}

// processorTime returns the processor time that this process has used, in user
// and system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes runs a garbage collection and returns the number of bytes of reachable
// objects.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// rounds converts a time to ticks of the membership, rounded up.
func rounds(d time.Duration) float64 {
	return math.Ceil(d.Seconds() / savorypinmembership.TickInterval.Seconds())
}
