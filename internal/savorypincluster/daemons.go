package savorypincluster

import (
	"context"
	"fmt"
	"slices"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinagent"
	"savorypin/internal/savorypincaller"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinentry"
	"savorypin/internal/savorypinstandin"
)

// peerKey authenticates the daemons to each other.
const peerKey = "cluster-key-of-the-daemons"

// Agent is an agent of the cluster with its engine.
type Agent struct {
	*savorypinagent.Agent

	// Engine is the engine that the agent serves.
	Engine *savorypinstandin.Engine

	cfg    savorypinagent.Config
	cancel context.CancelFunc
	done   chan struct{}
}

// Entry is an entry of the cluster.
type Entry struct {
	*savorypinentry.Entry

	cfg    savorypinentry.Config
	cancel context.CancelFunc
	done   chan struct{}
}

func (c *Cluster) addEntry(i int) error {
	settings := c.daemonSettings(fmt.Sprintf("entry-%d", i), i)
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
	e := &Entry{Entry: entry, cfg: cfg, cancel: cancel, done: make(chan struct{})}
	c.wg.Go(func() {
		defer close(e.done)
		if err := entry.Run(ctx, savorypincaller.NewHandler(entry)); err != nil {
			c.cfg.Logger.Error("Entry failed", "err", err)
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
	if i < max(c.cfg.LedgerAgents, 1) {
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
		Settings:  c.daemonSettings(fmt.Sprintf("agent-%d", i), i),
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
	a := &Agent{Agent: agent, cfg: cfg, cancel: cancel, done: make(chan struct{})}
	c.wg.Go(func() {
		defer close(a.done)
		if err := agent.Run(ctx); err != nil {
			c.cfg.Logger.Error("Agent failed", "err", err)
		}
	})
	return a, nil
}

func (c *Cluster) daemonSettings(name string, i int) savorypindaemon.Settings {
	place := c.cfg.Places[i%len(c.cfg.Places)]
	s := savorypindaemon.Settings{
		Domain:        place.Domain,
		HTTP:          "127.0.0.1:0",
		Key:           peerKey,
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
	if c.cfg.ChangeSettings != nil {
		c.cfg.ChangeSettings(&s)
	}
	return s
}

// URL returns the base URL of the entry.
func (e *Entry) URL() string {
	return "http://" + e.Daemon().HTTPAddress()
}

// Kill ends the entry without a graceful stop and waits until it has ended.
func (e *Entry) Kill() {
	e.cancel()
	<-e.done
}

// Done returns a channel that is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} {
	return e.done
}

// Kill ends the agent without a graceful stop and waits until it has ended.
// Its engine keeps running.
func (a *Agent) Kill() {
	a.cancel()
	<-a.done
}

// Done returns a channel that is closed when the agent has ended.
func (a *Agent) Done() <-chan struct{} {
	return a.done
}

// RestartAgent kills an agent and starts a new one with the same settings, the
// same address for other daemons and no state.
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

// RestartEntry kills an entry and starts a new one with the same address for other
// daemons and no state. Its settings are the same, except that the seeds are all
// entries and not only those that were added before it.
func (c *Cluster) RestartEntry(i int) error {
	old := c.entries[i]
	old.Kill()
	cfg := old.cfg
	cfg.Settings.Listen = old.Daemon().Self().Address
	cfg.Settings.Seeds = c.daemonSettings("", 0).Seeds
	e, err := c.runEntry(cfg)
	if err != nil {
		return err
	}
	c.entries[i] = e
	// Running daemons may still read the old slice.
	c.seeds = slices.Clone(c.seeds)
	c.seeds[i] = e.Daemon().Self().Address
	return nil
}
