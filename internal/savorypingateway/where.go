package savorypingateway

import (
	"encoding/json"
	"errors"
	"net/http"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinwhere"
)

// serveWhere answers where a request would go now, and why.
func (g *Gateway) serveWhere(w http.ResponseWriter, r *http.Request) {
	q, err := savorypinwhere.ParseQuery(r.URL.Query())
	if err != nil {
		g.serveWhereError(w, http.StatusBadRequest, savorypin.Errorf(savorypin.KindInvalid, "", "%w", err))
		return
	}
	call, err := g.callOf(q)
	if err != nil {
		g.serveWhereError(w, http.StatusNotFound, err)
		return
	}
	g.writeJSON(w, http.StatusOK, g.where(q, call))
}

// serveWhereError sends an error in the encoding of the operators' API.
func (g *Gateway) serveWhereError(w http.ResponseWriter, status int, err error) {
	body := struct {
		Kind    savorypin.ErrorKind `json:"kind"`
		Message string              `json:"message"`
	}{Message: err.Error()}
	var e *savorypin.Error
	if errors.As(err, &e) {
		body.Kind = e.Kind
	}
	g.writeJSON(w, status, body)
}

func (g *Gateway) writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		g.log.Debug("writing a response to an operator failed", "err", err)
	}
}

// callOf returns the call that a query describes, with a key of its organisation, so that the call is
// decided on like a caller's. The key must not leave the gateway.
func (g *Gateway) callOf(q savorypinwhere.Query) (*savorypinfleet.Call, error) {
	call := &savorypinfleet.Call{
		Deadline: q.Deadline, Header: http.Header{}, Host: q.Host, Method: q.Method, OutputTokens: q.OutputTokens,
		PromptTokens: q.PromptTokens, URI: q.Path,
	}
	if n := len(q.PromptParts); n > 0 {
		call.PromptID = q.PromptParts[n-1]
		for _, id := range q.PromptParts[:n-1] {
			call.PromptParts = append(call.PromptParts, savorypinfleet.NewPromptPart(id))
		}
	}
	c := g.view.configuration()
	if q.Organisation == "" || c == nil {
		return call, nil
	}
	key, ok := c.KeyOf(q.Organisation)
	if !ok {
		return nil, savorypin.Errorf(savorypin.KindNotFound, "organisation", "%q is not configured or has no key", q.Organisation)
	}
	call.APIKey = key
	return call, nil
}

// where returns where a call would go now, and why.
func (g *Gateway) where(q savorypinwhere.Query, call *savorypinfleet.Call) savorypinwhere.Answer {
	d := &dryRun{gateway: g, query: q}
	d.answer = savorypinwhere.Answer{Gateway: g.settings.Load().Name, Ages: g.whereAges(), Outcome: savorypinwhere.OutcomeAdmitted}
	if refused := d.run(call); refused != nil {
		d.refuse(refused)
	}
	return d.answer
}

// whereAges returns the ages of what decisions rest on.
func (g *Gateway) whereAges() savorypinwhere.Ages {
	var ages savorypinwhere.Ages
	if age, ok := g.view.current.Load().confirmationAge(g.cfg.Clock()); ok {
		ages.ConfigurationNs = &age
	}
	if g.view.listed.Load() {
		age := g.store.age(g.cfg.Objects.EndpointKind)
		ages.EndpointsNs = &age
	}
	for _, p := range g.peers.Live() {
		l := savorypinwhere.LoadAge{Gateway: p.Name + " at " + p.Address}
		if age, ok := g.loadReports.age(p.Address); ok {
			l.AgeNs = &age
		}
		ages.Loads = append(ages.Loads, l)
	}
	return ages
}
