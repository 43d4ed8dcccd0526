package savorypinpick

import (
	"time"

	"savorypin/internal/savorypinfleet"
)

// failureTime is how long a failure of a domain is told to other gateways.
const failureTime = 1500 * time.Millisecond

// restartWindow is the time within which restarts of several endpoints count as
// a failure of their domain; their entries come one by one.
const restartWindow = 2 * time.Second

// Load is a gateway's work at one endpoint, as gateways tell each other.
type Load struct {
	Endpoint string `msgpack:"e"`
	Running  int64  `msgpack:"r"`
	// Waiting is the number of prompt tokens that have not been read.
	Waiting int64 `msgpack:"w"`
}

// Failure is a failure of the endpoints of a service in a domain, as gateways tell
// each other.
type Failure struct {
	// Age is how long ago it was seen.
	Age     time.Duration `msgpack:"a"`
	Domain  string        `msgpack:"d"`
	Service string        `msgpack:"s,omitempty"`
}

// failureRecord is a failure with the time when it was seen.
type failureRecord struct {
	at      time.Time
	domain  string
	service string
}

// recordFailure takes note of a failure of a domain. It reports whether it is
// new. The caller holds p.mu.
func (p *Picker) recordFailure(domain, service string, at time.Time) bool {
	kept := p.failures[:0]
	for _, f := range p.failures {
		if p.cfg.Now().Sub(f.at) < failureTime {
			kept = append(kept, f)
		}
	}
	p.failures = kept
	for _, f := range p.failures {
		if f.domain == domain && f.service == service {
			return false
		}
	}
	p.failures = append(p.failures, failureRecord{at: at, domain: domain, service: service})
	p.cfg.Hazard.Record(domain, at)
	return true
}

// History returns the failures of domains that the hazard estimate rests on, for
// gateways that have just started.
func (p *Picker) History() []Failure {
	now := p.cfg.Now()
	var history []Failure
	for _, f := range p.cfg.Hazard.Failures() {
		history = append(history, Failure{Age: now.Sub(f.At), Domain: f.Domain})
	}
	return history
}

// HearHistory takes note of failures that another gateway remembers.
func (p *Picker) HearHistory(history []Failure) {
	now := p.cfg.Now()
	for _, f := range history {
		p.cfg.Hazard.Record(f.Domain, now.Add(-f.Age))
	}
}

// Failures returns the failures of domains that were seen lately.
func (p *Picker) Failures() []Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	var failures []Failure
	for _, f := range p.failures {
		if age := p.cfg.Now().Sub(f.at); age < failureTime {
			failures = append(failures, Failure{Age: age, Domain: f.domain, Service: f.service})
		}
	}
	return failures
}

// HearFailure takes note of a failure that another gateway has seen. It reports
// whether it is new.
func (p *Picker) HearFailure(f Failure) bool {
	if f.Age < 0 || f.Age >= failureTime {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recordFailure(f.Domain, f.Service, p.cfg.Now().Add(-f.Age))
}

// Loads returns this gateway's work at all endpoints.
func (p *Picker) Loads() []Load {
	var loads []Load
	p.loads.Range(func(id, value any) bool {
		l := value.(*load)
		if running := l.running.Load(); running > 0 {
			loads = append(loads, Load{Endpoint: id.(string), Running: running, Waiting: l.waiting.Load()})
		}
		return true
	})
	return loads
}

// SetLoads replaces what another gateway told of its work. Nil loads take the
// gateway out.
func (p *Picker) SetLoads(gateway string, loads []Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.others[gateway] {
		p.addOthers(l, -1)
	}
	for _, l := range loads {
		p.addOthers(l, 1)
	}
	p.others[gateway] = loads
	if len(loads) == 0 {
		delete(p.others, gateway)
	}
}

func (p *Picker) addOthers(l Load, sign int64) {
	known := p.loadOf(l.Endpoint)
	known.othersRunning.Add(sign * l.Running)
	known.othersWaiting.Add(sign * l.Waiting)
}

// KeepGateways drops the work of gateways that are not alive.
func (p *Picker) KeepGateways(alive map[string]bool) {
	p.mu.Lock()
	var gone []string
	for gateway := range p.others {
		if !alive[gateway] {
			gone = append(gone, gateway)
		}
	}
	p.mu.Unlock()
	for _, gateway := range gone {
		p.SetLoads(gateway, nil)
	}
}

// Suspects returns the endpoints that this gateway itself found failed.
func (p *Picker) Suspects() []string {
	now := p.cfg.Now().UnixNano()
	var suspects []string
	p.loads.Range(func(id, value any) bool {
		if now < value.(*load).ownSuspectUntil.Load() {
			suspects = append(suspects, id.(string))
		}
		return true
	})
	return suspects
}

// HearSuspect puts an endpoint under suspicion that another gateway found
// failed.
func (p *Picker) HearSuspect(e *savorypinfleet.Endpoint) {
	p.load(e).suspectAtLeast(p.cfg.Now().Add(heardSuspectTime).UnixNano())
}

// Restarted takes note that endpoints were lost and have started again. A domain
// in which several did so at once has failed, even if no work was there that
// could have shown it.
func (p *Picker) Restarted(endpoints []*savorypinfleet.Endpoint) {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range endpoints {
		d := p.domain(e.Domain(), e.Service())
		for id, at := range d.restarted {
			if now.Sub(at) > restartWindow {
				delete(d.restarted, id)
			}
		}
		d.restarted[e.ID()] = now
		if len(d.restarted) >= domainFailures {
			age := max(0, min(now.Sub(e.Started()), restartWindow))
			p.cfg.Hazard.Record(e.Domain(), now.Add(-age))
		}
	}
}
