// Package savorypinorder decides which orders an agent passes on to an
// endpoint. Orders carry the fencing number of the controller that gives them;
// an order with an older number than one that the agent knows of is refused.
// One order at a time is passed on, and an order that was carried out is not
// passed on again.
package savorypinorder

import (
	"errors"
	"fmt"
	"sync"
)

// maxRemembered is how many orders of an endpoint are remembered.
const maxRemembered = 256

// Errors of the gate.
var (
	// ErrBusy means that another order is being carried out.
	ErrBusy = errors.New("another order is being carried out")
	// ErrFenceUnknown means that the current fencing number is not known, as
	// after a restart.
	ErrFenceUnknown = errors.New("current fencing number is not known")
	// ErrOldFence means that a newer controller has been heard of.
	ErrOldFence = errors.New("fencing number is old")
)

// Decision says what to do with an order.
type Decision string

// The decisions on an order.
const (
	// DecisionPass means that the order is to be passed on.
	DecisionPass Decision = "pass"
	// DecisionRepeat means that the order was carried out before.
	DecisionRepeat Decision = "repeat"
)

// Gate lets the orders of one endpoint pass. It is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	busy  string
	done  map[string]bool
	fence int64
	known bool
	order []string
}

// NewGate returns a gate that does not know the current fencing number.
func NewGate() *Gate {
	return &Gate{done: map[string]bool{}}
}

// Fence returns the newest fencing number that the gate knows of.
func (g *Gate) Fence() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fence
}

// Learn takes note of a fencing number that the platform or a controller
// states.
func (g *Gate) Learn(fence int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fence = max(g.fence, fence)
	g.known = true
}

// Begin decides on an order. If it is to be passed on, End must be called when
// the endpoint has answered.
func (g *Gate) Begin(name string, fence int64) (Decision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.known:
		return "", fmt.Errorf("order %s: %w", name, ErrFenceUnknown)
	case fence < g.fence:
		return "", fmt.Errorf("order %s: %w: %d is older than %d", name, ErrOldFence, fence, g.fence)
	case g.done[name]:
		return DecisionRepeat, nil
	case g.busy != "":
		return "", fmt.Errorf("order %s: %w: %s", name, ErrBusy, g.busy)
	}
	g.fence = fence
	g.busy = name
	return DecisionPass, nil
}

// End takes note of how the order that is being carried out ended. An order
// that failed may be given again.
func (g *Gate) End(name string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = ""
	if err != nil {
		return
	}
	g.done[name] = true
	g.order = append(g.order, name)
	if len(g.order) > maxRemembered {
		delete(g.done, g.order[0])
		g.order = g.order[1:]
	}
}
