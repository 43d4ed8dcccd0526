package savorypinconfig

import (
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// requiredDomains is the number of failure domains whose members must have the same
// digest as a daemon before it considers its configuration complete.
const requiredDomains = 2

// discoveryPeriod is how long a daemon searches for members before it accepts fewer
// than requiredDomains failure domains, if it has found no more.
const discoveryPeriod = time.Second

// ReadinessConfig configures a Readiness.
type ReadinessConfig struct {
	// Domains returns the number of failure domains that have live members other than
	// this daemon.
	Domains func() int
	// Now is the clock.
	Now func() time.Time
}

// Readiness decides when a daemon that has just started has the whole
// configuration. That is once it has listed all kinds at the platform, or once its
// digest equals those of peers in two failure domains, or in all domains that it
// reaches if there are fewer.
type Readiness struct {
	cfg ReadinessConfig

	mu            sync.Mutex
	agreedDomains map[string]bool
	listedKinds   map[savorypin.Kind]bool
	started       time.Time
	synced        bool
}

// NewReadiness returns the Readiness of a daemon that has no configuration yet.
func NewReadiness(cfg ReadinessConfig) *Readiness {
	return &Readiness{
		agreedDomains: map[string]bool{},
		cfg:           cfg,
		listedKinds:   map[savorypin.Kind]bool{},
		started:       cfg.Now(),
	}
}

// Synced reports whether the daemon has the whole configuration.
func (r *Readiness) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Joining reports whether the daemon has just started, so that it does not know yet
// which other daemons are readers of the platform.
func (r *Readiness) Joining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Now().Sub(r.started) < discoveryPeriod
}

// RecordListed records that a kind was listed at the platform.
func (r *Readiness) RecordListed(kind savorypin.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedKinds[kind] = true
	if len(r.listedKinds) == len(savorypin.ConfigKinds) {
		r.synced = true
	}
}

// CompareDigest compares the digest of a peer that has the whole configuration with this
// daemon's own, and records the peer's failure domain if they are equal.
func (r *Readiness) CompareDigest(domain string, own, peer savorypin.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.synced || own != peer {
		return
	}
	r.agreedDomains[domain] = true
	required := requiredDomains
	if r.cfg.Now().Sub(r.started) >= discoveryPeriod {
		required = min(required, r.cfg.Domains())
	}
	r.synced = len(r.agreedDomains) >= required
}
