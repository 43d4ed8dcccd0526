// Package savorypinentry implements the entry daemon, which serves callers and
// operators. It admits requests, chooses endpoints, and relays answers so that each
// caller gets its complete answer exactly once.
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

// defaultTimeout bounds a request if neither the caller nor the service sets a
// timeout.
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
	// FirstTokenLimit is the maximum estimated time to the first token for new work to
	// be accepted, even if its caller would wait longer; zero means
	// DefaultFirstTokenLimit.
	FirstTokenLimit time.Duration
	// LinkBytesPerSecond is the capacity of the link between regions, shared by all
	// entries of the region; zero means defaultLinkBytesPerSecond.
	LinkBytesPerSecond float64
	// Logger receives the log of the daemon.
	Logger *log.Logger
	// Rand returns a uniform random number in [0, 1); nil means math/rand/v2.
	Rand func() float64
	// Settings are the settings of the daemon.
	Settings savorypindaemon.Settings
}

// Entry is an entry daemon.
type Entry struct {
	cfg                Config
	daemon             *savorypindaemon.Daemon
	lastEviction       atomic.Int64
	fullSearchSlots    chan struct{}
	takeovers          singleflight.Group
	resumeQueue        *savorypinresume.ResumeQueue
	shards             *savorypinclaim.ShardSet
	runCtx             context.Context //nolint:containedctx // Ends when the entry stops.
	memory             *savorypinresume.Memory
	moves              *moves
	refusals           savorypinrefusal.Counter
	hedgeDelays        *hedgeDelays
	runner             *savorypinclaim.Runner
	pendingSettlements atomic.Int64
	started            time.Time
	suspects           suspects

	routing

	mu        sync.Mutex
	callBytes int
	calls     int
	relays    map[savorypin.GenerationID]*Relay
}

// New returns an entry that has opened its listeners but does not serve yet.
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
		cfg:         cfg,
		daemon:      daemon,
		moves:       newMoves(daemon, savorypincontroller.RegisterPlacement(daemon), cfg.Rand),
		relays:      map[savorypin.GenerationID]*Relay{},
		hedgeDelays: newHedgeDelays(),
		started:     time.Now(),
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

// Daemon returns the part of the entry that it shares with agents.
func (e *Entry) Daemon() *savorypindaemon.Daemon {
	return e.daemon
}

// Run serves until ctx ends or the planned stop has completed.
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
	return e.calls == 0 && e.pendingSettlements.Load() == 0 && e.shards.Idle()
}

// State is the part of the state dump that only entries have.
type State struct {
	AnswerBytes int          `json:"answerBytes"`
	Calls       int          `json:"calls"`
	Generations []RelayState `json:"generations"`
	// PendingSettlements is the number of outcomes on their way to the committers of their shards.
	PendingSettlements int64 `json:"pendingSettlements"`
	WaitingResumes     int   `json:"waitingResumes"`
}

func (e *Entry) state() any {
	s := State{
		AnswerBytes:        e.memory.Used(),
		Generations:        e.Relays(),
		PendingSettlements: e.pendingSettlements.Load(),
		WaitingResumes:     e.resumeQueue.Waiting(),
	}
	e.mu.Lock()
	s.Calls = e.calls
	e.mu.Unlock()
	return s
}

// Relays returns the state of each generation that the entry relays.
func (e *Entry) Relays() []RelayState {
	states := []RelayState{}
	for _, r := range e.allRelays() {
		states = append(states, r.state())
	}
	return states
}

// requestTimeout returns the timeout of a request: the caller's, else the service's,
// else the default.
func requestTimeout(requested time.Duration, spec savorypin.ServiceSpec) time.Duration {
	switch {
	case requested > 0:
		return requested
	case spec.TimeoutSeconds > 0:
		return time.Duration(spec.TimeoutSeconds) * time.Second
	default:
		return defaultTimeout
	}
}
