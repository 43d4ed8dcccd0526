package savorypinpick

import (
	"cmp"
	"math"
	"slices"
	"time"

	"savorypin/internal/savorypinfleet"
)

// failureTTL is how long a domain failure is kept and shared with other gateways.
const failureTTL = 1500 * time.Millisecond

// restartWindow is the time within which restarts of several endpoints count as a
// failure of their domain. It allows for their entries being registered one after
// another.
const restartWindow = 2 * time.Second

// Load is a gateway's work at one endpoint, as gateways exchange it.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes the struct as an array, without field names
	Endpoint string   `msgpack:"e"`
	// PromptIDs are the IDs of the last parts of the prompts that the endpoint has prefilled
	// for running streams.
	PromptIDs []string `msgpack:"p,omitempty"`
	Running   int64    `msgpack:"r"`
	// Waiting is the number of prompt tokens still to be prefilled.
	Waiting int64 `msgpack:"w,omitempty"`
	// Memory is the KV memory that is reserved there; nil for none. It comes last, as gateways of
	// earlier releases don't send it.
	Memory *MemoryLoad `msgpack:"m,omitempty"`
}

// memoryBlock is the unit of a MemoryLoad in tokens. A load takes part in most messages, so that it
// has to be small.
const memoryBlock = 256

// MemoryLoad is the KV memory that a gateway has reserved at an endpoint, in blocks of 256 tokens.
type MemoryLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes the struct as an array, without field names
	// Copies is reserved for copies of requests that run elsewhere, Requests for requests that are
	// sent to the endpoint.
	Copies   uint16 `msgpack:"c"`
	Requests uint16 `msgpack:"r"`
}

// memoryLoad returns what this gateway has reserved at an endpoint; nil for nothing.
func (s *endpointState) memoryLoad() *MemoryLoad {
	copied, reserved := s.copied.Load(), s.reserved.Load()
	if copied <= 0 && reserved <= 0 {
		return nil
	}
	return &MemoryLoad{Copies: memoryBlocks(copied), Requests: memoryBlocks(reserved)}
}

// memoryBlocks returns a number of tokens in blocks, rounded up.
func memoryBlocks(tokens int64) uint16 {
	return uint16(min(math.MaxUint16, max(0, tokens+memoryBlock-1)/memoryBlock))
}

// Failure is a failure of a service's endpoints in a domain, as gateways exchange it.
type Failure struct {
	// Age is the time since the failure was detected.
	Age     time.Duration `msgpack:"a"`
	Domain  string        `msgpack:"d"`
	Service string        `msgpack:"s,omitempty"`
}

// failureRecord is a domain failure and the time at which it was detected.
type failureRecord struct {
	at     time.Time
	domain string
	// local is true if this gateway detected the failure.
	local   bool
	service string
}

// recordFailure records a domain failure and reports whether it is new. The caller must
// hold p.mu.
func (p *Picker) recordFailure(f failureRecord) bool {
	kept := p.failures[:0]
	for _, known := range p.failures {
		if p.cfg.Now().Sub(known.at) < failureTTL {
			kept = append(kept, known)
		}
	}
	p.failures = kept
	for _, known := range p.failures {
		if known.domain == f.domain && known.service == f.service {
			return false
		}
	}
	p.failures = append(p.failures, f)
	p.cfg.Hazard.Record(f.domain, f.at)
	return true
}

// FailureHistory returns the domain failures that the hazard estimate is based on, for
// gateways that have just started.
func (p *Picker) FailureHistory() []Failure {
	now := p.cfg.Now()
	var history []Failure
	for _, f := range p.cfg.Hazard.Failures() {
		history = append(history, Failure{Age: now.Sub(f.At), Domain: f.Domain})
	}
	return history
}

// AddFailureHistory adds the failure history of another gateway to the hazard estimate.
func (p *Picker) AddFailureHistory(history []Failure) {
	now := p.cfg.Now()
	for _, f := range history {
		p.cfg.Hazard.Record(f.Domain, now.Add(-f.Age))
	}
}

// Failures returns the recent domain failures that this gateway detected itself.
func (p *Picker) Failures() []Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	var failures []Failure
	for _, f := range p.failures {
		if age := p.cfg.Now().Sub(f.at); f.local && age < failureTTL {
			failures = append(failures, Failure{Age: age, Domain: f.domain, Service: f.service})
		}
	}
	return failures
}

