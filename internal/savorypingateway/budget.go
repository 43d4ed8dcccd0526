package savorypingateway

import (
	"sync"
	"time"

	"savorypin/internal/savorypinlimit"
)

// budgetPart is the part of the shared retry budget that the gateways take
// together: each counts windows that begin at other moments.
const budgetPart = 0.8

// budgets holds the retry budget of each service.
type budgets struct {
	// gateways returns the number of gateways that share the budget.
	gateways func() int
	settings Settings

	mu        *sync.Mutex
	byService map[string]*savorypinlimit.WindowBudget
}

func newBudgets(s Settings, gateways func() int) budgets {
	return budgets{gateways: gateways, byService: map[string]*savorypinlimit.WindowBudget{}, mu: &sync.Mutex{}, settings: s}
}

func (b *budgets) of(service string) *savorypinlimit.WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byService[service]
	if !ok {
		budget = savorypinlimit.NewWindowBudget(savorypinlimit.WindowConfig{
			Now:    time.Now,
			Ratio:  b.settings.RetryRatio * budgetPart,
			Slack:  func() float64 { return b.settings.RetrySlack * budgetPart / float64(b.gateways()) },
			Window: b.settings.RetryWindow,
		})
		b.byService[service] = budget
	}
	return budget
}
