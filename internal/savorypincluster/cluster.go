// Package savorypincluster runs a small system in one process on the loopback
// interface: entries and agents with stand-ins for the platform, the engines
// and a plain service. The demo and the failure tests inject faults into it.
package savorypincluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinstandin"
	"savorypin/pkg/savorypinclient"
)

// OperatorToken is the operators' bearer token.
const OperatorToken = "cluster-operator"

// Place is a failure domain in a region.
type Place struct {
	Domain string
	Region string
}

// Config configures a Cluster.
type Config struct {
	// Agents is the number of agents. Each serves one engine; the first
	// LedgerAgents of them also serve the ledger.
	Agents int
	// Dial opens the entries' connections to other daemons; nil means TCP.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
	// Engine configures the engines.
	Engine savorypinstandin.EngineConfig
	// Entries is the number of entries.
	Entries int
	// LedgerAgents is the number of agents that also serve the ledger; zero
	// means one.
	LedgerAgents int
	// Models returns the models that the engine of an agent has loaded at the
	// start; if nil, all engines start with Engine.Models.
	Models func(agent int) []string
	// Logger is the logger of all daemons.
	Logger *log.Logger
	// Places are assigned to the entries and to the agents in turn.
	Places []Place
	// ChangeSettings, if set, changes the settings of each daemon before it
	// starts.
	ChangeSettings func(*savorypindaemon.Settings)
	// StopGrace is how long running work may take to finish after a daemon is
	// told to stop.
	StopGrace time.Duration
}

// Cluster is a running system of entries, agents and stand-ins.
type Cluster struct {
	agents      []*Agent
	cancel      context.CancelFunc
	cfg         Config
	ctx         context.Context //nolint:containedctx // Daemons that are restarted later run until it ends.
	entries     []*Entry
	ledger      *savorypinstandin.Ledger
	ledgerURL   string
	platform    *savorypinstandin.Platform
	platformURL string
	seeds       []string
	servers     []*http.Server
	wg          sync.WaitGroup
}

// Start starts a cluster, which the caller must close.
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

// Close stops all daemons and stand-ins and waits until they have ended.
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

// Ledger returns the stand-in for the plain service.
func (c *Cluster) Ledger() *savorypinstandin.Ledger {
	return c.ledger
}

// Platform returns the stand-in for the platform.
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

// Client returns a client of the entries with the given indexes, or of all
// entries if none is given.
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

// Serve serves a handler on the loopback interface until the cluster is closed
// and returns its base URL.
func (c *Cluster) Serve(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	c.servers = append(c.servers, server)
	c.wg.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			c.cfg.Logger.Error("Stand-in server failed", "err", err)
		}
	})
	return "http://" + ln.Addr().String(), nil
}
