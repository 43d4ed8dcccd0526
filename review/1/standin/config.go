package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// replicasPerService is the number of replicas of each service, one in each zone.
const replicasPerService = 3

// Services and paths of the deployment.
const (
	serviceEngine = "huvo11a"
	serviceLedger = "wuno96b"
	pathStream    = "/lohu930/2f"
	pathSummary   = "/geno521/2f"
	pathOnce      = "/pufi791/2f"
	pathSale      = "/pule252/2f"
	pathJob       = "/kore114/2f"
)

// The one tenant and a key that it keeps.
const (
	tenant  = "huka270"
	keyKept = "xd9dnn2ctnfzs989anu6"
)

// configuration is an operator's configuration.
type configuration struct {
	// further is the number of further routes.
	further int
	keys    []string
	// summaries says that there is the route of the summaries.
	summaries bool
	version   int
}

// spec returns the configuration as it is written to the store.
func (c configuration) spec() json.RawMessage {
	further := make([]int, c.further)
	for i := range further {
		further[i] = i
	}
	return render("configuration.json.tmpl", map[string]any{
		"Version": c.version, "Summaries": c.summaries, "Keys": c.keys, "Further": further, "Host": callerHost, "Tenant": tenant,
		"Engine": serviceEngine, "Ledger": serviceLedger,
	})
}

// deployment is a small deployment: a store, some replicas of each service and one gateway.
type deployment struct {
	gateway  *gateway
	replicas []*replica
	store    *store
}

// startDeployment starts a deployment. Its replicas work as decided by the given function.
func (b *bench) startDeployment(c configuration, d decide) (*deployment, error) {
	s, err := b.startStore()
	if err != nil {
		return nil, err
	}
	if err := s.put("config", "main", c.spec()); err != nil {
		return nil, err
	}
	n := &deployment{store: s}
	for i := range replicasPerService {
		for _, service := range []string{serviceEngine, serviceLedger} {
			r, err := b.startReplica(fmt.Sprintf("i-%s-%d", service, i), d)
			if err != nil {
				return nil, err
			}
			n.replicas = append(n.replicas, r)
			if err := s.put("servers", r.id, r.entry(service, string(rune('a'+i%3)))); err != nil {
				return nil, err
			}
		}
	}
	n.gateway, err = b.startGateway(s.address)
	return n, err
}

// replicasOf returns the replicas whose id begins so.
func (d *deployment) replicasOf(service string) []*replica {
	var replicas []*replica
	for _, r := range d.replicas {
		if strings.HasPrefix(r.id, "i-"+service) {
			replicas = append(replicas, r)
		}
	}
	return replicas
}

// execution returns the run of a request, at whatever replica.
func (d *deployment) execution(id string) (execution, bool) {
	for _, r := range d.replicas {
		if e, ok := r.execution(id); ok {
			return e, true
		}
	}
	return execution{}, false
}
