package savorypinagent

import (
	"context"
	"net"
	"net/url"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinendpoint"
	"savorypin/internal/savorypinfence"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinroute"
)

// maxReportedPrefixes is the maximum number of cached prefixes that an endpoint
// reports. Each adds 9 bytes to every message that contains the state of the member.
const maxReportedPrefixes = 4

// EndpointConfig configures an endpoint.
type EndpointConfig struct {
	// ChecksFence reports that the endpoint itself refuses outdated fencing numbers.
	ChecksFence bool
	// MaxVersions is the maximum number of versions that the endpoint can have loaded.
	MaxVersions int
	// Name is the name of the endpoint, unique in the system.
	Name string
	// PrefillPerSecond is the rate at which prompts are processed, in tokens a second.
	PrefillPerSecond float64
	// Service is the service that the endpoint serves.
	Service string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// TokensPerSecond is the decoding rate of one request.
	TokensPerSecond float64
	// Type is the type of the endpoint: engine or plain service.
	Type savorypin.EndpointType
	// URL is the base URL of the endpoint.
	URL string
}

// endpoint is an endpoint that the agent serves.
type endpoint struct {
	cfg      EndpointConfig
	engine   *savorypinendpoint.Engine
	gate     *savorypinfence.Gate
	prefixes savorypinroute.PrefixCounter
	plain    *savorypinendpoint.Plain

	mu       sync.Mutex
	drained  bool
	healthy  bool
	load     savorypinendpoint.Load
	role     string
	versions []string
}

func newEndpoint(cfg EndpointConfig) *endpoint {
	e := &endpoint{cfg: cfg, gate: savorypinfence.NewGate()}
	if cfg.Type == savorypin.EndpointEngine {
		e.engine = savorypinendpoint.NewEngine(savorypinendpoint.EngineConfig{
			OnPromptSent: func(prompt string) { e.prefixes.Add(savorypinroute.Prefixes(prompt)) },
			URL:          cfg.URL,
		})
	} else {
		e.plain = savorypinendpoint.NewPlain(savorypinendpoint.PlainConfig{URL: cfg.URL})
	}
	return e
}

func (e *endpoint) pollLoop(ctx context.Context, config func() *savorypinconfig.Snapshot) {
	e.poll(ctx, config())
	savorypinloop.Every(ctx, pollInterval, func() { e.poll(ctx, config()) })
}

func (e *endpoint) poll(ctx context.Context, config *savorypinconfig.Snapshot) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if e.plain != nil {
		e.setHealthy(e.reachable(ctx))
		return
	}
	load, err := e.engine.Load(ctx)
	if err != nil {
		e.setHealthy(false)
		return
	}
	models, err := e.engine.Models(ctx)
	if err != nil {
		e.setHealthy(false)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.healthy = true
	e.load = load
	e.versions = config.VersionsOf(e.cfg.Service, models)
}

// reachable reports whether a plain service accepts connections.
func (e *endpoint) reachable(ctx context.Context) bool {
	u, err := url.Parse(e.cfg.URL)
	if err != nil {
		return false
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func (e *endpoint) setHealthy(healthy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.healthy = healthy
}

func (e *endpoint) state() savorypin.EndpointState {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.load
	if e.plain != nil {
		load.Running = e.plain.Running()
	}
	return savorypin.EndpointState{
		CachedPrefixes:   e.prefixes.Top(maxReportedPrefixes),
		Drained:          e.drained,
		Healthy:          e.healthy,
		MaxVersions:      e.cfg.MaxVersions,
		Name:             e.cfg.Name,
		PrefillPerSecond: e.cfg.PrefillPerSecond,
		Role:             e.role,
		Running:          load.Running,
		Service:          e.cfg.Service,
		Slots:            e.cfg.Slots,
		TokensPerSecond:  e.cfg.TokensPerSecond,
		Type:             e.cfg.Type,
		Versions:         slices.Clone(e.versions),
		Waiting:          load.Waiting,
	}
}
