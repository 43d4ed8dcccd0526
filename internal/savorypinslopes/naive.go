package savorypinslopes

import (
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// naiveInterval is how often the naive membership sent its table.
const naiveInterval = 500 * time.Millisecond

// naiveBeat is the message of the naive membership.
type naiveBeat struct {
	Members []savorypin.MemberState `msgpack:"mem"`
}

// Naive returns what the twins of membership and configuration cost: every
// daemon sends its whole table to all others, and watches every kind itself.
// The figures are worked out from the sizes of their encoded messages.
func Naive(members int) []Row {
	f := NewFleet(FleetConfig{Endpoints: endpointsPerAgent, EntryEvery: entryEvery, Members: members, Seed: 1})
	f.Run(time.Second)
	var beat naiveBeat
	for _, n := range f.nodes {
		n.loads = make([]int, endpointsPerAgent)
		beat.Members = append(beat.Members, n.describe())
	}
	request := frameBytes(beat)
	answer := frameBytes(naiveBeat{Members: beat.Members[:1]})
	// Each daemon sends a request to each other one and answers theirs, and
	// receives as much.
	const ends = 2
	beats := float64(members-1) / naiveInterval.Seconds()
	rows := []Row{
		{Name: "payload sent and received", Unit: "B/s", Value: ends * beats * float64(request+answer)},
		{Name: "the same with TCP headers", Unit: "B/s", Value: ends * beats * float64(request+answer+2*segmentBytes)},
		{Name: "frames sent and received", Unit: "/s", Value: ends * beats * 2},
		{Name: "platform: open watches", Unit: "calls", Value: float64(members * len(savorypin.ConfigKinds))},
	}
	for i := range rows {
		rows[i].Members = members
	}
	return rows
}

func frameBytes(v any) int {
	data, err := savorypinmember.EncodeFrame(savorypinmember.FrameBeat, 1, v)
	if err != nil {
		panic(err)
	}
	return len(data)
}
