package savorypinscaling

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
	"savorypin/internal/savorypinroute"
)

// routeChoices is the number of choices whose processor time is measured.
const routeChoices = 100_000

// Route measures the processor time of choosing an endpoint, and the memory of the
// members and the index of their endpoints.
func Route(members int) []Row {
	table := savorypinmembership.NewNaiveTable(savorypinmembership.NaiveTableConfig{
		DeadAfter:    time.Hour,
		ForgetAfter:  time.Hour,
		Now:          time.Now,
		SuspectAfter: time.Hour,
	})
	before := heapBytes()
	for i := range members {
		table.Merge(routeMember(i))
	}
	router := savorypinroute.NewRouter(savorypinroute.Config{
		OnBegin:            func(savorypin.Purpose) {},
		Count:              func(string, int64) {},
		LinkBytesPerSecond: 30e6 / 8,
		LinkDelay:          func(_, _ string) time.Duration { return interRegionDelay },
		Now:                time.Now,
		Rand:               rand.New(rand.NewPCG(1, 1)).Float64,
		Region:             Places[0].Region,
	})
	router.Refresh(table.View())
	memory := heapBytes() - before
	request := savorypinroute.Request{MaxTokens: 512, PromptBytes: 4096, Purpose: savorypin.PurposeFirst, Region: Places[0].Region, Service: "assistant", Version: "assistant-v1"}
	cpu := processorTime()
	for range routeChoices {
		if c, err := router.Choose(request); err == nil {
			c.Begin()
			c.Done(nil)
		}
	}
	cpu = processorTime() - cpu
	rows := []Row{
		{Name: "endpoints", Unit: "endpoints", Value: float64(members * endpointsPerAgent)},
		{Name: "choice of an endpoint", Unit: "us", Value: float64(cpu.Microseconds()) / routeChoices},
		{Name: "memory of members and index", Unit: "kB", Value: float64(memory) / 1000},
	}
	for i := range rows {
		rows[i].Members = members
	}
	return rows
}

// routeMember returns the state of an agent with endpointsPerAgent endpoints.
func routeMember(i int) savorypin.MemberState {
	place := Places[i%len(Places)]
	state := savorypin.MemberState{
		Address:     fmt.Sprintf("10.0.%d.%d:7300", i/256, i%256),
		Domain:      place.Domain,
		Incarnation: 1,
		Name:        fmt.Sprintf("agent-%d", i),
		Region:      place.Region,
		Role:        savorypin.RoleAgent,
		Sequence:    1,
	}
	for j := range endpointsPerAgent {
		state.Endpoints = append(state.Endpoints, savorypin.EndpointState{
			Healthy:          true,
			Name:             fmt.Sprintf("engine-%d-%d", i, j),
			PrefillPerSecond: 8000,
			Running:          8,
			Service:          "assistant",
			Slots:            32,
			TokensPerSecond:  22,
			Type:             savorypin.EndpointEngine,
			Versions:         []string{"assistant-v1"},
		})
	}
	return state
}
