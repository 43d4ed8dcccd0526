package savorypinpick

import (
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypinfleet"
)

// pruneThreshold is the number of locations from which on adding a prompt first removes
// the expired ones.
const pruneThreshold = 8192

// Prompt is the location of a cached prompt, as gateways keep it in the store.
type Prompt struct {
	Endpoint string `json:"endpoint"`
	// ID is the ID of the last part of the prompt.
	ID string `json:"name"`
}

// promptLocation is the engine that last prefilled a prompt, and the time of the last
// report of it.
type promptLocation struct {
	recordedAt time.Time
	endpoint   string
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
	if prompt.ID == "" {
		return
	}
	if len(p.locations) >= pruneThreshold {
		p.prune()
	}
	p.locations[prompt.ID] = promptLocation{recordedAt: p.now(), endpoint: prompt.Endpoint}
}

// recordRemote records the prompts of streams that run at an endpoint through another
// gateway.
func (p *promptIndex) recordRemote(endpoint string, promptIDs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range promptIDs {
		p.record(Prompt{Endpoint: endpoint, ID: id})
	}
}

// streamStarted records that a stream of this gateway runs with a prompt.
func (p *promptIndex) streamStarted(prompt Prompt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(prompt)
	p.running[prompt.ID] = prompt.Endpoint
}

// streamEnded records that the stream of this gateway with a prompt has ended.
func (p *promptIndex) streamEnded(promptID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint, ok := p.running[promptID]; ok {
		p.record(Prompt{Endpoint: endpoint, ID: promptID})
		delete(p.running, promptID)
	}
}

// prune removes the prompts whose retention at the engine has probably expired. The
// caller must hold p.mu.
func (p *promptIndex) prune() {
	now := p.now()
	for promptID, location := range p.locations {
		if now.Sub(location.recordedAt) > p.retention {
			delete(p.locations, promptID)
		}
	}
}

// endpointFor returns the ID of the engine that has a prompt cached; empty if unknown.
func (p *promptIndex) endpointFor(promptID string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	location, ok := p.locations[promptID]
	if !ok || p.now().Sub(location.recordedAt) > p.retention {
		return ""
	}
	return location.endpoint
}

// RecordPromptCached records that an engine has prefilled the prompt of a stream.
func (p *Picker) RecordPromptCached(e *savorypinfleet.Endpoint, promptID string) {
	if promptID != "" {
		p.prompts.streamStarted(Prompt{Endpoint: e.ID(), ID: promptID})
	}
}

// RecordStreamEnd records that the stream with a prompt has ended.
func (p *Picker) RecordStreamEnd(promptID string) {
	p.prompts.streamEnded(promptID)
}

// runningByEndpoint returns the prompts of this gateway's running streams by engine.
// Other gateways need them if this gateway is lost and its callers resume through them.
func (p *promptIndex) runningByEndpoint() map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	promptIDs := map[string][]string{}
	for id, endpoint := range p.running {
		promptIDs[endpoint] = append(promptIDs[endpoint], id)
	}
	for _, ids := range promptIDs {
		slices.Sort(ids)
	}
	return promptIDs
}

// RecentPrompts returns the prompts, whichever gateway reported them, that belong to
// running streams of this gateway or were recorded within the given time.
func (p *Picker) RecentPrompts(within time.Duration) []Prompt {
	p.prompts.mu.Lock()
	defer p.prompts.mu.Unlock()
	now := p.cfg.Now()
	var recent []Prompt
	for id, location := range p.prompts.locations {
		if _, running := p.prompts.running[id]; running || now.Sub(location.recordedAt) < within {
			recent = append(recent, Prompt{Endpoint: location.endpoint, ID: id})
		}
	}
	return recent
}

// AddPrompts records prompts that were read from the store.
func (p *Picker) AddPrompts(prompts []Prompt) {
	p.prompts.mu.Lock()
	defer p.prompts.mu.Unlock()
	for _, prompt := range prompts {
		p.prompts.record(prompt)
	}
}

// PromptCached reports whether any engine probably has a prompt cached.
func (p *Picker) PromptCached(promptID string) bool {
	return promptID != "" && p.prompts.endpointFor(promptID) != ""
}

// PromptCachedAt reports whether the given engine probably has a prompt cached.
func (p *Picker) PromptCachedAt(e *savorypinfleet.Endpoint, promptID string) bool {
	return promptID != "" && p.prompts.endpointFor(promptID) == e.ID()
}
