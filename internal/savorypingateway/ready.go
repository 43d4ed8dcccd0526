package savorypingateway

import (
	"encoding/json"
	"net/http"
	"time"

	"savorypin/internal/savorypinevent"
)

// readyPart is the part of the revocation delay for which a gateway without
// confirmation still says that it is ready: past it, requests with keys are soon
// refused.
const readyPart = 0.6

// ready reports whether new callers should come, and why not.
func (g *Gateway) ready() (string, bool) {
	switch {
	case g.stopping.Load():
		return "stopping", false
	case g.view.configuration.Load() == nil:
		return "no configuration yet", false
	case !g.view.listed.Load():
		return "no list of endpoints yet", false
	}
	s := g.settings.Load()
	if !s.StrictKeys {
		return "", true
	}
	age, ok := g.view.confirmation(bootClock())
	if !ok || age > time.Duration(readyPart*float64(s.RevocationDelay)) {
		return "configuration is not confirmed", false
	}
	return "", true
}

// noteReadiness logs when the gateway becomes ready, or why it no longer is. Only
// the sweep calls it.
func (g *Gateway) noteReadiness() {
	reason, ok := g.ready()
	if reason == g.readiness {
		return
	}
	g.readiness = reason
	g.log.Emit(savorypinevent.ReadinessChanged{Ready: ok, Reason: reason})
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	reason, ok := g.ready()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// state is the dump of a gateway.
type state struct {
	ConfigurationVersion int64         `json:"configurationVersion"`
	ConfirmationAge      time.Duration `json:"confirmationAgeNs"`
	Endpoints            int           `json:"endpoints"`
	// EndpointsHeld are those that are listed but take no new requests, or only if there
	// are no others.
	EndpointsHeld int    `json:"endpointsHeld"`
	Name          string `json:"name"`
	NotReady      string `json:"notReady,omitempty"`
	// StoreEra counts how often the store has come back from an older copy.
	StoreEra int64 `json:"storeEra"`
	Streams  int   `json:"streams"`
}

func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	s := state{
		Endpoints:     g.view.directory.Load().Len(),
		EndpointsHeld: g.intake.Held(g.view.directory.Load()),
		Name:          g.settings.Load().Name,
		StoreEra:      g.store.client.Era(),
		Streams:       g.streams.len(),
	}
	s.NotReady, _ = g.ready()
	if c := g.view.configuration.Load(); c != nil {
		s.ConfigurationVersion = c.Version()
	}
	if age, ok := g.view.confirmation(bootClock()); ok {
		s.ConfirmationAge = age
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		g.log.Debug("state not written", "err", err)
	}
}
