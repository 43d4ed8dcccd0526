// Package savorypindaemon implements what entries and agents have in common: the
// configuration in force, membership, the transport between daemons, the operators'
// API, and the planned stop.
package savorypindaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinmembership"
	"savorypin/internal/savorypinpanic"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinweb"
)

// Timeouts and probe intervals of a daemon.
const (
	handshakeTimeout = time.Second
	idleProbeAfter   = 15 * time.Second
	platformTimeout  = 2 * time.Second
	probeAfter       = 250 * time.Millisecond
	// responseGrace is how long responses may take to complete after the last work has
	// ended.
	responseGrace = time.Second
	probeTimeout  = 500 * time.Millisecond
)

// Limits of the HTTP listener.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Config configures a Daemon.
type Config struct {
	// Dial opens connections to other daemons; nil means TCP.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
	// Endpoints returns the state of the endpoints of an agent; nil for an entry.
	Endpoints func() []savorypin.EndpointState
	// Logger receives the log of the daemon.
	Logger *log.Logger
	// Role is the role of the daemon.
	Role savorypin.Role
	// Settings are the settings of the daemon.
	Settings Settings
}

// Daemon is the part that entries and agents have in common.
type Daemon struct {
	backgroundLoops []func(context.Context)
	cfg             Config
	config          *savorypinconfig.Store
	distributor     *savorypinconfig.Distributor
	draining        atomic.Bool
	handlers        map[savorypinmember.FrameKind]savorypinmember.Handler
	incarnation     int64
	peerListener    net.Listener
	logger          *log.Logger
	members         *savorypinmembership.Gossip
	metrics         metrics.Registry
	platform        *savorypinplatform.Client
	readiness       *savorypinconfig.Readiness
	stateSections   map[string]func() any
	stopRequested   chan struct{}
	stopOnce        sync.Once
	tasks           tasks
	transport       *savorypinmember.Transport
	httpListener    net.Listener
	wg              sync.WaitGroup
}

// New returns a daemon that has opened its listeners but does not serve yet.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg:         cfg,
		config:      savorypinconfig.NewStore(),
		incarnation: time.Now().UnixNano(),
		logger: cfg.Logger.With(
			"domain", cfg.Settings.Domain, "host", cfg.Settings.Name, "role", cfg.Role),
		metrics:       metrics.NewRegistry(),
		stateSections: map[string]func() any{},
		stopRequested: make(chan struct{}),
	}
	d.newMembership()
	d.platform = savorypinplatform.NewClient(savorypinplatform.Config{
		OnCall:  d.countPlatformCall,
		Timeout: platformTimeout,
		Token:   cfg.Settings.PlatformToken,
		URL:     cfg.Settings.Platform,
	})
	d.handlers = map[savorypinmember.FrameKind]savorypinmember.Handler{
		savorypinmember.FrameHeartbeat: savorypinmember.HandleCall(d.handleHeartbeat),
		savorypinmember.FrameConfig:    savorypinmember.HandleCall(d.handleExchange),
		savorypinmember.FrameVersion:   savorypinmember.HandleCall(d.handleVersion),
		savorypinmember.FrameReport:    savorypinmember.HandleNotice(d.handleReport),
		savorypinmember.FrameStop:      savorypinmember.HandleCall(d.handleStop),
	}
	d.transport = savorypinmember.NewTransport(savorypinmember.TransportConfig{
		Dial:             cfg.Dial,
		Handlers:         d.handlers,
		HandshakeTimeout: handshakeTimeout,
		IdleProbeAfter:   idleProbeAfter,
		Key:              []byte(cfg.Settings.Key),
		Panicked: func(kind savorypinmember.FrameKind, err *savorypinpanic.PanicError) {
			d.logger.Error("Handler panicked", "frame", kind, "err", err, "stack", string(err.Stack))
		},
		ProbeAfter: probeAfter,
		Self: savorypinmember.Hello{
			Domain: cfg.Settings.Domain,
			Name:   cfg.Settings.Name,
			Region: cfg.Settings.Region,
			Role:   cfg.Role,
		},
		ProbeTimeout: probeTimeout,
	})
	return d, d.listen()
}

func (d *Daemon) listen() error {
	var err error
	d.peerListener, err = net.Listen("tcp", d.cfg.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for daemons on %s: %w", d.cfg.Settings.Listen, err)
	}
	d.httpListener, err = savorypinweb.Listen(context.Background(), d.cfg.Settings.HTTP)
	if err != nil {
		d.peerListener.Close()
		return fmt.Errorf("listen for HTTP: %w", err)
	}
	return nil
}

// Handle registers the handler of streams whose first frame has the given kind. It
// must be called before Run.
func (d *Daemon) Handle(kind savorypinmember.FrameKind, handler savorypinmember.Handler) {
	d.handlers[kind] = handler
}

// Background registers a loop that runs until its context ends. It must be
// called before Run.
func (d *Daemon) Background(loop func(context.Context)) {
	d.backgroundLoops = append(d.backgroundLoops, loop)
}

// RegisterState adds a section to the state dump. It must be called before
// Run.
func (d *Daemon) RegisterState(section string, state func() any) {
	d.stateSections[section] = state
}

