// Package savorypincluster runs a small system in one process on loopback:
// stand-ins of the platform, engines and a ledger, with entries and agents.
// The demo and the failure tests break parts of it.
package savorypincluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinagent"
	"savorypin/internal/savorypincaller"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinentry"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinstandin"
	"savorypin/pkg/savorypinclient"
)

// Names of the objects that Configure creates.
const (
	// Ledger is the plain service.
	Ledger = "ledger"
	// Model is the model of Version.
	Model = "assistant-1"
	// Organisation is the organisation of anonymous callers.
	Organisation = "shops"
	// Service is the generating service.
	Service = "assistant"
	// Version is the version of Service.
	Version = "assistant-v1"
)

// OperatorToken is the operators' bearer token.
const OperatorToken = "cluster-operator"

const daemonKey = "cluster-key-of-the-daemons"

// Place is a failure domain in a region.
type Place struct {
	Domain string
	Region string
}

// Config configures a Cluster.
type Config struct {
	// Agents is the number of agents, each beside one engine. The first ones
	// also stand beside the ledger.
	Agents int
	// Dial opens the entries' connections to other daemons; nil means TCP.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
	// Engine configures the engines.
	Engine savorypinstandin.EngineConfig
	// Entries is the number of entries.
	Entries int
	// Ledgers is the number of agents that also stand beside the ledger; zero
	// means one.
	Ledgers int
	// Models returns the models of an engine at the start; nil if Engine says
	// so for all.
	Models func(agent int) []string
	// Logger logs what the daemons do.
	Logger *log.Logger
	// Places are given to daemons in turn.
	Places []Place
	// Set changes the settings of each daemon; nil changes nothing.
	Set func(*savorypindaemon.Settings)
	// StopGrace is how long running work may take to finish at a stop.
	StopGrace time.Duration
}

// Agent is an agent of the cluster.
type Agent struct {
	*savorypinagent.Agent

	// Engine is the engine beside the agent.
	Engine *savorypinstandin.Engine

	cfg   savorypinagent.Config
	close context.CancelFunc
	done  chan struct{}
}

// Entry is an entry of the cluster.
type Entry struct {
	*savorypinentry.Entry

	cfg   savorypinentry.Config
	close context.CancelFunc
	done  chan struct{}
}

// Cluster is a running system.
type Cluster struct {
	agents      []*Agent
	cancel      context.CancelFunc
	cfg         Config
	ctx         context.Context //nolint:containedctx // It is the life of the cluster.
	entries     []*Entry
	ledger      *savorypinstandin.Ledger
	ledgerURL   string
	platform    *savorypinstandin.Platform
	platformURL string
	seeds       []string
	servers     []*http.Server
	wg          sync.WaitGroup
}

// Start starts a cluster. It must be closed.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{
		cancel:   cancel,
		cfg:      cfg,
		ctx:      ctx,
		ledger:   savorypinstandin.NewLedger(),
		platform: savorypinstandin.NewPlatform(),
	}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	var err error
	if c.platformURL, err = c.Serve(c.platform); err != nil {
		return err
	}
	if c.ledgerURL, err = c.Serve(c.ledger); err != nil {
		return err
	}
	for i := range c.cfg.Entries {
		if err := c.addEntry(i); err != nil {
			return err
		}
	}
	for i := range c.cfg.Agents {
		if err := c.addAgent(i); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all daemons and stand-ins.
func (c *Cluster) Close() {
	c.cancel()
	for _, server := range c.servers {
		server.Close()
	}
	c.wg.Wait()
}

// Agents returns the agents.
func (c *Cluster) Agents() []*Agent {
	return c.agents
}

// Entries returns the entries.
func (c *Cluster) Entries() []*Entry {
	return c.entries
}

// Ledger returns the stand-in of the plain service.
func (c *Cluster) Ledger() *savorypinstandin.Ledger {
	return c.ledger
}

// Platform returns the stand-in of the platform.
func (c *Cluster) Platform() *savorypinstandin.Platform {
	return c.platform
}

// PlatformURL returns the base URL of the platform.
func (c *Cluster) PlatformURL() string {
	return c.platformURL
}

// URLs returns the base URLs of the entries.
func (c *Cluster) URLs() []string {
	var urls []string
	for _, e := range c.entries {
		urls = append(urls, e.URL())
	}
	return urls
}

// Client returns a client of the given entries, or of all if none is given.
func (c *Cluster) Client(entries ...int) *savorypinclient.Client {
	urls := c.URLs()
	if len(entries) > 0 {
		urls = nil
		for _, i := range entries {
			urls = append(urls, c.entries[i].URL())
		}
	}
	return savorypinclient.New(savorypinclient.Config{Entries: urls})
}

// Serve serves a handler on loopback and returns its base URL.
func (c *Cluster) Serve(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	c.servers = append(c.servers, server)
	c.wg.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			c.cfg.Logger.Error("Stand-in ended", "err", err)
		}
	})
	return "http://" + ln.Addr().String(), nil
}

