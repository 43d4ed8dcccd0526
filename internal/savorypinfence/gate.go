// Package savorypinfence decides which orders an agent passes on to an endpoint.
// An order carries the fencing number of the controller that issues it. An agent
// refuses an order whose number is lower than the highest that it knows, passes on
// one order at a time, and doesn't repeat an order that has succeeded.
package savorypinfence

import (
	"errors"
	"fmt"
	"sync"
)

// maxRememberedOrders is the number of successful orders of an endpoint whose names
// are kept to detect repeated orders.
const maxRememberedOrders = 256

// Errors of Gate.Begin.
var (
	// ErrBusy means that another order is in progress.
	ErrBusy = errors.New("another order is being carried out")
	// ErrFenceUnknown means that the current fencing number is not known, as after
	// a restart of the agent.
	ErrFenceUnknown = errors.New("current fencing number is not known")
	// ErrOldFence means that the agent knows a higher fencing number.
	ErrOldFence = errors.New("fencing number is old")
)

// Decision says what an agent does with an order.
type Decision string

// The decisions on an order.
const (
	// DecisionPass means that the agent passes the order on to the endpoint.
	DecisionPass Decision = "pass"
	// DecisionSkip means that the order has succeeded before and is not passed on
	// again.
	DecisionSkip Decision = "repeat"
)

// Gate decides on the orders for one endpoint. It is safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// inProgress is the name of the order in progress; empty if there is none.
	inProgress string
	// succeeded holds the names of the last successful orders.
	succeeded  map[string]bool
	fence      int64
	fenceKnown bool
	// succeededNames holds the names in succeeded, oldest first.
	succeededNames []string
}

// NewGate returns a gate that doesn't know the current fencing number and refuses
// all orders until RaiseFence is called.
func NewGate() *Gate {
	return &Gate{succeeded: map[string]bool{}}
}

// Fence returns the highest known fencing number, or 0 if none is known.
func (g *Gate) Fence() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fence
}

// RaiseFence sets the fencing number to one that the platform or a controller reports,
// unless a higher one is known.
func (g *Gate) RaiseFence(fence int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fence = max(g.fence, fence)
	g.fenceKnown = true
}

// Begin decides on an order. After DecisionPass, End must be called with the result of
// the order. The error wraps ErrBusy, ErrFenceUnknown or ErrOldFence.
func (g *Gate) Begin(name string, fence int64) (Decision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.fenceKnown:
		return "", fmt.Errorf("order %s: %w", name, ErrFenceUnknown)
	case fence < g.fence:
		return "", fmt.Errorf("order %s: %w: %d is older than %d", name, ErrOldFence, fence, g.fence)
	case g.succeeded[name]:
		return DecisionSkip, nil
	case g.inProgress != "":
		return "", fmt.Errorf("order %s: %w: %s", name, ErrBusy, g.inProgress)
	}
	g.fence = fence
	g.inProgress = name
	return DecisionPass, nil
}

// End records the result of the order in progress. An order that failed may be
// passed on again.
func (g *Gate) End(name string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress = ""
	if err != nil {
		return
	}
	g.succeeded[name] = true
	g.succeededNames = append(g.succeededNames, name)
	if len(g.succeededNames) > maxRememberedOrders {
		delete(g.succeeded, g.succeededNames[0])
		g.succeededNames = g.succeededNames[1:]
	}
}
