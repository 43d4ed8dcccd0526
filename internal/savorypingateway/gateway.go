// Package savorypingateway is the daemon that relays callers' requests straight
// to endpoints over HTTP, without agents beside them. It follows the operator's
// configuration and the list of endpoints in the platform's object store and
// keeps nothing that must last.
package savorypingateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinforecast"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinhazard"
	"savorypin/internal/savorypinintake"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinmetrics"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinpool"
	"savorypin/internal/savorypinrollout"
	"savorypin/internal/savorypinseal"
)

// promptTimeFactor is how many times the promised time a prompt is looked for at
// the engine that has read it: engines drop prompts only when they need room.
const promptTimeFactor = 3

// lapseBeats is after how many heartbeats of silence the entry of an endpoint lapses.
const lapseBeats = 3

// memoryShare is the part of the memory limit at which the collector works
// harder; the rest holds stacks, buffers of the kernel and the program itself.
const memoryShare = 0.6

// Objects is how the platform spells the operator's and the endpoints' objects.
type Objects struct {
	// Configuration is the key of the operator's configuration.
	Configuration       savorypin.Key
	DecodeConfiguration func(savorypin.Object) (*savorypinfleet.Configuration, error)
	DecodeEndpoint      func(savorypin.Object) (*savorypinfleet.Endpoint, error)
	DecodeRollout       func(savorypin.Object) (savorypinfleet.Rollout, error)
	EncodeRolloutStatus func(savorypinfleet.Rollout) (json.RawMessage, error)
	EndpointKind        savorypin.Kind
	RolloutKind         savorypin.Kind
}

// Config configures a Gateway.
type Config struct {
	Codec   savorypinfleet.Codec
	Dialect savorypinplatform.Dialect
	// Log gets the events.
	Log     *savorypinevent.Log
	Objects Objects
	// Reload reads the settings again.
	Reload   func() (Settings, error)
	Settings Settings
}

// Gateway is the daemon. Create it by New.
type Gateway struct {
	// alive are the addresses of other gateways that were alive at the last sweep.
	alive map[string]bool
	// bodies bounds the answers that are held whole.
	bodies   *bodies
	budgets  *budgets
	cfg      Config
	counters counters
	forecast *savorypinforecast.Forecast
	gossip   *savorypingossip.Gossip
	intake   *savorypinintake.Register
	log      *savorypinevent.Log
	// met is closed once the list of gateways was read, or could not be.
	met    chan struct{}
	peers  *savorypingossip.Table
	picker *savorypinpick.Picker
	pool   *savorypinpool.Pool
	// readiness is the reason why the gateway was not ready at the last sweep.
	readiness string
	registry  metrics.Registry
	rollouts  *savorypinrollout.Tracker
	// sealer authenticates messages between gateways.
	sealer    *savorypinseal.Sealer
	settings  atomic.Pointer[Settings]
	stopBegan atomic.Pointer[time.Time]
	stopping  atomic.Bool
	store     *store
	streams   streamSet
	view      view
}

// New returns a gateway that has not started.
func New(cfg Config) *Gateway {
	registry := metrics.NewRegistry()
	g := &Gateway{
		bodies:   newBodies(cfg.Settings.MemoryBytes),
		cfg:      cfg,
		counters: newCounters(registry),
		forecast: savorypinforecast.New(),
		log:      cfg.Log,
		met:      make(chan struct{}),
		pool:     savorypinpool.New(savorypinpool.Config{}),
		registry: registry,
		sealer:   savorypinseal.New(cfg.Settings.PeerKeys...),
	}
	g.settings.Store(&cfg.Settings)
	g.picker = savorypinpick.New(savorypinpick.Config{
		Gateways:    g.gateways,
		Hazard:      savorypinhazard.New(cfg.Settings.Domains),
		Listed:      func() time.Time { return time.Now().Add(-g.store.age(cfg.Objects.EndpointKind)) },
		Now:         time.Now,
		PromptTime:  promptTimeFactor * cfg.Settings.PromptTime,
		Region:      cfg.Settings.Region,
		Regions:     cfg.Settings.Regions,
		SuspectTime: lapseBeats * cfg.Settings.Heartbeat,
	})
	g.intake = savorypinintake.New(savorypinintake.Config{
		DrainDelay: cfg.Settings.DrainDelay,
		LapseTime:  lapseBeats * cfg.Settings.Heartbeat,
		Now:        time.Now,
	})
	g.budgets = newBudgets(cfg.Settings, g.gateways)
	g.view.directory.Store(savorypinfleet.NewDirectory(nil))
	g.gossip = g.newGossip()
	g.store = newStore(cfg, &g.view, g.counters)
	g.store.sealer = g.sealer
	g.store.changed = g.directoryChanged
	g.store.news = g.gossip.Hurry
	g.store.awaitFirstList = g.awaitFirstList
	g.store.gateways = g.gateways
	g.store.reader = g.reader
	g.rollouts = savorypinrollout.New(savorypinrollout.Config{
		Gateways: g.gateways,
		Now:      time.Now,
		Share:    cfg.Settings.ExposureShare,
		Slack:    cfg.Settings.ExposureSlack,
	})
	g.store.rollouts = g.rollouts.Update
	if cfg.Settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Settings.MemoryBytes)))
	}
	return g
}

