// Package savorypingateway implements the gateway daemon, which relays callers' requests
// directly to endpoints over HTTP, without agents next to them. It follows the operator's
// configuration and the list of endpoints in the platform's object store and holds no
// durable state.
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
	"savorypin/internal/savorypinadmission"
	"savorypin/internal/savorypinbuffer"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinforecast"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinhazard"
	"savorypin/internal/savorypinlimit"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinmetrics"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinpool"
	"savorypin/internal/savorypinquarantine"
	"savorypin/internal/savorypinrollout"
	"savorypin/internal/savorypinseal"
	"savorypin/internal/savorypinweb"
	"savorypin/internal/savorypinwhere"
)

// promptRetentionFactor multiplies Settings.MinPromptRetention, the retention that the engine
// guarantees, to give the time for which an engine is expected to keep a prompt in its cache:
// engines evict prompts only when they need the memory.
const promptRetentionFactor = 3

// expiryHeartbeats is the number of missed heartbeats after which an endpoint's entry expires.
const expiryHeartbeats = 3

// memoryLimitRatio is the ratio of the runtime's soft memory limit to the memory of the
// process. Near that limit the garbage collector runs more often; the rest is left for stacks,
// kernel buffers and the program itself.
const memoryLimitRatio = 0.6

// Objects identifies the operator's and the endpoints' objects in the platform's store, and
// decodes and encodes them.
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
	// Clock returns the time since the host booted, including the time for which it was suspended;
	// nil for the clock of the host.
	Clock   func() time.Duration
	Codec   savorypinfleet.Codec
	Dialect savorypinplatform.Dialect
	// Log receives the events.
	Log     *savorypinevent.Log
	Objects Objects
	// Reload reads the settings again.
	Reload   func() (Settings, error)
	Settings Settings
}

// Gateway is the daemon. Use New to create one.
type Gateway struct {
	// abandoned holds the attempts of plain requests that were given up, and those of streams that
	// ended because of a verdict.
	abandoned abandonedAttempts
	// livePeers are the addresses of the other gateways that were live at the last sweep.
	livePeers map[string]bool
	// requestBudget and responseBudget limit the memory of buffered bodies.
	requestBudget, responseBudget *bodyBudget

	retryBudgets *retryBudgets
	cfg          Config
	counters     counters
	// endpointLimits holds the limits that endpoints named on the requests of all gateways.
	endpointLimits *savorypinlimit.SharedRates
	// exiting is done shortly before the process exits. Requests that have no response then get one.
	exiting   context.Context //nolint:containedctx // it ends requests, which have contexts of their own
	exit      context.CancelFunc
	forecast  *savorypinforecast.Forecast
	gossip    *savorypingossip.Gossip
	admission *savorypinadmission.Registry
	// loadReports knows how old the other gateways' loads are that the picker uses.
	loadReports *loadReports
	log         *savorypinevent.Log
	// discoveryDone is closed after the first attempt to read the list of gateways, whether it
	// succeeded or not.
	discoveryDone chan struct{}
	peers         *savorypingossip.Table
	// peersWaiting knows for which services streams wait at other gateways.
	peersWaiting peersWaiting
	picker       *savorypinpick.Picker
	pool         *savorypinpool.Pool
	// queues holds the streams that wait for an endpoint with room.
	queues streamQueues
	// quarantine keeps parts of prompts, and requests, that crash endpoints from them.
	quarantine *savorypinquarantine.Registry
	// notReadyReason is why the gateway was not ready at the last sweep; empty if it was.
	notReadyReason string
	registry       metrics.Registry
	// requestShares knows this gateway's part of the requests to each service.
	requestShares *requestShares
	rollouts      *savorypinrollout.Tracker
	// sealer authenticates messages between gateways.
	sealer    *savorypinseal.Sealer
	slowest   *savorypinforecast.Slowest
	settings  atomic.Pointer[Settings]
	stopStart atomic.Pointer[time.Time]
	stopping  atomic.Bool
	store     *store
	// streamBudget limits the memory of the events that are buffered for slow callers.
	streamBudget *savorypinbuffer.Budget
	streams      streamSet
	// uploads knows the bodies that were sent to each endpoint and have no response yet.
	uploads uploads
	view    view
}

