// Package savorypinentry is the daemon that callers and operators talk to. It
// admits requests, chooses endpoints, and relays answers so that each caller
// gets its whole answer once.
package savorypinentry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/singleflight"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
	"savorypin/internal/savorypincontroller"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinrefusal"
	"savorypin/internal/savorypinresume"
)

// defaultTimeout bounds a request if neither caller nor service states one.
const defaultTimeout = 10 * time.Minute

// Config configures an Entry.
type Config struct {
	// AnonymousOrganisation is the organisation of callers without a token;
	// empty if they are refused.
	AnonymousOrganisation string
	// ClaimRetention is how long an idempotency key is kept; zero means a day.
	ClaimRetention time.Duration
	// Dial opens connections to other daemons; nil means TCP.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
	// FirstTokenLimit is the longest estimated time to the first token with which
	// new work begins, whatever time its caller has; zero means
	// DefaultFirstTokenLimit.
	FirstTokenLimit time.Duration
	// LinkBytesPerSecond is what the link between regions may carry for all
	// entries of the region together; zero means defaultLinkBytesPerSecond.
	LinkBytesPerSecond float64
	// Logger logs.
	Logger *log.Logger
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
	// Settings are the settings of the daemon.
	Settings savorypindaemon.Settings
}

// Entry is an entry daemon.
type Entry struct {
	cfg        Config
	daemon     *savorypindaemon.Daemon
	evicted    atomic.Int64
	exhaustive chan struct{}
	finds      singleflight.Group
	gate       *savorypinresume.Gate
	shards     *savorypinclaim.ShardSet
	life       context.Context //nolint:containedctx // It is the life of the entry.
	memory     *savorypinresume.Memory
	moves      *moves
	refusals   savorypinrefusal.Log
	retries    *retryPolicies
	runner     *savorypinclaim.Runner
	settling   atomic.Int64
	started    time.Time
	suspects   suspects

	routing

	mu        sync.Mutex
	callBytes int
	calls     int
	relays    map[savorypin.GenerationID]*Relay
}

// New returns an entry that listens but does not serve yet.
func New(cfg Config) (*Entry, error) {
	if cfg.FirstTokenLimit == 0 {
		cfg.FirstTokenLimit = DefaultFirstTokenLimit
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	daemon, err := savorypindaemon.New(savorypindaemon.Config{
		Dial:     cfg.Dial,
		Logger:   cfg.Logger,
		Role:     savorypin.RoleEntry,
		Settings: cfg.Settings,
	})
	if err != nil {
		return nil, err
	}
	e := &Entry{
		cfg:     cfg,
		daemon:  daemon,
		moves:   newMoves(daemon, savorypincontroller.StartPlacement(daemon), cfg.Rand),
		relays:  map[savorypin.GenerationID]*Relay{},
		retries: newRetryPolicies(),
		started: time.Now(),
	}
	e.registerGenerations()
	e.routing = newRouting(e)
	e.startClaims()
	daemon.RegisterState("entry", e.state)
	daemon.RegisterState("refusals", func() any { return e.refusals.State() })
	return e, nil
}

// AnonymousOrganisation returns the organisation of callers without a token.
func (e *Entry) AnonymousOrganisation() string {
	return e.cfg.AnonymousOrganisation
}

// Daemon returns the common part of the entry.
func (e *Entry) Daemon() *savorypindaemon.Daemon {
	return e.daemon
}

// Run serves until ctx ends or the planned stop is done.
func (e *Entry) Run(ctx context.Context, handler http.Handler) error {
	return e.daemon.Run(ctx, handler, savorypindaemon.Work{HandOver: e.handOver, Idle: e.idle})
}

func (e *Entry) idle() bool {
	for _, r := range e.allRelays() {
		if !r.idle() {
			return false
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls == 0 && e.settling.Load() == 0 && e.shards.Idle()
}

// State is the part of the state dump that only entries have.
type State struct {
	AnswerBytes    int          `json:"answerBytes"`
	Calls          int          `json:"calls"`
	Generations    []RelayState `json:"generations"`
	WaitingResumes int          `json:"waitingResumes"`
}

func (e *Entry) state() any {
	s := State{
		AnswerBytes:    e.memory.Used(),
		Generations:    e.Relays(),
		WaitingResumes: e.gate.Waiting(),
	}
	e.mu.Lock()
	s.Calls = e.calls
	e.mu.Unlock()
	return s
}

// Relays returns the states of the generations that the entry holds.
func (e *Entry) Relays() []RelayState {
	states := []RelayState{}
	for _, r := range e.allRelays() {
		states = append(states, r.state())
	}
	return states
}

// timeout returns how long a request may take.
func timeout(asked time.Duration, spec savorypin.ServiceSpec) time.Duration {
	switch {
	case asked > 0:
		return asked
	case spec.TimeoutSeconds > 0:
		return time.Duration(spec.TimeoutSeconds) * time.Second
	default:
		return defaultTimeout
	}
}
