package savorypinagent

import (
	"context"
	"errors"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinendpoint"
	"savorypin/internal/savorypinfence"
	"savorypin/internal/savorypinlease"
	"savorypin/internal/savorypinmember"
)

// handleFence records the fencing number of a new controller, so that orders of its
// predecessors are refused.
func (a *Agent) handleFence(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Fence,
) (savorypinmember.Empty, error) {
	for _, e := range a.endpoints {
		if e.cfg.Service == req.Service {
			e.gate.RaiseFence(req.Number)
		}
	}
	return savorypinmember.Empty{}, nil
}

// handleOrder sends an order to an endpoint unless its fencing number is outdated.
func (a *Agent) handleOrder(
	ctx context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Order,
) (savorypinmember.Empty, error) {
	var none savorypinmember.Empty
	e, ok := a.endpoints[req.Endpoint]
	if !ok || e.engine == nil {
		return none, savorypin.Errorf(savorypin.KindNotFound, req.Endpoint, "no such engine beside this agent")
	}
	if err := a.updateFence(ctx, e, req); err != nil {
		return none, err
	}
	decision, err := e.gate.Begin(req.Name, req.Fence)
	if err != nil {
		return none, savorypin.Errorf(savorypin.KindNotRun, req.Endpoint, "%w", err)
	}
	if decision == savorypinfence.DecisionSkip {
		return none, nil
	}
	err = e.engine.Order(ctx, savorypinendpoint.Order{
		Action:  savorypinendpoint.OrderAction(req.Action),
		Adapter: req.Adapter,
		Fence:   req.Fence,
		Model:   req.Model,
		Name:    req.Name,
		Role:    req.Role,
	})
	e.gate.End(req.Name, err)
	if err != nil {
		return none, orderError(req.Endpoint, err)
	}
	e.recordOrder(req)
	a.daemon.Logger().Info("Order carried out",
		"endpoint", req.Endpoint, "order", req.Name, "action", req.Action, "model", req.Model, "fence", req.Fence)
	return none, nil
}

// updateFence updates the current fencing number before an order is checked. If the
// endpoint checks numbers itself, the number of the order is used. Otherwise the
// platform is queried each time, and while it is unavailable no order is sent.
func (a *Agent) updateFence(ctx context.Context, e *endpoint, req savorypinmember.Order) error {
	if e.cfg.ChecksFence {
		e.gate.RaiseFence(req.Fence)
		return nil
	}
	name := savorypinlease.ControllerLeaseName(e.cfg.Service)
	fence, err := savorypinlease.ReadFence(ctx, a.daemon.Platform().Get, name)
	if err != nil {
		return savorypin.Errorf(savorypin.KindNotRun, req.Endpoint, "current fencing number is not known: %w", err)
	}
	e.gate.RaiseFence(fence)
	return nil
}

// recordOrder records the effects of an order that the engine does not report.
func (e *endpoint) recordOrder(req savorypinmember.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch savorypinendpoint.OrderAction(req.Action) {
	case savorypinendpoint.OrderDrain:
		e.drained = true
	case savorypinendpoint.OrderLoad:
		e.drained = false
	case savorypinendpoint.OrderRole:
		e.role = req.Role
	case savorypinendpoint.OrderUnload:
	}
}

// undrain marks an endpoint as not drained after operators have ended its drain. The
// engine needs no order for this, since only this agent sends work to it.
func (e *endpoint) undrain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drained = false
}

// orderError converts an error of an engine to a savorypin.Error.
func orderError(endpoint string, err error) error {
	if errors.Is(err, savorypinendpoint.ErrFenced) || errors.Is(err, savorypinendpoint.ErrRefused) {
		return savorypin.Errorf(savorypin.KindNotRun, endpoint, "%w", err)
	}
	return savorypin.Errorf(savorypin.KindUnknown, endpoint, "%w", err)
}
