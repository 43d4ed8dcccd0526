package savorypinslopes

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

// Times of a measurement, by the fleet's clock.
const (
	// changeLimit is how long a change may take to be in force everywhere.
	changeLimit = time.Minute
	// joinTime is how long the daemons have to find each other.
	joinTime = 12 * time.Second
	// steadyTime is how long bytes, messages and calls are counted.
	steadyTime = 10 * time.Second
)

// Sizes of a measurement.
const (
	// changeCount is the number of changes whose spread is timed.
	changeCount = 5
	// endpointsPerAgent gives 600 endpoints to 320 members.
	endpointsPerAgent = 2
	// entryEvery gives 20 entries to 320 members.
	entryEvery = 16
	// objectCount is the number of configuration objects.
	objectCount = 1000
)

// segmentBytes are the headers of IP and TCP with time stamps.
const segmentBytes = 52

// Sizes are the numbers of members that are measured.
var Sizes = []int{40, 80, 160, 320}

// Row is one measured figure of one part of the system at one size.
type Row struct {
	// Members is the number of daemons.
	Members int
	// Name says what was measured.
	Name string
	// Unit is the unit of Value.
	Unit string
	// Value is the figure.
	Value float64
}

// Part is a part of the system whose slopes are measured.
type Part struct {
	// Measure measures the part at a size.
	Measure func(members int) []Row
	// Name names the part.
	Name string
}

// Parts are all parts, in sorted order.
var Parts = []Part{
	{Measure: Control, Name: "control"},
	{Measure: Naive, Name: "naive"},
}

// Control measures membership and configuration: what a daemon sends and
// receives, its processor time and memory, the calls of the platform, and how
// long a change takes to be in force everywhere.
func Control(members int) []Row {
	before := heapBytes()
	f := NewFleet(FleetConfig{Endpoints: endpointsPerAgent, EntryEvery: entryEvery, Members: members, Seed: 1})
	for i := range objectCount {
		f.Write(savorypin.KindOrganisation, fmt.Sprintf("organisation-%04d", i), false)
	}
	f.Run(joinTime)
	join := f.Counts()
	for _, n := range f.nodes {
		n.bytes = 0
	}
	cpu := processorTime()
	f.Run(steadyTime)
	worst := f.worstBytes()
	cpu = processorTime() - cpu
	steady := f.Counts()
	memory := heapBytes() - before
	spread := f.timeChanges()
	changes := f.Counts()
	perDaemon := float64(members) * steadyTime.Seconds()
	// Each frame has a sender and a receiver.
	const ends = 2
	rows := []Row{
		{Name: "payload sent and received", Unit: "B/s", Value: ends * float64(steady.Bytes) / perDaemon},
		{Name: "the same with TCP headers", Unit: "B/s", Value: ends * float64(steady.Bytes+segmentBytes*steady.Frames) / perDaemon},
		{Name: "the same, worst daemon", Unit: "B/s", Value: float64(worst) / steadyTime.Seconds()},
		{Name: "frames sent and received", Unit: "/s", Value: ends * float64(steady.Frames) / perDaemon},
		{Name: "processor", Unit: "% of a core", Value: 100 * cpu.Seconds() / perDaemon},
		{Name: "memory", Unit: "MB", Value: float64(memory) / float64(members) / (1 << 20)},
		{Name: "payload of a join", Unit: "kB", Value: ends * float64(join.Bytes) / float64(members) / 1000},
		{Name: "payload of a change", Unit: "B", Value: ends * float64(changes.ByKind["config"]) / float64(members) / changeCount},
		{Name: "change in force, slowest", Unit: "s", Value: spread.Seconds()},
		{Name: "change in force, slowest", Unit: "rounds", Value: rounds(spread)},
	}
	for _, purpose := range []string{"list", "watch"} {
		rows = append(rows, Row{Name: "platform: " + purpose, Unit: "calls/s", Value: float64(steady.Calls[purpose]) / steadyTime.Seconds()})
	}
	for i := range rows {
		rows[i].Members = members
	}
	return rows
}

// worstBytes returns the bytes of the daemon that sent and received most, with
// headers.
func (f *Fleet) worstBytes() int {
	worst := 0
	for _, n := range f.nodes {
		worst = max(worst, n.bytes)
	}
	return worst
}

// timeChanges makes changes one after another and returns the longest time
// until one was in force everywhere.
func (f *Fleet) timeChanges() time.Duration {
	var times []time.Duration
	for i := range changeCount {
		o := f.Write(savorypin.KindOrganisation, fmt.Sprintf("organisation-%04d", i), false)
		times = append(times, f.RunUntil(changeLimit, func() bool { return f.inForce(o.Key, o.Version) }))
		f.Run(time.Second)
	}
	return slices.Max(times)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the bytes of live objects.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// rounds returns how many ticks of the membership a time takes.
func rounds(d time.Duration) float64 {
	return math.Ceil(d.Seconds() / savorypinmembership.TickInterval.Seconds())
}
