// Package savorypinagent implements the agent daemon, which runs next to endpoints and
// is the only daemon that connects to them. It runs generations and calls, keeps what
// they produce for some time after their end, and reports the load of the endpoints.
package savorypinagent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
	"savorypin/internal/savorypincontroller"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinoperator"
)

// pollInterval is how often the load of endpoints is polled.
const pollInterval = 250 * time.Millisecond

// Config configures an Agent.
type Config struct {
	// Endpoints are the endpoints that the agent serves.
	Endpoints []EndpointConfig
	// Logger receives the log of the daemon.
	Logger *log.Logger
	// Settings are the settings of the daemon.
	Settings savorypindaemon.Settings
}

// Agent is an agent daemon.
type Agent struct {
	callAttempts *savorypinclaim.AttemptLog
	calls        atomic.Int64
	cfg          Config
	daemon       *savorypindaemon.Daemon
	endpoints    map[string]*endpoint

	mu sync.Mutex

	generations
}

// New returns an agent that has opened its listeners but does not serve yet.
func New(cfg Config) (*Agent, error) {
	a := &Agent{
		cfg:       cfg,
		endpoints: map[string]*endpoint{},
	}
	daemon, err := savorypindaemon.New(savorypindaemon.Config{
		Endpoints: a.endpointStates,
		Logger:    cfg.Logger,
		Role:      savorypin.RoleAgent,
		Settings:  cfg.Settings,
	})
	if err != nil {
		return nil, err
	}
	a.daemon = daemon
	a.callAttempts = newAttemptLog(daemon.Incarnation())
	for _, e := range cfg.Endpoints {
		a.endpoints[e.Name] = newEndpoint(e)
	}
	daemon.Handle(savorypinmember.FrameFence, savorypinmember.HandleCall(a.handleFence))
	daemon.Handle(savorypinmember.FrameOrder, savorypinmember.HandleCall(a.handleOrder))
	a.registerGenerations()
	a.registerCalls()
	daemon.RegisterState("agent", a.state)
	daemon.Background(a.sweepLoop)
	savorypincontroller.RegisterMoves(savorypincontroller.MovesConfig{
		Daemon:    daemon,
		Placement: savorypincontroller.RegisterPlacement(daemon),
		Rand:      rand.Float64,
	})
	for _, e := range a.endpoints {
		daemon.Background(func(ctx context.Context) { e.pollLoop(ctx, daemon.Config) })
	}
	return a, nil
}

// Daemon returns the part of the agent that it shares with entries.
func (a *Agent) Daemon() *savorypindaemon.Daemon {
	return a.daemon
}

// Run serves until ctx ends or the planned stop has completed.
func (a *Agent) Run(ctx context.Context) error {
	defer a.cancelAttempts()
	handler := savorypinoperator.NewHandler(savorypinoperator.Config{Daemon: a.daemon})
	return a.daemon.Run(ctx, handler, savorypindaemon.Work{HandOver: a.handOver, Idle: a.idle})
}

// idle reports whether no call is running and no attempt keeps the agent from exiting.
func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, grace := time.Now(), a.daemon.Settings().Grace()
	for _, attempt := range a.generationAttempts {
		if !attempt.allowsExit(now, grace) {
			return false
		}
	}
	return a.calls.Load() == 0 && a.callAttempts.Idle()
}

// State is the part of the state dump that only agents have.
type State struct {
	AnswerBytes int                       `json:"answerBytes"`
	Attempts    []AttemptState            `json:"attempts"`
	Endpoints   []savorypin.EndpointState `json:"endpoints"`
	Locations   int                       `json:"places"`
}

// AttemptState is one attempt in the state dump.
type AttemptState struct {
	Attempt    string                 `json:"attempt"`
	Endpoint   string                 `json:"endpoint"`
	Finished   bool                   `json:"finished"`
	Generation savorypin.GenerationID `json:"generation"`
	Produced   int                    `json:"produced"`
	Readers    int                    `json:"readers"`
	Version    string                 `json:"version"`
}

func (a *Agent) state() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := State{
		AnswerBytes: a.memory.Used(),
		Attempts:    []AttemptState{},
		Endpoints:   a.endpointStates(),
		Locations:   a.locations.Len(),
	}
	for _, attempt := range a.generationAttempts {
		s.Attempts = append(s.Attempts, attempt.state())
	}
	return s
}

// endpointStates returns the states of the endpoints. It first marks endpoints that
// operators no longer drain as not drained.
func (a *Agent) endpointStates() []savorypin.EndpointState {
	var states []savorypin.EndpointState
	for _, e := range a.cfg.Endpoints {
		endpoint := a.endpoints[e.Name]
		if !a.daemon.Config().Endpoint(e.Name).Drain {
			endpoint.undrain()
		}
		states = append(states, endpoint.state())
	}
	return states
}

func (a *Agent) sweepLoop(ctx context.Context) {
	savorypinloop.Every(ctx, time.Second, func() {
		a.sweepGenerations(time.Now())
		a.callAttempts.Sweep()
	})
}