func (c *Cluster) addEntry(i int) error {
	settings := c.settings(fmt.Sprintf("entry-%d", i), i)
	cfg := savorypinentry.Config{
		AnonymousOrganisation: Organisation,
		Dial:                  c.cfg.Dial,
		Logger:                c.cfg.Logger,
		Settings:              settings,
	}
	e, err := c.runEntry(cfg)
	if err != nil {
		return err
	}
	c.entries = append(c.entries, e)
	c.seeds = append(c.seeds, e.Daemon().Self().Address)
	return nil
}

func (c *Cluster) runEntry(cfg savorypinentry.Config) (*Entry, error) {
	entry, err := savorypinentry.New(cfg)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	e := &Entry{Entry: entry, cfg: cfg, close: cancel, done: make(chan struct{})}
	c.wg.Go(func() {
		defer close(e.done)
		if err := entry.Run(ctx, savorypincaller.NewHandler(entry)); err != nil {
			c.cfg.Logger.Error("Entry ended", "err", err)
		}
	})
	return e, nil
}

func (c *Cluster) addAgent(i int) error {
	cfg := c.cfg.Engine
	if c.cfg.Models != nil {
		cfg.Models = c.cfg.Models(i)
	}
	engine := savorypinstandin.NewEngine(cfg)
	url, err := c.Serve(engine)
	if err != nil {
		return err
	}
	endpoints := []savorypinagent.EndpointConfig{{
		ChecksFence:      c.cfg.Engine.ChecksFence,
		MaxVersions:      2,
		Name:             fmt.Sprintf("engine-%d", i),
		PrefillPerSecond: c.cfg.Engine.PrefillPerSecond,
		Service:          Service,
		Slots:            c.cfg.Engine.Slots,
		TokensPerSecond:  c.cfg.Engine.TokensPerSecond,
		Type:             savorypin.EndpointEngine,
		URL:              url,
	}}
	if i < max(c.cfg.Ledgers, 1) {
		endpoints = append(endpoints, savorypinagent.EndpointConfig{
			Name:             fmt.Sprintf("ledger-%d", i),
			PrefillPerSecond: 1,
			Service:          Ledger,
			Slots:            c.cfg.Engine.Slots,
			TokensPerSecond:  1,
			Type:             savorypin.EndpointPlain,
			URL:              c.ledgerURL,
		})
	}
	a, err := c.runAgent(savorypinagent.Config{
		Endpoints: endpoints,
		Logger:    c.cfg.Logger,
		Settings:  c.settings(fmt.Sprintf("agent-%d", i), i),
	})
	if err != nil {
		return err
	}
	a.Engine = engine
	c.agents = append(c.agents, a)
	return nil
}

func (c *Cluster) runAgent(cfg savorypinagent.Config) (*Agent, error) {
	agent, err := savorypinagent.New(cfg)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	a := &Agent{Agent: agent, cfg: cfg, close: cancel, done: make(chan struct{})}
	c.wg.Go(func() {
		defer close(a.done)
		if err := agent.Run(ctx); err != nil {
			c.cfg.Logger.Error("Agent ended", "err", err)
		}
	})
	return a, nil
}

func (c *Cluster) settings(name string, i int) savorypindaemon.Settings {
	place := c.cfg.Places[i%len(c.cfg.Places)]
	s := savorypindaemon.Settings{
		Domain:        place.Domain,
		HTTP:          "127.0.0.1:0",
		Key:           daemonKey,
		LeaseDuration: time.Second,
		Listen:        "127.0.0.1:0",
		Name:          name,
		OperatorToken: OperatorToken,
		Platform:      c.platformURL,
		Region:        place.Region,
		Seeds:         c.seeds,
		StopGrace:     c.cfg.StopGrace,
		WeightLoads:   1,
	}
	if c.cfg.Set != nil {
		c.cfg.Set(&s)
	}
	return s
}

// URL returns the base URL of the entry.
func (e *Entry) URL() string {
	return "http://" + e.Daemon().HTTPAddress()
}

// Kill ends an entry at once and waits until it has ended.
func (e *Entry) Kill() {
	e.close()
	<-e.done
}

// Done returns a channel that is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} {
	return e.done
}

// Kill ends an agent at once and waits until it has ended. Its engine lives.
func (a *Agent) Kill() {
	a.close()
	<-a.done
}

