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

// budgetRatio is the fraction of the shared retry budget that the gateways use in total. The
// rest is a margin: their windows begin at different times, and each learns of the others'
// requests with a delay.
const budgetRatio = 0.8

// budgets holds the retry budget of each service. It is safe for concurrent use.
type budgets struct {
	// gatewayCount returns the number of gateways that share the budgets.
	gatewayCount func() int
	settings     Settings

	mu        sync.Mutex
	byService map[string]*savorypinlimit.WindowBudget
	// peerSpending is the spending reported by other gateways, by service and gateway.
	peerSpending map[string]map[string]savorypinlimit.SendCounts
}

func newBudgets(s Settings, gatewayCount func() int) *budgets {
	return &budgets{
		byService:    map[string]*savorypinlimit.WindowBudget{},
		peerSpending: map[string]map[string]savorypinlimit.SendCounts{},
		gatewayCount: gatewayCount,
		settings:     s,
	}
}

func (b *budgets) forService(service string) *savorypinlimit.WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.getLocked(service)
}

func (b *budgets) getLocked(service string) *savorypinlimit.WindowBudget {
	budget, ok := b.byService[service]
	if !ok {
		budget = savorypinlimit.NewWindowBudget(savorypinlimit.WindowConfig{
			Now:    time.Now,
			Ratio:  b.settings.RetryRatio * budgetRatio,
			Slack:  b.settings.RetrySlack * budgetRatio,
			Window: b.settings.RetryWindow,
		})
		b.byService[service] = budget
		b.updateLocked(service)
	}
	return budget
}

// ownSpending returns the requests and retries that this gateway has sent, sorted by service.
func (b *budgets) ownSpending() []savorypingossip.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	var spending []savorypingossip.Budget
	for service, budget := range b.byService {
		s := budget.Counts()
		spending = append(spending, savorypingossip.Budget{First: s.First, Repeats: s.Repeats, Service: service})
	}
	slices.SortFunc(spending, func(a, b savorypingossip.Budget) int { return cmp.Compare(a.Service, b.Service) })
	return spending
}

// setPeerSpending replaces the spending of another gateway on the given services.
func (b *budgets) setPeerSpending(gateway string, spent []savorypingossip.Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range spent {
		if b.peerSpending[s.Service] == nil {
			b.peerSpending[s.Service] = map[string]savorypinlimit.SendCounts{}
		}
		b.peerSpending[s.Service][gateway] = savorypinlimit.SendCounts{First: s.First, Repeats: s.Repeats}
		b.updateLocked(s.Service)
	}
}

// retainPeers drops the spending of gateways that are not live.
func (b *budgets) retainPeers(live map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, peers := range b.peerSpending {
		for gateway := range peers {
			if !live[gateway] {
				delete(peers, gateway)
			}
		}
		b.updateLocked(service)
	}
}

// updateLocked passes a copy of the other gateways' spending to a service's budget, with the
// fraction of the gateways that it covers. The caller holds b.mu.
func (b *budgets) updateLocked(service string) {
	peers := maps.Clone(b.peerSpending[service])
	ratio := float64(len(peers)+1) / float64(max(len(peers)+1, b.gatewayCount()))
	b.getLocked(service).SetPeers(peers, ratio)
}
