package savorypingateway

import (
	"cmp"
	"maps"
	"sync"
	"time"

	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinlimit"
)

// requestSharesConfig configures requestShares.
type requestSharesConfig struct {
	// Address is the peer address of this gateway.
	Address string
	// GatewayCount returns the number of gateways.
	GatewayCount func() int
	// HeartbeatInterval returns the time after which the others have heard of a report.
	HeartbeatInterval func() time.Duration
	// Now returns the current time.
	Now func() time.Time
}

// requestShares knows which part of the requests to each service comes to this gateway, by the
// counts that gateways report to each other for the retry budgets. It is safe for concurrent use.
type requestShares struct {
	cfg requestSharesConfig

	mu sync.Mutex
	// known are this gateway's requests that the others have heard of, by service, and reported
	// those that it last reported, at reportedAt.
	known, reported map[string]float64
	reportedAt      time.Time
	// peers holds the requests of other gateways by service and gateway.
	peers map[string]map[string]float64
}

func newRequestShares(cfg requestSharesConfig) *requestShares {
	return &requestShares{cfg: cfg, peers: map[string]map[string]float64{}}
}

// recordReport records what this gateway reports. What it reported at least a heartbeat ago is known
// to the others.
func (r *requestShares) recordReport(counts []savorypingossip.ServiceSendCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if now.Sub(r.reportedAt) < r.cfg.HeartbeatInterval() {
		return
	}
	r.known, r.reported, r.reportedAt = r.reported, map[string]float64{}, now
	for _, c := range counts {
		r.reported[c.Service] = c.First
	}
}

// setPeer replaces the counts of another gateway for the given services.
func (r *requestShares) setPeer(gateway string, counts []savorypingossip.ServiceSendCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range counts {
		if r.peers[c.Service] == nil {
			r.peers[c.Service] = map[string]float64{}
		}
		r.peers[c.Service][gateway] = c.First
	}
}

// retainPeers drops the counts of gateways that are not live.
func (r *requestShares) retainPeers(live map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peers := range r.peers {
		maps.DeleteFunc(peers, func(gateway string, _ float64) bool { return !live[gateway] })
	}
}

// share returns this gateway's part of the requests to a service.
func (r *requestShares) share(service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []float64
	for _, n := range r.peers[service] {
		others = append(others, n)
	}
	return savorypinlimit.ShareOf(r.known[service], others, r.cfg.GatewayCount())
}

// busiest reports whether no other gateway is known to have more requests to a service.
func (r *requestShares) busiest(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for gateway, n := range r.peers[service] {
		if c := cmp.Compare(n, r.known[service]); c > 0 || c == 0 && gateway < r.cfg.Address {
			return false
		}
	}
	return true
}
