package savorypingateway

import (
	"sync"
	"time"

	"savorypin/internal/savorypinlimit"
)

// Parts of the shared retry budget that one gateway takes.
const (
	// budgetRatioPart leaves room for windows that are cut differently.
	budgetRatioPart = 0.8
	// budgetGateways is how many gateways share the slack at most.
	budgetGateways = 32
)

// budgets holds the retry budget of each service.
type budgets struct {
	settings Settings

	mu        *sync.Mutex
	byService map[string]*savorypinlimit.WindowBudget
}

func newBudgets(s Settings) budgets {
	return budgets{byService: map[string]*savorypinlimit.WindowBudget{}, mu: &sync.Mutex{}, settings: s}
}

func (b *budgets) of(service string) *savorypinlimit.WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byService[service]
	if !ok {
		budget = savorypinlimit.NewWindowBudget(savorypinlimit.WindowConfig{
			Now:    time.Now,
			Ratio:  b.settings.RetryRatio * budgetRatioPart,
			Slack:  b.settings.RetrySlack / budgetGateways,
			Window: b.settings.RetryWindow,
		})
		b.byService[service] = budget
	}
	return budget
}