// Done returns a channel that is closed when the agent has ended.
func (a *Agent) Done() <-chan struct{} {
	return a.done
}

// RestartAgent kills an agent and starts it again with the same settings and
// an empty memory. It listens for daemons at the same address.
func (c *Cluster) RestartAgent(i int) error {
	old := c.agents[i]
	old.Kill()
	cfg := old.cfg
	cfg.Settings.Listen = old.Daemon().Self().Address
	a, err := c.runAgent(cfg)
	if err != nil {
		return err
	}
	a.Engine = old.Engine
	c.agents[i] = a
	return nil
}

// RestartEntry kills an entry and starts it again with the same settings and
// an empty memory. It listens for daemons at the same address.
func (c *Cluster) RestartEntry(i int) error {
	old := c.entries[i]
	old.Kill()
	cfg := old.cfg
	cfg.Settings.Listen = old.Daemon().Self().Address
	cfg.Settings.Seeds = c.settings("", 0).Seeds
	e, err := c.runEntry(cfg)
	if err != nil {
		return err
	}
	c.entries[i] = e
	// Daemons that run read the old list.
	c.seeds = slices.Clone(c.seeds)
	c.seeds[i] = e.Daemon().Self().Address
	return nil
}

// Apply writes an object to the platform, as an operator would.
func (c *Cluster) Apply(kind savorypin.Kind, name string, spec any) (savorypin.Object, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return savorypin.Object{}, fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}
	o := savorypin.Object{
		At:    time.Now(),
		By:    "cluster",
		Key:   savorypin.Key{Kind: kind, Name: name},
		Order: uuid.NewString(),
		Spec:  data,
	}
	if err := savorypin.CheckObject(o); err != nil {
		return o, err
	}
	platform := savorypinplatform.NewClient(savorypinplatform.Config{URL: c.platformURL})
	held, err := platform.Get(c.ctx, o.Key)
	if err != nil {
		return platform.Create(c.ctx, o)
	}
	o.Status = held.Status
	o.Version = held.Version
	return platform.Update(c.ctx, o)
}

// Configure applies the objects that serve Service and Ledger and waits until
// every entry serves both. Ledger has the route sale, which is not idempotent,
// and the route stock, which is.
func (c *Cluster) Configure() error {
	objects := []struct {
		kind savorypin.Kind
		name string
		spec any
	}{
		{savorypin.KindOrganisation, Organisation, savorypin.OrganisationSpec{}},
		{savorypin.KindService, Ledger, savorypin.ServiceSpec{Type: savorypin.ServicePlain}},
		{savorypin.KindRoute, "ledger-sale", savorypin.RouteSpec{Path: "/sale", Route: "sale", Service: Ledger}},
		{savorypin.KindRoute, "ledger-stock", savorypin.RouteSpec{Idempotent: true, Path: "/stock", Route: "stock", Service: Ledger}},
		{savorypin.KindVersion, Version, savorypin.VersionSpec{Model: Model, Service: Service}},
		{savorypin.KindService, Service, savorypin.ServiceSpec{Type: savorypin.ServiceGeneration, Version: Version}},
	}
	for _, o := range objects {
		if _, err := c.Apply(o.kind, o.name, o.spec); err != nil {
			return err
		}
	}
	for i := range c.entries {
		if err := c.WaitServing(i); err != nil {
			return err
		}
	}
	return nil
}

// WaitServing waits until an entry serves Service and Ledger and knows all
// agents.
func (c *Cluster) WaitServing(i int) error {
	const pause = 20 * time.Millisecond
	for {
		err := c.trySmallRequests(i)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pause):
		case <-c.ctx.Done():
			return fmt.Errorf("entry %d does not serve: %w", i, err)
		}
	}
}

func (c *Cluster) trySmallRequests(i int) error {
	known := 0
	for _, m := range c.entries[i].Daemon().Members().All() {
		for _, e := range m.State().Endpoints {
			if e.Healthy && strings.HasPrefix(e.Name, "engine-") && len(e.Versions) > 0 && m.Usable() {
				known++
			}
		}
	}
	if known < len(c.agents) {
		return fmt.Errorf("knows %d of %d engines", known, len(c.agents))
	}
	client := c.Client(i)
	_, err := client.Stream(c.ctx, savorypinclient.Request{
		MaxTokens: 1,
		Prompt:    "ready",
		Service:   Service,
	}, func(savorypinclient.Token) error { return nil })
	if err != nil {
		return err
	}
	_, err = client.Call(c.ctx, Ledger, "stock", "", struct{}{})
	return err
}