// Run serves until ctx ends, finishes what was begun within the grace, and
// returns.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.settings.Load()
	front, err := listen(s.Listen)
	if err != nil {
		return err
	}
	readiness, err := listen(s.Readiness)
	if err != nil {
		return err
	}
	introspection, err := listen(net.JoinHostPort(s.Host, strconv.Itoa(s.MetricsPort)))
	if err != nil {
		return err
	}
	g.log.Emit(savorypinevent.Process{What: "started"})
	if !g.sealer.Keyed() {
		g.log.Emit(savorypinevent.Process{What: "takes messages of any gateway, as it has no peer key"})
	}
	defer g.log.Emit(savorypinevent.Process{What: "stopped"})
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return serve(work, readiness, http.HandlerFunc(g.serveReadiness)) })
	group.Go(func() error { return serve(work, introspection, g.introspection()) })
	g.store.follow(work, group)
	group.Go(func() error { return g.gossip.Run(work) })
	group.Go(func() error { return g.syncServer().Run(work) })
	group.Go(func() error { return g.register(work) })
	group.Go(func() error { return g.writeRollouts(work) })
	group.Go(func() error { return g.rememberPrompts(work) })
	group.Go(func() error { return g.sweep(work) })
	group.Go(func() error { return g.log.Run(work) })
	group.Go(func() error {
		defer cancel()
		return g.serveCallers(ctx, front)
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Reload reads the settings file again. Settings that can't be read leave the
// old ones in force.
func (g *Gateway) Reload() {
	s, err := g.cfg.Reload()
	if err != nil {
		g.log.Emit(savorypinevent.Process{Err: err, What: "not reloaded"})
		return
	}
	// The file may also have changed without a signal, so that this is called from
	// time to time.
	if reflect.DeepEqual(&s, g.settings.Load()) {
		return
	}
	g.settings.Store(&s)
	g.log.Emit(savorypinevent.Process{What: "reloaded"})
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// serve serves HTTP until ctx ends.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: internalHeaderTimeout}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}

// internalHeaderTimeout bounds how long a head of the balancer or a scraper may
// take.
const internalHeaderTimeout = 5 * time.Second

func (g *Gateway) introspection() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", savorypinmetrics.NewHandler(g.registry))
	mux.HandleFunc("GET /state", g.serveState)
	return mux
}

// reloadSweeps is after how many sweeps the settings are read again.
const reloadSweeps = 5

// sweepInterval is how often old knowledge is dropped.
const sweepInterval = 2 * time.Second

func (g *Gateway) sweep(ctx context.Context) error {
	sweeps := 0
	savorypinloop.Every(ctx, sweepInterval, func() {
		sweeps++
		g.log.Contain("sweep", func() {
			if sweeps%reloadSweeps == 0 {
				g.Reload()
			}
			g.picker.Forget(g.view.directory.Load())
			g.notePeers()
			g.noteReadiness()
		})
	})
	return ctx.Err()
}

// directoryChanged closes idle connections to endpoints that have left, and
// learns from those that were lost and have started again.
func (g *Gateway) directoryChanged(old, next *savorypinfleet.Directory, era int64) {
	g.intake.Listed(old, next, era)
	gone := old.Without(next)
	for _, e := range gone {
		g.pool.Drop(e.Address())
	}
	restarted := next.Replaced(old)
	g.picker.Restarted(restarted)
	draining := next.Draining(old)
	if len(draining) > 0 || len(gone) > 0 || len(restarted) > 0 {
		state := g.store.mirrors[g.cfg.Objects.EndpointKind].State()
		g.log.Emit(savorypinevent.EndpointsChanged{
			Age: g.store.age(g.cfg.Objects.EndpointKind), Draining: len(draining), Gone: len(gone), Now: next.Len(),
			Restarted: len(restarted), Era: state.Era, Revision: state.Changed,
		})
	}
}

// bootClock returns the time since the host's start, including the time for
// which it was suspended, which the monotonic clock leaves out.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39; a failure is a bug.
		panic(fmt.Sprintf("read boot-time clock: %v", err))
	}
	return time.Duration(ts.Nano())
}