// States returns the sections of the state dump.
func (d *Daemon) States() map[string]any {
	states := map[string]any{}
	for section, state := range d.stateSections {
		states[section] = state()
	}
	return states
}

// Incarnation returns the number that distinguishes restarts of the daemon.
func (d *Daemon) Incarnation() int64 {
	return d.incarnation
}

// Config returns the configuration in force.
func (d *Daemon) Config() *savorypinconfig.Snapshot {
	return d.config.Snapshot()
}

// Draining reports whether the daemon has begun its planned stop and accepts no new
// work.
func (d *Daemon) Draining() bool {
	return d.draining.Load()
}

// HTTPAddress returns the address that the HTTP server listens on.
func (d *Daemon) HTTPAddress() string {
	return d.httpListener.Addr().String()
}

// Logger returns the logger of the daemon.
func (d *Daemon) Logger() *log.Logger {
	return d.logger
}

// Members returns the members that the daemon knows.
func (d *Daemon) Members() *savorypinmembership.View {
	return d.members.View()
}

// Metrics returns the registry of the daemon's metrics.
func (d *Daemon) Metrics() metrics.Registry {
	return d.metrics
}

// Platform returns the client of the platform.
func (d *Daemon) Platform() *savorypinplatform.Client {
	return d.platform
}

// Ready reports whether the daemon has the whole configuration and accepts work.
func (d *Daemon) Ready() bool {
	return d.readiness.Synced() && !d.Draining()
}

// Settings returns the settings of the daemon.
func (d *Daemon) Settings() Settings {
	return d.cfg.Settings
}

// Transport returns the transport between daemons.
func (d *Daemon) Transport() *savorypinmember.Transport {
	return d.transport
}

// Stop begins the planned stop and returns immediately. Run returns when the stop has
// completed.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() {
		d.draining.Store(true)
		close(d.stopRequested)
	})
}

// Work contains the functions by which a role finishes its work on a planned stop.
type Work struct {
	// HandOver hands over the work that other daemons can continue. It is called
	// repeatedly after the grace period, since some work can be handed over only
	// later.
	HandOver func()
	// Idle reports whether no work is left.
	Idle func() bool
}

// Run serves until ctx ends or the planned stop has completed. Work that remains after
// the grace period is handed over; Run waits for work that can't be.
func (d *Daemon) Run(ctx context.Context, handler http.Handler, work Work) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Handler:           savorypinweb.Limit(handler),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	d.heartbeat(ctx)
	d.wg.Go(func() { d.serve(server, d.newConnections()) })
	d.wg.Go(func() {
		if err := d.transport.Serve(d.peerListener); err != nil {
			d.logger.Error("Transport between daemons failed", "err", err)
		}
	})
	d.wg.Go(func() { d.heartbeatLoop(ctx) })
	d.wg.Go(func() { d.readerLoop(ctx) })
	d.wg.Go(func() { d.hostLoop(ctx) })
	for _, loop := range d.backgroundLoops {
		d.wg.Go(func() { loop(ctx) })
	}
	d.logger.Info("Serving", "http", d.httpListener.Addr(), "listen", d.peerListener.Addr())
	select {
	case <-ctx.Done():
	case <-d.stopRequested:
		d.drain(ctx, work)
		d.finishResponses(ctx, server)
	}
	cancel()
	server.Close()
	d.transport.Close()
	d.tasks.close()
	d.wg.Wait()
	return nil
}

// finishResponses waits until the responses whose work has ended are complete. Without
// it, the exit of the process would truncate the last of them.
func (d *Daemon) finishResponses(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, responseGrace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		d.logger.Warn("Some responses did not complete before the stop", "err", err)
	}
}

func (d *Daemon) serve(server *http.Server, connections *savorypinweb.Budget) {
	if err := connections.Serve(server, d.httpListener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.logger.Error("HTTP server failed", "err", err)
	}
}

// drain takes the daemon out of service without interrupting a request.
func (d *Daemon) drain(ctx context.Context, work Work) {
	d.logger.Info("Stopping", "grace", d.cfg.Settings.StopGrace)
	d.announceLeave(ctx)
	graceCtx, cancel := context.WithTimeout(ctx, d.cfg.Settings.StopGrace)
	defer cancel()
	if waitIdle(graceCtx, work.Idle) {
		return
	}
	d.logger.Info("Handing over unfinished work after the grace period")
	waitIdle(ctx, func() bool {
		work.HandOver()
		return work.Idle()
	})
}

// waitIdle waits until no work is left. It returns false if ctx ends first.
func waitIdle(ctx context.Context, idle func() bool) bool {
	const interval = 20 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for !idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (d *Daemon) handleStop(_ context.Context, peer savorypinmember.Hello, req savorypinmember.Stop) (savorypinmember.Empty, error) {
	d.logger.Info("Ordered to stop", "by", req.By, "through", peer.Name)
	d.Stop()
	return savorypinmember.Empty{}, nil
}

func (d *Daemon) countPlatformCall(purpose string) {
	metrics.GetOrRegisterCounter("platform.calls."+purpose, d.metrics).Inc(1)
}
