package savorypincluster

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinplatform"
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

// Apply creates or updates an object on the platform, as an operator would.
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
	current, err := platform.Get(c.ctx, o.Key)
	if err != nil {
		return platform.Create(c.ctx, o)
	}
	o.Status = current.Status
	o.Version = current.Version
	return platform.Update(c.ctx, o)
}

// Configure applies the objects that define Service and Ledger and waits until
// every entry serves both. Ledger has the route "sale", which is not idempotent,
// and the route "stock", which is.
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

// WaitServing waits until an entry serves Service and Ledger and can use the
// engines of all agents. It returns an error if the cluster is closed first.
func (c *Cluster) WaitServing(i int) error {
	const pollInterval = 20 * time.Millisecond
	for {
		err := c.checkServing(i)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-c.ctx.Done():
			return fmt.Errorf("entry %d does not serve: %w", i, err)
		}
	}
}

// checkServing checks that an entry can use the engines of all agents, and sends
// it one request for each service.
func (c *Cluster) checkServing(i int) error {
	usable := 0
	for _, m := range c.entries[i].Daemon().Members().All() {
		for _, e := range m.State().Endpoints {
			if e.Healthy && strings.HasPrefix(e.Name, "engine-") && len(e.Versions) > 0 && m.Usable() {
				usable++
			}
		}
	}
	if usable < len(c.agents) {
		return fmt.Errorf("can use %d of %d engines", usable, len(c.agents))
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
