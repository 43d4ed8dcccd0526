package savorypinwhere

import (
	"time"

	"savorypin/internal/savorypinpick"
)

// Outcome is what would happen to a request.
type Outcome string

// The outcomes.
const (
	// OutcomeAdmitted means that the request would be sent to an endpoint at once.
	OutcomeAdmitted Outcome = "admitted"
	// OutcomeRefused means that the gateway would refuse it.
	OutcomeRefused Outcome = "refused"
	// OutcomeWaits means that it would wait at the gateway for an endpoint with room.
	OutcomeWaits Outcome = "waits"
)

// Answer is where a request would go now, and why. It holds no API key.
type Answer struct {
	Ages Ages `json:"ages"`
	// Candidates is the number of endpoints that the request may go to.
	Candidates int `json:"candidates"`
	// Compared are the candidates that were scored, by score: the best of them, if they are many.
	Compared []Compared `json:"compared,omitempty"`
	// ComparedTotal is the number of candidates that were scored.
	ComparedTotal int `json:"comparedTotal"`
	// Copies are the endpoints among which that of the copy is drawn, as their scores are equal;
	// empty if there is no copy.
	Copies   []string  `json:"copies,omitempty"`
	Deadline *Deadline `json:"deadline,omitempty"`
	// Endpoint is the ID of the endpoint that the request would go to.
	Endpoint string `json:"endpoint,omitempty"`
	Gateway  string `json:"gateway"`
	// Held are the endpoints of the service that are no candidates, or were passed over: some of them,
	// if they are many.
	Held []Held `json:"held,omitempty"`
	// HeldTotal is the number of those endpoints.
	HeldTotal int `json:"heldTotal"`
	// Margin is the score difference up to which endpoints count as equal: any of them may be
	// Endpoint, by an order that depends on the prompt.
	Margin       float64     `json:"margin,omitempty"`
	Memory       *Memory     `json:"memory,omitempty"`
	Notes        []string    `json:"notes,omitempty"`
	Organisation string      `json:"organisation,omitempty"`
	Outcome      Outcome     `json:"outcome"`
	Priority     *Priority   `json:"priority,omitempty"`
	Quarantine   *Quarantine `json:"quarantine,omitempty"`
	Refusal      *Refusal    `json:"refusal,omitempty"`
	Rollout      *Rollout    `json:"rollout,omitempty"`
	Route        string      `json:"route,omitempty"`
	RouteKind    string      `json:"routeKind,omitempty"`
	Service      string      `json:"service,omitempty"`
	// Shares are the services among which that of a request on the route is drawn; empty if there is
	// only one.
	Shares []Share `json:"shares,omitempty"`
	Stop   *Stop   `json:"stop,omitempty"`
	// Tied are the endpoints among which Endpoint was drawn, as their scores are equal; empty if it
	// was the only one.
	Tied []string `json:"tied,omitempty"`
}

// Ages are the ages of what the decision rests on; nil for what was never received.
type Ages struct {
	// ConfigurationNs is the time since the configuration was last confirmed.
	ConfigurationNs *time.Duration `json:"configurationNs,omitempty"`
	// EndpointsNs is the time since the list of endpoints was last confirmed.
	EndpointsNs *time.Duration `json:"endpointsNs,omitempty"`
	// Loads are the ages of the loads that the other live gateways reported.
	Loads []LoadAge `json:"loads,omitempty"`
}

// LoadAge is the age of the load that another gateway reported.
type LoadAge struct {
	AgeNs   *time.Duration `json:"ageNs,omitempty"`
	Gateway string         `json:"gateway"`
}

// Compared is an endpoint that was scored.
type Compared struct {
	Endpoint string `json:"endpoint"`
	// ReservedTokens is the KV memory that is reserved there, over all gateways.
	ReservedTokens int `json:"reservedTokens"`
	// Score is the sum of the terms, in tokens for streams and in nanoseconds for plain requests.
	// The lowest is the best.
	Score float64 `json:"score"`
	Terms []Term  `json:"terms"`
}

// Term is a part of a score.
type Term struct {
	Name  savorypinpick.TermName `json:"name"`
	Score float64                `json:"score"`
}

// Deadline is the forecast of whether a stream completes in time.
type Deadline struct {
	LeftNs   time.Duration `json:"leftNs"`
	NeededNs time.Duration `json:"neededNs"`
	// Probe says that the stream would be sent although it is not expected to complete, to correct
	// the forecast.
	Probe bool `json:"probe,omitempty"`
}

// Held is an endpoint that the request doesn't go to.
type Held struct {
	Endpoint string `json:"endpoint"`
	Reason   string `json:"reason"`
	// WaitNs is the time until it may get requests again; zero if unknown.
	WaitNs time.Duration `json:"waitNs,omitempty"`
}

// Memory is the KV memory of an engine of the service, and what the request reserves of it.
type Memory struct {
	EngineTokens   int `json:"engineTokens"`
	ReservedTokens int `json:"reservedTokens"`
}

// Priority is the effective priority of a stream.
type Priority struct {
	// Engine is the priority that the engine gets, from 0 (highest) to 9.
	Engine int `json:"engine"`
	// Rank is the number of higher priorities of streams to the service.
	Rank int `json:"rank"`
}

// Quarantine says that a part of the prompt or the request is in quarantine.
type Quarantine struct {
	// Probe says that the request would be sent to find out whether it still crashes endpoints.
	Probe   bool   `json:"probe,omitempty"`
	Subject string `json:"subject,omitempty"`
}

// Refusal is a response of the gateway itself.
type Refusal struct {
	Reason string `json:"reason"`
	// RetryAfterNs is the Retry-After of the response; zero for none.
	RetryAfterNs time.Duration `json:"retryAfterNs,omitempty"`
	// Status is the status of the response; zero if there is no response.
	Status int `json:"status,omitempty"`
}

// Rollout is the side of a rollout that the request is on.
type Rollout struct {
	Side    string `json:"side"`
	Version string `json:"version"`
}

// Share is a service of a route.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Stop is a planned stop of the gateway that is in progress.
type Stop struct {
	// LeftNs is the time until the gateway exits.
	LeftNs  time.Duration `json:"leftNs"`
	SinceNs time.Duration `json:"sinceNs"`
}
