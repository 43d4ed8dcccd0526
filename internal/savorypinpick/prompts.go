package savorypinpick

import (
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypinfleet"
)

// maxPrompts is the number of prompts at which expired locations are pruned.
const maxPrompts = 8192

// Prompt is the location of a cached prompt, as gateways keep it in the store.
type Prompt struct {
	Endpoint string `json:"endpoint"`
	// Name is the name of the last part of the prompt.
	Name string `json:"name"`
}

// promptLocation is the engine that last prefilled a prompt.
type promptLocation struct {
	at       time.Time
	endpoint string
}

// promptIndex records which engine has cached which prompt. If a gateway is lost, its
// callers resume through another one, which can then select the engine that need not
// prefill the prompt again. It is safe for concurrent use.
type promptIndex struct {
	retention time.Duration
	now       func() time.Time

	mu        sync.Mutex
	locations map[string]promptLocation
	// running maps the prompts of this gateway's running streams to their engines.
	running map[string]string
}

func newPromptIndex(retention time.Duration, now func() time.Time) *promptIndex {
	return &promptIndex{retention: retention, now: now, locations: map[string]promptLocation{}, running: map[string]string{}}
}

// record sets the location of a prompt. The caller must hold p.mu.
func (p *promptIndex) record(prompt Prompt) {
	if prompt.Name == "" {
		return
	}
	if len(p.locations) >= maxPrompts {
		p.prune()
	}
	p.locations[prompt.Name] = promptLocation{at: p.now(), endpoint: prompt.Endpoint}
}

// recordRemote records prompts that run at an endpoint through another gateway.
func (p *promptIndex) recordRemote(endpoint string, names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		p.record(Prompt{Endpoint: endpoint, Name: name})
	}
}

// streamStarted records that a stream of this gateway runs with a prompt.
func (p *promptIndex) streamStarted(prompt Prompt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(prompt)
	p.running[prompt.Name] = prompt.Endpoint
}

// streamEnded records that the stream of this gateway with a prompt has ended.
func (p *promptIndex) streamEnded(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint, ok := p.running[name]; ok {
		p.record(Prompt{Endpoint: endpoint, Name: name})
		delete(p.running, name)
	}
}

// prune removes the prompts whose retention at the engine has probably expired. The
// caller must hold p.mu.
func (p *promptIndex) prune() {
	now := p.now()
	for name, place := range p.locations {
		if now.Sub(place.at) > p.retention {
			delete(p.locations, name)
		}
	}
}

// endpointFor returns the ID of the engine that has a prompt cached; empty if unknown.
func (p *promptIndex) endpointFor(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	place, ok := p.locations[name]
	if !ok || p.now().Sub(place.at) > p.retention {
		return ""
	}
	return place.endpoint
}

// RecordPromptCached records that an engine has prefilled the prompt of a stream.
func (p *Picker) RecordPromptCached(e *savorypinfleet.Endpoint, name string) {
	if name != "" {
		p.prompts.streamStarted(Prompt{Endpoint: e.ID(), Name: name})
	}
}

// RecordStreamEnd records that the stream with a prompt has ended.
func (p *Picker) RecordStreamEnd(name string) {
	p.prompts.streamEnded(name)
}

// runningByEndpoint returns the prompts of this gateway's running streams by engine.
// Other gateways need them if this gateway is lost and its callers resume through them.
func (p *promptIndex) runningByEndpoint() map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := map[string][]string{}
	for name, endpoint := range p.running {
		names[endpoint] = append(names[endpoint], name)
	}
	for _, list := range names {
		slices.Sort(list)
	}
	return names
}

// RecentPrompts returns the prompts of all gateways that are running here or were
// recorded within the given time.
func (p *Picker) RecentPrompts(within time.Duration) []Prompt {
	p.prompts.mu.Lock()
	defer p.prompts.mu.Unlock()
	now := p.cfg.Now()
	var known []Prompt
	for name, place := range p.prompts.locations {
		if _, running := p.prompts.running[name]; running || now.Sub(place.at) < within {
			known = append(known, Prompt{Endpoint: place.endpoint, Name: name})
		}
	}
	return known
}

// AddPrompts records prompts that ran through other gateways.
func (p *Picker) AddPrompts(prompts []Prompt) {
	p.prompts.mu.Lock()
	defer p.prompts.mu.Unlock()
	for _, prompt := range prompts {
		p.prompts.record(prompt)
	}
}

// PromptCached reports whether any engine probably has a prompt cached.
func (p *Picker) PromptCached(name string) bool {
	return name != "" && p.prompts.endpointFor(name) != ""
}

// PromptCachedAt reports whether the given engine probably has a prompt cached.
func (p *Picker) PromptCachedAt(e *savorypinfleet.Endpoint, name string) bool {
	return name != "" && p.prompts.endpointFor(name) == e.ID()
}
