package savorypingateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinlimit"
)

// retryBudgetRatio is the fraction of the shared retry budget that the gateways use in total. The
// rest is a margin: their windows begin at different times, and each learns of the others'
// requests with a delay.
const retryBudgetRatio = 0.8

// retryBudgets holds the retry budget of each service. It is safe for concurrent use.
type retryBudgets struct {
	// gatewayCount returns the number of gateways that share the budgets.
	gatewayCount func() int
	settings     Settings

	mu        sync.Mutex
	byService map[string]*savorypinlimit.WindowBudget
	// peerCounts holds the request counts that other gateways reported, by service and gateway.
	peerCounts map[string]map[string]savorypinlimit.SendCounts
}

func newRetryBudgets(s Settings, gatewayCount func() int) *retryBudgets {
	return &retryBudgets{
		byService:    map[string]*savorypinlimit.WindowBudget{},
		peerCounts:   map[string]map[string]savorypinlimit.SendCounts{},
		gatewayCount: gatewayCount,
		settings:     s,
	}
}

func (b *retryBudgets) forService(service string) *savorypinlimit.WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.getLocked(service)
}

func (b *retryBudgets) getLocked(service string) *savorypinlimit.WindowBudget {
	budget, ok := b.byService[service]
	if !ok {
		budget = savorypinlimit.NewWindowBudget(savorypinlimit.WindowConfig{
			Now:    time.Now,
			Ratio:  b.settings.RetryRatio * retryBudgetRatio,
			Slack:  b.settings.RetrySlack * retryBudgetRatio,
			Window: b.settings.RetryWindow,
		})
		b.byService[service] = budget
		b.updateLocked(service)
	}
	return budget
}

// ownCounts returns the numbers of first requests and retries that this gateway has sent, sorted
// by service.
func (b *retryBudgets) ownCounts() []savorypingossip.ServiceSendCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	var counts []savorypingossip.ServiceSendCounts
	for service, budget := range b.byService {
		s := budget.Counts()
		counts = append(counts, savorypingossip.ServiceSendCounts{First: s.First, Repeats: s.Repeats, Service: service})
	}
	slices.SortFunc(counts, func(a, b savorypingossip.ServiceSendCounts) int { return cmp.Compare(a.Service, b.Service) })
	return counts
}

// setPeerCounts replaces the request counts of another gateway for the given services.
func (b *retryBudgets) setPeerCounts(gateway string, counts []savorypingossip.ServiceSendCounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range counts {
		if b.peerCounts[s.Service] == nil {
			b.peerCounts[s.Service] = map[string]savorypinlimit.SendCounts{}
		}
		b.peerCounts[s.Service][gateway] = savorypinlimit.SendCounts{First: s.First, Repeats: s.Repeats}
		b.updateLocked(s.Service)
	}
}

// retainPeers drops the request counts of gateways that are not live.
func (b *retryBudgets) retainPeers(live map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, peers := range b.peerCounts {
		for gateway := range peers {
			if !live[gateway] {
				delete(peers, gateway)
			}
		}
		b.updateLocked(service)
	}
}

// updateLocked passes a copy of the other gateways' request counts to a service's budget, with
// the fraction of all gateways whose counts are known. The caller holds b.mu.
func (b *retryBudgets) updateLocked(service string) {
	peers := maps.Clone(b.peerCounts[service])
	ratio := float64(len(peers)+1) / float64(max(len(peers)+1, b.gatewayCount()))
	b.getLocked(service).SetPeers(peers, ratio)
}
