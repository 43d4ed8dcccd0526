package savorypinscaling

import (
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// naiveInterval is the interval at which the naive membership sends its table.
const naiveInterval = 500 * time.Millisecond

// naiveHeartbeat is the message of the naive membership: the whole table.
type naiveHeartbeat struct {
	Members []savorypin.MemberState `msgpack:"mem"`
}

// Naive returns the cost of naive versions of membership and configuration, as a
// baseline for Control: every daemon sends its whole table to all others and
// watches every kind of object itself. The figures are computed from the sizes of
// the encoded messages.
func Naive(members int) []Row {
	f := NewFleet(FleetConfig{Endpoints: endpointsPerAgent, EntryEvery: entryEvery, Members: members, Seed: 1})
	f.Run(time.Second)
	var heartbeat naiveHeartbeat
	for _, n := range f.nodes {
		n.loads = make([]int, endpointsPerAgent)
		heartbeat.Members = append(heartbeat.Members, n.describe())
	}
	request := frameBytes(heartbeat)
	answer := frameBytes(naiveHeartbeat{Members: heartbeat.Members[:1]})
	// Each daemon sends a request to every other one and answers theirs, so it
	// receives as many bytes as it sends.
	const ends = 2
	heartbeatRate := float64(members-1) / naiveInterval.Seconds()
	rows := []Row{
		{Name: "payload sent and received", Unit: "B/s", Value: ends * heartbeatRate * float64(request+answer)},
		{Name: "the same with TCP headers", Unit: "B/s", Value: ends * heartbeatRate * float64(request+answer+2*segmentBytes)},
		{Name: "frames sent and received", Unit: "/s", Value: ends * heartbeatRate * 2},
		{Name: "platform: open watches", Unit: "calls", Value: float64(members * len(savorypin.ConfigKinds))},
	}
	for i := range rows {
		rows[i].Members = members
	}
	return rows
}

// frameBytes returns the encoded size of a frame with the body v.
func frameBytes(v any) int {
	data, err := savorypinmember.EncodeFrame(savorypinmember.FrameHeartbeat, 1, v)
	if err != nil {
		panic(err)
	}
	return len(data)
}
