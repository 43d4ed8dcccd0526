package savorypingateway

import (
	"encoding/json"
	"net/http"
	"time"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinqueue"
)

// readyMaxAgeRatio is the fraction of the revocation delay for which a gateway without a
// confirmation stays ready. After the whole delay it refuses requests with keys.
const readyMaxAgeRatio = 0.6

// ready reports whether the gateway is ready for new callers, and the reason if it is not.
func (g *Gateway) ready() (string, bool) {
	current := g.view.current.Load()
	switch {
	case g.stopping.Load():
		return "stopping", false
	case current == nil:
		return "no configuration yet", false
	case !g.view.listed.Load():
		return "no list of endpoints yet", false
	}
	s := g.settings.Load()
	if !s.StrictRevocation {
		return "", true
	}
	age, ok := current.confirmationAge(g.cfg.Clock())
	if !ok || age > time.Duration(readyMaxAgeRatio*float64(s.RevocationDelay)) {
		return "configuration is not confirmed", false
	}
	return "", true
}

// logReadiness logs when the gateway becomes ready, or why it no longer is. Only the sweep calls
// it.
func (g *Gateway) logReadiness() {
	reason, ok := g.ready()
	if reason == g.notReadyReason {
		return
	}
	g.notReadyReason = reason
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

// state is the content of the state dump.
type state struct {
	// BufferedBytes is the memory that is reserved for the events of slow callers.
	BufferedBytes        int64         `json:"bufferedBytes"`
	ConfigurationVersion int64         `json:"configurationVersion"`
	ConfirmationAge      time.Duration `json:"confirmationAgeNs"`
	Endpoints            int           `json:"endpoints"`
	// EndpointsHeld is the number of listed endpoints that get no new requests, or get them
	// only if there are no others.
	EndpointsHeld int `json:"endpointsHeld"`
	// LimitedEndpoints is the number of endpoints that named a limit on requests.
	LimitedEndpoints int    `json:"limitedEndpoints"`
	Name             string `json:"name"`
	NotReady         string `json:"notReady,omitempty"`
	// QuarantinedParts and QuarantinedRequests are the numbers of parts of prompts and of requests
	// in quarantine.
	QuarantinedParts    int `json:"quarantinedParts"`
	QuarantinedRequests int `json:"quarantinedRequests"`
	// StoreEra is the number of times that the store was restored from an older copy.
	StoreEra int64 `json:"storeEra"`
	Streams  int   `json:"streams"`
	// Waiting holds the waiting queues by service.
	Waiting map[string]savorypinqueue.State `json:"waiting,omitempty"`
}

func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	s := state{
		BufferedBytes:    g.streamBudget.Used(),
		Endpoints:        g.view.directory.Load().Len(),
		EndpointsHeld:    g.admission.CountNotOpen(g.view.directory.Load()),
		LimitedEndpoints: g.endpointLimits.Len(),
		Name:             g.settings.Load().Name,
		StoreEra:         g.store.client.Era(),
		Streams:          g.streams.len(),
		Waiting:          g.queues.states(),
	}
	s.QuarantinedParts, s.QuarantinedRequests = g.quarantine.Count()
	s.NotReady, _ = g.ready()
	current := g.view.current.Load()
	if current != nil {
		s.ConfigurationVersion = current.configuration.Version()
	}
	if age, ok := current.confirmationAge(g.cfg.Clock()); ok {
		s.ConfirmationAge = age
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		g.log.Debug("writing the state dump failed", "err", err)
	}
}
