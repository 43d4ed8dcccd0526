// Package savorypinentry is the daemon that callers and operators talk to. It
// admits requests, chooses endpoints, and relays answers so that each caller
// gets its whole answer once.
package savorypinentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
	"savorypin/internal/savorypincontroller"
	"savorypin/internal/savorypindaemon"
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
	// Logger logs.
	Logger *log.Logger
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
	// Settings are the settings of the daemon.
	Settings savorypindaemon.Settings
}

// Entry is an entry daemon.
type Entry struct {
	cfg      Config
	daemon   *savorypindaemon.Daemon
	keeper   *savorypinclaim.Keeper
	life     context.Context //nolint:containedctx // It is the life of the entry.
	retries  *retryPolicies
	runner   *savorypinclaim.Runner
	settling atomic.Int64

	mu        sync.Mutex
	callBytes int
	calls     int
	relays    map[savorypin.GenerationID]*Relay
}

// New returns an entry that listens but does not serve yet.
func New(cfg Config) (*Entry, error) {
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	daemon, err := savorypindaemon.New(savorypindaemon.Config{
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
		relays:  map[savorypin.GenerationID]*Relay{},
		retries: newRetryPolicies(),
	}
	e.startClaims()
	daemon.Background(e.sweepLoop)
	savorypincontroller.StartPlacement(daemon)
	daemon.RegisterState("entry", e.state)
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

// handOver lets callers attach to their generations through other entries.
func (e *Entry) handOver() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.relays)
}

func (e *Entry) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.relays {
		if !r.settled() {
			return false
		}
	}
	return e.calls == 0 && e.settling.Load() == 0 && e.keeper.Idle()
}

// State is the part of the state dump that only entries have.
type State struct {
	Calls       int          `json:"calls"`
	Generations []RelayState `json:"generations"`
}

func (e *Entry) state() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{Calls: e.calls, Generations: []RelayState{}}
	for _, r := range e.relays {
		s.Generations = append(s.Generations, r.state())
	}
	return s
}

func (e *Entry) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// sweep drops relays that nobody reads any more.
func (e *Entry) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, r := range e.relays {
		if r.abandoned(now) {
			r.cancel()
			delete(e.relays, id)
		}
	}
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