// New returns a gateway that is not running yet.
func New(cfg Config) *Gateway {
	if cfg.Clock == nil {
		cfg.Clock = bootClock
	}
	registry := metrics.NewRegistry()
	g := &Gateway{
		requestBudget:  newBodyBudget(cfg.Settings.MemoryBytes, requestMemoryRatio),
		responseBudget: newBodyBudget(cfg.Settings.MemoryBytes, responseMemoryRatio),
		cfg:            cfg,
		counters:       newCounters(registry),
		forecast:       savorypinforecast.New(savorypinforecast.Config{Now: time.Now}),
		loadReports:    newLoadReports(time.Now),
		log:            cfg.Log,
		discoveryDone:  make(chan struct{}),
		pool:           savorypinpool.New(savorypinpool.Config{}),
		registry:       registry,
		sealer:         savorypinseal.New(cfg.Settings.PeerKeys...),
		slowest:        savorypinforecast.NewSlowest(),
		streamBudget:   newStreamBudget(cfg.Settings.MemoryBytes),
	}
	g.exiting, g.exit = context.WithCancel(context.Background())
	g.settings.Store(&cfg.Settings)
	g.picker = savorypinpick.New(savorypinpick.Config{
		Gateways:        g.gatewayCount,
		Hazard:          savorypinhazard.New(cfg.Settings.Domains),
		ListConfirmedAt: func() time.Time { return time.Now().Add(-g.store.ageInForce(cfg.Objects.EndpointKind)) },
		Now:             time.Now,
		PromptRetention: promptRetentionFactor * cfg.Settings.MinPromptRetention,
		Region:          cfg.Settings.Region,
		Regions:         cfg.Settings.Regions,
		SuspectTimeout:  expiryHeartbeats * cfg.Settings.Heartbeat,
	})
	g.admission = savorypinadmission.New(savorypinadmission.Config{
		DrainDelay:   cfg.Settings.DrainDelay,
		EntryTimeout: expiryHeartbeats * cfg.Settings.Heartbeat,
		Now:          time.Now,
	})
	g.quarantine = g.newQuarantine()
	g.retryBudgets = newRetryBudgets(cfg.Settings, g.gatewayCount)
	g.requestShares = newRequestShares(requestSharesConfig{
		Address:           g.peerAddress(),
		GatewayCount:      g.gatewayCount,
		HeartbeatInterval: func() time.Duration { return g.peers.HeartbeatInterval() },
		Now:               time.Now,
	})
	g.endpointLimits = savorypinlimit.NewSharedRates(savorypinlimit.SharedRateConfig{
		Busiest: g.requestShares.busiest, Now: time.Now, Share: g.requestShares.share,
	})
	g.queues.gateway = g
	g.queues.maxBytes = int(waitingMemoryRatio * requestMemoryRatio * float64(cfg.Settings.MemoryBytes))
	g.view.directory.Store(savorypinfleet.NewDirectory(nil))
	g.gossip = g.newGossip()
	g.store = newStore(cfg, &g.view, g.counters)
	g.store.sealer = g.sealer
	g.store.configurationChanged = g.configurationChanged
	g.store.endpointsChanged = g.directoryChanged
	g.store.notifyPeers = g.gossip.TriggerRound
	g.store.awaitFirstList = g.awaitFirstList
	g.store.gatewayCount = g.gatewayCount
	g.store.isReader = g.isReader
	g.rollouts = savorypinrollout.New(savorypinrollout.Config{
		Gateways:      g.gatewayCount,
		Now:           time.Now,
		ExposureShare: cfg.Settings.ExposureShare,
		ExposureSlack: cfg.Settings.ExposureSlack,
	})
	g.store.updateRollouts = g.rollouts.Update
	if cfg.Settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(cfg.Settings.MemoryBytes)))
	}
	return g
}