// RecordRemoteFailure records a domain failure that another gateway detected. It reports
// whether the failure is new.
func (p *Picker) RecordRemoteFailure(f Failure) bool {
	if f.Age < 0 || f.Age >= failureTTL {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recordFailure(failureRecord{at: p.cfg.Now().Add(-f.Age), domain: f.Domain, service: f.Service})
}

// maxLoads limits the endpoints in a gateway's load report, and maxPromptsPerLoad the
// prompts per endpoint.
const (
	maxLoads          = 128
	maxPromptsPerLoad = 16
)

// Loads returns this gateway's streams by endpoint, limited to the endpoints with the
// most streams. Plain requests are left out because they end before a report reaches
// other gateways.
func (p *Picker) Loads() []Load {
	prompts := p.prompts.runningByEndpoint()
	var loads []Load
	p.states.Range(func(id, value any) bool {
		state := value.(*endpointState)
		running, memory := state.running.Load(), state.memoryLoad()
		if (running > 0 || memory != nil) && !state.plain.Load() {
			promptIDs := prompts[id.(string)]
			loads = append(loads, Load{
				Endpoint: id.(string), PromptIDs: promptIDs[:min(len(promptIDs), maxPromptsPerLoad)], Running: running, Waiting: state.waitingTokens.Load(),
				Memory: memory,
			})
		}
		return true
	})
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return loads[:min(len(loads), maxLoads)]
}

// SetLoads replaces the load reported by another gateway. Nil loads remove the gateway.
func (p *Picker) SetLoads(gateway string, loads []Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.remoteLoads[gateway] {
		p.addRemoteLoad(l, -1)
	}
	for _, l := range loads {
		p.addRemoteLoad(l, 1)
		p.prompts.recordRemote(l.Endpoint, l.PromptIDs)
	}
	p.remoteLoads[gateway] = loads
	if len(loads) == 0 {
		delete(p.remoteLoads, gateway)
	}
}

func (p *Picker) addRemoteLoad(l Load, sign int64) {
	state := p.stateByID(l.Endpoint)
	state.remoteRunning.Add(sign * l.Running)
	state.remoteWaitingTokens.Add(sign * l.Waiting)
	if l.Memory != nil {
		state.remoteReserved.Add(sign * memoryBlock * int64(l.Memory.Requests))
		state.remoteCopied.Add(sign * memoryBlock * int64(l.Memory.Copies))
	}
}

// RetainGateways removes the loads of gateways that are not in live.
func (p *Picker) RetainGateways(live map[string]bool) {
	p.mu.Lock()
	var removed []string
	for gateway := range p.remoteLoads {
		if !live[gateway] {
			removed = append(removed, gateway)
		}
	}
	p.mu.Unlock()
	for _, gateway := range removed {
		p.SetLoads(gateway, nil)
	}
}

// Suspects returns the sorted IDs of the endpoints of which this gateway itself has
// observed a failure or a protocol error within sharedSuspicionTTL, and which have not
// answered since.
func (p *Picker) Suspects() []string {
	now := p.cfg.Now().UnixNano()
	var suspects []string
	p.states.Range(func(id, value any) bool {
		if now < value.(*endpointState).shareSuspicionUntil.Load() {
			suspects = append(suspects, id.(string))
		}
		return true
	})
	slices.Sort(suspects)
	return suspects
}

// RecordRemoteSuspect marks an endpoint as suspect because another gateway reported it
// as suspect.
func (p *Picker) RecordRemoteSuspect(e *savorypinfleet.Endpoint) {
	p.state(e).extendSuspicion(p.cfg.Now().Add(sharedSuspicionTTL).UnixNano())
}

// RecordRestarts records that endpoints were lost and have started again. Restarts of
// several endpoints of a domain within restartWindow count as a failure of the domain,
// even if no request has failed there.
func (p *Picker) RecordRestarts(endpoints []*savorypinfleet.Endpoint) {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range endpoints {
		d := p.domainRecord(e.Domain(), e.Service())
		for id, at := range d.restartedAt {
			if now.Sub(at) > restartWindow {
				delete(d.restartedAt, id)
			}
		}
		d.restartedAt[e.ID()] = now
		if len(d.restartedAt) >= minFailedEndpoints {
			age := max(0, min(now.Sub(e.Started()), restartWindow))
			p.cfg.Hazard.Record(e.Domain(), now.Add(-age))
		}
	}
}
