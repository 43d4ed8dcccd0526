package savorypinagent

import (
	"context"
	"errors"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinendpoint"
	"savorypin/internal/savorypinlease"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinorder"
)

// handleFence takes note of a new controller, so that orders of the one before
// it are refused from now on.
func (a *Agent) handleFence(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Fence,
) (savorypinmember.Empty, error) {
	for _, e := range a.endpoints {
		if e.cfg.Service == req.Service {
			e.gate.Learn(req.Number)
		}
	}
	return savorypinmember.Empty{}, nil
}

// handleOrder passes an order on to an endpoint unless its fencing number is
// old.
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
	if err := a.learnFence(ctx, e, req); err != nil {
		return none, err
	}
	decision, err := e.gate.Begin(req.Name, req.Fence)
	if err != nil {
		return none, savorypin.Errorf(savorypin.KindNotRun, req.Endpoint, "%w", err)
	}
	if decision == savorypinorder.DecisionRepeat {
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
		return none, translateOrder(req.Endpoint, err)
	}
	e.ordered(req)
	a.daemon.Logger().Info("Order carried out",
		"endpoint", req.Endpoint, "order", req.Name, "action", req.Action, "model", req.Model, "fence", req.Fence)
	return none, nil
}

// learnFence finds out the current fencing number before an order is judged.
// An endpoint that checks numbers needs no help; for one that doesn't, the
// platform is asked each time, and while it is out no order is passed on.
func (a *Agent) learnFence(ctx context.Context, e *endpoint, req savorypinmember.Order) error {
	if e.cfg.ChecksFence {
		e.gate.Learn(req.Fence)
		return nil
	}
	name := savorypinlease.ControllerOf(e.cfg.Service)
	fence, err := savorypinlease.ReadFence(ctx, a.daemon.Platform().Get, name)
	if err != nil {
		return savorypin.Errorf(savorypin.KindNotRun, req.Endpoint, "current fencing number is not known: %w", err)
	}
	e.gate.Learn(fence)
	return nil
}

// ordered takes note of what an order changed that the engine does not report.
func (e *endpoint) ordered(req savorypinmember.Order) {
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

// undrain gives work to an endpoint again that operators no longer want drained.
// It needs no order, since only this agent gives it work.
func (e *endpoint) undrain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drained = false
}

// translateOrder turns an error of an engine into one of the core.
func translateOrder(endpoint string, err error) error {
	if errors.Is(err, savorypinendpoint.ErrFenced) || errors.Is(err, savorypinendpoint.ErrRefused) {
		return savorypin.Errorf(savorypin.KindNotRun, endpoint, "%w", err)
	}
	return savorypin.Errorf(savorypin.KindUnknown, endpoint, "%w", err)
}
