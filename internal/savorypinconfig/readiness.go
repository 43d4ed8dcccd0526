package savorypinconfig

import (
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// domainsToAgree is the number of failure domains that a daemon has to agree
// with before it trusts its configuration.
const domainsToAgree = 2

// joinPeriod is how long a daemon looks for members before it is content with
// the failure domains that it has found.
const joinPeriod = time.Second

// ReadinessConfig configures a Readiness.
type ReadinessConfig struct {
	// Domains returns the number of failure domains with live members, this
	// daemon's not counted.
	Domains func() int
	// Now is the clock.
	Now func() time.Time
}

// Readiness decides when a daemon that has just started has the whole
// configuration: once it has listed all kinds at the platform, or once it
// agrees with peers of two failure domains, or of all that it reaches.
type Readiness struct {
	cfg ReadinessConfig

	mu      sync.Mutex
	agreed  map[string]bool
	listed  map[savorypin.Kind]bool
	started time.Time
	synced  bool
}

// NewReadiness returns a Readiness of a daemon that has nothing.
func NewReadiness(cfg ReadinessConfig) *Readiness {
	return &Readiness{
		agreed:  map[string]bool{},
		cfg:     cfg,
		listed:  map[savorypin.Kind]bool{},
		started: cfg.Now(),
	}
}

// Synced reports whether the daemon has the whole configuration.
func (r *Readiness) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Joining reports whether the daemon has just started, so that it does not
// know yet who else reads from the platform.
func (r *Readiness) Joining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Now().Sub(r.started) < joinPeriod
}

// Listed notes that a kind was listed at the platform.
func (r *Readiness) Listed(kind savorypin.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed[kind] = true
	if len(r.listed) == len(savorypin.ConfigKinds) {
		r.synced = true
	}
}

// Heard notes the digest of a peer that has the whole configuration.
func (r *Readiness) Heard(domain string, mine, theirs savorypin.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.synced || mine != theirs {
		return
	}
	r.agreed[domain] = true
	need := domainsToAgree
	if r.cfg.Now().Sub(r.started) >= joinPeriod {
		need = min(need, r.cfg.Domains())
	}
	r.synced = len(r.agreed) >= need
}