// Run serves callers until ctx is done. It returns after the requests in progress have finished
// or the grace period is about to end.
func (g *Gateway) Run(ctx context.Context) error {
	s := g.settings.Load()
	callerListener, err := savorypinweb.Listen(ctx, s.Listen)
	if err != nil {
		return err
	}
	readinessListener, err := savorypinweb.Listen(ctx, s.ReadinessListen)
	if err != nil {
		return err
	}
	introspectionListener, err := savorypinweb.Listen(ctx, net.JoinHostPort(s.Host, strconv.Itoa(s.MetricsPort)))
	if err != nil {
		return err
	}
	g.log.Emit(savorypinevent.Process{What: "started"})
	if !g.sealer.Authenticates() {
		g.log.Emit(savorypinevent.Process{What: "takes messages of any gateway, as it has no peer key"})
	}
	defer g.log.Emit(savorypinevent.Process{What: "stopped"})
	// The background tasks run until serveCallers returns, which is some time after ctx is done.
	backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, backgroundCtx := errgroup.WithContext(backgroundCtx)
	group.Go(func() error {
		return g.serveInternal(backgroundCtx, readinessListener, http.HandlerFunc(g.serveReadiness))
	})
	group.Go(func() error { return g.serveInternal(backgroundCtx, introspectionListener, g.introspectionHandler()) })
	g.store.follow(backgroundCtx, group)
	group.Go(func() error { return g.gossip.Run(backgroundCtx) })
	group.Go(func() error { return g.syncServer().Run(backgroundCtx) })
	group.Go(func() error { return g.register(backgroundCtx) })
	group.Go(func() error { return g.writeRollouts(backgroundCtx) })
	group.Go(func() error { return g.persistPrompts(backgroundCtx) })
	group.Go(func() error { return g.persistQuarantine(backgroundCtx) })
	group.Go(func() error { return g.sweep(backgroundCtx) })
	group.Go(func() error { return g.log.Run(backgroundCtx) })
	group.Go(func() error {
		defer cancel()
		return g.serveCallers(ctx, callerListener)
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Reload reads the settings again. If that fails, the current settings stay in force.
func (g *Gateway) Reload() {
	s, err := g.cfg.Reload()
	if err != nil {
		g.log.Emit(savorypinevent.Process{Err: err, What: "not reloaded"})
		return
	}
	// The sweep calls Reload periodically, as the file may change without a signal.
	if reflect.DeepEqual(&s, g.settings.Load()) {
		return
	}
	g.settings.Store(&s)
	g.log.Emit(savorypinevent.Process{What: "reloaded"})
}

func (g *Gateway) introspectionHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", savorypinmetrics.NewHandler(g.registry))
	mux.HandleFunc("GET /state", g.serveState)
	mux.HandleFunc("GET "+savorypinwhere.Path, g.serveWhere)
	mux.HandleFunc("DELETE /quarantine/{subject}", g.serveRelease)
	return mux
}

// sweepsPerReload is the number of sweeps between two reloads of the settings.
const sweepsPerReload = 5

// sweepInterval is the time between two sweeps.
const sweepInterval = 2 * time.Second

// sweep periodically drops stale state, logs lost gateways and changes of the readiness, and
// reloads the settings.
func (g *Gateway) sweep(ctx context.Context) error {
	sweeps := 0
	savorypinloop.Every(ctx, sweepInterval, func() {
		sweeps++
		g.log.RunRecovered("sweep", func() {
			if sweeps%sweepsPerReload == 0 {
				g.Reload()
			}
			g.picker.RemoveUnlisted(g.view.directory.Load())
			g.retainLimits()
			g.retainDurations()
			g.updatePeers()
			g.logReadiness()
			g.queues.loadsChanged()
		})
	})
	return ctx.Err()
}

// directoryChanged applies a new list of endpoints to the admission registry, closes the idle
// connections to endpoints that are no longer listed, and reports restarted endpoints to the
// picker.
func (g *Gateway) directoryChanged(old, next *savorypinfleet.Directory, era int64) {
	g.admission.UpdateList(old, next, era)
	gone := old.Difference(next)
	for _, e := range gone {
		g.pool.CloseIdle(e.Address())
	}
	restarted := next.Restarted(old)
	g.picker.RecordRestarts(restarted)
	draining := next.NewlyDraining(old)
	if len(draining) > 0 || len(gone) > 0 || len(restarted) > 0 {
		state := g.store.mirrors[g.cfg.Objects.EndpointKind].State()
		g.log.Emit(savorypinevent.EndpointsChanged{
			Age: g.store.age(g.cfg.Objects.EndpointKind), Draining: len(draining), Gone: len(gone), Now: next.Len(),
			Restarted: len(restarted), Era: state.Era, Revision: state.LastChangeVersion,
		})
	}
	g.queues.loadsChanged()
}

// bootClock returns the time since the host booted. Unlike the monotonic clock it includes the
// time for which the host was suspended.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39, so a failure is a bug.
		panic(fmt.Sprintf("read boot-time clock: %v", err))
	}
	return time.Duration(ts.Nano())
}
