package savorypinroute

import (
	"slices"
	"strings"
	"time"
)

// TargetState describes an endpoint with one of its versions in the state dump.
type TargetState struct {
	// BiasMS is the mean delay of first tokens beyond their estimates, in
	// milliseconds.
	BiasMS int64 `json:"biasMs"`
	// Ejected reports whether the endpoint is ejected or being probed, so that it
	// is only selected if there is no other.
	Ejected bool `json:"ejected"`
	// Endpoint is the name of the endpoint.
	Endpoint string `json:"endpoint"`
	// EstimateMS is the cost of an empty prompt, in milliseconds: the estimated time
	// to the first token plus the bias, if positive, and the penalty for failures.
	EstimateMS int64 `json:"estimateMs"`
	// FailureRatio is the fraction of recent requests that failed.
	FailureRatio float64 `json:"failureRatio"`
	// InFlight is the number of this daemon's requests in flight.
	InFlight int64 `json:"inFlight"`
	// Load is the reported load, corrected by this daemon's requests since the
	// report.
	Load    int64  `json:"load"`
	Region  string `json:"region"`
	Service string `json:"service"`
	Version string `json:"version,omitempty"`
}

// State is the section of the state dump about routing.
type State struct {
	// LinkBytes is the level of the budget of the link, in bytes.
	LinkBytes int64         `json:"linkBytes"`
	Targets   []TargetState `json:"targets"`
}

// State returns the state for the state dump.
func (r *Router) State() State {
	now := r.cfg.Now()
	s := State{LinkBytes: r.link.available(now), Targets: []TargetState{}}
	for _, g := range r.index.Load().groups {
		for _, t := range g.all {
			s.Targets = append(s.Targets, t.state(now))
		}
	}
	slices.SortFunc(s.Targets, func(a, b TargetState) int {
		return strings.Compare(a.Endpoint+" "+a.Version, b.Endpoint+" "+b.Version)
	})
	return s
}

func (t *target) state(now time.Time) TargetState {
	rep := t.endpoint.report.Load()
	return TargetState{
		BiasMS:       int64(t.bias.value(now) * float64(time.Second/time.Millisecond)),
		Ejected:      t.breaker.open(now),
		Endpoint:     t.endpoint.name,
		EstimateMS:   t.cost(&Request{}, now).Milliseconds(),
		FailureRatio: t.failureRatio.value(now),
		InFlight:     t.endpoint.inFlight.Load(),
		Load:         t.endpoint.load(rep),
		Region:       rep.member.Region,
		Service:      t.key.service,
		Version:      t.key.version,
	}
}

// available returns the level of the budget, in bytes.
func (l *Link) available(now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	return int64(l.level)
}
