package savorypinwhere_test

import (
	"fmt"
	"os"
	"time"

	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinwhere"
)

func duration(d time.Duration) *time.Duration { return &d }

func ExampleRender() {
	terms := func(waiting, running, overcommitted float64) []savorypinwhere.Term {
		return []savorypinwhere.Term{
			{Name: savorypinpick.TermWaitingTokens, Score: waiting},
			{Name: savorypinpick.TermRunningRequests, Score: running},
			{Name: savorypinpick.TermOvercommittedMemory, Score: overcommitted},
		}
	}
	err := savorypinwhere.Render(os.Stdout, savorypinwhere.Answer{
		Ages: savorypinwhere.Ages{
			ConfigurationNs: duration(812 * time.Millisecond), EndpointsNs: duration(90 * time.Millisecond),
			Loads: []savorypinwhere.LoadAge{{AgeNs: duration(210 * time.Millisecond), Gateway: "edge-2"}, {Gateway: "edge-3"}},
		},
		Candidates: 9, ComparedTotal: 4, HeldTotal: 2,
		Compared: []savorypinwhere.Compared{
			{Endpoint: "llm-4", ReservedTokens: 9000, Score: 400, Terms: terms(0, 400, 0)},
			{Endpoint: "llm-7", ReservedTokens: 87000, Score: 88400, Terms: terms(8000, 400, 80000)},
		},
		Copies: []string{"llm-1", "llm-2"}, Endpoint: "llm-4", Gateway: "edge-1",
		Held:         []savorypinwhere.Held{{Endpoint: "llm-3", Reason: "paused", WaitNs: 1500 * time.Millisecond}},
		Memory:       &savorypinwhere.Memory{EngineTokens: 88000, ReservedTokens: 9000},
		Organisation: "shops", Outcome: savorypinwhere.OutcomeAdmitted, Priority: &savorypinwhere.Priority{Engine: 3, Rank: 1},
		Route: "chat", RouteKind: "streaming", Service: "llm", Margin: 400,
	})
	if err != nil {
		fmt.Println(err)
	}
	// Output:
	// outcome       admitted
	// endpoint      llm-4
	// copy          one of llm-1, llm-2
	// gateway       edge-1
	// route         chat (streaming)
	// service       llm
	// organisation  shops
	// priority      rank 1 (0 is the highest), 3 at the engine
	// reservation   9000 of the 88000 tokens of an engine
	//
	// 4 of 9 endpoints compared; the lowest score in tokens is the best, up to 400 more are equal:
	// ┌──────────┬───────┬────────────────┬──────────────────┬──────────────────────┬──────────┐
	// │ ENDPOINT │ SCORE │ WAITING TOKENS │ RUNNING REQUESTS │ OVERCOMMITTED MEMORY │ RESERVED │
	// ├──────────┼───────┼────────────────┼──────────────────┼──────────────────────┼──────────┤
	// │ llm-4    │ 400   │ 0              │ 400              │ 0                    │ 9000     │
	// │ llm-7    │ 88400 │ 8000           │ 400              │ 80000                │ 87000    │
	// └──────────┴───────┴────────────────┴──────────────────┴──────────────────────┴──────────┘
	// and 2 more
	//
	// not used:
	//   llm-3: paused, for 1.5s
	//   and 1 more
	//
	// ages:
	//   list of endpoints: 90ms
	//   confirmation of the configuration: 812ms
	//   load of edge-2: 210ms
	//   load of edge-3: never received
}

func ExampleRender_refused() {
	err := savorypinwhere.Render(os.Stdout, savorypinwhere.Answer{
		Gateway: "edge-1", Outcome: savorypinwhere.OutcomeRefused, Route: "sales", RouteKind: "safe", Service: "ledger",
		Refusal: &savorypinwhere.Refusal{Reason: "gateway stops", RetryAfterNs: 10 * time.Millisecond, Status: 503},
		Stop:    &savorypinwhere.Stop{LeftNs: 4 * time.Second, SinceNs: 3 * time.Second},
	})
	if err != nil {
		fmt.Println(err)
	}
	// Output:
	// outcome       refused with 503: gateway stops; Retry-After 10ms
	// gateway       edge-1
	// route         sales (safe)
	// service       ledger
	// stop          in progress for 3s, exits in 4s
	//
	// ages:
	//   list of endpoints: never received
	//   confirmation of the configuration: never received
}
